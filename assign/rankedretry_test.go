package assign

import (
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

// medianTurnError returns the median error of the promises of returned requests, and the number of those that were served.
func medianTurnError(t *testing.T, w *simulation, returned map[RequestID]promise) (median float64, served int) {
	var errors []float64
	for id, p := range returned {
		if g, ok := w.granted[id]; ok {
			turn := w.submittedAt[id].Add(g.Held).Sub(p.refusedAt)
			errors = append(errors, (p.retryAfter-turn).Abs().Seconds()/turn.Seconds())
		}
	}
	require.Greater(t, len(errors), 20)
	slices.Sort(errors)
	return errors[len(errors)/2], len(errors)
}

// More requests arrive at once than can be served in time, and all refused callers come back after Retry-After with a
// new request. The error is the difference between Retry-After and the time until the returned caller's turn, relative
// to the latter. Guards against a Retry-After that has no relation to the queue, against callers that return all at
// once, and against routine callers that are told to return before urgent ones.
func TestRanked_RetryAfterIsLikelyTurn(t *testing.T) {
	for _, ranks := range []int{1, 2} {
		t.Run(strconv.Itoa(ranks)+" ranks", func(t *testing.T) {
			w := newRankedSimulation(t, 1, 2, "a")
			number, again := uint64(0), 0
			returned := map[RequestID]promise{}
			perRank := make([][]float64, ranks)
			var send func(rank int) (RequestID, bool)
			send = func(rank int) (RequestID, bool) {
				number++
				id := w.submit(number, "a", func(r *Request) {
					r.Priority, r.Organisation = rank, "org"+strconv.Itoa(int(number)%3)
					r.Target, r.Deadline = w.now.Add(time.Second), w.now.Add(3*time.Second)
				})
				r, refused := w.refused[id]
				if !refused {
					return id, true
				}
				perRank[rank] = append(perRank[rank], r.RetryAfter.Seconds())
				refusedAt := w.now
				w.schedule(r.RetryAfter, func() {
					if id, ok := send(rank); ok {
						returned[id] = promise{r.RetryAfter, refusedAt}
					} else {
						again++
					}
				})
				return id, false
			}
			for i := range 160 {
				send(i % ranks)
			}
			w.run(15 * time.Second)
			median, served := medianTurnError(t, w, returned)
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
// 25 are served, and a quarter of the refused callers return after Retry-After. It returns the number of callers that
// were served after their return, too.
func retryError(t *testing.T, ranks int) (median float64, served int) {
	w := newRankedSimulation(t, 1, 2, "a")
	number := uint64(0)
	returned := map[RequestID]promise{}
	var send func(rank int, promised *promise)
	send = func(rank int, promised *promise) {
		number++
		id := w.submit(number, "a", func(r *Request) {
			r.Priority, r.Organisation = rank, "org"+strconv.Itoa(int(number)%3)
			r.Target, r.Deadline = w.now.Add(time.Second), w.now.Add(3*time.Second)
		})
		r, refused := w.refused[id]
		switch {
		case refused && number%4 == 0:
			next := promise{r.RetryAfter, w.now}
			w.schedule(r.RetryAfter, func() { send(rank, &next) })
		case !refused && promised != nil:
			returned[id] = *promised
		}
	}
	for range 2000 {
		for i := range 2 {
			send(i%ranks, nil)
		}
		w.run(50 * time.Millisecond)
	}
	return medianTurnError(t, w, returned)
}

// Guards against a Retry-After that is far from the turn while fresh requests keep arriving.
func TestRanked_RetryAfterInLastingOverload(t *testing.T) {
	median, served := retryError(t, 1)
	t.Logf("%d callers were served after their return, median error %.2f", served, median)
	require.Less(t, median, 1.0/3)
}

// Half of the requests are more urgent and take most of the capacity. Guards against a Retry-After of the others that is
// far from their turn.
func TestRanked_RetryAfterBehindMoreUrgent(t *testing.T) {
	t.Parallel()
	median, served := retryError(t, 2)
	t.Logf("%d callers were served after their return, median error %.2f", served, median)
	require.Less(t, median, 1.0/3)
}
