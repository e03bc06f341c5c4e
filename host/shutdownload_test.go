package host

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
)

// lossSlack is the time after its last byte within which a request that was not sent to an upstream may lose its connection:
// it crossed the close.
const lossSlack = 200 * time.Millisecond

// sentCall is one request of a load and what its caller received.
type sentCall struct {
	caller.Call
	sentAt, endedAt time.Time
	// status is 0 if no response header arrived. complete reports whether the whole response arrived.
	status   int
	complete bool
	// unread reports whether the connection was reset, as it is if the host closes it before it has read the request.
	unread bool
}

// callMix draws requests of all kinds: plain ones that may and may not be repeated, and streams that may and may not be
// resumed, for more adapters than the engine holds; with deadlines within and beyond the grace time.
type callMix struct {
	// name is the prefix of the requests' IDs. No request is sent once done is closed.
	name   string
	done   chan struct{}
	mu     sync.Mutex
	random *rand.Rand
	drawn  int
	ended  []sentCall
}

func newCallMix(name string, random *rand.Rand) *callMix {
	return &callMix{name: name, done: make(chan struct{}), random: random}
}

func (m *callMix) isDone() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// next returns a request and the pause before it.
func (m *callMix) next() (caller.Call, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drawn++
	c := caller.Call{Method: http.MethodPost, Key: "key", Body: "order", ID: fmt.Sprintf("%s%d", m.name, m.drawn)}
	c.Path = []string{"/book/", "/status/", "/chat/", "/resume/"}[m.random.IntN(4)] + c.ID
	if strings.HasPrefix(c.Path, "/chat/") || strings.HasPrefix(c.Path, "/resume/") {
		c.Model, c.Adapter, c.PromptTokens, c.OutputTokens = "m", fmt.Sprintf("a%d", m.random.IntN(6)), 100, 20
	}
	if m.random.IntN(2) == 0 {
		c.Timeout = time.Duration(1+m.random.IntN(4)) * time.Second
	}
	return c, time.Duration(m.random.IntN(int(300 * time.Millisecond)))
}

func (m *callMix) add(c sentCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = append(m.ended, c)
}

// callUntilClosed sends requests one after the other and keeps each connection for as long as the host lets it, until the
// host accepts no more connections or the load is done.
func (m *callMix) callUntilClosed(address string) {
	for !m.isDone() {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return
		}
		for reader := bufio.NewReader(conn); m.callOnce(conn, reader, address); {
		}
		_ = conn.Close()
	}
}

// callOnce sends one request over a connection and reports whether the connection can be used again.
func (m *callMix) callOnce(conn net.Conn, reader *bufio.Reader, address string) bool {
	c, pause := m.next()
	time.Sleep(pause)
	if m.isDone() {
		return false
	}
	req, err := c.Request(context.Background(), address)
	if err != nil {
		return false
	}
	call := sentCall{Call: c, sentAt: time.Now()}
	if err := req.Write(conn); err != nil {
		return false // the host had closed the connection
	}
	resp, err := http.ReadResponse(reader, req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		call.status, call.complete = resp.StatusCode, err == nil
	}
	call.endedAt, call.unread = time.Now(), errors.Is(err, syscall.ECONNRESET)
	m.add(call)
	return err == nil && !resp.Close
}

// broken returns the promise that the host has broken with a request, "" for none. Runs is how often upstreams have begun to
// run it.
func (c *sentCall) broken(stoppedAt time.Time, grace time.Duration, runs int) string {
	deadline := 20 * time.Second
	if c.Timeout > 0 {
		deadline = c.Timeout
	}
	began := c.status == http.StatusOK
	tolerated := began && c.sentAt.Sub(stoppedAt) <= 3*time.Second && c.endedAt.Sub(stoppedAt) >= grace*5/6
	switch {
	case runs > 1 && !strings.HasPrefix(c.Path, "/status/") && !strings.HasPrefix(c.Path, "/resume/"):
		return "it ran twice"
	case runs > 0 && (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests):
		return "it was refused as not run, and had run"
	case c.complete || began && c.endedAt.Sub(c.sentAt) >= deadline || tolerated:
		return ""
	case runs > 0:
		return "it ran, and its connection was closed without a complete answer"
	case !c.unread && c.endedAt.Sub(c.sentAt) > lossSlack:
		return "its connection was closed without an answer"
	}
	return ""
}

// A host is stopped, as the leader or as a follower, under requests of all kinds on kept and on new connections. Signals, a
// reload and configurations come in the same seconds. Each request must get an accurate answer, on the host that stays too.
func TestDrain_AnswersEveryRequestUnderMixedLoad(t *testing.T) {
	for seed, grace := range []time.Duration{3 * time.Second, 8 * time.Second} {
		for _, stopped := range []string{"leader", "follower"} {
			t.Run(grace.String()+"/"+stopped, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.grace, d.directoryTTL = grace, 2*time.Second
				for i, after := range []time.Duration{300 * time.Millisecond, grace, grace} {
					d.addReplica("app", replica.Options{ID: fmt.Sprintf("p%d", i), AnswerAfter: after})
				}
				d.addReplica("engines", replica.Options{ID: "e1", Model: "m", AdapterSlots: 2, Events: 20, EventPause: grace / 60})
				d.addReplica("engines", replica.Options{ID: "e2", Model: "m", AdapterSlots: 2, Events: 20, EventPause: grace / 30})
				hosts := map[string]*runningHost{"leader": d.addHost("h1"), "follower": d.addHost("h2")}
				h := hosts[stopped]
				stays := hosts["leader"]
				if stopped == "leader" {
					stays = hosts["follower"]
				}
				random := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(seed), n)) }
				mix, other := newCallMix("c", random(uint64(len(stopped)))), newCallMix("o", random(99))
				var callers sync.WaitGroup
				for range 40 {
					callers.Go(func() { mix.callUntilClosed(h.settings.Listen.Callers) })
				}
				for range 12 {
					callers.Go(func() { other.callUntilClosed(stays.settings.Listen.Callers) })
				}
				time.Sleep(500 * time.Millisecond)
				h.Drain()
				stoppedAt := time.Now()
				for range 4 {
					time.Sleep(grace / 8)
					h.Drain()
					h.Reload(filepath.Join(t.TempDir(), "missing"))
					d.putKey("key")
				}
				require.NoError(t, <-h.done)
				h.done <- nil
				require.Less(t, time.Since(stoppedAt), grace)
				close(other.done)
				callers.Wait()

				runs := map[string]int{}
				for _, r := range d.replicas {
					for _, received := range r.Requests() {
						if received.Executed {
							runs[received.AttemptID()]++
						}
					}
				}
				statuses := map[int]int{}
				for _, c := range mix.ended {
					statuses[c.status]++
					if promise := c.broken(stoppedAt, grace, runs[c.ID]); promise != "" {
						t.Errorf("%s: %s; sent %s after the stop, ended after %s, status %d, runs %d", c.Path, promise,
							c.sentAt.Sub(stoppedAt), c.endedAt.Sub(c.sentAt), c.status, runs[c.ID])
					}
				}
				for _, c := range other.ended { // nothing is tolerated on the host that stays
					if promise := c.broken(c.endedAt, grace, runs[c.ID]); promise != "" {
						t.Errorf("%s on the other host: %s; ended after %s, status %d, runs %d", c.Path, promise, c.endedAt.Sub(c.sentAt), c.status, runs[c.ID])
					}
				}
				t.Logf("answers by status: %v; %d on the other host", statuses, len(other.ended))
				require.Positive(t, statuses[http.StatusOK])
				require.Positive(t, statuses[http.StatusServiceUnavailable])
				require.Positive(t, statuses[http.StatusBadGateway])
			})
		}
	}
}
