//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// program is the first word of the line `run` in deploy/system.toml.
const program = "target/jasminelock-entry"

// bounds are the bounds of the deployment, in the names of the settings file.
type bounds struct {
	retryRatio, retrySlack, rateOver, rateSlack float64
	rateWindow, grace, holderPause              string
	configWithin, drainWithin, answerLife       string
	memoryMB, descriptors                       int
	cores                                       float64
	features                                    []string
	// unfenced is set where servers check no fencing tokens.
	unfenced bool
}

// machine is one machine of the system with its entry process.
type machine struct {
	name, zone, front, readiness, directory, peers, metrics, store string
	config                                                         string
	rec                                                            *recorder
	logFile                                                        *os.File

	// closed is set at the end of the case, so that the process is not started again.
	closed atomic.Bool

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	expected bool // the driver has ended, or will end, the process
	// signalledAt are the times of signals to the process and of its starts.
	signalledAt []time.Time
	// crashes are the ends of the process that nobody asked for.
	crashes []time.Time
	// onLine is called with each line that the process writes.
	onLine func(m *machine, line string)
}

// freeAddress returns a loopback address whose port is free. The kernel gives ports of its own range to outgoing connections, which
// could take the port before the process listens, so that the port is drawn below that range.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000))
		if taken[address] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			taken[address] = true
			return address
		}
	}
}

var taken = map[string]bool{}

// libraryPath is the path of the standard library on this machine, which the record leaves out.
var libraryPath = regexp.MustCompile(`/\S*go/src/`)

func newMachine(rec *recorder, dir, name, zone, store string, b bounds) *machine {
	m := &machine{
		name: name, zone: zone, front: freeAddress(), readiness: freeAddress(), directory: freeAddress(), peers: freeAddress(), metrics: freeAddress(),
		store: store, rec: rec, config: filepath.Join(dir, name+".jsonc"),
	}
	settings := map[string]any{
		"host": name, "zone": zone,
		"listen":    map[string]any{"callers": m.front, "readiness": m.readiness, "directory": m.directory, "peers": m.peers, "metrics": m.metrics},
		"store":     store,
		"memory_mb": b.memoryMB, "cores": b.cores, "descriptors": b.descriptors, "grace": b.grace,
		"fleet": map[string]any{
			"retry_ratio": b.retryRatio, "retry_slack": b.retrySlack, "rate_window": b.rateWindow, "rate_over": b.rateOver, "rate_slack_tokens": b.rateSlack,
			"fenced": !b.unfenced, "holder_pause": b.holderPause, "config_within": b.configWithin, "drain_within": b.drainWithin, "answer_life": b.answerLife,
		},
		"features": b.features,
		"log":      map[string]any{"level": "info", "json": true},
	}
	raw, _ := json.MarshalIndent(settings, "", "  ")
	if err := os.WriteFile(m.config, raw, 0o600); err != nil {
		panic(err)
	}
	m.logFile, _ = os.Create(filepath.Join(dir, name+".log"))
	return m
}

// start starts the process.
func (m *machine) start() error {
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "JASMINELOCK_CONFIG="+m.config)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	errOut, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited, m.expected = cmd, exited, false
	m.signalledAt = append(m.signalledAt, time.Now())
	m.mu.Unlock()
	m.rec.line("machine %s: process %d started", m.name, cmd.Process.Pid)
	var readers sync.WaitGroup
	readers.Go(func() { m.read(out, false) })
	readers.Go(func() { m.read(errOut, true) })
	go func() {
		readers.Wait()
		err := cmd.Wait()
		m.mu.Lock()
		if !m.expected {
			m.crashes = append(m.crashes, time.Now())
			m.rec.say("machine %s: process %d ended by itself: %v", m.name, cmd.Process.Pid, err)
			go m.restartAfter(500 * time.Millisecond) // as the platform does
		} else {
			m.rec.line("machine %s: process %d has ended: %v", m.name, cmd.Process.Pid, err)
		}
		m.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (m *machine) read(in interface{ Read([]byte) (int, error) }, isErr bool) {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 1<<20), 1<<20)
	root, _ := os.Getwd()
	root += "/"
	n := 0
	for s.Scan() {
		fmt.Fprintln(m.logFile, s.Text())
		if isErr && n < 14 {
			n++
			m.rec.line("machine %s, standard error: %s", m.name, libraryPath.ReplaceAllString(strings.ReplaceAll(s.Text(), root, ""), "go/src/"))
		}
		if m.onLine != nil {
			m.onLine(m, s.Text())
		}
	}
}

// signal sends a signal to the process. expected says that the process is to end.
func (m *machine) signal(sig syscall.Signal, expected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.signalledAt = append(m.signalledAt, time.Now())
	m.expected = m.expected || expected
	m.rec.line("machine %s: %s", m.name, sig)
	_ = m.cmd.Process.Signal(sig)
}

// running reports whether the process runs and nobody has asked it to end.
func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil || m.expected {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// disturbed reports whether the process was signalled or started between two moments.
func (m *machine) disturbed(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, at := range m.signalledAt {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

func (m *machine) crashCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.crashes)
}

// ownEnds counts the ends of the process that nobody asked for and that came later than a second after any signal to it or its
// start: the pages excuse one "during a disruption on its machine or links or within a second of it".
func (m *machine) ownEnds() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, end := range m.crashes {
		calm := true
		for _, at := range m.signalledAt {
			if at.Before(end) && end.Sub(at) < time.Second {
				calm = false
			}
		}
		if calm {
			n++
		}
	}
	return n
}

// ready asks the machine's readiness address.
func (m *machine) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + m.readiness + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// restartAfter restarts the process once it has ended, and not before its grace time is over.
func (m *machine) restartAfter(pause time.Duration) {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	<-exited
	time.Sleep(pause)
	if m.closed.Load() {
		return
	}
	if err := m.start(); err != nil {
		m.rec.say("machine %s cannot be started: %v", m.name, err)
	}
}

// kill ends the process, if it runs, at the end of a case.
func (m *machine) kill() {
	m.closed.Store(true)
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.expected = true
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	select {
	case <-exited:
	case <-time.After(3 * time.Second):
	}
}

// leads reports whether a line of a process says that it leads from now on, or does so no more.
func leads(line string) (now, noMore bool) {
	return strings.Contains(line, `"this host leads"`), strings.Contains(line, `"this host no longer leads"`)
}

// waitReady waits until all machines are ready.
func waitReady(machines []*machine, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, m := range machines {
			if m.ready() {
				n++
			}
		}
		if n == len(machines) {
			return true
		}
	}
	return false
}
