package leader

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/throttle"
)

// The operators' bound on an upstream that states a rate limit: from limitContact after it first states it, at most
// limitFactor times what the limit allows and limitSlack requests in any limitWindow, from all hosts together.
const (
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
)

// limitedLoad sends requests to a fleet whose upstreams may state rate limits.
type limitedLoad struct {
	t       *testing.T
	f       *fleet
	service string
	random  *rand.Rand
	// deadline is the time that callers wait.
	deadline time.Duration
	// answerAfter is the time from the arrival of a request at an upstream to the header of its response.
	answerAfter time.Duration
	requests    sync.WaitGroup

	// callersOf is the only host that gets requests, nil for all hosts.
	callersOf *testHost

	// mu guards the fields below.
	mu sync.Mutex
	// limits are the limits that upstreams state.
	limits   map[string]float64
	arrivals map[string][]time.Time
	refusals []limitedRefusal
	served   int
	sent     int
	// olderBuilds are the hosts of a build without rate limits.
	olderBuilds map[string]bool
}

// limitedRefusal is a refusal with the time at which the caller received it.
type limitedRefusal struct {
	assign.Refuse
	at time.Time
}

// withLimitedLoad runs a test with a fleet of the given size, with three upstreams of a service of engines and three
// of a plain one, and stops the fleet afterwards.
func withLimitedLoad(t *testing.T, service string, hosts int, test func(l *limitedLoad)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.engine = loadedEngines{}
		f.view.Upstreams = map[string]*catalog.Upstream{}
		for i := range 3 {
			f.addUpstream(&catalog.Upstream{ID: fmt.Sprintf("s%d", i), StartedAt: 1, Service: "s", Zone: "z", Slots: 8, Loaded: loadedAdapter()})
			f.addUpstream(&catalog.Upstream{ID: fmt.Sprintf("plain%d", i), StartedAt: 1, Service: "plain", Zone: "z", Slots: 6})
		}
		for i := range hosts {
			f.add(fmt.Sprintf("h%d", i), 0.4)
		}
		time.Sleep(2 * time.Second)
		require.Len(t, f.leaders(), 1)
		l := &limitedLoad{
			t: t, f: f, service: service, random: rand.New(rand.NewPCG(1, uint64(hosts))), deadline: 2 * time.Second, answerAfter: 20 * time.Millisecond,
			limits: map[string]float64{}, arrivals: map[string][]time.Time{},
		}
		test(l)
		l.requests.Wait()
		f.end()
	})
}

// forEachService runs a test for a service whose requests the leader always assigns, and for one whose requests hosts
// assign themselves as long as no upstream states a limit.
func forEachService(t *testing.T, hosts int, test func(l *limitedLoad)) {
	t.Helper()
	for _, service := range []string{"s", "plain"} {
		t.Run(service, func(t *testing.T) { withLimitedLoad(t, service, hosts, test) })
	}
}

// upstream returns the ID of one of the service's upstreams.
func (l *limitedLoad) upstream(n int) string { return fmt.Sprintf("%s%d", l.service, n) }

// state makes one of the service's upstreams state a limit, or none if it is negative.
func (l *limitedLoad) state(n int, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if delete(l.limits, l.upstream(n)); perSecond >= 0 {
		l.limits[l.upstream(n)] = perSecond
	}
}

// statement returns what a response of an upstream states.
func (l *limitedLoad) statement(id string) throttle.Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	perSecond, ok := l.limits[id]
	return throttle.Statement{PerSecond: perSecond, Stated: ok, Absent: !ok}
}

// run sends requests at a mean rate for some time, each to a random host.
func (l *limitedLoad) run(d time.Duration, perSecond float64) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if h := l.randomHost(); h != nil {
			l.requests.Go(func() { l.arrive(h) })
		}
		time.Sleep(time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

func (l *limitedLoad) randomHost() *testHost {
	if l.callersOf != nil {
		return l.callersOf
	}
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	names := make([]string, 0, len(l.f.hosts))
	for name, h := range l.f.hosts {
		if frozen, _ := h.frozen(0); !frozen {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	return l.f.hosts[names[l.random.IntN(len(names))]]
}

// arrive submits a request at a host and sends it as the entry package does.
func (l *limitedLoad) arrive(h *testHost) {
	now := time.Now()
	t := h.broker.NewTicket()
	defer h.broker.Withdraw(t)
	r := assign.Request{
		Service: l.service, Organisation: "o", Cost: 0, Arrived: now, Target: now.Add(200 * time.Millisecond), Deadline: now.Add(l.deadline),
	}
	if l.service == "s" {
		r.Adapter, r.PromptTokens = catalog.AdapterRef{Model: "m", Adapter: adapterName}, 100
	}
	l.mu.Lock()
	l.sent++
	l.mu.Unlock()
	for range 3 {
		h.broker.RequestAssignment(t, r)
		select {
		case d := <-t.Decisions():
			switch d := d.(type) {
			case assign.Grant:
				if l.attempt(h, t, d) {
					return
				}
				r.Avoid = append(r.Avoid, d.Upstream)
			case assign.Refuse:
				l.mu.Lock()
				l.refusals = append(l.refusals, limitedRefusal{d, time.Now()})
				l.mu.Unlock()
				return
			}
		case <-time.After(l.deadline):
			return
		}
	}
}

// attempt sends a request to the assigned upstream, and reports false if that is not allowed.
func (l *limitedLoad) attempt(h *testHost, t *Ticket, g assign.Grant) bool {
	for still := true; still; still, _ = h.frozen(0) {
		time.Sleep(time.Millisecond)
	}
	l.f.mu.Lock()
	u := l.f.view.Upstreams[g.Upstream]
	l.f.mu.Unlock()
	if u == nil || u.StartedAt != g.StartedAt {
		h.broker.AttemptEnded(t, assign.AttemptEnded{Outcome: assign.Replaced})
		return false
	}
	if _, backOff, admitted := h.broker.RateLimitAdmits(t, u); !admitted && !l.olderBuilds[h.name] {
		h.broker.AttemptEnded(t, assign.AttemptEnded{Outcome: assign.NotSent, Feedback: assign.UpstreamFeedback{BackOff: backOff}})
		return false
	}
	sentAt := time.Now()
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	if !l.olderBuilds[h.name] {
		l.arrivals[u.ID] = append(l.arrivals[u.ID], time.Now())
	}
	l.served++
	l.mu.Unlock()
	stated := l.statement(u.ID)
	time.Sleep(l.answerAfter)
	if !l.olderBuilds[h.name] {
		h.broker.RateLimitStated(u, sentAt, stated)
	}
	h.broker.AttemptEnded(t, assign.AttemptEnded{Outcome: assign.Completed, Succeeded: true})
	return true
}

// since returns the number of requests that reached an upstream from a time on.
func (l *limitedLoad) since(n int, from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ := slices.BinarySearchFunc(l.arrivals[l.upstream(n)], from, time.Time.Compare)
	return len(l.arrivals[l.upstream(n)]) - i
}

// checkBound checks the operators' bound on an upstream that has stated a limit since the given time.
func (l *limitedLoad) checkBound(n int, perSecond float64, stated time.Time) {
	l.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	arrivals := l.arrivals[l.upstream(n)]
	worst, at := 0, time.Duration(0)
	for i, first := range arrivals {
		if first.Before(stated.Add(limitContact)) {
			continue
		}
		end, _ := slices.BinarySearchFunc(arrivals, first.Add(limitWindow), time.Time.Compare)
		if end-i > worst {
			worst, at = end-i, first.Sub(stated)
		}
	}
	l.t.Logf("%s: %d requests in %s, %s after it stated %.1f a second; %d in all; %d of %d served",
		l.upstream(n), worst, limitWindow, at, perSecond, len(arrivals), l.served, l.sent)
	assert.LessOrEqual(l.t, float64(worst), limitFactor*perSecond*limitWindow.Seconds()+limitSlack)
}
