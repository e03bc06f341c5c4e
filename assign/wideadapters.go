package assign

import (
	"slices"

	"github.com/jasminelock/jasminelock/catalog"
)

// serviceAdapter identifies an adapter within a service.
type serviceAdapter struct {
	service *service
	ref     catalog.AdapterRef
}

// wideAdapter lists the slots of an adapter that more than maxEvaluatedHolders engines of a service hold.
type wideAdapter struct {
	slots  []*slot
	byZone map[string][]*slot
	// lastAdded is the slot that was added last.
	lastAdded *slot
}

func (w *wideAdapter) add(s *slot) {
	s.zone = s.upstream.record.Zone
	w.slots = append(w.slots, s)
	w.byZone[s.zone] = append(w.byZone[s.zone], s)
	w.lastAdded = s
}

func (w *wideAdapter) remove(s *slot) {
	w.slots = removeSlot(w.slots, s)
	if w.byZone[s.zone] = removeSlot(w.byZone[s.zone], s); len(w.byZone[s.zone]) == 0 {
		delete(w.byZone, s.zone)
	}
	if w.lastAdded == s {
		w.lastAdded = nil
	}
}

// removeSlot removes a slot from a list without keeping the order.
func removeSlot(slots []*slot, s *slot) []*slot {
	i, last := slices.Index(slots, s), len(slots)-1
	if i < 0 {
		return slots
	}
	slots[i], slots[last] = slots[last], nil
	return slots[:last]
}

// addWide lists a slot that has just been added to the index, if the adapter is widely held.
func (h *adapterIndex) addWide(s *slot) {
	key := serviceAdapter{s.upstream.service, s.ref}
	if w, ok := h.wide[key]; ok {
		w.add(s)
		return
	}
	if len(h.slots[s.ref]) <= maxEvaluatedHolders {
		return
	}
	w := &wideAdapter{byZone: map[string][]*slot{}}
	for _, held := range h.slots[s.ref] {
		if held.upstream.service == s.upstream.service {
			w.add(held)
		}
	}
	if len(w.slots) > maxEvaluatedHolders {
		h.wide[key] = w
	}
}

func (h *adapterIndex) removeWide(s *slot) {
	key := serviceAdapter{s.upstream.service, s.ref}
	if w, ok := h.wide[key]; ok {
		if w.remove(s); len(w.slots) <= maxEvaluatedHolders {
			delete(h.wide, key)
		}
	}
}

// moveZone updates the index after a change of an upstream's zone.
func (h *adapterIndex) moveZone(u *upstream) {
	for _, s := range u.slots {
		if w, ok := h.wide[serviceAdapter{u.service, s.ref}]; ok {
			w.remove(s)
			w.add(s)
		}
	}
}

// maxPrefixes bounds each generation of recentPrefixes, to about 4 MB.
const maxPrefixes = 32 << 10

// recentPrefixes records, for widely held adapters, the upstream that was last assigned a request with each prefix block.
// Entries are kept for one to two generations of maxPrefixes.
type recentPrefixes struct {
	current, previous map[blockKey]*upstream
}

func (p *recentPrefixes) record(r *Request, u *upstream) {
	if p.current == nil || len(p.current) >= maxPrefixes {
		p.current, p.previous = map[blockKey]*upstream{}, p.current
	}
	for _, block := range r.PrefixBlocks {
		p.current[blockKey{r.Adapter, block.ID}] = u
	}
}

// last returns the upstream that was last assigned a request with the longest known prefix, nil if none is known.
func (p *recentPrefixes) last(r *Request) *upstream {
	for _, block := range slices.Backward(r.PrefixBlocks) {
		key := blockKey{r.Adapter, block.ID}
		if u, ok := p.current[key]; ok {
			return u
		}
		if u, ok := p.previous[key]; ok {
			return u
		}
	}
	return nil
}
