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

// oddReplica answers requests with odd responses. It answers control requests properly.
type oddReplica struct {
	controls map[string]*replica.Replica
	// response returns the response to a request with the lines that sign it.
	response atomic.Pointer[func(signature string) replica.OddResponse]
	// reached counts the requests that have reached the replica, sent those that callers have sent to reach it.
	reached, sent atomic.Int64
}

// answerWith sets the responses of the replica.
func (o *oddReplica) answerWith(response func(signature string) replica.OddResponse) {
	o.response.Store(&response)
}

// invalidStatus returns responses with the status of the form at an index of replica.OddResponses, whose body is a signed response
// to the same request.
func invalidStatus(status string, form int) func(signature string) replica.OddResponse {
	return func(signature string) replica.OddResponse {
		return replica.OddResponses(status, signature, replica.ForgedResponse(signature))[form]
	}
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
	_, signature, _ := strings.Cut(replica.SignedHead(req, streamType), "\r\n")
	return (*o.response.Load())(signature).Send(c)
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

// mustReach sends requests of a kind until one has reached the replica, and returns the response to that.
func (r *runningHost) mustReach(odd *oddReplica, kind string, toEngine bool) response {
	for reached := odd.reached.Load(); ; time.Sleep(5 * time.Millisecond) {
		n := odd.sent.Add(1)
		c := caller.Call{Method: http.MethodPost, Path: fmt.Sprintf("/%s/%d", kind, n), Body: fmt.Sprint(n), ID: fmt.Sprint(n), Key: "key"}
		if toEngine {
			c.Model, c.Adapter, c.PromptTokens, c.OutputTokens = "m", "a1", 10, 10
		}
		if got := r.send(c, nil); odd.reached.Load() > reached {
			return got
		}
	}
}

// services maps the kinds of routes to their services.
var services = map[string]string{"book": "app", "status": "app", "chat": "engines", "resume": "engines"}

// forEachKind runs a test for each kind of route, with a host whose upstreams are odd replicas. It passes a function that calls
// mustReach for that kind.
func forEachKind(t *testing.T, test func(t *testing.T, odd *oddReplica, kind string, mustReach func() response)) {
	for kind, service := range services {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			odd := d.addOddReplicas(24, service) // each is avoided for a while after such a response
			h := d.addHost("h1")
			test(t, odd, kind, func() response { return h.mustReach(odd, kind, service == "engines") })
		})
	}
}

// Engines and plain services answer with an invalid status, and a body that is a signed response. Guards against callers that
// receive that body as a success, that wait until their deadline (504), or that are told that the request has not run.
func TestInvalidStatus_CallersGet502AtOnce(t *testing.T) {
	forEachKind(t, func(t *testing.T, odd *oddReplica, kind string, mustReach func() response) {
		for _, status := range replica.SampleStatuses() {
			for i, form := range replica.OddResponses(status, "", "") {
				odd.answerWith(invalidStatus(status, i))
				got := mustReach()
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

// One of two upstreams answers with an invalid status. Guards against a request that may be repeated and is not.
func TestInvalidStatus_RepeatableRequestsAreServedElsewhere(t *testing.T) {
	d := newDeployment(t)
	odd := d.addOddReplicas(1, "app")
	odd.answerWith(invalidStatus("000", 0))
	d.addReplica("app", replica.Options{ID: "sound"})
	h := d.addHost("h1")
	for n := 0; odd.reached.Load() == 0; n++ {
		resp := h.request(http.MethodGet, fmt.Sprintf("/status/%d", n), "", nil)
		require.NoError(t, resp.err)
		require.Equal(t, http.StatusOK, resp.status, resp.body)
		require.Contains(t, resp.body, "answer of sound")
	}
}

// Engines and plain services answer with a line in a head or a trailer that is no field. Guards against callers that receive the
// response, that line, or a body that is not that of the upstream.
func TestInvalidField_CallersGetNoSuccess(t *testing.T) {
	forEachKind(t, func(t *testing.T, odd *oddReplica, kind string, mustReach func() response) {
		for _, line := range replica.SampleFieldLines() {
			for i, form := range replica.FieldResponses(line, "", "") {
				name := fmt.Sprintf("%q, %s", line, form.Name)
				odd.answerWith(func(signature string) replica.OddResponse {
					return replica.FieldResponses(line, signature, streamBody(3, 4))[i]
				})
				got := mustReach()
				if kind == "resume" || kind == "chat" && form.IsTrailer() {
					require.Error(t, got.err, "%s: the stream must not seem complete", name)
					continue
				}
				require.NoError(t, got.err, name)
				require.Equal(t, http.StatusBadGateway, got.status, "%s: %s", name, got.body)
				for field := range got.header {
					require.NotContains(t, field, " ", name)
				}
			}
		}
	})
}
