package assign

import (
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// What a choice weighs besides time.
const (
	// maxBacklog is the prefill that an engine is given ahead. What is beyond
	// waits here, where it can still go elsewhere or be put in order.
	maxBacklog = 450 * time.Millisecond
	// zoneCost is what another availability zone counts as.
	zoneCost = 4 * time.Millisecond
	// coldCopyCost is what another copy of an adapter counts as that has to come
	// from the weight store; it takes a place from some other adapter. warmCopyCost
	// is for one that the engine held recently.
	coldCopyCost = 350 * time.Millisecond
	warmCopyCost = 100 * time.Millisecond
	// storeCost is what a load from the weight store counts as beside its time: it
	// makes those of others slower.
	storeCost = 200 * time.Millisecond
	// placeWait is how long an engine without a place for an adapter usually takes
	// to have one.
	placeWait = 200 * time.Millisecond
	// evictCost is what dropping another adapter counts as.
	evictCost = 20 * time.Millisecond
	// disturbWeight is what a prompt's reading counts for each request that runs
	// meanwhile, whose tokens come later by it.
	disturbWeight = 0.15
	// disturbedWeight is what a request counts for its own tokens that come later
	// on an engine that spends all its time on prefill.
	disturbedWeight = 0.3
	// usualStep is the time that an engine takes to make a token.
	usualStep = 9 * time.Millisecond
	// errorCost is what an upstream counts as that fails every request.
	errorCost = 2 * time.Second
	// cacheMargin is the part of the KV cache that is planned with.
	cacheMargin = 0.95
)

// option is one way to serve a request.
type option struct {
	upstream *upstream
	slot     *slot
	// load says that the adapter has to be loaded first.
	load bool
	// grant says that the upstream can take the request now.
	grant bool
	cost  time.Duration
	why   string
}

// place gives a request to an upstream, or has its adapter loaded, and reports
// whether an upstream was given it.
func (a *Assigner) place(now time.Time, e *entry) bool {
	s := a.service(e.request.Service)
	best, ok := a.bestOption(now, s, e)
	if !ok {
		return false
	}
	if best.load {
		a.claim(e, a.startLoad(now, best.upstream, e.request.Adapter))
		return false
	}
	if !best.grant {
		a.claim(e, best.slot)
		return false
	}
	a.give(now, e, best)
	return true
}

// give gives a request to the upstream of an option.
func (a *Assigner) give(now time.Time, e *entry, o option) {
	u := o.upstream
	a.occupy(now, e, u, o.slot)
	g := Grant{ID: e.request.ID, Upstream: u.record.ID, StartedAt: u.record.StartedAt, Rule: o.why, Expected: o.cost}
	if o.slot != nil {
		g.Version = o.slot.version
	}
	a.decide(g)
}

// claim keeps an adapter's slot for a waiting request, which leaves the one that
// it claimed before.
func (a *Assigner) claim(e *entry, s *slot) {
	if e.slot == s {
		return
	}
	a.detach(e)
	e.slot = s
	if s != nil {
		s.claims++
	}
}

// bestOption returns the way with the least expected time to the first token.
func (a *Assigner) bestOption(now time.Time, s *service, e *entry) (option, bool) {
	candidates := a.candidates(s, e)
	best, found := a.bestOf(now, s, e, candidates, (*upstream).usable)
	if !found && !a.anyUsable(now, s) {
		// Where all have failed, one that is left alone is better than none.
		return a.bestOf(now, s, e, candidates, (*upstream).present)
	}
	return best, found
}

// bestOf returns the best way over the candidates that may be used.
func (a *Assigner) bestOf(now time.Time, s *service, e *entry, candidates []*upstream, may func(*upstream, time.Time) bool) (option, bool) {
	var best option
	found := false
	held := a.heldSomewhere(now, s, e)
	for _, u := range candidates {
		if !may(u, now) || !u.mayAsk(now, e.request.ID.Host) || slices.Contains(e.request.Avoid, u.record.ID) {
			continue
		}
		o, ok := a.option(now, u, e, held)
		if !ok {
			continue
		}
		if !found || o.cost < best.cost || (o.cost == best.cost && o.upstream.record.ID < best.upstream.record.ID) {
			best, found = o, true
		}
	}
	return best, found
}

// candidates returns the upstreams that are weighed: all of a small service; of
// a large one those that hold the adapter, the one that held it last and some
// others, so that a choice costs the same however many there are.
func (a *Assigner) candidates(s *service, e *entry) []*upstream {
	if len(s.upstreams) <= weighedAll {
		return s.upstreams
	}
	a.weighed = a.weighed[:0]
	for _, held := range a.holders.slots[e.request.Adapter] {
		if held.upstream.service == s {
			a.weighed = append(a.weighed, held.upstream)
		}
	}
	if last := a.holders.last[e.request.Adapter]; last != nil && last.service == s {
		a.weighed = append(a.weighed, last)
	}
	for range weighedOthers {
		a.weighed = append(a.weighed, s.upstreams[a.options.Random.IntN(len(s.upstreams))])
	}
	return a.weighed
}

// Bounds of the upstreams that are weighed for one request.
const (
	weighedAll    = 24
	weighedOthers = 16
)

// option returns how an upstream would serve a request.
func (a *Assigner) option(now time.Time, u *upstream, e *entry, held bool) (option, bool) {
	a.weighings++
	o := option{upstream: u, cost: time.Duration(u.errors * float64(errorCost))}
	if u.record.Zone != e.request.Zone {
		o.cost += zoneCost
	}
	if u.engine == nil {
		return u.plainOption(o)
	}
	if !u.models[e.request.Adapter.Model] || !u.fits(&e.request) {
		return o, false
	}
	backlog := u.backlog()
	prefill := time.Duration(u.prefillOf(now, &e.request)) * u.prefill
	o.grant = backlog <= maxBacklog && u.mayRead(now, prefill)
	o.cost += backlog + prefill
	o.cost += time.Duration(disturbWeight * float64(prefill) * float64(len(u.running)))
	o.cost += time.Duration(u.reading.read(now) * float64(disturbedCost(&e.request)))
	if e.request.Adapter.Adapter == "" {
		o.why = "least_expected"
		return o, true
	}
	return a.adapterOption(now, o, e, held)
}

// disturbedCost is what an engine counts as for a request that spends all its
// time on prefill.
func disturbedCost(r *Request) time.Duration {
	tokens := r.ExpectedOutput
	if tokens == 0 {
		tokens = r.OutputTokens / 2
	}
	return time.Duration(disturbedWeight * float64(tokens) * float64(usualStep))
}

// adapterOption adds what it takes to have the adapter on the engine.
func (a *Assigner) adapterOption(now time.Time, o option, e *entry, held bool) (option, bool) {
	u, ref := o.upstream, e.request.Adapter
	s, ok := u.slots[ref.Adapter]
	switch {
	case ok && s.state == slotResident && a.current(s):
		o.slot, o.why = s, "resident"
		return o, true
	case ok && (s.state == slotQueued || s.state == slotComing):
		o.grant, o.slot, o.why = false, s, "coming"
		o.cost += max(s.readyAt.Sub(now), pollInterval)
		return o, true
	case !a.options.SendsOrders || !u.orders.known:
		return o, false
	case ok:
		return o, false
	case !a.hasRoom(u):
		return a.warmOption(now, o, e)
	case !u.isWarm(ref.Adapter) && !a.cold.free():
		return o, false
	}
	o.load, o.grant, o.why = true, false, "load"
	o.cost += u.loadTime(ref.Adapter) + time.Duration(u.coming())*warmLoad
	if !u.isWarm(ref.Adapter) {
		o.cost += storeCost
	}
	if u.occupied() >= u.engine.AdapterSlots {
		o.cost += evictCost
	}
	if held {
		o.cost += a.copyCost(now, u, ref)
	}
	return o, true
}

// warmOption waits for a place on an engine without one that held the adapter
// recently, for as long as a load from the weight store would be no better.
func (a *Assigner) warmOption(now time.Time, o option, e *entry) (option, bool) {
	if !o.upstream.isWarm(e.request.Adapter.Adapter) {
		return o, false
	}
	o.grant, o.why = false, "wait_warm"
	o.cost += warmLoad + placeWait + now.Sub(e.request.Arrived)
	return o, true
}

// copyCost is what another copy of an adapter counts as: the less, the more of
// an engine each of its present copies is kept busy by.
func (a *Assigner) copyCost(now time.Time, u *upstream, ref catalog.AdapterRef) time.Duration {
	cost := coldCopyCost
	if u.isWarm(ref.Adapter) {
		cost = warmCopyCost
	}
	copies := max(len(a.holders.slots[ref]), 1)
	busy := a.demandOf(now, ref) * (usualPrompt * u.prefill).Seconds() / float64(copies)
	return time.Duration(float64(cost) * max(0, 1-busy/busyCopy))
}

// What tells that an adapter needs another copy.
const (
	// usualPrompt is the prompt of a usual request, in tokens.
	usualPrompt = 2000
	// busyCopy is the part of an engine that one copy may keep busy.
	busyCopy = 0.35
)

// current reports whether a slot holds the announced version.
func (a *Assigner) current(s *slot) bool {
	want, announced := a.versions[s.ref]
	return !announced || s.version >= want
}

// heldSomewhere reports whether an engine holds the request's adapter, or will.
func (a *Assigner) heldSomewhere(now time.Time, s *service, e *entry) bool {
	for _, held := range a.holders.slots[e.request.Adapter] {
		if held.upstream.service == s && held.upstream.usable(now) && held.state != slotEvicting && a.current(held) {
			return true
		}
	}
	return false
}

// fits reports whether an engine has a place in its batch and its cache.
func (u *upstream) fits(r *Request) bool {
	if len(u.running) == 0 {
		return true
	}
	need := r.PromptTokens + r.OutputTokens
	return len(u.running) < u.engine.BatchSize &&
		float64(u.cacheTokens+need) <= cacheMargin*float64(u.engine.CacheTokens)
}

// plainOption is how an upstream of a plain service would serve a request: the
// time that it takes for each request before and for this one.
func (u *upstream) plainOption(o option) (option, bool) {
	others := max(u.load.Waiting, 0)
	o.cost += time.Duration(len(u.running)+others+1) * u.work
	o.grant, o.why = true, "least_work"
	return o, true
}
