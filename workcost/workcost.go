// Package workcost estimates how much work a request causes: the number of tokens that an engine generates for it, and
// the time that a plain service takes. It learns from requests that have ended, by route, organisation and adapter.
//
// The estimates are hierarchical: that of a route starts from a prior, that of an organisation on the route from the
// route's, and that of an adapter from the organisation's. Work varies by large factors between requests that look
// alike, so means and spreads are kept on a logarithmic scale.
//
// The package is pure: it uses no clock and no random source.
package workcost

import (
	"container/list"
	"math"
)

const (
	// priorWeight is the number of observations that the estimate of the next higher level counts for.
	priorWeight = 6
	// maxObservations is the number of observations after which an older one loses weight, so that estimates follow a
	// change within some hundred requests.
	maxObservations = 200
	// maxLogRatio bounds a single observation, relative to its prior, to a factor of about 400.
	maxLogRatio = 6
	// priorSpread is the log-spread that is assumed before there are observations, near that of users' requests.
	priorSpread = 1
)

// Key states what a request has in common with others.
type Key struct {
	Route        string
	Organisation string
	Model        string
	Adapter      string
	// Hinted is true if the prior is the caller's own estimate. Such requests are learned apart, since their work
	// differs far less from the prior.
	Hinted bool
}

// Estimate is the expected work of a request.
type Estimate struct {
	// Median is the value that half of such requests exceed.
	Median float64
	// Spread is the standard deviation of the logarithm.
	Spread float64
}

// Mean is the arithmetic mean, which the work of many such requests adds up to.
func (e Estimate) Mean() float64 { return e.Median * math.Exp(e.Spread*e.Spread/2) }

// level is what has been learned at one level: the moments of the logarithm of the ratio of the work to its prior.
type level struct {
	key   levelKey
	count float64
	mean  float64
	// squares is the mean of the squared deviations from the estimate of the next higher level.
	squares float64
}

// levelKey identifies an entry. The fields of key that lie below the level are empty.
type levelKey struct {
	key   Key
	depth uint8
}

// levels is the number of levels of a key.
const levels = 3

// Learner learns the work of requests. The entries that have not been used for longest are dropped beyond its
// capacity.
type Learner struct {
	capacity int
	entries  map[levelKey]*list.Element
	// recent holds the entries, the most recently used first.
	recent *list.List
}

// New returns a Learner that keeps at most the given number of entries.
func New(capacity int) *Learner {
	return &Learner{capacity: max(capacity, levels), entries: map[levelKey]*list.Element{}, recent: list.New()}
}

// Len returns the number of entries.
func (l *Learner) Len() int { return l.recent.Len() }

// levels returns the keys of the levels, from the most general one.
func (k Key) levels() [levels]levelKey {
	return [levels]levelKey{
		{Key{Route: k.Route, Hinted: k.Hinted}, 0},
		{Key{Route: k.Route, Organisation: k.Organisation, Hinted: k.Hinted}, 1},
		{k, 2},
	}
}

// Estimate returns the expected work of a request for which the prior would be expected without observations.
func (l *Learner) Estimate(k Key, prior float64) Estimate {
	mean, variance := 0.0, float64(priorSpread*priorSpread)
	for _, key := range k.levels() {
		if element, ok := l.entries[key]; ok {
			l.recent.MoveToFront(element)
			mean, variance = entry(element).combine(mean, variance)
		}
	}
	return Estimate{Median: prior * math.Exp(mean), Spread: math.Sqrt(variance)}
}

// Observe records the work of a request that has ended. Figures that are not positive are ignored.
func (l *Learner) Observe(k Key, prior, actual float64) {
	if !(prior > 0) || !(actual > 0) {
		return
	}
	ratio := min(max(math.Log(actual/prior), -maxLogRatio), maxLogRatio)
	mean, variance := 0.0, float64(priorSpread*priorSpread)
	for _, key := range k.levels() {
		e := l.touch(key)
		e.count = min(e.count+1, maxObservations)
		e.mean += (ratio - e.mean) / e.count
		expected, _ := e.combine(mean, variance)
		e.squares += ((ratio-expected)*(ratio-expected) - e.squares) / e.count
		mean, variance = e.combine(mean, variance)
	}
}

// combine returns the mean and the variance at a level, given those of the next higher one.
func (e *level) combine(mean, variance float64) (float64, float64) {
	weight := e.count / (e.count + priorWeight)
	return mean + weight*(e.mean-mean), variance + weight*(e.squares-variance)
}

// touch returns the entry of a key, and creates it if necessary.
func (l *Learner) touch(k levelKey) *level {
	if element, ok := l.entries[k]; ok {
		l.recent.MoveToFront(element)
		return entry(element)
	}
	if l.recent.Len() >= l.capacity {
		oldest := l.recent.Back()
		delete(l.entries, entry(oldest).key)
		l.recent.Remove(oldest)
	}
	e := &level{key: k}
	l.entries[k] = l.recent.PushFront(e)
	return e
}

func entry(element *list.Element) *level {
	return element.Value.(*level) //nolint:errcheck,forcetypeassert // only touch adds elements
}
