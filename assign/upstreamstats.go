package assign

import (
	"cmp"
	"slices"
	"time"
)

// UpstreamStats is what is known of the work and the speed of an upstream.
type UpstreamStats struct {
	ID      string
	Service string
	// Running is the number of requests that are assigned to the upstream.
	Running int
	// RemainingWork is the time that the work assigned to the upstream takes at usual pace, RemainingTime the time that
	// it is expected to take on this upstream from now on.
	RemainingWork time.Duration
	RemainingTime time.Duration
	// SlowPace is the usual pace of the machine, FastPace the pace that is expected now; larger is slower, 1 is usual.
	SlowPace float64
	FastPace float64
	// PaceStated is true if the upstream states its pace, otherwise the pace is measured. PaceAge is the time since the
	// last figure, 0 if there is none.
	PaceStated bool
	PaceAge    time.Duration
	// ByWork is true if upstreams of the service are chosen by these figures.
	ByWork bool
}

// UpstreamStats returns what is known of the upstreams, ordered by ID.
func (a *Assigner) UpstreamStats(now time.Time) []UpstreamStats {
	all := make([]UpstreamStats, 0, len(a.upstreams))
	for id, u := range a.upstreams {
		work := u.remainingWork(now)
		stats := UpstreamStats{
			ID: id, Service: u.record.Service, Running: len(u.running), RemainingWork: work, RemainingTime: u.timeFor(now, work),
			SlowPace: u.pace.slowComponent(now), FastPace: u.pace.current(now), PaceStated: u.pace.stated, ByWork: u.byWork(),
		}
		if !u.pace.at.IsZero() {
			stats.PaceAge = now.Sub(u.pace.at)
		}
		all = append(all, stats)
	}
	slices.SortFunc(all, func(x, y UpstreamStats) int { return cmp.Compare(x.ID, y.ID) })
	return all
}
