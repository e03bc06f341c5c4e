package assign

import "time"

// usageSteps is the number of steps that a window is divided into.
const usageSteps = 40

// usage counts the tokens that an organisation has used in the last window.
type usage struct {
	step time.Duration
	// tokens is a ring of counts, one per step, indexed by the step's number modulo the length. It has one step
	// more than the window so that the count is never too low.
	tokens [usageSteps + 1]float64
	// restored holds the tokens that an earlier Assigner has recorded. Hosts may have reported the same tokens,
	// which are then also in tokens.
	restored [usageSteps + 1]float64
	// last is the number of the newest step.
	last int64
}

func newUsage(window time.Duration) *usage {
	return &usage{step: max(window/usageSteps, time.Millisecond)}
}

func (u *usage) stepNumber(at time.Time) int64 { return at.UnixNano() / int64(u.step) }

// advance clears the steps that have left the window.
func (u *usage) advance(now time.Time) {
	n := u.stepNumber(now)
	for k := max(u.last+1, n-usageSteps); k <= n; k++ {
		u.tokens[k%int64(len(u.tokens))] = 0
		u.restored[k%int64(len(u.tokens))] = 0
	}
	u.last = max(u.last, n)
}

// add counts tokens that were used at the given time. Tokens before the window are not counted.
func (u *usage) add(now, at time.Time, tokens float64) {
	u.addTo(&u.tokens, now, at, tokens)
}

// restore counts tokens that an earlier Assigner has recorded.
func (u *usage) restore(now, at time.Time, tokens float64) {
	u.addTo(&u.restored, now, at, tokens)
}

func (u *usage) addTo(steps *[usageSteps + 1]float64, now, at time.Time, tokens float64) {
	u.advance(now)
	k := min(u.stepNumber(at), u.last)
	if k > u.last-int64(len(steps)) {
		steps[k%int64(len(steps))] += tokens
	}
}

// inStep returns the usage in a step: the larger of the counted and the restored tokens, which may be the same
// ones.
func (u *usage) inStep(k int64) float64 {
	i := k % int64(len(u.tokens))
	return max(u.tokens[i], u.restored[i])
}

// sum returns the tokens used in the window.
func (u *usage) sum(now time.Time) float64 {
	u.advance(now)
	total := 0.0
	for k := u.last - usageSteps; k <= u.last; k++ {
		total += u.inStep(k)
	}
	return total
}

// bucketLevel returns the tokens in a bucket of the given size that gains perSecond tokens per second and was full at the
// beginning of the window.
func (u *usage) bucketLevel(now time.Time, perSecond, size float64) float64 {
	u.advance(now)
	level, gain := size, perSecond*u.step.Seconds()
	for k := u.last - usageSteps; k <= u.last; k++ {
		level = min(level+gain, size) - u.inStep(k)
	}
	return level
}

// timeUntil returns the time until the window holds no more than the given number of tokens.
func (u *usage) timeUntil(now time.Time, limit float64) time.Duration {
	total := u.sum(now)
	for k := u.last - usageSteps; k <= u.last; k++ {
		total -= u.inStep(k)
		if total <= limit {
			return time.Duration(k-u.last+usageSteps+1) * u.step
		}
	}
	return u.step * usageSteps
}

// each calls f for each step with non-zero usage.
func (u *usage) each(now time.Time, f func(at time.Time, tokens float64)) {
	u.advance(now)
	for k := u.last - usageSteps; k <= u.last; k++ {
		if t := u.inStep(k); t != 0 {
			f(time.Unix(0, k*int64(u.step)), t)
		}
	}
}
