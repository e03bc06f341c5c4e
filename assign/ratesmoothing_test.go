package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
)

// An organisation sends four times its rate for 16 s. In a ranked service it is served at its rate all the time. Guards
// against serving all of its requests for two seconds and none for the six that follow.
func TestRateSmoothing_GreedyOrganisation(t *testing.T) {
	longestGap := func(scheduling Scheduling) (gap time.Duration, tokens float64) {
		w := newSimulation(t, 1, 4, 4)
		w.assigner.options.Scheduling = scheduling
		w.run(50 * time.Millisecond)
		number, start, last := uint64(0), w.now, w.now
		for w.now.Sub(start) < 16*time.Second {
			number++
			// 100 tokens every 25 ms are four times the 1,000 tokens per second of the organisation.
			id := w.submit(number, "a", func(r *Request) {
				r.Organisation, r.Cost, r.PromptTokens = "o", 100, 100
				r.Target, r.Deadline = w.now.Add(time.Second), w.now.Add(5*time.Second)
			})
			if refusal, refused := w.refused[id]; refused {
				require.Equal(t, apierr.RateLimited, refusal.Kind)
				require.Positive(t, refusal.RetryAfter)
			} else {
				gap, last = max(gap, w.now.Sub(last)), w.now
				tokens += 100
			}
			w.run(25 * time.Millisecond)
		}
		return gap, tokens
	}
	gap, tokens := longestGap(ByUrgency)
	require.Less(t, gap, 300*time.Millisecond)
	require.Greater(t, tokens, 16*1000.0, "what the rate allows is not refused")
	gap, _ = longestGap(ByArrival)
	require.Greater(t, gap, 2*time.Second, "a service that is not ranked is served as before")
}
