package assign

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// Pattern: hundreds of requests wait for one adapter whose engines have no room,
// and other adapters are asked for behind them. These are loaded and served as if
// the first were not there.
func TestColdAdaptersAreNotHeldUpByAHotOne(t *testing.T) {
	w := newWorld(t, 1, 12, 6)
	w.run(50 * time.Millisecond)
	w.ask(1, "hot")
	w.run(time.Second)
	long := func(r *Request) { r.Target, r.Deadline = w.now.Add(20*time.Second), w.now.Add(60*time.Second) }
	for n := range uint64(600) {
		w.ask(10+n, "hot", long)
	}
	require.Greater(t, w.assigner.Waiting(), 300)
	var cold []RequestID
	for n := range uint64(8) {
		cold = append(cold, w.ask(1000+n, "cold"+strconv.Itoa(int(n)), long))
	}
	w.run(800 * time.Millisecond)
	for _, id := range cold {
		require.Contains(t, w.granted, id)
	}
}

// Pattern: more adapters are asked for at once than engines have places, each a few
// times. Each is served, and none of them is asked for in vain.
func TestABurstOfRareAdaptersIsServed(t *testing.T) {
	w := newWorld(t, 2, 10, 6)
	w.run(50 * time.Millisecond)
	byAdapter := map[string][]RequestID{}
	number := uint64(1)
	for round := range 3 {
		for i := range 120 {
			name := "a" + strconv.Itoa(i)
			byAdapter[name] = append(byAdapter[name], w.ask(number, name))
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

// Pattern: a newer version of every busy adapter is announced at once.
func TestAVersionNamedForAllIsServedSoon(t *testing.T) {
	w := newWorld(t, 3, 8, 6)
	w.run(50 * time.Millisecond)
	number := uint64(1)
	askAll := func() (ids []RequestID) {
		for i := range 40 {
			ids = append(ids, w.ask(number, "a"+strconv.Itoa(i)))
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

// Pattern: an urgent and a less urgent request wait for one engine in two queues.
func TestUrgentQueuesGoFirst(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(50 * time.Millisecond)
	w.ask(1, "a")
	w.ask(2, "b")
	w.run(1500 * time.Millisecond)
	number := uint64(10)
	for range 20 {
		for i, name := range []string{"a", "b"} {
			w.ask(number, name, func(r *Request) {
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
			count[w.adapter[id]]++
		}
	}
	require.Greater(t, count["b"], 2*count["a"], "%v", count)
}

// waitingWorld returns a world with engines that hold an adapter each, and requests
// that wait for others, all of which are being read.
func waitingWorld(t *testing.T, engines, waiting int) *world {
	w := sized(t, engines)
	far := func(r *Request) {
		r.Target, r.Deadline = w.now.Add(100*time.Second), w.now.Add(300*time.Second)
	}
	for n := range waiting {
		w.ask(uint64(n+1_000_000), fmt.Sprintf("cold%d", n%(waiting/2)), far)
	}
	require.Greater(t, w.assigner.Waiting(), waiting/2)
	return w
}

// What a request costs is bounded, whatever waits and however many engines there
// are: its own choice, a look at the queues each ten milliseconds, and what its
// engine holds when it starts and ends.
func TestTheCostOfARequestDoesNotGrowWithTheQueue(t *testing.T) {
	const requests = 200
	perRequest := func(engines, waiting int) float64 {
		w := waitingWorld(t, engines, waiting)
		before := w.assigner.weighings
		for n := range uint64(requests) {
			w.now = w.now.Add(time.Millisecond)
			w.request(n+1, "owne1")
			w.assigner.NextWakeup(w.now)
		}
		return float64(w.assigner.weighings-before) / requests
	}
	const pass = queuesAtOnce * triedAtOnce * (weighedOthers + 2) / 10
	for _, engines := range []int{30, 300, 3000} {
		got := perRequest(engines, 10_000)
		t.Logf("%d engines, 10000 waiting: %.0f options weighed a request", engines, got)
		require.LessOrEqual(t, got, float64(pass+weighedAll+3*triedAtOnce))
	}
}

// What is to be looked at again is found without a look at every engine.
func TestAlarmsAreOfTheEnginesThatWait(t *testing.T) {
	w := sized(t, 1900)
	w.assigner.NextWakeup(w.now)
	require.Empty(t, w.assigner.alarms, "no engine waits for anything")
	w.ask(1, "new")
	due, ok := w.assigner.NextWakeup(w.now)
	require.True(t, ok)
	require.LessOrEqual(t, len(w.assigner.alarms), 1)
	require.LessOrEqual(t, due.Sub(w.now), sweepEvery)
	w.run(time.Second)
	require.Contains(t, w.granted, RequestID{"h", 1})
}
