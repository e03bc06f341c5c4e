package assign

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// newPlainAssigner returns an Assigner with upstreams p0, p1, ... of the service "plain".
func newPlainAssigner(t *testing.T, upstreams int) (*Assigner, time.Time) {
	w := newSimulation(t, 1, 0, 1)
	records := map[string]*catalog.Upstream{}
	for i := range upstreams {
		id := "p" + strconv.Itoa(i)
		records[id] = &catalog.Upstream{ID: id, StartedAt: 1, Service: "plain", Address: "10.0.0.1:1", Zone: "z", Slots: 6}
	}
	w.assigner.Handle(w.now, UpstreamsUpdated{records})
	return w.assigner, w.now
}

// statePaces has upstreams state their pace.
func statePaces(a *Assigner, now time.Time, paces map[string]float64) {
	for id, figure := range paces {
		a.Handle(now, LoadStated{Upstream: id, StartedAt: 1, Load: Load{Pace: figure}})
	}
}

func plainRequest(now time.Time, number uint64) Request {
	return Request{
		ID: RequestID{"h", number}, Service: "plain", Route: "r", Organisation: "free", Zone: "z", Arrived: now,
		Target: now.Add(time.Second), Deadline: now.Add(4 * time.Second),
	}
}

func modelRequest(now time.Time, number uint64) Request {
	return Request{
		ID: RequestID{"h", number}, Service: "s", Route: "r", Organisation: "free", Adapter: catalog.AdapterRef{Model: simModel}, Zone: "z",
		PromptTokens: 2000, OutputTokens: 200, Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(20 * time.Second),
	}
}

// grantedTo returns the upstream to which a request is assigned at once, "" if it is not.
func grantedTo(a *Assigner, now time.Time, r Request) string {
	for _, d := range a.Handle(now, RequestSubmitted{r}) {
		if g, ok := d.(Grant); ok {
			return g.Upstream
		}
	}
	return ""
}

// An Assigner that ignores the pace takes the first of equally idle upstreams.
func TestPace_FastestIdleUpstream(t *testing.T) {
	paces := []float64{4.25, 1.7, 0.7}
	w := newSimulation(t, 1, len(paces), 2)
	statePaces(w.assigner, w.now, map[string]float64{"e0": paces[0], "e1": paces[1], "e2": paces[2]})
	require.Equal(t, "e2", grantedTo(w.assigner, w.now, modelRequest(w.now, 1)))
	a, now := newPlainAssigner(t, len(paces))
	statePaces(a, now, map[string]float64{"p0": paces[0], "p1": paces[1], "p2": paces[2]})
	require.Equal(t, "p2", grantedTo(a, now, plainRequest(now, 1)))
}

// Requests that arrive together must not all go to the upstream that states the lowest pace.
func TestPace_SpreadsOverUpstreams(t *testing.T) {
	w := newSimulation(t, 1, 3, 2)
	statePaces(w.assigner, w.now, map[string]float64{"e0": 0.7, "e1": 0.7, "e2": 1.7})
	counts := map[string]int{}
	for n := range uint64(5) {
		counts[grantedTo(w.assigner, w.now, modelRequest(w.now, n))]++
	}
	require.Equal(t, map[string]int{"e0": 2, "e1": 2, "e2": 1}, counts)
	a, now := newPlainAssigner(t, 3)
	statePaces(a, now, map[string]float64{"p0": 0.7, "p1": 0.7, "p2": 1.7})
	counts = map[string]int{}
	for n := range uint64(60) {
		counts[grantedTo(a, now, plainRequest(now, n))]++
	}
	require.InDelta(t, 25, counts["p0"], 3)
	require.InDelta(t, 10, counts["p2"], 3)
}

// Plain requests are assigned by each host alone. The load of other hosts is known from the upstreams' reports only.
func TestPlain_LoadOfOtherHosts(t *testing.T) {
	a, now := newPlainAssigner(t, 2)
	a.Handle(now, LoadStated{Upstream: "p0", StartedAt: 1, Load: Load{Running: 6, Waiting: 5, Pace: 1}})
	a.Handle(now, LoadStated{Upstream: "p1", StartedAt: 1, Load: Load{Running: 1, Pace: 1}})
	require.Equal(t, "p1", grantedTo(a, now, plainRequest(now, 1)))
}

// Without a leader, hosts assign requests to engines without knowing of one another. The engines' reports show the load of
// the others.
func TestEngines_LoadOfOtherHosts(t *testing.T) {
	for _, busy := range []Load{{Running: 10, Waiting: 6, Pace: 1}, {Running: 64, Pace: 1}} {
		w := newSimulation(t, 1, 2, 2)
		a := New(Options{Share: 1, Random: w.random, Limits: simLimits})
		a.Handle(w.now, ConfigUpdated{w.config})
		a.Handle(w.now, UpstreamsUpdated{w.records})
		a.Handle(w.now, LoadStated{Upstream: "e0", StartedAt: 1, Load: busy})
		a.Handle(w.now, LoadStated{Upstream: "e1", StartedAt: 1, Load: Load{Running: 10, Pace: 1.2}})
		require.Equal(t, "e1", grantedTo(a, w.now, modelRequest(w.now, 1)))
		require.Equal(t, "e1", grantedTo(a, w.now, modelRequest(w.now, 2)))
		a.Handle(w.now, LoadStated{Upstream: "e1", StartedAt: 1, Load: Load{Running: 64, Waiting: 40, Pace: 1}})
		a.Handle(w.now, LoadStated{Upstream: "e0", StartedAt: 1, Load: Load{Running: 64, Waiting: 40, Pace: 1}})
		require.NotEmpty(t, grantedTo(a, w.now, modelRequest(w.now, 3)), "reports come with answers only")
	}
}

// A machine that is slow for a moment must be used again when the moment is over, and a machine that is always slow must
// not count as slow for a moment.
func TestPace_SlowAndFastComponent(t *testing.T) {
	var p pace
	now := time.Unix(1000, 0)
	state := func(figure float64, d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			p.state(now, figure, true)
		}
	}
	state(1.7, 3*time.Second)
	require.InDelta(t, 1.7, p.slowComponent(now), 1e-9)
	require.InDelta(t, 1.7, p.current(now), 1e-9)
	state(4.25, 500*time.Millisecond)
	require.InDelta(t, 1.7, p.slowComponent(now), 1e-9)
	require.InDelta(t, 4.25, p.current(now), 1e-9)
	require.Equal(t, 425*time.Millisecond/10, p.timeFor(now, 10*time.Millisecond))
	require.InDelta(t, float64(1700*time.Millisecond), float64(p.timeFor(now, time.Second)), float64(600*time.Millisecond))
	require.InDelta(t, 1.7, p.current(now.Add(momentaryPaceTime)), 1e-9, "without a further statement")
	state(4.25, 3*time.Second)
	require.InDelta(t, 4.25, p.slowComponent(now), 1e-9, "another kind of machine")
}

// While a pace slower than the slow component is expected to hold, the time for work grows with the work and lies between the
// times at the slow and at the fast component.
func TestPace_TimeForBetweenComponents(t *testing.T) {
	var p pace
	now := time.Unix(1000, 0)
	for range 10 {
		p.state(now, 1, true)
		now = now.Add(paceSampleInterval)
	}
	p.state(now, 2.5, true)
	last := time.Duration(0)
	for work := time.Duration(0); work < 2*time.Second; work += 10 * time.Millisecond {
		took := p.timeFor(now, work)
		require.GreaterOrEqual(t, took, max(work, last))
		require.LessOrEqual(t, took, fractionOf(work, 2.5)+time.Microsecond)
		last = took
	}
}

// Statements that are no positive number must not count, and extreme ones must not take an upstream out of use.
func TestBoundPace(t *testing.T) {
	for figure, want := range map[float64]float64{0: 0, -1: 0, math.Inf(1): 0, math.Inf(-1): 0, 1e9: maxPace, 1e-9: minPace, 1.7: 1.7} {
		require.InDelta(t, want, BoundPace(figure), 1e-9, figure)
	}
	require.Zero(t, BoundPace(math.NaN()))
}

// A service is ranked, and assigned by work, from the first statement of a pace on, and not because of other reports.
func TestPace_EnablesRanking(t *testing.T) {
	w := newSimulation(t, 1, 2, 2)
	a, s := w.assigner, w.assigner.service("s")
	a.Handle(w.now, LoadStated{Upstream: "e0", StartedAt: 1, Load: Load{Running: 3}})
	a.Handle(w.now, LoadStated{Upstream: "e0", StartedAt: 1, Load: Load{Pace: math.NaN()}})
	a.Handle(w.now, LoadStated{Upstream: "e0", StartedAt: 2, Load: Load{Pace: 1}})
	a.Handle(w.now, LoadStated{Upstream: "gone", StartedAt: 1, Load: Load{Pace: 1}})
	require.False(t, s.ranked(&a.options))
	require.Zero(t, a.upstreams["e0"].reportedLoad)
	a.Handle(w.now, LoadStated{Upstream: "e0", StartedAt: 1, Load: Load{Pace: 1}})
	require.True(t, s.ranked(&a.options))
	require.False(t, a.service("plain").ranked(&a.options))
}

// The load that came with the first byte of a stream is old at the stream's end.
func TestLoad_NotAppliedAgainAtEnd(t *testing.T) {
	w := newSimulation(t, 1, 1, 2)
	a := w.assigner
	r := modelRequest(w.now, 1)
	require.Equal(t, "e0", grantedTo(a, w.now, r))
	a.Handle(w.now, LoadStated{ID: r.ID, Load: Load{Pace: 2.5}})
	a.Handle(w.now, FirstByteReceived{r.ID})
	statePaces(a, w.now.Add(time.Second), map[string]float64{"e0": 1})
	a.Handle(w.now.Add(2*time.Second), AttemptEnded{ID: r.ID, Outcome: Completed, Feedback: UpstreamFeedback{Load: &Load{Pace: 2.5}}})
	require.InDelta(t, 1, a.upstreams["e0"].pace.fast, 1e-9)
}

// runPaced runs a request for which an engine takes the given time to the first token.
func runPaced(a *Assigner, now time.Time, r Request, took time.Duration) time.Time {
	a.Handle(now, RequestSubmitted{r})
	now = now.Add(took)
	a.Handle(now, FirstByteReceived{r.ID})
	a.Handle(now, AttemptEnded{ID: r.ID, Outcome: Completed})
	return now
}

// Without statements, the pace is learned from the time to the first token, except during a slow start, which ends.
func TestPace_Measured(t *testing.T) {
	for _, slowStart := range []bool{false, true} {
		t.Run(fmt.Sprint("slow start ", slowStart), func(t *testing.T) {
			w := newSimulation(t, 1, 1, 2)
			a, now := w.assigner, w.now
			a.options.Scheduling, a.options.LearnPace = ByUrgency, true
			u := a.upstreams["e0"]
			if slowStart {
				u.slowStart.limits = catalog.SlowStart{RequestsPerSecond: 1e6}
				u.slowStart.begin(now, now.Add(time.Hour))
				now = now.Add(time.Second)
			}
			usual := 2000*assumedPrefillPerToken + firstTokenOverhead
			for n := range uint64(20) {
				now = runPaced(a, now, modelRequest(now, n), 2*usual).Add(paceSampleInterval)
			}
			want := 2.0
			if slowStart {
				want = 1
			}
			require.InDelta(t, want, u.pace.slowComponent(now), 0.05)
		})
	}
}

// A pace that is stated during a slow start must not become the slow component, since the slow start ends.
func TestPace_StatedInSlowStart(t *testing.T) {
	w := newSimulation(t, 1, 1, 2)
	u, now := w.assigner.upstreams["e0"], w.now
	u.slowStart.limits = catalog.SlowStart{RequestsPerSecond: 1}
	u.slowStart.begin(now, now.Add(3*time.Second))
	for ; now.Before(u.slowStart.until); now = now.Add(paceSampleInterval) {
		statePaces(w.assigner, now, map[string]float64{"e0": 4.25})
		require.InDelta(t, 4.25, u.pace.current(now), 1e-9)
	}
	require.InDelta(t, 1, u.pace.slowComponent(now), 1e-9)
	statePaces(w.assigner, now, map[string]float64{"e0": 0.7})
	require.InDelta(t, 0.7, u.pace.current(now), 1e-9)
}

// An upstream that was slow for long gets no requests while others are idle, and thus states nothing. It must be tried again.
func TestPace_SlowComponentForgotten(t *testing.T) {
	a, now := newPlainAssigner(t, 2)
	statePaces(a, now, map[string]float64{"p0": 1.1, "p1": 17})
	require.Equal(t, "p0", grantedTo(a, now, plainRequest(now, 1)))
	later := now.Add(4 * time.Minute)
	statePaces(a, later, map[string]float64{"p0": 1.1})
	require.Equal(t, "p1", grantedTo(a, later, plainRequest(later, 2)))
}

// An engine that has become slow without a statement must not get further requests because the last one is late.
func TestOverdue_CountsAsSlow(t *testing.T) {
	w := newSimulation(t, 1, 2, 2)
	a := w.assigner
	statePaces(a, w.now, map[string]float64{"e0": 1, "e1": 1.1})
	start := runPaced(a, w.now, modelRequest(w.now, 1), 90*time.Millisecond)
	require.Equal(t, "e0", grantedTo(a, start, modelRequest(start, 2)))
	now := start.Add(400 * time.Millisecond)
	require.InDelta(t, 4, a.upstreams["e0"].overduePace(now), 0.5)
	require.Equal(t, "e1", grantedTo(a, now, modelRequest(now, 3)))
}

// No first byte is reported for answers that are no streams. Their engines must not count as slow.
func TestOverdue_NotForOtherAnswers(t *testing.T) {
	w := newSimulation(t, 1, 1, 2)
	a, now := w.assigner, w.now
	statePaces(a, now, map[string]float64{"e0": 1})
	first := modelRequest(now, 1)
	grantedTo(a, now, first)
	a.Handle(now.Add(time.Second), AttemptEnded{ID: first.ID, Outcome: Completed})
	now = now.Add(2 * time.Second)
	grantedTo(a, now, modelRequest(now, 2))
	require.Zero(t, a.upstreams["e0"].overduePace(now.Add(time.Second)))
}

// All that is accounted as remaining work must end with the requests.
func TestRemainingWork_EndsWithRequests(t *testing.T) {
	w := newSimulation(t, 1, 2, 2)
	a, now := w.assigner, w.now
	statePaces(a, now, map[string]float64{"e0": 1, "e1": 1.7})
	for n := range uint64(400) {
		now = now.Add(time.Duration(w.random.IntN(60)) * time.Millisecond)
		a.Handle(now, RequestSubmitted{modelRequest(now, n)})
		id := RequestID{"h", uint64(w.random.IntN(int(n) + 1))}
		if w.random.IntN(2) == 0 {
			a.Handle(now, FirstByteReceived{id})
		}
		if w.random.IntN(2) == 0 {
			a.Handle(now, AttemptEnded{ID: id, Outcome: Completed, Feedback: UpstreamFeedback{OutputTokens: w.random.IntN(300)}})
		}
	}
	a.Handle(now, HostLost{"h"})
	for _, u := range a.upstreams {
		require.Empty(t, u.prefills)
		require.Zero(t, u.pendingPrefillTokens)
		require.Zero(t, u.cacheTokens)
		require.Zero(t, u.remainingPrefill(now))
	}
}
