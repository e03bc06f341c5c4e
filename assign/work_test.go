package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Requests that look alike must be charged for the work that they cause: fair shares and admission are counted in it. Until
// there are observations, the hint or half of the allowed output counts.
func TestExpectedWork_Learned(t *testing.T) {
	w := newSimulation(t, 1, 1, 2)
	a, now := w.assigner, w.now
	a.options.Scheduling, a.options.LearnPace = ByUrgency, true
	s := a.service("s")
	request := func(n uint64, organisation string) Request {
		r := modelRequest(now, n)
		r.Organisation, r.PromptTokens, r.OutputTokens = organisation, 100, 4000
		return r
	}
	first := request(0, "long")
	require.Greater(t, a.expectedWork(s, &first), 2000*decodeTokenWork)
	for n := range uint64(60) {
		r := request(n, "long")
		tokens := 3000
		if n%2 == 0 {
			r.Organisation, tokens = "short", 30
		}
		a.Handle(now, RequestSubmitted{r})
		now = now.Add(100 * time.Millisecond)
		a.Handle(now, FirstByteReceived{r.ID})
		now = now.Add(time.Duration(tokens) * typicalTokenTime)
		a.Handle(now, AttemptEnded{ID: r.ID, Outcome: Completed, Feedback: UpstreamFeedback{OutputTokens: tokens}})
	}
	long, short := request(100, "long"), request(101, "short")
	require.Greater(t, a.expectedWork(s, &long), 10*a.expectedWork(s, &short))
	require.Less(t, a.expectedWork(s, &short), 100*assumedPrefillPerToken+300*decodeTokenWork)
	hinted := request(102, "short")
	hinted.ExpectedOutput = 1000
	require.Greater(t, a.expectedWork(s, &hinted), 900*decodeTokenWork, "a hint is not corrected by requests without one")
}

// The time of plain requests is learned at usual pace, and only from requests that did not wait in the upstream.
func TestExpectedWork_PlainAtUsualPace(t *testing.T) {
	a, now := newPlainAssigner(t, 1)
	statePaces(a, now, map[string]float64{"p0": 1.7})
	const work = 50 * time.Millisecond
	for n := range uint64(100) {
		r := plainRequest(now, n)
		a.Handle(now, RequestSubmitted{r})
		now = now.Add(fractionOf(work, 1.7))
		a.Handle(now, AttemptEnded{ID: r.ID, Outcome: Completed, Feedback: UpstreamFeedback{Load: &Load{Pace: 1.7}}})
	}
	r := plainRequest(now, 1000)
	require.InDelta(t, float64(work), float64(a.expectedWork(a.service("plain"), &r)), float64(work)/5)
	before := a.expectedWork(a.service("plain"), &r)
	for n := range uint64(20) {
		a.Handle(now, RequestSubmitted{plainRequest(now, 2000+n)})
	}
	a.Handle(now.Add(10*time.Second), AttemptEnded{ID: RequestID{"h", 2019}, Outcome: Completed})
	require.Equal(t, before, a.expectedWork(a.service("plain"), &r))
}

// Guards against request times that are learned without a stated pace and without ranking.
func TestExpectedWork_NotLearnedWithoutPace(t *testing.T) {
	a, now := newPlainAssigner(t, 1)
	r := plainRequest(now, 1)
	a.Handle(now, RequestSubmitted{r})
	a.Handle(now.Add(time.Second), AttemptEnded{ID: r.ID, Outcome: Completed})
	require.Zero(t, a.costs.requestTimes.Len())
}
