package intake_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/platform"
	"github.com/jasminelock/jasminelock/standin/service"
	"github.com/jasminelock/jasminelock/standin/tables"
	"github.com/jasminelock/jasminelock/store"
)

const tcpEstablished = 1

func tcpState(fd uintptr) (uint8, error) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return info.State, nil
}

// program is a running host of one of the two fronts.
type program struct {
	process *os.Process
	exited  chan struct{}
	log     string
	// address is where callers connect, path the beginning of the path of a plain request, and header the header lines that
	// it needs; ID stands for the id of the attempt.
	address, path, header string
	readyURL              string
}

// build builds the two programs once for a test.
func build(t *testing.T) string {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/jasminelock-entry", "../cmd/jasminelockd").CombinedOutput()
	require.NoError(t, err, string(out))
	return dir
}

// reservedAddresses returns n addresses on loopback that are kept for listeners until the end of the test.
func reservedAddresses(t *testing.T, n int) []string {
	var all []string
	for range n {
		port, err := standin.ReservePort()
		require.NoError(t, err)
		t.Cleanup(port.Release)
		all = append(all, port.Address())
	}
	return all
}

// answer is the behaviour of the upstreams: a large response, a stream that goes on until its connection ends, or a receipt.
func answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	switch {
	case strings.HasSuffix(r.URL.Path, "large"):
		w.Header().Set("Content-Length", strconv.Itoa(largeBytes))
		for range largeBytes / (64 << 10) {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	case strings.HasSuffix(r.URL.Path, "stream"):
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; ; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("d", 2000)); err != nil {
				return
			}
			if http.NewResponseController(w).Flush() != nil {
				return
			}
		}
	default:
		_, _ = io.WriteString(w, `{"number":1}`)
	}
}

// largeBytes is the size of a large response.
const largeBytes = 2 << 20

// startEntry starts jasminelock-entry with a store and a plain replica.
func startEntry(t *testing.T, bin string, g clientGroup) *program {
	store := tables.New()
	storeServer, err := standin.Serve("127.0.0.1:0", store)
	require.NoError(t, err)
	t.Cleanup(storeServer.Close)
	replica, err := standin.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(caller.HeaderAttempt, r.Header.Get(caller.HeaderAttempt))
		w.Header().Set(caller.HeaderSignature, "s")
		answer(w, r)
	}))
	require.NoError(t, err)
	t.Cleanup(replica.Close)
	route := func(name, kind string) tables.Route {
		return tables.Route{
			Name: name, HostName: caller.HostName, Prefix: "/" + name, Kind: kind, Service: "app",
			TimeoutMS: 60000, TargetMS: 1000, MaxAttempts: 2, Open: true,
		}
	}
	store.PutConfig(tables.Config{
		Version: 1, Routes: []tables.Route{route("status/stream", "streaming"), route("status/", "safe")},
		Services: []tables.Service{{Name: "app"}}, Limits: tables.Limits{MaxBodyBytes: maxBodyBytes},
		Organisations: []tables.Organisation{{Name: "org", Keys: []string{"key"}, PlainTokens: 1, TokensPerSecond: 1e6, BurstTokens: 1e6}},
	})
	store.PutUpstream("p", tables.Upstream{Service: "app", Address: replica.URL[len("http://"):], Slots: 1000, StartedAt: 1})
	a := reservedAddresses(t, 5)
	text := fmt.Sprintf(`{
  "host": "h", "zone": "z", "store": %q, "memory_mb": %d, "cores": 1, "grace": "8s", %s
  "listen": {"callers": %q, "readiness": %q, "directory": %q, "peers": %q, "metrics": %q},
  "fleet": {"retry_ratio": 0.2, "retry_slack": 50, "rate_window": "8s", "fenced": true, "holder_pause": "3s",
            "config_within": "2s", "drain_within": "2s", "answer_life": "1s"},
  "log": {"level": "error", "json": true},
}`, storeServer.URL[len("http://"):], g.memoryMB, limitsText(g, false), a[0], a[1], a[2], a[3], a[4])
	p := startProgram(t, filepath.Join(bin, "jasminelock-entry"), text)
	p.address, p.path, p.readyURL = a[0], "/status/", caller.ReadyURL(a[1])
	p.header = "Host: " + caller.HostName + "\r\n" + caller.HeaderAttempt + ": ID\r\n" +
		caller.HeaderKey + ": " + caller.KeyHeaderValue("key") + "\r\n"
	p.awaitReady(t)
	return p
}

// daemonPath is the beginning of the path of a plain request to jasminelockd.
const daemonPath = "/stock/"

// startDaemon starts jasminelockd with the platform and a plain service.
func startDaemon(t *testing.T, bin string, g clientGroup) *program {
	platformServer, err := standin.Serve("127.0.0.1:0", platform.New())
	require.NoError(t, err)
	t.Cleanup(platformServer.Close)
	plain := service.New(0)
	serviceServer, err := standin.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/stock") {
			plain.ServeHTTP(w, r)
			return
		}
		answer(w, r)
	}))
	require.NoError(t, err)
	t.Cleanup(serviceServer.Close)
	envelope := func(kind record.Kind, name string, spec map[string]any) record.Envelope {
		raw, err := json.Marshal(spec)
		require.NoError(t, err)
		return record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: raw}
	}
	_, err = configstore.Write(context.Background(), store.NewClient(platformServer.URL, store.DefaultTimeout), configstore.Change{
		Operation: uuid.NewString(), Operator: "test", Time: "2026-12-06T00:00:00Z", Records: []record.Envelope{
			envelope(record.KindRoute, "stock", map[string]any{"prefix": "/stock", "pool": "p", "open": true, "repeatable": true, "timeout": "60s"}),
			envelope(record.KindUpstream, "s", map[string]any{"class": record.ClassService, "url": serviceServer.URL, "zone": "z", "pool": "p"}),
		},
	})
	require.NoError(t, err)
	a := reservedAddresses(t, 2)
	text := fmt.Sprintf(`{
  "host": "h", "zone": "z", %s
  "listen": {"callers": %q, "operators": %q},
  "platform": {"url": %q, "poll_interval": "100ms"}, "fleet": {"hosts": 1},
  "requests": {"max_body_bytes": %d}, "log": {"level": "error"},
}`, limitsText(g, true), a[0], a[1], platformServer.URL, maxBodyBytes)
	p := startProgram(t, filepath.Join(bin, "jasminelockd"), text)
	p.address, p.path, p.readyURL, p.header = a[0], daemonPath, "http://"+a[0]+"/readyz", "Host: x\r\n"
	p.awaitReady(t)
	return p
}

// limitsText returns the settings of the limits. Memory_mb of jasminelock-entry is set elsewhere.
func limitsText(g clientGroup, withMemory bool) string {
	text := fmt.Sprintf(`"descriptors": %d,`, g.descriptors)
	if withMemory {
		text += fmt.Sprintf(` "memory_mb": %d,`, g.memoryMB)
	}
	return text
}

func startProgram(t *testing.T, path, text string) *program {
	dir := t.TempDir()
	file := filepath.Join(dir, "host.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	p := &program{exited: make(chan struct{}), log: filepath.Join(dir, "log")}
	out, err := os.Create(p.log)
	require.NoError(t, err)
	cmd := exec.Command(path, "--config", file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	require.NoError(t, cmd.Start())
	p.process = cmd.Process
	go func() { _ = cmd.Wait(); _ = out.Close(); close(p.exited) }()
	t.Cleanup(func() { _ = cmd.Process.Signal(syscall.SIGKILL); <-p.exited })
	return p
}

// testTimeout is how long a condition is waited for. It is long, so that only a condition that never holds fails a test.
const testTimeout = 30 * time.Second

func (p *program) awaitReady(t *testing.T) {
	require.Eventually(t, func() bool {
		resp, err := http.Get(p.readyURL)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, testTimeout, 20*time.Millisecond, "not ready: %s", p.readLog())
	require.Eventually(t, func() bool { return p.ordinaryRequest() == nil }, testTimeout, 50*time.Millisecond, "serves nothing: %s", p.readLog())
}

func (p *program) readLog() string {
	raw, _ := os.ReadFile(p.log)
	return string(raw[max(0, len(raw)-4000):])
}

// ordinaryRequest sends a request with a body of 14 KB on a new connection.
func (p *program) ordinaryRequest() error {
	c, err := net.DialTimeout("tcp", p.address, 5*time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	header := strings.ReplaceAll(p.header, "ID", "o"+strconv.FormatInt(attempts.Add(1), 10))
	body := strings.Repeat("o", 14<<10)
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d%s%s", requestLine("POST", p.path, header), len(body), headEnd, body); err != nil {
		return err
	}
	raw := make([]byte, 1024)
	n, err := io.ReadAtLeast(c, raw, 12)
	if err != nil || !bytes.HasPrefix(raw, []byte("HTTP/1.1 200")) {
		return fmt.Errorf("answered %q, error %v", raw[:n], err) //nolint:errorlint // the error may be nil
	}
	return nil
}

// usage returns the peak of the resident memory of the process since its start, in MB, and the number of its open descriptors.
func (p *program) usage() (peakMB, descriptors int, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.process.Pid))
	if err != nil {
		return 0, 0, err
	}
	_, line, found := strings.Cut(string(raw), "VmHWM:")
	if !found {
		return 0, 0, fmt.Errorf("process %d has ended", p.process.Pid)
	}
	kilobytes, err := strconv.Atoi(strings.Fields(line)[0])
	if err != nil {
		return 0, 0, err
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.process.Pid))
	return kilobytes >> 10, len(files), err
}
