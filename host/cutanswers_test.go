package host

import (
	"fmt"
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

// framing is how the end of an answer's body is marked.
type framing struct {
	name string
	// answer returns the whole answer to a request.
	answer func(r *http.Request, contentType, body string) string
	// endsWithConnection is set if only the end of the connection marks the end of the body.
	endsWithConnection bool
}

var framings = []framing{
	{"length", func(r *http.Request, contentType, body string) string {
		return replica.SignedHead(r, contentType) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}, false},
	{"chunks", func(r *http.Request, contentType, body string) string {
		half := len(body) / 2
		return replica.SignedHead(r, contentType) + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			half, body[:half], len(body)-half, body[half:])
	}, false},
	{"neither", func(r *http.Request, contentType, body string) string {
		return replica.SignedHead(r, contentType) + "\r\n" + body
	}, true},
	{"interim answer first", func(r *http.Request, contentType, body string) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + replica.SignedHead(r, contentType) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}, false},
}

// cutReplica is a replica that ends each answer after a number of bytes.
type cutReplica struct {
	framing     framing
	contentType string
	body        string
	// after is the number of bytes that are sent, reset whether the connection is then reset, not closed.
	after atomic.Int64
	reset atomic.Bool
	// reached counts the requests, complete is set if the last answer was sent whole.
	reached  atomic.Int64
	complete atomic.Bool
	length   atomic.Int64
}

func (r *cutReplica) serve(c *net.TCPConn, req *http.Request) bool {
	answer := r.framing.answer(req, r.contentType, r.body)
	after := min(int(r.after.Load()), len(answer))
	r.reached.Add(1)
	r.length.Store(int64(len(answer)))
	head := strings.Index(answer, "\r\n\r\n") + 4
	if r.framing.endsWithConnection && !r.reset.Load() && after >= head {
		// The host cannot tell a shorter body from the whole one, unless it ends inside an event.
		wholeEvents := after > head && strings.HasSuffix(answer[:after], "\n\n")
		r.complete.Store(r.contentType != streamType || wholeEvents)
	} else {
		r.complete.Store(after == len(answer))
	}
	_, _ = c.Write([]byte(answer[:after]))
	if r.reset.Load() {
		time.Sleep(time.Millisecond) // a reset drops what the other side has not read
		_ = c.SetLinger(0)
	}
	return false
}

const (
	streamType = "text/event-stream"
	plainType  = "text/plain"
)

// streamBody returns the events of a stream from first to last.
func streamBody(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

// A replica breaks off its answer after any number of bytes, in the head too, by closing or by resetting the connection. No
// caller may get a whole answer with a status of success, unless the answer was whole. Reported by another operator; it could
// not be shown here.
func TestAnswersThatBreakOff_NeverLookComplete(t *testing.T) {
	for _, kind := range []string{"book", "chat", "resume"} {
		for _, f := range framings {
			t.Run(kind+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				r := &cutReplica{framing: f, contentType: plainType, body: "order 17"}
				controls := map[string]*replica.Replica{}
				if kind != "book" {
					r.contentType, r.body = streamType, streamBody(3, 5)
				}
				raw, err := replica.ServeRaw(func(c *net.TCPConn, req *http.Request) bool {
					if replica.IsControl(req) {
						return controls[replica.ExpectedInstance(req)].Control(c, req) == nil
					}
					if kind == "resume" && req.Header.Get("Last-Event-Id") == "" {
						// The stream breaks off, and is resumed with an answer that does, too.
						_, _ = c.Write([]byte(framings[2].answer(req, streamType, streamBody(1, 2)+"id: 3\nda")))
						return false
					}
					return r.serve(c, req)
				})
				require.NoError(t, err)
				t.Cleanup(raw.Close)
				service := map[string]string{"book": "app", "chat": "engines", "resume": "engines"}[kind]
				for i := range 16 { // each is avoided for a while after answers that broke off
					id := fmt.Sprintf("u%d", i)
					controls[id] = replica.New(replica.Options{ID: id, Model: "m", AdapterSlots: 2})
					d.tables.PutUpstream(id, tables.Upstream{Service: service, Address: raw.Address(), Slots: 8, StartedAt: 1, Model: "m"})
				}
				h := d.addHost("h1")
				tries := 0
				// try returns the answer to a request that has reached the replica. The host refuses requests for a
				// while after answers that broke off.
				try := func() response {
					for {
						tries++
						c := caller.Call{Method: http.MethodPost, Path: fmt.Sprintf("/%s/%d", kind, tries), Body: fmt.Sprint(tries), ID: fmt.Sprint(tries), Key: "key"}
						if kind != "book" {
							c.Model, c.Adapter, c.PromptTokens, c.OutputTokens = "m", "a1", 10, 10
						}
						before := r.reached.Load()
						if resp := h.send(c, nil); r.reached.Load() > before {
							return resp
						}
						time.Sleep(5 * time.Millisecond)
					}
				}
				r.after.Store(1 << 20)
				require.Equal(t, http.StatusOK, try().status)
				step := int64(1)
				if kind == "resume" {
					step = 7 // each try waits until a replica is used again
				}
				for _, reset := range []bool{false, true} {
					for after := int64(0); after < r.length.Load(); after += step {
						r.reset.Store(reset)
						r.after.Store(after)
						resp := try()
						if resp.err == nil && resp.status < http.StatusMultipleChoices && !r.complete.Load() {
							t.Errorf("cut after %d bytes, reset %t: status %d, complete, body %q", after, reset, resp.status, resp.body)
						}
						r.reset.Store(false)
						r.after.Store(1 << 20)
						try()
					}
				}
				t.Logf("%d requests, %d reached the replica", tries, r.reached.Load())
			})
		}
	}
}
