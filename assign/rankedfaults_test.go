package assign

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// All slots of the engines hold adapters that routine requests use and wait for. Guards against an urgent request for
// another adapter that gets no slot before these requests have ended.
func TestRanked_UrgentRequestGetsSlot(t *testing.T) {
	w := newRankedSimulation(t, 1, 2, "a", "b", "c")
	routine := func(r *Request) {
		r.Priority, r.Target, r.Deadline = 2, w.now.Add(10*time.Second), w.now.Add(30*time.Second)
	}
	n := uint64(0)
	send := func() {
		for _, adapter := range []string{"a", "b", "c"} {
			n++
			w.submit(n, adapter, routine)
		}
	}
	for range 60 {
		send()
	}
	w.run(500 * time.Millisecond)
	id := w.submit(10_000, "d", func(r *Request) {
		r.Priority, r.Target, r.Deadline = 0, w.now.Add(time.Second), w.now.Add(5*time.Second)
	})
	for range 20 {
		w.run(100 * time.Millisecond)
		send()
	}
	require.Contains(t, w.granted, id)
	require.Less(t, w.granted[id].Held, 1500*time.Millisecond)
}

// A queue of routine requests is full when urgent ones arrive that take up all capacity. Guards against callers that
// are told late, and against urgent or admitted requests that are refused beside them.
func TestRanked_DisplacedAreToldAtOnce(t *testing.T) {
	w := newRankedSimulation(t, 1, 1, "a", "b")
	for n := range uint64(200) {
		w.submit(n+1, "a", func(r *Request) {
			r.Priority, r.Target, r.Deadline = 2, w.now.Add(2*time.Second), w.now.Add(6*time.Second)
		})
	}
	w.run(time.Second)
	waiting := w.assigner.Waiting()
	require.Greater(t, waiting, 30)
	before := len(w.refused)
	const urgent = 20 // 1.6 s of work
	for n := range uint64(urgent) {
		w.submit(1000+n, "b", func(r *Request) {
			r.Priority, r.Target, r.Deadline = 0, w.now.Add(3*time.Second), w.now.Add(5*time.Second)
		})
	}
	arrived := w.now
	w.run(10 * time.Millisecond)
	displaced := 0
	for id, r := range w.refused {
		if r.Rule == Displaced {
			displaced++
			require.Less(t, id.Number, uint64(1000))
		}
	}
	t.Logf("%d waiting, %d displaced within 10 ms", waiting, displaced)
	require.Equal(t, before+displaced, len(w.refused))
	// At most one is displaced for each urgent request; fewer, since the estimate's tolerance keeps some of them.
	require.Greater(t, displaced, urgent/3)
	require.LessOrEqual(t, displaced, urgent)
	w.run(7 * time.Second)
	late := 0
	for id, r := range w.refused {
		if id.Number >= 1000 {
			t.Fatalf("urgent request refused: %v", r)
		}
		if r.Rule == Displaced || r.Rule == Expired {
			late++
		}
	}
	t.Logf("%d refused after admission, %s after the urgent ones", late, w.now.Sub(arrived))
	require.LessOrEqual(t, late, urgent+3)
}

// Urgent requests use all capacity for a long time, and one routine request waits. Guards against starvation.
func TestRanked_NoRequestStarves(t *testing.T) {
	w := newRankedSimulation(t, 1, 1, "a")
	w.now = w.now.Add(time.Second)
	id := w.submitBehind(t, 2)
	served := func() bool { return slices.Contains(grantedIDs(w), id) }
	n := uint64(100)
	// Three urgent requests arrive in the time in which the engine serves one.
	for range int(2*agingTime/(80*time.Millisecond)) + 50 {
		for range 3 {
			n++
			w.submit(n, "a", func(r *Request) {
				r.Priority, r.Target, r.Deadline = 0, w.now.Add(500*time.Millisecond), w.now.Add(2*time.Second)
			})
		}
		w.run(80 * time.Millisecond)
		if served() {
			break
		}
	}
	require.True(t, served(), "waited for %s", w.now.Sub(w.submittedAt[id]))
	require.Greater(t, w.granted[id].Held, agingTime)
}

// submitBehind fills the engine and submits a request of the given priority with 60 s to its deadline. It returns the ID of
// that request, which waits.
func (w *simulation) submitBehind(t *testing.T, priority int) RequestID {
	t.Helper()
	for n := range uint64(20) {
		w.submit(n+1, "a", func(r *Request) { r.Deadline = w.now.Add(10 * time.Second) })
	}
	id := w.submit(50, "a", func(r *Request) {
		r.Priority, r.Organisation, r.Target, r.Deadline = priority, "patient", w.now.Add(time.Second), w.now.Add(60*time.Second)
	})
	require.NotContains(t, w.granted, id)
	require.NotContains(t, w.refused, id)
	return id
}

func grantedIDs(w *simulation) []RequestID {
	var ids []RequestID
	for id := range w.granted {
		ids = append(ids, id)
	}
	return ids
}

// The leader changes while requests wait, and the next one has half of the engines. Guards against requests that the
// former leader has admitted and the next one refuses for their number.
func TestRanked_AdmittedAgainByNextLeader(t *testing.T) {
	w := newRankedSimulation(t, 1, 2, "a")
	var waiting []Request
	for n := range uint64(200) {
		w.submit(n+1, "a", func(r *Request) {
			r.Organisation = "org" + strconv.Itoa(int(n%3))
			r.Target, r.Deadline = w.now.Add(2*time.Second), w.now.Add(6*time.Second)
			waiting = append(waiting, *r)
		})
	}
	waiting = slices.DeleteFunc(waiting, func(r Request) bool {
		_, granted := w.granted[r.ID]
		_, refused := w.refused[r.ID]
		return granted || refused
	})
	require.Greater(t, len(waiting), 30)
	w.run(200 * time.Millisecond)
	w.records = copyRecords(w.records)
	delete(w.records, "e1")
	w.startRankedLeader()
	w.run(20 * time.Millisecond)
	for _, r := range waiting {
		if _, granted := w.granted[r.ID]; granted {
			continue
		}
		r.Admitted = true
		w.handle(RequestSubmitted{r})
	}
	w.run(50 * time.Millisecond)
	for _, r := range waiting {
		require.NotContains(t, w.refused, r.ID)
	}
}

// Many urgent callers are refused for a long time. Guards against less urgent callers that are told to return ever later
// for urgent ones who may not return.
func TestRanked_RetryAfterStaysBounded(t *testing.T) {
	w := newRankedSimulation(t, 1, 1, "a")
	n := uint64(0)
	var last RequestID
	for range 600 {
		for range 5 {
			n++
			w.submit(n, "a", func(r *Request) { r.Priority, r.Deadline = 0, w.now.Add(20*time.Second) })
		}
		n++
		last = w.submit(n, "a", func(r *Request) { r.Priority, r.Deadline = 1, w.now.Add(20*time.Second) })
		w.run(50 * time.Millisecond)
	}
	require.Contains(t, w.refused, last)
	require.LessOrEqual(t, w.refused[last].RetryAfter, 20*time.Second, "the bound of 10 s, and half of the time that the caller has")
}

// A host sends a request with figures that no caller can have. Guards against state that is allocated for each rank up to
// the stated one, and against sums that overflow.
func TestRanked_ArbitraryFigures(t *testing.T) {
	w := newRankedSimulation(t, 1, 1, "a")
	for i, n := range []int{math.MaxInt, math.MinInt, -1} {
		for k := range uint64(20) {
			w.submit(uint64(i)*100+k+1, "a", func(r *Request) { r.Priority, r.PromptTokens, r.OutputTokens, r.ExpectedOutput = n, n, n, n })
		}
	}
	require.LessOrEqual(t, len(w.assigner.service("s").line.ranks), maxRank+1)
	for _, e := range w.assigner.requests {
		require.GreaterOrEqual(t, e.request.cacheTokens(), 0)
		require.GreaterOrEqual(t, w.assigner.expectedWork(w.assigner.service("s"), &e.request), time.Duration(0))
	}
	id := w.submit(1000, "a")
	w.run(5 * time.Second)
	require.Contains(t, w.granted, id)
}

// Routine requests use all slots of many engines when urgent requests for as many other adapters arrive. Guards against
// evicting all of these adapters at once, since a slot serves no request during an eviction.
func TestRanked_FewAdaptersInUseMakeWay(t *testing.T) {
	const engines, slots = 20, 3
	var adapters []string
	for i := range slots {
		adapters = append(adapters, "r"+strconv.Itoa(i))
	}
	w := newRankedSimulation(t, 1, engines, adapters...)
	n := uint64(0)
	send := func(count int) {
		for range count {
			n++
			w.submit(n, adapters[n%slots], func(r *Request) {
				r.Priority, r.Target, r.Deadline = 2, w.now.Add(10*time.Second), w.now.Add(30*time.Second)
			})
		}
	}
	send(20 * engines)
	w.run(500 * time.Millisecond)
	for i := range 100 {
		w.submit(uint64(10_000+i), "u"+strconv.Itoa(i), func(r *Request) {
			r.Priority, r.Target, r.Deadline = 0, w.now.Add(time.Second), w.now.Add(5*time.Second)
		})
	}
	most := 0
	for range 400 {
		w.run(10 * time.Millisecond)
		send(2)
		inUse := 0
		for _, e := range w.engines {
			require.LessOrEqual(t, len(e.evicting), 1, e.id)
			inUse += len(e.evicting)
		}
		most = max(most, inUse)
	}
	served := 0
	for id := range w.granted {
		if id.Number >= 10_000 {
			served++
		}
	}
	t.Logf("%d of 100 urgent requests served, at most %d adapters in use evicted at once", served, most)
	require.LessOrEqual(t, most, engines*slots/20)
	require.Positive(t, most)
	require.Positive(t, served)
}

// A new leader takes over an engine that is busy with what the former leader has assigned. Guards against a rate of work
// measured while the engine cannot begin anything, for which requests were refused although there was capacity.
func TestRanked_NewLeaderMeasuresNoBusyEngine(t *testing.T) {
	w := newRankedSimulation(t, 1, 1, "a")
	request := func(n uint64, timeout time.Duration) Request {
		return Request{
			ID: RequestID{"h", n}, Service: "s", Organisation: "free", Adapter: catalog.AdapterRef{Model: simModel, Adapter: "a"},
			PromptTokens: 2000, OutputTokens: 100, Arrived: w.now, Target: w.now.Add(timeout / 4), Deadline: w.now.Add(timeout),
		}
	}
	for n := range uint64(6) {
		w.handle(RequestAdopted{Request: request(n+1, 5*time.Second), Upstream: "e0"})
	}
	for n := range uint64(30) {
		waiting := request(100+n, 5*time.Second)
		waiting.Admitted = true
		w.handle(RequestSubmitted{waiting})
	}
	require.Equal(t, 30, w.assigner.Waiting())
	w.run(200 * time.Millisecond)
	id := w.submit(1000, "a", func(r *Request) { r.Target, r.Deadline = w.now.Add(time.Second), w.now.Add(5*time.Second) })
	require.NotContains(t, w.refused, id)
}

// displacement is a run in which requests of 280 ms each wait for one engine and others displace them.
type displacement struct {
	w             *simulation
	organisations int
}

func newDisplacement(t *testing.T, organisations int) *displacement {
	w := newRankedSimulation(t, 1, 1, "a", "b")
	w.prefillOfTokens = true
	return &displacement{w, organisations}
}

// send submits requests of a priority, for two adapters in turn, with the given numbers.
func (d *displacement) send(from, count, priority int, timeout time.Duration, change ...func(*Request)) {
	for n := from; n < from+count; n++ {
		d.w.submit(uint64(n), string("ab"[n%2]), append([]func(*Request){func(r *Request) {
			r.Organisation, r.Priority, r.PromptTokens = "org"+strconv.Itoa(n/2%d.organisations), priority, 7000
			r.Target, r.Deadline = d.w.now.Add(timeout/2), d.w.now.Add(timeout)
		}}, change...)...)
	}
}

// requireToldAtOnce requires that an event displaces some of the requests with numbers from from to below to and no others,
// that no more of them are refused later than 10 ms after it than the estimate's tolerance may keep, and that none is refused
// with another rule than Displaced.
func (d *displacement) requireToldAtOnce(t *testing.T, from, to uint64, event func()) {
	t.Helper()
	w, before := d.w, maps.Clone(d.w.refused)
	event()
	w.run(10 * time.Millisecond)
	atOnce := len(w.refused) - len(before)
	left := time.Duration(0)
	for _, e := range w.assigner.requests {
		if e.upstream == nil && e.request.ID.Number >= from && e.request.ID.Number < to {
			left = max(left, e.lastUseful.Sub(w.now))
		}
	}
	w.run(30 * time.Second)
	late := len(w.refused) - len(before) - atOnce
	t.Logf("%d displaced, told within 10 ms; %d later", atOnce, late)
	for id, r := range w.refused {
		if _, ok := before[id]; !ok {
			require.Equal(t, Displaced, r.Rule, "%v", id)
			require.True(t, id.Number >= from && id.Number < to, "%v", id)
		}
	}
	require.Positive(t, atOnce)
	// A request is kept while 95% of the time until its turn, less two requests, is no more than it has.
	const work = 280 * time.Millisecond
	kept := float64(left+2*work)/(1-turnTolerance) - float64(left)
	require.LessOrEqual(t, float64(late), math.Ceil(kept/float64(work)))
}

// Waiting requests have aged, or are about to age again, when urgent ones arrive. Guards against callers of displaced
// requests that are told only at their last useful moment, and are told then that nothing has displaced them.
func TestRanked_AgedAreToldAtOnce(t *testing.T) {
	for _, organisations := range []int{1, 2, 4} {
		for _, wait := range []time.Duration{agingTime - 5*time.Millisecond, agingTime + time.Second} {
			t.Run(fmt.Sprintf("%d organisations, %s", organisations, wait), func(t *testing.T) {
				d := newDisplacement(t, organisations)
				d.send(1, 100, 2, 30*time.Second)
				d.w.run(wait)
				d.requireToldAtOnce(t, 1, 101, func() { d.send(1000, 40, 0, 15*time.Second) })
			})
		}
	}
}

// Requests that move up by aging displace requests of the ranks that they pass. Guards against callers of displaced requests
// that are told late.
func TestRanked_DisplacedByAgedAreToldAtOnce(t *testing.T) {
	for _, organisations := range []int{1, 2, 4} {
		t.Run(strconv.Itoa(organisations)+" organisations", func(t *testing.T) {
			d := newDisplacement(t, organisations)
			d.send(1, 80, 3, 40*time.Second)
			d.w.run(agingTime - time.Second)
			d.send(1000, 20, 2, 9*time.Second, func(r *Request) { r.RoutePriority = 1 })
			aged := func() bool { return d.w.assigner.service("s").line.ranks[2*routeRanks].count > 0 }
			d.requireToldAtOnce(t, 1000, 1020, func() {
				for range 2000 {
					if d.w.run(time.Millisecond); aged() {
						return
					}
				}
				t.Fatal("no request ages")
			})
		})
	}
}

// Requests that fill the KV cache wait for one another, and a small urgent one is assigned at once. Guards against waiting
// requests that are not checked again for work that went before them without waiting.
func TestRanked_AssignedAtOncePutsBackOthers(t *testing.T) {
	w := newRankedSimulation(t, 1, 1, "a")
	for n := range uint64(6) {
		w.submit(n+1, "a", func(r *Request) {
			r.Organisation, r.Priority, r.PromptTokens, r.Deadline = "org"+strconv.Itoa(int(n)%2), 2, 70_000, w.now.Add(60*time.Second)
		})
	}
	w.run(200 * time.Millisecond)
	require.Equal(t, 4, w.assigner.Waiting())
	less := w.assigner.service("s").line.ranks[2*routeRanks]
	pushed := less.pushed
	id := w.submit(100, "a", func(r *Request) { r.Priority, r.PromptTokens = 0, 1000 })
	require.Contains(t, w.granted, id)
	require.Greater(t, less.pushed, pushed)
	// A request of the same rank puts back the other organisations, also if its own has none that waits.
	pushed = less.pushed
	id = w.submit(101, "a", func(r *Request) { r.Organisation, r.Priority, r.PromptTokens = "other", 2, 100 })
	require.Contains(t, w.granted, id)
	require.Greater(t, less.pushed, pushed)
}
