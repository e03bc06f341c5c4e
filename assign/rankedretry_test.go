package assign

import (
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// promise is the Retry-After that a refused caller was given.
type promise struct {
	retryAfter time.Duration
	refusedAt  time.Time
}

// medianTurnError returns the median error of the promises made to callers that have returned, and the numbers of those that
// were served and refused again. A caller keeps the promises of all its refusals, each of which is compared with its turn
// in the end. One that has no turn by the end of the run counts as an unlimited error.
func medianTurnError(t *testing.T, w *simulation, returned map[RequestID][]promise) (median float64, served, again int) {
	t.Helper()
	var errors []float64
	for id, promises := range returned {
		g, granted := w.granted[id]
		if granted {
			served++
		}
		if len(promises) > 1 {
			again++
		}
		for _, p := range promises {
			if !granted {
				errors = append(errors, math.Inf(1))
				continue
			}
			turn := w.submittedAt[id].Add(g.Held).Sub(p.refusedAt)
			errors = append(errors, (p.retryAfter-turn).Abs().Seconds()/turn.Seconds())
		}
	}
	require.Greater(t, len(errors), 20)
	slices.Sort(errors)
	return errors[len(errors)/2], served, again
}

// More requests arrive at once than can be served in time, and all refused callers come back after Retry-After with a
// new request. The error is the difference between Retry-After and the time until the returned caller's turn, relative
// to the latter. Guards against a Retry-After that has no relation to the queue, against callers that return all at
// once, and against routine callers that are told to return before urgent ones.
func TestRanked_RetryAfterIsLikelyTurn(t *testing.T) {
	for _, ranks := range []int{1, 2} {
		t.Run(strconv.Itoa(ranks)+" ranks", func(t *testing.T) {
			w := newRankedSimulation(t, 1, 2, "a")
			number := uint64(0)
			returned := map[RequestID][]promise{}
			perRank := make([][]float64, ranks)
			var send func(rank int, promised []promise)
			send = func(rank int, promised []promise) {
				number++
				id := w.submit(number, "a", func(r *Request) {
					r.Priority, r.Organisation = rank, "org"+strconv.Itoa(int(number)%3)
					r.Target, r.Deadline = w.now.Add(time.Second), w.now.Add(3*time.Second)
				})
				if promised != nil {
					returned[id] = promised
				}
				r, refused := w.refused[id]
				if !refused {
					return
				}
				perRank[rank] = append(perRank[rank], r.RetryAfter.Seconds())
				next := append(slices.Clone(promised), promise{r.RetryAfter, w.now})
				w.schedule(r.RetryAfter, func() {
					delete(returned, id)
					send(rank, next)
				})
			}
			for i := range 160 {
				send(i%ranks, nil)
			}
			w.run(15 * time.Second)
			median, served, again := medianTurnError(t, w, returned)
			t.Logf("%d callers were served after their return, %d refused again, median error %.2f", served, again, median)
			require.Less(t, median, 1.0/3)
			for rank, after := range perRank {
				slices.Sort(after)
				t.Logf("rank %d: %d refused, median Retry-After %.2f s", rank, len(after), after[len(after)/2])
			}
			if ranks > 1 {
				require.Less(t, perRank[0][len(perRank[0])/2], perRank[1][len(perRank[1])/2])
			}
		})
	}
}

// retryError returns the median error of Retry-After in an overload that lasts: 40 fresh requests arrive per second where
// 25 are served, and a quarter of the refused callers return after Retry-After, until they are served. It logs the numbers of
// callers that were served after their return and that were refused again.
func retryError(t *testing.T, ranks int) float64 {
	t.Helper()
	w := newRankedSimulation(t, 1, 2, "a")
	number := uint64(0)
	returned := map[RequestID][]promise{}
	var send func(rank int, promised []promise)
	send = func(rank int, promised []promise) {
		number++
		id := w.submit(number, "a", func(r *Request) {
			r.Priority, r.Organisation = rank, "org"+strconv.Itoa(int(number)%3)
			r.Target, r.Deadline = w.now.Add(time.Second), w.now.Add(3*time.Second)
		})
		if promised != nil {
			returned[id] = promised
		}
		if r, refused := w.refused[id]; refused && (promised != nil || number%4 == 0) {
			next := append(slices.Clone(promised), promise{r.RetryAfter, w.now})
			w.schedule(r.RetryAfter, func() {
				delete(returned, id)
				send(rank, next)
			})
		}
	}
	for range 2000 {
		for i := range 2 {
			send(i%ranks, nil)
		}
		w.run(50 * time.Millisecond)
	}
	median, served, again := medianTurnError(t, w, returned)
	t.Logf("%d callers were served after their return, %d refused again, median error %.2f", served, again, median)
	return median
}

// Guards against a Retry-After that is far from the turn while fresh requests keep arriving.
func TestRanked_RetryAfterInLastingOverload(t *testing.T) {
	require.Less(t, retryError(t, 1), 1.0/3)
}

// Half of the requests are more urgent and take most of the capacity. Guards against a Retry-After of the others that is
// far from their turn.
func TestRanked_RetryAfterBehindMoreUrgent(t *testing.T) {
	t.Parallel()
	require.Less(t, retryError(t, 2), 1.0/3)
}
