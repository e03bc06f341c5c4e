package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/daemon"
	"github.com/jasminelock/jasminelock/httpcheck"
	"github.com/jasminelock/jasminelock/record"
)

// Limits of a request to a host: its duration, the size of the response, and the
// part of an error response that is shown. Sizes are in bytes.
const (
	hostTimeout     = 5 * time.Second
	maxHostResponse = 16 << 20
	maxErrorMessage = 200
)

// hostClient is the client of hosts' operators' listeners.
var hostClient = &http.Client{Transport: httpcheck.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})}

// getJSON sends a GET request to a host's operators' listener and decodes the JSON
// response into out.
func getJSON(ctx context.Context, address string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return invalid("%s", err)
	}
	resp, err := hostClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHostResponse))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(body[:min(len(body), maxErrorMessage)])))
	}
	return json.Unmarshal(body, out)
}

var errMissingStatus = errors.New("not every host answered")

// hostStatus is a host's status, or the error of the request for it.
type hostStatus struct {
	URL    string         `json:"url"`
	Status *daemon.Status `json:"status,omitempty"`
	Error  string         `json:"error,omitempty"`
}

func statusCommand(o *options) *cobra.Command {
	var hosts []string
	cmd := &cobra.Command{
		Use:   "status --host URL [--host URL]",
		Short: "Show the status of hosts",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			statuses := make([]hostStatus, len(hosts))
			var group sync.WaitGroup
			for i, base := range hosts {
				group.Go(func() { statuses[i] = fetchStatus(cmd.Context(), base) })
			}
			group.Wait()
			if err := o.show(cmd.OutOrStdout(), statuses, statusTable(statuses)); err != nil {
				return err
			}
			for _, a := range statuses {
				if a.Error != "" {
					return errMissingStatus
				}
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&hosts, "host", nil, "address of a host's operators' listener")
	_ = cmd.MarkFlagRequired("host")
	return cmd
}

func fetchStatus(ctx context.Context, base string) hostStatus {
	var s daemon.Status
	if err := getJSON(ctx, base+"/status", &s); err != nil {
		return hostStatus{URL: base, Error: err.Error()}
	}
	return hostStatus{URL: base, Status: &s}
}

func statusTable(statuses []hostStatus) table {
	t := table{header: []any{"URL", "HOST", "ZONE", "REVISION", "READY", "IN FLIGHT", "HOSTS SEEN", "ERROR"}}
	for _, a := range statuses {
		if s := a.Status; s != nil {
			t.rows = append(t.rows, []any{a.URL, s.Host, s.Zone, s.Revision, s.Ready, s.InFlight, len(s.Hosts), ""})
			continue
		}
		t.rows = append(t.rows, []any{a.URL, "", "", "", "", "", "", a.Error})
	}
	return t
}

// explainFlags describe the request whose decision is explained.
type explainFlags struct {
	host, model, path, method, organisation, keyEnv string
	tokens                                          int64
}

func explainCommand(o *options) *cobra.Command {
	var f explainFlags
	cmd := &cobra.Command{
		Use:   "explain --host URL --model NAME --organisation NAME",
		Short: "Ask a host how it would decide a request, and why",
		Long:  "Ask a host how it would decide a request now, and why. The request is not executed and does not count\nagainst the organisation's rate. With --key-env the key is read from that environment variable; only its\nhash leaves this machine.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q, err := f.query()
			if err != nil {
				return err
			}
			var answer daemon.Explanation
			if err := getJSON(cmd.Context(), f.host+"/explain?"+q.Encode(), &answer); err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), answer, explainTable(answer))
		},
	}
	cmd.Flags().StringVar(&f.host, "host", "", "address of the host's operators' listener")
	cmd.Flags().StringVar(&f.model, "model", "", "adapter or adapter@version")
	cmd.Flags().StringVar(&f.path, "path", "", "path of a call to a plain service")
	cmd.Flags().StringVar(&f.method, "method", http.MethodPost, "method of a call to a plain service")
	cmd.Flags().StringVar(&f.organisation, "organisation", "", "organisation to ask as, as if with one of its keys")
	cmd.Flags().StringVar(&f.keyEnv, "key-env", "", "environment variable that holds the caller's key")
	cmd.Flags().Int64Var(&f.tokens, "tokens", 0, "highest cost that the request can have, in tokens")
	_ = cmd.MarkFlagRequired("host")
	return cmd
}

func (f explainFlags) query() (url.Values, error) {
	if (f.model == "") == (f.path == "") {
		return nil, invalid("want one of --model and --path")
	}
	q := url.Values{"model": {f.model}, "path": {f.path}, "method": {f.method}, "organisation": {f.organisation}, "tokens": {strconv.FormatInt(f.tokens, 10)}}
	if f.keyEnv != "" {
		secret := os.Getenv(f.keyEnv)
		if secret == "" {
			return nil, invalid("--key-env: the variable %s is empty", f.keyEnv)
		}
		q.Set("key_hash", record.HashSecret(secret).String())
	}
	return q, nil
}

func explainTable(e daemon.Explanation) table {
	t := table{header: []any{"DECISION", "RULE", "UPSTREAM", "EXPECTED", "NOTE"}}
	if len(e.Alternatives) == 0 {
		t.rows = append(t.rows, []any{e.Decision, e.Rule, "", "", e.Message})
	}
	for _, a := range e.Alternatives {
		t.rows = append(t.rows, []any{e.Decision, e.Rule, a.Upstream, a.Expected, a.Note})
	}
	return t
}
