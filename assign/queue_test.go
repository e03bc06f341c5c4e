package assign

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// Hundreds of requests wait for one adapter whose engines have no room, and other adapters are requested after
// them. Those adapters are loaded and served as if the first requests were not there.
func TestQueue_HotAdapterDoesNotBlockOthers(t *testing.T) {
	w := newSimulation(t, 1, 12, 6)
	w.run(50 * time.Millisecond)
	w.submit(1, "hot")
	w.run(time.Second)
	long := func(r *Request) { r.Target, r.Deadline = w.now.Add(20*time.Second), w.now.Add(60*time.Second) }
	for n := range uint64(600) {
		w.submit(10+n, "hot", long)
	}
	require.Greater(t, w.assigner.Waiting(), 300)
	var cold []RequestID
	for n := range uint64(8) {
		cold = append(cold, w.submit(1000+n, "cold"+strconv.Itoa(int(n)), long))
	}
	w.run(800 * time.Millisecond)
	for _, id := range cold {
		require.Contains(t, w.granted, id)
	}
}

// More adapters are requested at once than engines have slots, each a few times. Every adapter is served at least
// once.
func TestQueue_BurstOfRareAdapters(t *testing.T) {
	w := newSimulation(t, 2, 10, 6)
	w.run(50 * time.Millisecond)
	byAdapter := map[string][]RequestID{}
	number := uint64(1)
	for round := range 3 {
		for i := range 120 {
			name := "a" + strconv.Itoa(i)
			byAdapter[name] = append(byAdapter[name], w.submit(number, name))
			number++
		}
		w.run(time.Duration(2+round) * time.Second)
	}
	for name, ids := range byAdapter {
		served := 0
		for _, id := range ids {
			if _, ok := w.granted[id]; ok {
				served++
			}
		}
		require.Positive(t, served, name)
	}
}

// A newer version of every busy adapter is announced at once.
func TestVersions_AllAdaptersUpdated(t *testing.T) {
	w := newSimulation(t, 3, 8, 6)
	w.run(50 * time.Millisecond)
	number := uint64(1)
	askAll := func() (ids []RequestID) {
		for i := range 40 {
			ids = append(ids, w.submit(number, "a"+strconv.Itoa(i)))
			number++
		}
		return ids
	}
	askAll()
	w.run(2 * time.Second)
	for i := range 40 {
		w.versions[catalog.AdapterRef{Model: simModel, Adapter: "a" + strconv.Itoa(i)}] = 2
	}
	w.handle(VersionsUpdated{w.versions})
	ids := askAll()
	w.run(2500 * time.Millisecond)
	for _, id := range ids {
		require.Contains(t, w.granted, id)
		require.EqualValues(t, 2, w.granted[id].Version)
	}
}

// A high-priority and a low-priority queue wait for one engine.
func TestQueue_UrgentQueueFirst(t *testing.T) {
	w := newSimulation(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.submit(1, "a")
	w.submit(2, "b")
	w.run(1500 * time.Millisecond)
	number := uint64(10)
	for range 20 {
		for i, name := range []string{"a", "b"} {
			w.submit(number, name, func(r *Request) {
				r.Priority = 2 - 2*i
				r.Target, r.Deadline = w.now.Add(10*time.Second), w.now.Add(20*time.Second)
			})
			number++
		}
	}
	w.run(900 * time.Millisecond)
	count := map[string]int{}
	for id := range w.granted {
		if id.Number >= 10 {
			count[w.adapters[id]]++
		}
	}
	require.Greater(t, count["b"], 2*count["a"], "%v", count)
}

// newSimulationWithQueue returns a simulation in which requests are queued for adapters that no engine holds.
func newSimulationWithQueue(t *testing.T, engines, waiting int) *simulation {
	w := newSimulationWithResidentAdapters(t, engines)
	longDeadline := func(r *Request) {
		r.Target, r.Deadline = w.now.Add(100*time.Second), w.now.Add(300*time.Second)
	}
	for n := range waiting {
		w.submit(uint64(n+1_000_000), fmt.Sprintf("cold%d", n%(waiting/2)), longDeadline)
	}
	require.Greater(t, w.assigner.Waiting(), waiting/2)
	return w
}

// The cost of a request is bounded, regardless of the queue and of the number of engines. It consists of the
// choice of an upstream, a pass over the queues every 10 ms, and the queues of its engine when the request starts
// and ends.
func TestRequestCost_IndependentOfQueueLength(t *testing.T) {
	const requests = 200
	perRequest := func(engines, waiting int) float64 {
		w := newSimulationWithQueue(t, engines, waiting)
		before := w.assigner.optionsEvaluated
		for n := range uint64(requests) {
			w.now = w.now.Add(time.Millisecond)
			w.runRequest(n+1, "owne1")
			w.assigner.NextWakeup(w.now)
		}
		return float64(w.assigner.optionsEvaluated-before) / requests
	}
	const pass = maxQueuesPerPass * maxFailedTries * (sampledCandidates + 2) / 10
	for _, engines := range []int{30, 300, 3000} {
		got := perRequest(engines, 10_000)
		t.Logf("%d engines, 10000 waiting: %.0f options evaluated per request", engines, got)
		require.LessOrEqual(t, got, float64(pass+evaluateAllLimit+3*maxFailedTries))
	}
}

// Engines that need a check must be found without a scan over all engines.
func TestWake_OnlyWaitingEngines(t *testing.T) {
	w := newSimulationWithResidentAdapters(t, 1900)
	w.assigner.NextWakeup(w.now)
	require.Empty(t, w.assigner.wakeups, "no engine needs a check")
	w.submit(1, "new")
	due, ok := w.assigner.NextWakeup(w.now)
	require.True(t, ok)
	require.LessOrEqual(t, len(w.assigner.wakeups), 1)
	require.LessOrEqual(t, due.Sub(w.now), sweepInterval)
	w.run(time.Second)
	require.Contains(t, w.granted, RequestID{"h", 1})
}
