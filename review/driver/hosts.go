//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// entryProgram is the program that the deploy file starts.
const entryProgram = "target/jasminelock-entry"

// host is a process of the project.
type host struct {
	name    string
	callers string
	ready   string
	path    string
	peers   *relay
	cmd     *exec.Cmd
	ended   chan struct{}
	log     *logBuffer
}

// logBuffer keeps what a process writes.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

// lines returns the lines that contain all of the texts.
func (l *logBuffer) lines(texts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range strings.Lines(l.buf.String()) {
		all := true
		for _, t := range texts {
			all = all && strings.Contains(line, t)
		}
		if all {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

// settingsText is the settings file of a host, as the template of the deploy file renders it with the bounds of a small
// site. Only advertise.peers is added.
const settingsText = `{
  "host": %q, "zone": %q,
  "listen": {"callers": %q, "readiness": %q, "directory": %q, "peers": %q},
  "advertise": {"peers": %q},
  "store": %q, "memory_mb": 284, "cores": 0.4, "grace": "8s",
  "fleet": {
    "retry_ratio": 0.2, "retry_slack": 54, "rate_window": "8s", "rate_over": 0.1, "rate_slack_tokens": 17000,
    "fenced": true, "holder_pause": "3000ms", "config_within": "2000ms", "drain_within": "2000ms", "answer_life": "5s",
  },
  "log": {"level": "info", "json": true},
}
`

// drawn holds the ports that freeAddress has returned.
var drawn = map[int]bool{}

// freeAddress returns a free loopback address below the ports of outgoing connections, and never the same twice.
func freeAddress() string {
	for {
		port := 12000 + rand.IntN(16000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil && !drawn[port] {
			_ = l.Close()
			drawn[port] = true
			return address
		}
	}
}

// start starts the process of a host. storeAddress is where it reaches the store.
func startHost(dir, name, zone, storeAddress string) (*host, error) {
	h := &host{name: name, callers: freeAddress(), ready: freeAddress(), path: filepath.Join(dir, name+".jsonc"), log: &logBuffer{}}
	peers := freeAddress()
	var err error
	if h.peers, err = newRelay(peers); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settingsText, name, zone, h.callers, h.ready, freeAddress(), peers, h.peers.address(), storeAddress)
	if err := os.WriteFile(h.path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return h, h.run()
}

// run starts the process.
func (h *host) run() error {
	h.cmd = exec.Command(entryProgram)
	h.cmd.Env = append(os.Environ(), "JASMINELOCK_CONFIG="+h.path)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	cmd, ended := h.cmd, h.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// stop kills the process if it still runs.
func (h *host) stop() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.ended
	h.peers.close()
}

// errNotStarted reports that a process has ended before it was ready, since another program took one of its ports.
var errNotStarted = errors.New("the process has ended before it was ready")

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-h.ended:
			return fmt.Errorf("%s: %w", h.name, errNotStarted)
		default:
		}
		resp, err := client.Get("http://" + h.ready + p("readyz"))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s did not get ready", h.name)
}

// leads reports whether the host's last line about its leadership says that it leads.
func (h *host) leads() bool {
	return len(h.log.lines("this host leads")) > len(h.log.lines("this host no longer leads"))
}
