package host

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

// sendHTTP10 sends a request in HTTP/1.0. It returns an error unless the response is complete as far as its caller can tell: the
// body has the stated length, or the connection ends without an error.
func (r *runningHost) sendHTTP10(c caller.Call) (*http.Response, string, error) {
	req, err := c.Request(context.Background(), r.settings.Listen.Callers)
	if err != nil {
		return nil, "", err
	}
	conn, err := net.Dial("tcp", r.settings.Listen.Callers)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = conn.Close() }()
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", c.Method, c.Path, req.Host, len(c.Body))
	if err := req.Header.Write(&head); err != nil {
		return nil, "", err
	}
	if _, err := io.WriteString(conn, head.String()+"\r\n"+c.Body); err != nil {
		return nil, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// ending is how a replica ends the connection of a response.
type ending struct {
	name string
	// part is how many bytes of the body are sent, -1 for the whole response.
	part  int
	reset bool
}

var endings = []ending{
	{"300 KB, closed", 300_000, false},
	{"300 KB, reset", 300_000, true},
	{"600 KB, closed", 600_000, false},
	{"600 KB, reset", 600_000, true},
	{"whole", -1, false},
}

// answer sends a response of the framing with the body, as far as the ending says.
func (e ending) answer(c *net.TCPConn, req *http.Request, f framing, contentType, body string) {
	response := f.answer(req, contentType, body)
	if e.part >= 0 {
		response = response[:strings.Index(response, "\r\n\r\n")+4+e.part]
	}
	_, _ = io.WriteString(c, response)
	if e.reset {
		time.Sleep(20 * time.Millisecond) // a reset drops what the other side has not read
		_ = c.SetLinger(0)
	}
}

// addRawReplicas adds replicas to a service whose answers to requests are written by answer. They are so many that tries requests in
// turn find one that was not avoided for a response that broke off.
func (d *deployment) addRawReplicas(service string, tries int, answer func(c *net.TCPConn, req *http.Request)) {
	controls := map[string]*replica.Replica{}
	raw, err := replica.ServeRaw(func(c *net.TCPConn, req *http.Request) bool {
		if replica.IsControl(req) {
			return controls[replica.ExpectedInstance(req)].Control(c, req) == nil
		}
		answer(c, req)
		return false
	})
	require.NoError(d.t, err)
	d.t.Cleanup(raw.Close)
	for i := range 2 * tries {
		id := fmt.Sprintf("u%d", i)
		controls[id] = replica.New(replica.Options{ID: id, Model: "m", AdapterSlots: 2})
		d.tables.PutUpstream(id, tables.Upstream{Service: service, Address: raw.Address(), Slots: 8, StartedAt: 1, Model: "m"})
	}
}

// generation returns a call of a route whose requests an engine serves.
func generation(path, id string) caller.Call {
	return caller.Call{Method: http.MethodPost, Path: path, ID: id, Key: "key", Model: "m", Adapter: "a1", PromptTokens: 10, OutputTokens: 10}
}

// Replicas break off answers that are too long to be buffered. HTTP/1.0 has no chunks, so that a body without a length ends with the
// connection. Guards against callers that receive a part as a complete answer, and against callers that miss the end of a whole one.
func TestHTTP10Caller_PartNeverLooksComplete(t *testing.T) {
	const tries = 3
	for kind, service := range services {
		for _, f := range framings {
			for _, e := range endings {
				if f.endsWithConnection && e.part >= 0 && !e.reset {
					continue // as the replica sends it, the part is the whole answer
				}
				for upload, size := range map[string]int{"": 0, ", upload": 900_000} {
					t.Run(kind+"/"+f.name+"/"+e.name+upload, func(t *testing.T) {
						t.Parallel()
						d := newDeployment(t)
						d.config.Limits.MaxBodyBytes = 1_000_000
						d.putKey("key")
						body, contentType := strings.Repeat("x", 900_000), plainType
						if service == "engines" {
							body, contentType = strings.ReplaceAll(streamBody(1, 300), "event", strings.Repeat("x", 3000)), streamType
						}
						var reached atomic.Int64
						d.addRawReplicas(service, tries, func(c *net.TCPConn, req *http.Request) {
							reached.Add(1)
							e.answer(c, req, f, contentType, body)
						})
						h := d.addHost("h1")
						for i, sent := 0, 0; i < tries; sent++ {
							c := generation(fmt.Sprintf("/%s/%d", kind, sent), fmt.Sprint(sent))
							if service == "app" {
								c.Model, c.Adapter = "", ""
							}
							c.Body = strings.Repeat("u", size)
							before := reached.Load()
							resp, got, err := h.sendHTTP10(c)
							if reached.Load() == before {
								time.Sleep(5 * time.Millisecond)
								continue
							}
							i++
							if e.part < 0 {
								require.NoError(t, err)
								require.Equal(t, http.StatusOK, resp.StatusCode)
								require.Equal(t, body, got)
								continue
							}
							require.True(t, err != nil || resp.StatusCode >= http.StatusInternalServerError, "%d bytes with status 200 look complete", len(got))
						}
					})
				}
			}
		}
	}
}

// A host is stopped while a response of unknown length is being relayed. Guards against a caller of HTTP/1.0 that
// receives the part before that as a complete answer.
func TestHTTP10Caller_HostEndsMidway(t *testing.T) {
	d := newDeployment(t)
	d.grace = 2 * time.Second
	begun := make(chan struct{}, 1)
	d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 2, Events: 1 << 20, EventPause: 5 * time.Millisecond})
	h := d.addHost("h1")
	result := make(chan error, 1)
	go func() {
		begun <- struct{}{}
		resp, _, err := h.sendHTTP10(generation("/chat/1", "1"))
		if err == nil && resp.StatusCode != http.StatusOK {
			err = errors.New(resp.Status)
		}
		result <- err
	}()
	<-begun
	require.Eventually(t, func() bool { return len(d.replicas["e1"].Requests()) == 1 }, testTimeout, 5*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	h.Drain()
	require.Error(t, <-result)
}
