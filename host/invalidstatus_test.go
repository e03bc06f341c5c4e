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

// oddReplica answers requests with odd responses, whose body is a signed response to the same request. It answers control
// requests properly.
type oddReplica struct {
	controls map[string]*replica.Replica
	// status is that of the responses, and response the index in replica.OddResponses.
	status   atomic.Value
	response atomic.Int64
	reached  atomic.Int64
}

func (o *oddReplica) serve(c *net.TCPConn, req *http.Request) bool {
	if replica.IsControl(req) {
		return o.controls[replica.ExpectedInstance(req)].Control(c, req) == nil
	}
	if strings.HasPrefix(req.URL.Path, "/resume/") && req.Header.Get("Last-Event-Id") == "" {
		_, _ = c.Write([]byte(framings[2].answer(req, streamType, brokenStream+"id: 3\nda")))
		return false
	}
	o.reached.Add(1)
	_, fields, _ := strings.Cut(replica.SignedHead(req, streamType), "\r\n")
	return replica.OddResponses(o.status.Load().(string), fields, replica.ForgedResponse(fields))[o.response.Load()].Send(c) //nolint:forcetypeassert // only strings are stored
}

// addOddReplicas starts an oddReplica and lists it as n upstreams of each service.
func (d *deployment) addOddReplicas(n int, services ...string) *oddReplica {
	o := &oddReplica{controls: map[string]*replica.Replica{}}
	raw, err := replica.ServeRaw(o.serve)
	require.NoError(d.t, err)
	d.t.Cleanup(raw.Close)
	for _, service := range services {
		for i := range n {
			id := fmt.Sprintf("%s%d", service, i)
			o.controls[id] = replica.New(replica.Options{ID: id, Model: "m", AdapterSlots: 2})
			d.tables.PutUpstream(id, tables.Upstream{Service: service, Address: raw.Address(), Slots: 8, StartedAt: 1, Model: "m"})
		}
	}
	return o
}

// Engines and plain services answer with an invalid status, and a body that is a signed response. Guards against callers that
// receive that body as a success, that wait until their deadline (504), or that are told that the request has not run.
func TestInvalidStatus_CallersGet502AtOnce(t *testing.T) {
	for kind, service := range map[string]string{"book": "app", "status": "app", "chat": "engines", "resume": "engines"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			odd := d.addOddReplicas(24, service) // each is avoided for a while after such a response
			h := d.addHost("h1")
			tries := 0
			for _, status := range replica.SampleStatuses() {
				for i, form := range replica.OddResponses(status, "", "") {
					odd.status.Store(status)
					odd.response.Store(int64(i))
					var got response
					for reached := odd.reached.Load(); odd.reached.Load() == reached; time.Sleep(5 * time.Millisecond) {
						tries++
						c := caller.Call{Method: http.MethodPost, Path: fmt.Sprintf("/%s/%d", kind, tries), Body: fmt.Sprint(tries), ID: fmt.Sprint(tries), Key: "key"}
						if service == "engines" {
							c.Model, c.Adapter, c.PromptTokens, c.OutputTokens = "m", "a1", 10, 10
						}
						got = h.send(c, nil)
					}
					require.NotContains(t, got.body, replica.ForgedBody, "%s, %s", status, form.Name)
					if kind == "resume" {
						require.Equal(t, brokenStream, got.body, "%s, %s", status, form.Name)
						require.Error(t, got.err, "the stream must not seem complete")
						continue
					}
					require.NoError(t, got.err)
					require.Equal(t, http.StatusBadGateway, got.status, "%s, %s: %s", status, form.Name, got.body)
				}
			}
		})
	}
}

// One of two upstreams answers with an invalid status. Guards against a request that may be repeated and is not.
func TestInvalidStatus_RepeatableRequestsAreServedElsewhere(t *testing.T) {
	d := newDeployment(t)
	odd := d.addOddReplicas(1, "app")
	odd.status.Store("000")
	d.addReplica("app", replica.Options{ID: "sound"})
	h := d.addHost("h1")
	for n := 0; odd.reached.Load() == 0; n++ {
		resp := h.request(http.MethodGet, fmt.Sprintf("/status/%d", n), "", nil)
		require.NoError(t, resp.err)
		require.Equal(t, http.StatusOK, resp.status, resp.body)
		require.Contains(t, resp.body, "answer of sound")
	}
}
