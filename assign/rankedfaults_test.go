package assign

import (
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
