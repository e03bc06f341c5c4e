package assign

import "time"

// Stats is a summary of what an Assigner holds.
type Stats struct {
	Waiting  int
	InFlight int
	// SlotsUsed, SlotsIdle and SlotsMoving count the adapters that requests run
	// on or wait for, those that are only held, and those on their way in or out.
	SlotsUsed   int
	SlotsIdle   int
	SlotsMoving int
	// OptionsEvaluated counts how often it was weighed what one upstream would do for one
	// request.
	OptionsEvaluated uint64
	// Usable counts the upstreams that may be given requests.
	Usable int
	// PrefillFraction is the mean part of their time that engines spend on prefill.
	PrefillFraction float64
	// OldestReport is the greatest age of what an engine has told: its report, its
	// answer to an order or to a request.
	OldestReport time.Duration
}

// Stats returns a summary.
func (a *Assigner) Stats(now time.Time) Stats {
	s := Stats{Waiting: a.queues.count, InFlight: a.InFlight(), OptionsEvaluated: a.weighings}
	engines := 0
	for _, u := range a.upstreams {
		if u.usable(now) {
			s.Usable++
		}
		if u.engine == nil {
			continue
		}
		engines++
		s.OldestReport = max(s.OldestReport, now.Sub(u.heardAt))
		s.PrefillFraction += u.reading.read(now)
		for _, one := range u.slots {
			switch {
			case one.state != slotResident:
				s.SlotsMoving++
			case one.claims > 0:
				s.SlotsUsed++
			default:
				s.SlotsIdle++
			}
		}
	}
	s.PrefillFraction /= float64(max(engines, 1))
	return s
}
