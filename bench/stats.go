package bench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/record"
)

// The range and precision of histograms, in microseconds.
const (
	histogramLowest  = 1
	histogramHighest = int64(5 * time.Minute / time.Microsecond)
	histogramDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
}

// stats holds the counters and histograms of one run.
type stats struct {
	requests int
	refused  map[string]int
	// wrongful is the number of requests refused inside their organisation's rate.
	// Those of an organisation that requests more than its rate are counted in
	// wrongfulGreedy.
	wrongful int
	// failed is the number of requests that failed after they may have run, such
	// as answers that the end of an upstream cut.
	failed          int
	wrongfulGreedy  int
	stalls          *hdrhistogram.Histogram
	firstToken      *hdrhistogram.Histogram
	batchFirstToken *hdrhistogram.Histogram
	// byOrganisation holds the times to first token of prompt requests, by
	// organisation.
	byOrganisation   map[int]*hdrhistogram.Histogram
	loads            int
	evictions        int
	maxLoadsInFlight int
	notLoaded        int
	cutByKill        int
	engineBusy       time.Duration
	tokens           int64
	peerBytes        int64
	peerMessages     int64
	// Violations of invariants.
	servingEvictions    int
	dispatchedToLeaving int
	wrongAdapter        int
}

func newStats() *stats {
	return &stats{
		refused: map[string]int{}, stalls: newHistogram(), firstToken: newHistogram(), batchFirstToken: newHistogram(),
		byOrganisation: map[int]*hdrhistogram.Histogram{},
	}
}

// recordEnd records a request that has ended. A request without a first token is
// recorded with the time until it was abandoned. Refusals by the limiter are not
// recorded in the histograms.
func (s *stats) recordEnd(c *call, err *apierr.Error, now time.Time, greedy bool) {
	s.requests++
	if err != nil {
		s.refused[refusalName(err)]++
		if err.Ran == apierr.NotRun {
			s.countWrongful(c, greedy)
		} else {
			s.failed++
		}
		if slices.Contains([]apierr.Kind{apierr.RateLimited, apierr.RateUnknown, apierr.CostOverBurst}, err.Kind) {
			return
		}
	}
	if c.arrival.service() {
		return
	}
	first := c.firstTokenAt
	if first.IsZero() {
		first = now
	}
	wait := first.Sub(c.arrivedAt)
	s.recordWait(c, wait, greedy)
	if !c.coldAdapter {
		return
	}
	stalled := now
	if !c.dispatchedAt.IsZero() {
		stalled = c.dispatchedAt
	}
	observe(s.stalls, stalled.Sub(c.arrivedAt))
}

func (s *stats) countWrongful(c *call, greedy bool) {
	switch {
	case !c.withinRate:
	case greedy:
		s.wrongfulGreedy++
	default:
		s.wrongful++
	}
}

// recordWait records the time to first token of a request.
func (s *stats) recordWait(c *call, wait time.Duration, greedy bool) {
	if c.arrival.priority == record.PriorityBatch {
		observe(s.batchFirstToken, wait)
		return
	}
	observe(s.firstToken, wait)
	if greedy {
		return
	}
	h, ok := s.byOrganisation[c.arrival.organisation]
	if !ok {
		h = newHistogram()
		s.byOrganisation[c.arrival.organisation] = h
	}
	observe(h, wait)
}

// observe records a duration, limited to the range of the histogram.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramLowest), histogramHighest))
}
