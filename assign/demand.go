package assign

import (
	"math"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// Half-lives of what is counted.
const (
	// demandHalfLife is when a past request for an adapter counts half.
	demandHalfLife = 3 * time.Second
	// readingHalfLife is when prefill that an engine was given counts half.
	readingHalfLife = 700 * time.Millisecond
)

// forgottenDemand is the rate, in requests a second, below which an adapter's
// demand is forgotten.
const forgottenDemand = 0.005

// decayed is a rate a second, in which old events count less and less.
type decayed struct {
	value    float64
	at       time.Time
	halfLife time.Duration
}

// add counts an event of the given size.
func (d *decayed) add(now time.Time, n float64) {
	d.value = d.read(now) + n*math.Ln2/d.halfLife.Seconds()
	d.at = now
}

// read returns the rate now.
func (d *decayed) read(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now.Sub(d.at))/float64(d.halfLife))
}

// noteDemand counts a request for an adapter.
func (a *Assigner) noteDemand(now time.Time, ref catalog.AdapterRef) {
	if ref.Adapter == "" {
		return
	}
	d, ok := a.demand[ref]
	if !ok {
		d = &decayed{halfLife: demandHalfLife}
		a.demand[ref] = d
	}
	d.add(now, 1)
}

// demandOf returns how often an adapter is asked for, a second.
func (a *Assigner) demandOf(now time.Time, ref catalog.AdapterRef) float64 {
	if d, ok := a.demand[ref]; ok {
		return d.read(now)
	}
	return 0
}

// forgetDemand drops the adapters that are hardly asked for any more.
func (a *Assigner) forgetDemand(now time.Time) {
	const looked = 32 // a few at a time, since map order is random
	n := 0
	for ref, d := range a.demand {
		if d.read(now) < forgottenDemand {
			delete(a.demand, ref)
		}
		if n++; n >= looked {
			return
		}
	}
}

// holders tells which engines hold an adapter, and which one held it last.
type holders struct {
	slots map[catalog.AdapterRef][]*slot
	last  map[catalog.AdapterRef]*upstream
}

func newHolders() holders {
	return holders{slots: map[catalog.AdapterRef][]*slot{}, last: map[catalog.AdapterRef]*upstream{}}
}

func (h *holders) add(s *slot) { h.slots[s.ref] = append(h.slots[s.ref], s) }

func (h *holders) remove(s *slot) {
	all := h.slots[s.ref]
	for i, other := range all {
		if other == s {
			all = append(all[:i:i], all[i+1:]...)
			break
		}
	}
	if len(all) == 0 {
		delete(h.slots, s.ref)
	} else {
		h.slots[s.ref] = all
	}
	h.last[s.ref] = s.upstream
}

// forget drops what is known of an upstream.
func (h *holders) forget(u *upstream) {
	for _, s := range u.slots {
		h.remove(s)
	}
	for ref, last := range h.last {
		if last == u {
			delete(h.last, ref)
		}
	}
}

// RestoreAdapterLocation notes that an engine held an adapter recently, as a host tells that
// sent requests there.
func (a *Assigner) RestoreAdapterLocation(now time.Time, ref catalog.AdapterRef, id string, born int64) {
	u, ok := a.upstreams[id]
	if !ok || u.record.StartedAt != born || u.engine == nil {
		return
	}
	if _, held := u.slots[ref.Adapter]; !held {
		u.keepWarm(now, ref.Adapter)
		a.holders.last[ref] = u
	}
}
