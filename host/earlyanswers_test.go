package host

import (
	"bytes"
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

// Replicas answer a long upload at once, without a length, and the connection ends while the upload is being written. Guards
// against callers that receive the part before a reset as a complete answer, and against callers that do not receive an answer
// that ends with a clean close.
func TestEarlyAnswers_ResetsNeverLookComplete(t *testing.T) {
	const tries = 12
	upload := strings.Repeat("x", 900_000)
	for kind, service := range services {
		for _, early := range replica.EarlyEnds() {
			t.Run(kind+"/"+early.Name, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.config.Limits.MaxBodyBytes = 2 * len(upload)
				d.putKey("key")
				body, contentType := "part", plainType
				if service == "engines" {
					body, contentType = streamBody(1, 2), streamType
				}
				controls := map[string]*replica.Replica{}
				var reached atomic.Int64
				raw, err := replica.ServeEarly(func(c *net.TCPConn, req *http.Request) bool {
					if replica.IsControl(req) {
						order, err := io.ReadAll(req.Body)
						req.Body = io.NopCloser(bytes.NewReader(order))
						return err == nil && controls[replica.ExpectedInstance(req)].Control(c, req) == nil
					}
					reached.Add(1)
					_, _ = io.WriteString(c, replica.SignedHead(req, contentType)+"\r\n"+body)
					early.End(c, req)
					return false
				})
				require.NoError(t, err)
				t.Cleanup(raw.Close)
				for i := range 2 * tries { // each is avoided for a while after an answer that broke off
					id := fmt.Sprintf("u%d", i)
					controls[id] = replica.New(replica.Options{ID: id, Model: "m", AdapterSlots: 2})
					d.tables.PutUpstream(id, tables.Upstream{Service: service, Address: raw.Address(), Slots: 8, StartedAt: 1, Model: "m"})
				}
				h := d.addHost("h1")
				complete, sent := 0, 0
				for range tries {
					var got response
					for before := reached.Load(); reached.Load() == before; time.Sleep(5 * time.Millisecond) {
						sent++
						c := caller.Call{Method: http.MethodPost, Path: fmt.Sprintf("/%s/%d", kind, sent), Body: upload, ID: fmt.Sprint(sent), Key: "key"}
						if service == "engines" {
							c.Model, c.Adapter, c.PromptTokens, c.OutputTokens = "m", "a1", 10, 10
						}
						got = h.send(c, nil)
					}
					if got.err == nil && got.status < http.StatusMultipleChoices {
						complete++
						require.Equal(t, body, got.body)
					}
				}
				require.Equal(t, early.CompleteOf(tries), complete, "delivered as complete")
			})
		}
	}
}
