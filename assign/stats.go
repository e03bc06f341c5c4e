package assign

import "time"

// Stats is a summary of an Assigner's state.
type Stats struct {
	Waiting  int
	InFlight int
	// SlotsUsed, SlotsIdle and SlotsMoving count the adapters that requests use or wait for, those that are
	// resident but unused, and those that are being loaded or evicted.
	SlotsUsed   int
	SlotsIdle   int
	SlotsMoving int
	// OptionsEvaluated counts how often the option of serving a request on an upstream was evaluated.
	OptionsEvaluated uint64
	// Usable counts the upstreams that may be assigned requests.
	Usable int
	// PrefillFraction is the mean fraction of their time that engines spend on prefill.
	PrefillFraction float64
	// OldestReport is the greatest age, over all engines, of the last information received from an engine: a
	// report, an answer to an order or an answer to a request.
	OldestReport time.Duration
}

// Stats returns a summary of the state at the given time.
func (a *Assigner) Stats(now time.Time) Stats {
	s := Stats{Waiting: a.queues.count, InFlight: a.InFlight(), OptionsEvaluated: a.optionsEvaluated}
	engines := 0
	for _, u := range a.upstreams {
		if u.usable(now) {
			s.Usable++
		}
		if u.engine == nil {
			continue
		}
		engines++
		s.OldestReport = max(s.OldestReport, now.Sub(u.lastHeardAt))
		s.PrefillFraction += u.prefillLoad.rate(now)
		for _, held := range u.slots {
			switch {
			case held.state != slotResident:
				s.SlotsMoving++
			case held.claims > 0:
				s.SlotsUsed++
			default:
				s.SlotsIdle++
			}
		}
	}
	s.PrefillFraction /= float64(max(engines, 1))
	return s
}
