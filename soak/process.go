package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jasminelock/jasminelock/standin"
)

// startTimeout is how long a process may take to print its address, to get ready or to exit after
// SIGKILL.
const startTimeout = 20 * time.Second

// process is one process that the soak started.
type process struct {
	name    string
	path    string
	args    []string
	logPath string

	// mu guards the fields below.
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started time.Time
}

// startedAt returns the time of the last start.
func (p *process) startedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

// start starts the process and appends its output to its log file. It does nothing if the
// process is running, because overlapping faults may both start it.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.path, p.args...) //nolint:noctx // ended by a signal, not by a context
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("soak: process %s did not start: %w", p.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	p.cmd, p.exited, p.started = cmd, exited, time.Now()
	return nil
}

// running reports whether the process was started and has not exited. p.mu must be held.
func (p *process) running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process if it was started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end sends a signal that ends the process if it was started. It returns a channel that is closed when the process which got the
// signal has exited, nil if none was started.
func (p *process) end(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // fails if it has exited
	}
	return p.exited
}

// wait waits for the process to exit and reports whether it did so within the timeout.
func (p *process) wait(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	return exitedWithin(exited, timeout)
}

// exitedWithin waits until the channel is closed and reports whether that was within the timeout. It reports true for nil.
func exitedWithin(exited <-chan struct{}, timeout time.Duration) bool {
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// kill kills the process, also if it is stopped by SIGSTOP, and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait(startTimeout)
}

// startStandin starts a stand-in and returns its process and the URL that it prints. It kills the
// process and returns an error if no URL is printed within startTimeout.
func startStandin(dir, bin, name string, args ...string) (*process, string, error) {
	p := &process{name: name, path: bin, args: args, logPath: filepath.Join(dir, name+".log")}
	if err := p.start(); err != nil {
		return nil, "", err
	}
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if url := firstLine(p.logPath); strings.HasPrefix(url, "http://") {
			return p, url, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.kill()
	return nil, "", fmt.Errorf("soak: stand-in %s printed no URL in time and was killed", name)
}

func firstLine(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	line, err := bufio.NewReader(f).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return ""
	}
	return strings.TrimSpace(line)
}

// reserveAddress returns a loopback address that is kept for a listener until this process ends, so that a host can
// start again where it was.
func reserveAddress() (string, error) {
	port, err := standin.ReservePort()
	if err != nil {
		return "", err
	}
	return port.Address(), nil
}
