package assign

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host is lost while its requests wait ahead of those of another host. Guards against requests of a lost host that stay in
// the order, get turns, or count as work ahead of the others.
func TestRanked_HostLostLeavesOrder(t *testing.T) {
	w := newRankedSimulation(t, 1, 1, "a")
	long := func(r *Request) { r.Target, r.Deadline = w.now.Add(5*time.Second), w.now.Add(10*time.Second) }
	for n := range uint64(60) {
		w.submit(n+1, "a", long, fromHost("lost"), func(r *Request) { r.Organisation = "org" + strconv.Itoa(int(n%3)) })
	}
	var others []RequestID
	for n := range uint64(5) {
		others = append(others, w.submit(100+n, "a", long, func(r *Request) { r.Priority, r.Deadline = 1, w.now.Add(60*time.Second) }))
	}
	w.run(500 * time.Millisecond)
	require.Greater(t, w.assigner.Waiting(), 45)
	granted := len(w.granted)
	w.handle(HostLost{"lost"})
	l := w.assigner.service("s").line
	require.Equal(t, l.count, w.assigner.Waiting())
	require.LessOrEqual(t, l.count, len(others))
	for _, r := range l.ranks[:routeRanks] {
		require.Zero(t, r.work)
		require.Zero(t, r.count)
		require.Empty(t, r.checks)
	}
	w.run(time.Second)

	require.Len(t, w.granted, granted+len(others))
	for _, id := range others {
		require.Contains(t, w.granted, id)
	}
	require.Contains(t, w.granted, w.submit(200, "a"), "nothing waits")
	require.Empty(t, w.refused)
}

// Requests that interrupt all that an engine runs have two of three engines paused while routine requests wait, and urgent
// ones arrive. Guards against urgent requests that are refused or served after routine ones, and against routine callers that
// are told only at their last useful moment that capacity has been lost.
func TestRanked_PausedEnginesDisplaceRoutine(t *testing.T) {
	w := newRankedSimulation(t, 1, 3, "a")
	for n := range uint64(400) {
		w.submit(n+1, "a", func(r *Request) {
			r.Priority, r.Target, r.Deadline = 2, w.now.Add(5*time.Second), w.now.Add(10*time.Second)
		})
	}
	w.run(500 * time.Millisecond)
	require.Greater(t, w.assigner.Waiting(), 200)
	useful := time.Duration(0)
	for _, e := range w.assigner.requests {
		useful = e.lastUseful.Sub(w.now)
	}
	before := len(w.refused)
	interrupt := func() {
		var running []uint64
		for id, e := range w.assigner.requests {
			if e.upstream != nil && e.upstream.record.ID != "e0" {
				running = append(running, id.Number)
			}
		}
		slices.Sort(running)
		for _, n := range running {
			w.handle(AttemptEnded{ID: RequestID{"h", n}, Outcome: Lost})
		}
	}
	for range 20 {
		interrupt()
		w.run(100 * time.Millisecond)
	}
	early := len(w.refused) - before
	require.Positive(t, early)
	var urgent []RequestID
	for n := range uint64(40) {
		interrupt()
		urgent = append(urgent, w.submit(1000+n, "a", func(r *Request) { r.Target, r.Deadline = w.now.Add(time.Second), w.now.Add(3*time.Second) }))
		w.run(100 * time.Millisecond)
	}
	for _, id := range urgent {
		require.Contains(t, w.granted, id)
		require.Less(t, w.granted[id].Held, time.Second)
	}
	t.Logf("%d routine requests refused within 2 s, %d in the next 4 s, the last useful moment is after %s", early, len(w.refused)-before-early, useful)
	for id, r := range w.refused {
		require.Less(t, id.Number, uint64(1000))
		require.Contains(t, []string{Turn, Displaced}, r.Rule)
	}
}

// Routine requests for many adapters wait for loads from the weight store, of which few may run at once. The urgent request
// has as much time as they have, so that only its rank is before theirs. Guards against an
// urgent request whose adapter is loaded after theirs, or that is refused for the loads that wait.
func TestRanked_UrgentRequestGetsLoad(t *testing.T) {
	const engines, adapters = 6, 60
	w := newRankedSimulation(t, 1, engines)
	for n := range uint64(adapters) {
		w.submit(n+1, "r"+strconv.Itoa(int(n)), func(r *Request) {
			r.Priority, r.Target, r.Deadline = 2, w.now.Add(10*time.Second), w.now.Add(20*time.Second)
		})
	}
	w.run(100 * time.Millisecond)
	require.False(t, w.assigner.coldLoads.mayStart())
	id := w.submit(1000, "u", func(r *Request) { r.Target, r.Deadline = w.now.Add(10*time.Second), w.now.Add(20*time.Second) })
	w.run(4 * time.Second)
	require.Contains(t, w.granted, id)
	later := 0
	for other, g := range w.granted {
		if other != id && w.submittedAt[other].Add(g.Held).After(w.submittedAt[id].Add(w.granted[id].Held)) {
			later++
		}
	}
	t.Logf("urgent request held for %s, %d routine ones served after it", w.granted[id].Held, later)
	require.Less(t, w.granted[id].Held, 1200*time.Millisecond)
	require.Greater(t, later, adapters/3)
}
