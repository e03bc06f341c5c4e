package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All organisations state the same priority, and their routine requests wait. Guards against urgent routes that are served
// in the order of arrival, since the organisation's priority replaces that of the route.
func TestRanked_UrgentRouteOfOrganisation(t *testing.T) {
	w := newRankedSimulation(t, 1, 2, "a")
	request := func(routePriority int) func(r *Request) {
		return func(r *Request) {
			r.Priority, r.RoutePriority = 1, routePriority
			r.Target, r.Deadline = w.now.Add(2*time.Second), w.now.Add(12*time.Second)
		}
	}
	for n := range uint64(100) {
		w.submit(n+1, "a", request(2))
	}
	require.Greater(t, w.assigner.Waiting(), 50)
	var urgent []RequestID
	for n := range uint64(10) {
		urgent = append(urgent, w.submit(1000+n, "a", request(0)))
	}
	w.run(time.Second)
	for _, id := range urgent {
		require.Contains(t, w.granted, id)
	}
}

// A request waits with 10 s to its deadline, but its caller gives the stream up after 2 s without an event. Guards against
// assignments to an upstream for callers that have left when the first event comes.
func TestRanked_CallerGivesUpBeforeDeadline(t *testing.T) {
	w := newRankedSimulation(t, 1, 1, "a")
	number := uint64(0)
	gaveUp := map[RequestID]time.Time{}
	for range 100 {
		number++
		id := w.submit(number, "a", func(r *Request) {
			r.FirstEventDeadline = w.now.Add(2 * time.Second)
			r.Target, r.Deadline = w.now.Add(500*time.Millisecond), w.now.Add(10*time.Second)
		})
		gaveUp[id] = w.now.Add(2 * time.Second)
		w.run(40 * time.Millisecond)
	}
	w.run(3 * time.Second)
	require.Zero(t, w.assigner.Waiting())
	require.NotEmpty(t, w.refused)
	for id, grant := range w.granted {
		granted := w.submittedAt[id].Add(grant.Held)
		require.True(t, granted.Add(100*time.Millisecond).Before(gaveUp[id]), "%v was assigned %s before its caller left", id, gaveUp[id].Sub(granted))
	}
}

// Ranks are compared by the priority before that of the route, also for figures that messages may hold.
func TestRequest_Rank(t *testing.T) {
	rank := func(priority, route int) int { return (&Request{Priority: priority, RoutePriority: route}).Rank() }
	require.Less(t, rank(0, 2), rank(1, 0))
	require.Less(t, rank(1, 0), rank(1, 1))
	require.Equal(t, rank(1, 2), rank(1, 7), "routes less urgent than the last rank count as it")
	require.Zero(t, rank(-3, -1))
	require.Equal(t, maxRank, rank(1<<40, 1<<40))
}
