package assign

import (
	"math"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// Half-lives of the decaying rates.
const (
	// demandHalfLife is the half-life of an adapter's request rate.
	demandHalfLife = 3 * time.Second
	// prefillHalfLife is the half-life of the prefill time assigned to an engine.
	prefillHalfLife = 700 * time.Millisecond
)

// minDemand is the rate, in requests per second, below which an adapter's demand is dropped.
const minDemand = 0.005

// decayingRate is an event rate per second in which the weight of past events decays exponentially.
type decayingRate struct {
	value    float64
	at       time.Time
	halfLife time.Duration
}

// add counts an event of size n.
func (d *decayingRate) add(now time.Time, n float64) {
	d.value = d.rate(now) + n*math.Ln2/d.halfLife.Seconds()
	d.at = now
}

// rate returns the current rate per second.
func (d *decayingRate) rate(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now.Sub(d.at))/float64(d.halfLife))
}

// recordDemand counts a request for an adapter.
func (a *Assigner) recordDemand(now time.Time, ref catalog.AdapterRef) {
	if ref.Adapter == "" {
		return
	}
	d, ok := a.demand[ref]
	if !ok {
		d = &decayingRate{halfLife: demandHalfLife}
		a.demand[ref] = d
	}
	d.add(now, 1)
}

// demandOf returns the request rate of an adapter, in requests per second.
func (a *Assigner) demandOf(now time.Time, ref catalog.AdapterRef) float64 {
	if d, ok := a.demand[ref]; ok {
		return d.rate(now)
	}
	return 0
}

// pruneDemand drops adapters with hardly any requests.
func (a *Assigner) pruneDemand(now time.Time) {
	const maxChecked = 32 // a sample per call is enough, since map order is random
	n := 0
	for ref, d := range a.demand {
		if d.rate(now) < minDemand {
			delete(a.demand, ref)
		}
		if n++; n >= maxChecked {
			return
		}
	}
}

// adapterIndex records which engines hold an adapter, and which engine held it last.
type adapterIndex struct {
	slots      map[catalog.AdapterRef][]*slot
	lastHolder map[catalog.AdapterRef]*upstream
	// wide holds the adapters that more than maxEvaluatedHolders engines of a service hold.
	wide map[serviceAdapter]*wideAdapter
}

func newAdapterIndex() adapterIndex {
	return adapterIndex{
		slots: map[catalog.AdapterRef][]*slot{}, lastHolder: map[catalog.AdapterRef]*upstream{}, wide: map[serviceAdapter]*wideAdapter{},
	}
}

func (h *adapterIndex) add(s *slot) {
	h.slots[s.ref] = append(h.slots[s.ref], s)
	h.addWide(s)
}

func (h *adapterIndex) remove(s *slot) {
	held := h.slots[s.ref]
	for i, other := range held {
		if other == s {
			held = append(held[:i:i], held[i+1:]...)
			break
		}
	}
	if len(held) == 0 {
		delete(h.slots, s.ref)
	} else {
		h.slots[s.ref] = held
	}
	h.lastHolder[s.ref] = s.upstream
	h.removeWide(s)
}

// removeUpstream removes an upstream from the index.
func (h *adapterIndex) removeUpstream(u *upstream) {
	for _, s := range u.slots {
		h.remove(s)
	}
	for ref, last := range h.lastHolder {
		if last == u {
			delete(h.lastHolder, ref)
		}
	}
}

// RestoreAdapterLocation records that an engine held an adapter recently, as reported by a host that sent requests to
// the engine. Reports for another incarnation of the engine are ignored.
func (a *Assigner) RestoreAdapterLocation(now time.Time, ref catalog.AdapterRef, id string, startedAt int64) {
	u, ok := a.upstreams[id]
	if !ok || u.record.StartedAt != startedAt || u.engine == nil {
		return
	}
	if _, held := u.slots[ref.Adapter]; !held {
		u.markWarm(now, ref.Adapter)
		a.adapterIndex.lastHolder[ref] = u
	}
}
