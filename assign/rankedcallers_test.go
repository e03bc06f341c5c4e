package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/throttle"
)

// loopCaller sends requests in a loop. After a refusal it waits for Retry-After, but for no more than a third of the
// time that it has left, and sends the request again.
type loopCaller struct {
	next     time.Time
	deadline time.Time
	id       RequestID
	waiting  bool
	priority int
}

// callerLoop drives callers against a plain service.
type callerLoop struct {
	w       *simulation
	callers []*loopCaller
	timeout time.Duration
	// organisations is the number of organisations that the requests are of, in turn.
	organisations int
	number        uint64
	ended         map[RequestID]bool
	// refusedAfter holds, for each refusal, the time since the request was sent, and rules its rule.
	refusedAfter []time.Duration
	rules        []string
	served       int
	// upstreams holds the times of the grants of each upstream.
	upstreams map[string][]time.Time
}

func newCallerLoop(w *simulation, n, organisations int, timeout time.Duration) *callerLoop {
	random := rand.New(rand.NewPCG(7, 7))
	c := &callerLoop{w: w, organisations: organisations, timeout: timeout, ended: map[RequestID]bool{}, upstreams: map[string][]time.Time{}}
	for range n {
		c.callers = append(c.callers, &loopCaller{next: w.now.Add(time.Duration(random.Int64N(int64(time.Second))))})
	}
	return c
}

// run advances the time, and has all callers send and receive.
func (c *callerLoop) run(d time.Duration) {
	w := c.w
	for end := w.now.Add(d); w.now.Before(end); w.run(time.Millisecond) {
		for _, caller := range c.callers {
			if caller.waiting {
				c.receive(caller)
			}
			if !caller.waiting && !caller.next.After(w.now) {
				c.send(caller)
			}
		}
	}
}

func (c *callerLoop) send(caller *loopCaller) {
	w := c.w
	if caller.deadline.Sub(w.now) < c.timeout/4 {
		caller.deadline = w.now.Add(c.timeout)
	}
	c.number++
	caller.waiting = true
	caller.id = w.submitPlain(c.number, func(r *Request) {
		r.Organisation, r.Priority = "org"+strconv.Itoa(int(c.number)%c.organisations), caller.priority
		r.Target, r.Deadline = w.now.Add(time.Second), caller.deadline
	})
	c.receive(caller)
}

func (c *callerLoop) receive(caller *loopCaller) {
	w := c.w
	if r, ok := w.refused[caller.id]; ok {
		caller.waiting = false
		c.refusedAfter = append(c.refusedAfter, w.now.Sub(w.submittedAt[caller.id]))
		c.rules = append(c.rules, r.Rule)
		caller.next = w.now.Add(min(r.RetryAfter, caller.deadline.Sub(w.now)/3))
		return
	}
	if g, ok := w.granted[caller.id]; ok {
		caller.waiting = false
		c.served++
		c.upstreams[g.Upstream] = append(c.upstreams[g.Upstream], w.now)
		caller.next, caller.deadline = w.now.Add(simPlainTime), time.Time{}
		id := caller.id
		w.schedule(simPlainTime, func() { w.handle(AttemptEnded{ID: id, Outcome: Completed}) })
	}
}

// 40 callers send requests in a loop to upstreams that state 2.5 requests/s each. Guards against callers that wait for
// a refusal, against capacity that is not used, and against upstreams that stay unused after their limits have ended.
func TestRanked_CallersInALoop(t *testing.T) {
	for _, c := range []struct{ upstreams, organisations int }{{2, 1}, {4, 1}, {8, 1}, {2, 3}, {4, 3}, {8, 3}} {
		upstreams := c.upstreams
		t.Run(fmt.Sprintf("%d upstreams, %d organisations", upstreams, c.organisations), func(t *testing.T) {
			w := newRankedSimulation(t, 1, 1, "a")
			var ids []string
			for i := range upstreams {
				ids = append(ids, "p"+strconv.Itoa(i))
			}
			w.addPlain(ids...)
			for _, id := range ids {
				w.limitRate(id, 2.5)
			}
			c := newCallerLoop(w, 40, c.organisations, 3*time.Second)
			const d = 20 * time.Second
			c.run(d)
			atOnce, slow := 0, 0
			for i, after := range c.refusedAfter {
				if after <= 100*time.Millisecond {
					atOnce++
				}
				if after > time.Second && c.rules[i] != Displaced {
					slow++
				}
			}
			t.Logf("%d served, %d refused, %d of them within 100 ms, %d after 1 s", c.served, len(c.refusedAfter), atOnce, slow)
			require.GreaterOrEqual(t, float64(atOnce), 0.95*float64(len(c.refusedAfter)))
			require.Zero(t, slow)
			require.Greater(t, float64(c.served), 0.95*2.5*float64(upstreams)*d.Seconds())

			for _, id := range ids {
				w.handle(RateLimitEnded{Upstream: throttle.Incarnation{ID: id, StartedAt: 1}})
			}
			ended := w.now
			c.run(2 * time.Second)
			for _, id := range ids {
				require.True(t, slices.ContainsFunc(c.upstreams[id], func(at time.Time) bool { return at.After(ended) }), "%s is not used", id)
			}
		})
	}
}
