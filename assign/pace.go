package assign

import (
	"math"
	"slices"
	"time"
)

// Bounds on the pace of an upstream: the time that work takes on it relative to the usual, so that larger is slower.
const (
	minPace = 0.05
	maxPace = 20
)

const (
	// momentaryPaceTime is how long a pace that deviates from the upstream's slow component is expected to last, and
	// the age at which a statement has no weight any more.
	momentaryPaceTime = 600 * time.Millisecond
	// paceSamples and paceSampleInterval make the slow component the median of statements that cover at least 1.35 s,
	// so that a deviation of momentaryPaceTime is never in the majority.
	paceSamples        = 9
	paceSampleInterval = 150 * time.Millisecond
	// paceHalfLife is the time after which the slow component counts half, on a logarithmic scale, if there have been no
	// further figures for paceKeptFor. An upstream that was slow for long, and therefore gets no requests, is tried again.
	paceHalfLife = 30 * time.Second
	paceKeptFor  = 10 * time.Second
	// samePaceRatio is the ratio up to which a pace does not count as deviating from the slow component.
	samePaceRatio = 1.2
	// sameMeasuredRatio is samePaceRatio for measurements, which vary with the step in progress and with prompts that
	// share it. With 1.2, engines at their usual pace were believed to be slower for a moment.
	sameMeasuredRatio = 1.4
)

// BoundPace returns a stated pace limited to what upstreams can have, and 0, which means not stated, for a figure that
// is not positive or not finite.
func BoundPace(pace float64) float64 {
	if !(pace > 0) || math.IsInf(pace, 0) {
		return 0
	}
	return math.Min(math.Max(pace, minPace), maxPace)
}

// pace is the pace of an upstream. Its slow component is the usual pace of the machine, its fast component the latest
// figure, which may hold for a moment only. It is taken from the upstream's statements or, if the upstream makes none,
// from measurements.
type pace struct {
	// stated is true once the upstream has stated its pace. Measurements are not used from then on.
	stated bool
	// samples are the latest figures at least paceSampleInterval apart, count their number and next the oldest of them.
	samples     [paceSamples]float64
	count, next int
	sampledAt   time.Time
	// slow is the slow component, 0 if unknown.
	slow float64
	// fast is the latest figure, from the time at. It has deviated from the slow component since deviatesSince, the
	// zero time if it does not.
	fast          float64
	at            time.Time
	deviatesSince time.Time
}

// state records a statement of the upstream. One that is not permanent does not change the slow component.
func (p *pace) state(now time.Time, figure float64, permanent bool) {
	if !p.stated {
		*p = pace{stated: true}
	}
	p.record(now, figure, permanent)
}

// observe records a measurement. It does nothing if the upstream states its pace.
func (p *pace) observe(now time.Time, figure float64) {
	if !p.stated {
		p.record(now, figure, true)
	}
}

func (p *pace) record(now time.Time, figure float64, permanent bool) {
	figure = BoundPace(figure)
	if figure == 0 {
		return
	}
	if permanent && (p.count == 0 || now.Sub(p.sampledAt) >= paceSampleInterval) {
		p.samples[p.next] = figure
		p.next = (p.next + 1) % paceSamples
		p.count = min(p.count+1, paceSamples)
		p.sampledAt = now
		p.slow = median(p.samples[:p.count])
	}
	p.fast, p.at = figure, now
	slow := p.slowComponent(now)
	ratio := sameMeasuredRatio
	if p.stated {
		ratio = samePaceRatio
	}
	deviates := max(figure/slow, slow/figure) > ratio
	switch {
	case !deviates:
		p.deviatesSince = time.Time{}
	case p.deviatesSince.IsZero():
		p.deviatesSince = now
	}
}

// median returns the lower median of up to paceSamples figures.
func median(figures []float64) float64 {
	var sorted [paceSamples]float64
	n := copy(sorted[:], figures)
	slices.Sort(sorted[:n])
	return sorted[(n-1)/2]
}

// slowComponent returns the usual pace of the upstream, 1 if unknown.
func (p *pace) slowComponent(now time.Time) float64 {
	if p.slow == 0 {
		return 1
	}
	unused := now.Sub(p.at) - paceKeptFor
	if unused <= 0 {
		return p.slow
	}
	return math.Pow(p.slow, math.Exp2(-float64(unused)/float64(paceHalfLife)))
}

// current returns the pace that is expected now.
func (p *pace) current(now time.Time) float64 {
	if p.deviation(now) > 0 {
		return p.fast
	}
	return p.slowComponent(now)
}

// deviation returns for how much longer the pace is expected to deviate from the slow component.
func (p *pace) deviation(now time.Time) time.Duration {
	if p.deviatesSince.IsZero() {
		return 0
	}
	// A deviation that has lasted for longer than expected, and has just been stated again, has not ended yet.
	return max(momentaryPaceTime-now.Sub(p.deviatesSince), momentaryPaceTime/2-now.Sub(p.at), 0)
}

// timeFor returns how long work takes from now on that takes the given time at usual pace.
func (p *pace) timeFor(now time.Time, work time.Duration) time.Duration {
	slow, left := p.slowComponent(now), p.deviation(now)
	if left == 0 {
		return fractionOf(work, slow)
	}
	if took := fractionOf(work, p.fast); took <= left {
		return took
	}
	return left + fractionOf(work-fractionOf(left, 1/p.fast), slow)
}
