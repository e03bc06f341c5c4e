package bench

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/upstream"
)

// The fake engine's law: every running request makes one token a step, and a
// step takes longer with more requests and with more different adapters.
const (
	stepBase       = 18 * time.Millisecond
	stepPerRequest = 350 * time.Microsecond
	stepPerAdapter = 600 * time.Microsecond
	// prefillPerStep is how many prompt tokens one step takes in.
	prefillPerStep = 256
	// cachedPrefixes is how many prompt prefixes an engine remembers.
	cachedPrefixes = 64
	// reportLag is how old a load report is.
	reportLag = 250 * time.Millisecond
	// cacheEventGap is the share of cache events that are lost: one in so many.
	cacheEventGap = 10
)

// fakeEngine is a model engine with continuous batching.
type fakeEngine struct {
	clock       *clock
	record      *record.Upstream
	store       *weightStore
	incarnation int
	adapters    map[record.AdapterRef]*loaded
	running     []*job
	waiting     []*job
	updated     time.Time
	generation  int
	prefixes    []uint64
	events      []upstream.CacheEvent
	sequence    int64
	reports     int64
	past        []pastReport
	fence       int64
	stats       *stats
}

type loaded struct{ loading bool }

// job is one attempt inside an engine.
type job struct {
	adapter record.AdapterRef
	prefix  uint64
	// prefill and answer are the steps still to run.
	prefill, answer float64
	tokens          int64
	first           func()
	end             func(request.Outcome, int64)
	firstTold       bool
}

type pastReport struct {
	at     time.Time
	report upstream.Report
}

func (e *fakeEngine) run(j *job) bool {
	a, held := e.adapters[j.adapter]
	if !held || a.loading {
		return false
	}
	e.advance()
	if e.knows(j.prefix) {
		j.prefill = 1
	}
	e.remember(j.prefix, j.adapter)
	if len(e.running) < e.record.MaxBatch {
		e.running = append(e.running, j)
	} else {
		e.waiting = append(e.waiting, j)
	}
	e.plan()
	return true
}

func (e *fakeEngine) knows(prefix uint64) bool { return slices.Contains(e.prefixes, prefix) }

// remember puts a prefix into the cache, and tells of it unless the event is lost.
func (e *fakeEngine) remember(prefix uint64, ref record.AdapterRef) {
	e.prefixes = slices.DeleteFunc(e.prefixes, func(p uint64) bool { return p == prefix })
	e.prefixes = append(e.prefixes, prefix)
	e.tell(prefix, ref, true)
	if len(e.prefixes) > cachedPrefixes {
		e.tell(e.prefixes[0], ref, false)
		e.prefixes = e.prefixes[1:]
	}
}

func (e *fakeEngine) tell(prefix uint64, ref record.AdapterRef, stored bool) {
	e.sequence++
	if e.sequence%cacheEventGap == 0 {
		return
	}
	e.events = append(e.events, upstream.CacheEvent{Sequence: e.sequence, Adapter: ref.String(), Prefix: prefix, Stored: stored})
}

// step is the time of one step with the batch as it is.
func (e *fakeEngine) step() time.Duration {
	return stepBase + time.Duration(len(e.running))*stepPerRequest + time.Duration(e.distinct())*stepPerAdapter
}

func (e *fakeEngine) distinct() int {
	seen := map[record.AdapterRef]bool{}
	for _, j := range e.running {
		seen[j.adapter] = true
	}
	return len(seen)
}

// advance lets the running requests progress up to now.
func (e *fakeEngine) advance() {
	elapsed := e.clock.now.Sub(e.updated)
	e.updated = e.clock.now
	if len(e.running) == 0 || elapsed <= 0 {
		return
	}
	steps := float64(elapsed) / float64(e.step())
	e.stats.engineBusy += elapsed
	for _, j := range e.running {
		used := math.Min(steps, j.prefill)
		j.prefill -= used
		j.answer -= steps - used
	}
}

// stepEpsilon is a part of a step that counts as none.
const stepEpsilon = 1e-6

// plan runs what is due and sets the time of the next milestone.
func (e *fakeEngine) plan() {
	e.settle()
	e.generation++
	if len(e.running) == 0 {
		return
	}
	next := math.Inf(1)
	for _, j := range e.running {
		left := j.prefill + j.answer
		if !j.firstTold {
			left = j.prefill
		}
		next = math.Min(next, left)
	}
	generation := e.generation
	e.clock.after(time.Duration(next*float64(e.step()))+time.Microsecond, func() {
		if generation == e.generation {
			e.advance()
			e.plan()
		}
	})
}

// settle tells of first tokens and ends, and fills the batch.
func (e *fakeEngine) settle() {
	kept := e.running[:0]
	for _, j := range e.running {
		if !j.firstTold && j.prefill <= stepEpsilon {
			j.firstTold = true
			j.first()
		}
		if j.prefill+j.answer <= stepEpsilon {
			e.stats.tokens += j.tokens
			j.end(request.Completed, j.tokens)
			continue
		}
		kept = append(kept, j)
	}
	clear(e.running[len(kept):])
	e.running = kept
	for len(e.running) < e.record.MaxBatch && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

// inUse counts the adapter's requests inside the engine.
func (e *fakeEngine) inUse(ref record.AdapterRef) (running, waiting int) {
	for _, j := range e.running {
		if j.adapter == ref {
			running++
		}
	}
	for _, j := range e.waiting {
		if j.adapter == ref {
			waiting++
		}
	}
	return running, waiting
}

// checkFence reports whether an order may be carried out.
func (e *fakeEngine) checkFence(fence int64) bool {
	if e.record.ChecksFence && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

func (e *fakeEngine) load(ref record.AdapterRef, fence int64, done func(error)) {
	switch {
	case !e.checkFence(fence):
		done(upstream.ErrFenced)
		return
	case e.adapters[ref] != nil:
		done(nil)
		return
	case len(e.adapters) >= e.record.AdapterSlots:
		done(upstream.ErrNoSlot)
		return
	}
	a := &loaded{loading: true}
	e.adapters[ref] = a
	e.stats.loads++
	e.store.fetch(func(err error) {
		if e.adapters[ref] != a {
			done(errRestarted)
			return
		}
		if err != nil {
			delete(e.adapters, ref)
			done(err)
			return
		}
		a.loading = false
		done(nil)
	})
}

// unload drops an adapter. Dropping one that serves is counted as a violation
// and not done, so that the run can go on.
func (e *fakeEngine) unload(ref record.AdapterRef, fence int64) error {
	if !e.checkFence(fence) {
		return upstream.ErrFenced
	}
	if _, held := e.adapters[ref]; !held {
		return nil
	}
	if running, waiting := e.inUse(ref); running+waiting > 0 {
		e.stats.servingEvictions++
		return errInUse
	}
	delete(e.adapters, ref)
	e.stats.evictions++
	return nil
}

// restart empties the engine. What ran is lost.
func (e *fakeEngine) restart() {
	e.advance()
	lost := append(slices.Clone(e.running), e.waiting...)
	e.running, e.waiting = nil, nil
	e.adapters = map[record.AdapterRef]*loaded{}
	e.prefixes, e.past = nil, nil
	e.incarnation++
	e.generation++
	for _, j := range lost {
		j.end(request.Lost, -1)
	}
}

// report returns the load as it was reportLag ago.
func (e *fakeEngine) report() upstream.Report {
	e.reports++
	r := upstream.Report{Incarnation: strconv.Itoa(e.incarnation), Sequence: e.reports, Running: len(e.running), Waiting: len(e.waiting), KVFree: 1}
	for ref, a := range e.adapters {
		running, waiting := e.inUse(ref)
		r.Adapters = append(r.Adapters, upstream.AdapterState{Name: ref.String(), Running: running, Waiting: waiting, Loading: a.loading})
	}
	slices.SortFunc(r.Adapters, func(a, b upstream.AdapterState) int { return cmp.Compare(a.Name, b.Name) })
	e.past = append(e.past, pastReport{e.clock.now, r})
	for len(e.past) > 1 && e.clock.now.Sub(e.past[1].at) >= reportLag {
		e.past = e.past[1:]
	}
	return e.past[0].report
}

// holds reports whether the adapter can serve.
func (e *fakeEngine) holds(ref record.AdapterRef) bool {
	a, ok := e.adapters[ref]
	return ok && !a.loading
}
