package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/hashicorp/go-hclog"
)

// State describes a running deployment to other programs: its addresses, adapters and
// keys.
type State struct {
	// Hosts are the addresses of the hosts' callers' listeners.
	Hosts []string `json:"hosts"`
	// Operators are the addresses of the hosts' operators' listeners, in the order of
	// Hosts.
	Operators []string `json:"operators"`
	Engines   []string `json:"engines"`
	Platform  string   `json:"platform"`
	// Adapters are all adapter versions as "name@version".
	Adapters []string `json:"adapters"`
	// Services are the prefixes of the plain services' routes.
	Services      []string            `json:"services"`
	Organisations []StateOrganisation `json:"organisations"`
	PID           int                 `json:"pid"`
}

// StateOrganisation is an organisation with a valid key.
type StateOrganisation struct {
	Name     string   `json:"name"`
	Key      string   `json:"key"`
	Adapters []string `json:"adapters"`
}

// Serve starts a deployment, writes its State to a file unless the path is empty, and
// runs until the context ends.
func Serve(ctx context.Context, out io.Writer, log hclog.Logger, stateFile string) error {
	c, err := start(ctx, log, configInterval)
	if err != nil {
		return err
	}
	defer c.stop()
	if stateFile != "" {
		if err := writeState(stateFile, c.state()); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "state written to %s\n", stateFile)
	}
	_, _ = fmt.Fprintf(out, "serving on %s; end with SIGTERM or SIGINT\n", c.hosts[0].daemon.CallerURL())
	<-ctx.Done()
	return nil
}

func (c *cluster) state() State {
	s := State{Platform: c.platformServer.URL, Services: []string{ordersRoute, stockRoute}, PID: os.Getpid()}
	for _, h := range c.hosts {
		s.Hosts = append(s.Hosts, h.daemon.CallerURL())
		s.Operators = append(s.Operators, h.daemon.OperatorURL())
	}
	for _, u := range c.upstreams[:len(c.engines)] {
		s.Engines = append(s.Engines, u.url)
	}
	for _, o := range organisations {
		one := StateOrganisation{Name: o.name, Key: o.secret}
		for _, a := range o.adapters {
			one.Adapters = append(one.Adapters, a+"@"+firstVersion)
		}
		s.Adapters = append(s.Adapters, one.Adapters...)
		s.Organisations = append(s.Organisations, one)
	}
	return s
}

// stateFileMode allows only the owner to read the keys.
const stateFileMode = 0o600

// writeState writes the file atomically, so that a reader never sees an incomplete
// state.
func writeState(path string, s State) error {
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	temporary, err := os.CreateTemp(filepath.Dir(path), ".state-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary.Name()) }()
	if _, err := temporary.Write(append(raw, '\n')); err != nil {
		_ = temporary.Close()
		return err
	}
	if err := temporary.Chmod(stateFileMode); err != nil {
		_ = temporary.Close()
		return err
	}
	if err := temporary.Close(); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), path)
}
