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

// The timing model of the fake engine: every running request generates one token
// per step, and a step takes longer with more requests and more distinct adapters.
const (
	stepBase       = 18 * time.Millisecond
	stepPerRequest = 350 * time.Microsecond
	stepPerAdapter = 600 * time.Microsecond
	// prefillTokensPerStep is the number of prompt tokens that one step processes.
	prefillTokensPerStep = 256
	// maxCachedPrefixes is the number of prompt prefixes in an engine's cache.
	maxCachedPrefixes = 64
	// reportDelay is the age of a load report when it is read.
	reportDelay = 250 * time.Millisecond
	// lostCacheEventInterval is the interval, in events, at which a cache event is
	// lost.
	lostCacheEventInterval = 10
)

// fakeEngine simulates an engine with continuous batching, or a plain service.
type fakeEngine struct {
	clock          *clock
	record         *record.Upstream
	store          *weightStore
	incarnation    int
	adapters       map[record.AdapterRef]*residentAdapter
	running        []*job
	waiting        []*job
	lastAdvanced   time.Time
	generation     int
	cachedPrefixes []uint64
	cacheEvents    []upstream.CacheEvent
	cacheSequence  int64
	reportSequence int64
	pastReports    []pastReport
	fence          int64
	stats          *stats
}

type residentAdapter struct{ loading bool }

// job is one attempt on an engine.
type job struct {
	adapter record.AdapterRef
	prefix  uint64
	// prefill and answer are the steps that remain.
	prefill, answer float64
	tokens          int64
	onFirstToken    func()
	onEnd           func(request.Outcome, int64)
	firstReported   bool
}

type pastReport struct {
	at     time.Time
	report upstream.Report
}

// start adds an attempt to the engine. It reports false if the adapter is not
// loaded.
func (e *fakeEngine) start(j *job) bool {
	a, held := e.adapters[j.adapter]
	if !held || a.loading {
		return false
	}
	e.advance()
	if e.isCached(j.prefix) {
		j.prefill = 1
	}
	e.cachePrefix(j.prefix, j.adapter)
	if len(e.running) < e.record.MaxBatch {
		e.running = append(e.running, j)
	} else {
		e.waiting = append(e.waiting, j)
	}
	e.scheduleNext()
	return true
}

// isCached reports whether the prefix is in the cache.
func (e *fakeEngine) isCached(prefix uint64) bool { return slices.Contains(e.cachedPrefixes, prefix) }

// cachePrefix makes a prefix the newest of the cache, evicts the oldest one beyond
// maxCachedPrefixes, and adds the cache events.
func (e *fakeEngine) cachePrefix(prefix uint64, ref record.AdapterRef) {
	e.cachedPrefixes = slices.DeleteFunc(e.cachedPrefixes, func(p uint64) bool { return p == prefix })
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	e.addCacheEvent(prefix, ref, true)
	if len(e.cachedPrefixes) > maxCachedPrefixes {
		e.addCacheEvent(e.cachedPrefixes[0], ref, false)
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
}

// addCacheEvent adds an event unless it is one of those that are lost.
func (e *fakeEngine) addCacheEvent(prefix uint64, ref record.AdapterRef, stored bool) {
	e.cacheSequence++
	if e.cacheSequence%lostCacheEventInterval == 0 {
		return
	}
	e.cacheEvents = append(e.cacheEvents, upstream.CacheEvent{Sequence: e.cacheSequence, Adapter: ref.String(), Prefix: prefix, Stored: stored})
}

// stepTime returns the duration of one step with the present batch.
func (e *fakeEngine) stepTime() time.Duration {
	return stepBase + time.Duration(len(e.running))*stepPerRequest + time.Duration(e.distinctAdapters())*stepPerAdapter
}

func (e *fakeEngine) distinctAdapters() int {
	seen := map[record.AdapterRef]bool{}
	for _, j := range e.running {
		seen[j.adapter] = true
	}
	return len(seen)
}

// advance updates the progress of the running requests to the present time.
func (e *fakeEngine) advance() {
	elapsed := e.clock.now.Sub(e.lastAdvanced)
	e.lastAdvanced = e.clock.now
	if len(e.running) == 0 || elapsed <= 0 {
		return
	}
	steps := float64(elapsed) / float64(e.stepTime())
	e.stats.engineBusy += elapsed
	for _, j := range e.running {
		used := math.Min(steps, j.prefill)
		j.prefill -= used
		j.answer -= steps - used
	}
}

// stepEpsilon is the remainder of a step that counts as zero.
const stepEpsilon = 1e-6

// scheduleNext processes what is due, and schedules the next first token or end.
func (e *fakeEngine) scheduleNext() {
	e.processDue()
	e.generation++
	if len(e.running) == 0 {
		return
	}
	next := math.Inf(1)
	for _, j := range e.running {
		left := j.prefill + j.answer
		if !j.firstReported {
			left = j.prefill
		}
		next = math.Min(next, left)
	}
	generation := e.generation
	e.clock.after(time.Duration(next*float64(e.stepTime()))+time.Microsecond, func() {
		if generation == e.generation {
			e.advance()
			e.scheduleNext()
		}
	})
}

// processDue reports first tokens and ends that are due, and fills the batch.
func (e *fakeEngine) processDue() {
	kept := e.running[:0]
	for _, j := range e.running {
		if !j.firstReported && j.prefill <= stepEpsilon {
			j.firstReported = true
			j.onFirstToken()
		}
		if j.prefill+j.answer <= stepEpsilon {
			e.stats.tokens += j.tokens
			j.onEnd(request.Completed, j.tokens)
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

// inUse returns the numbers of the adapter's running and waiting requests.
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

// acceptFence reports whether an order with the given fence may be carried out, and
// if so raises the highest known fence to it.
func (e *fakeEngine) acceptFence(fence int64) bool {
	if e.record.ChecksFence && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

// load fetches an adapter from the weight store, and calls done with the result.
func (e *fakeEngine) load(ref record.AdapterRef, fence int64, done func(error)) {
	switch {
	case !e.acceptFence(fence):
		done(upstream.ErrFenced)
		return
	case e.adapters[ref] != nil:
		done(nil)
		return
	case len(e.adapters) >= e.record.AdapterSlots:
		done(upstream.ErrNoSlot)
		return
	}
	a := &residentAdapter{loading: true}
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

// unload removes an adapter. The unload of an adapter that has requests is counted
// as a violation and not carried out, so that the run can continue.
func (e *fakeEngine) unload(ref record.AdapterRef, fence int64) error {
	if !e.acceptFence(fence) {
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

// restart clears the adapters, the cache and the reports of the engine. All its
// requests end as lost.
func (e *fakeEngine) restart() {
	e.advance()
	lost := append(slices.Clone(e.running), e.waiting...)
	e.running, e.waiting = nil, nil
	e.adapters = map[record.AdapterRef]*residentAdapter{}
	e.cachedPrefixes, e.pastReports = nil, nil
	e.incarnation++
	e.generation++
	for _, j := range lost {
		j.onEnd(request.Lost, -1)
	}
}

// report returns the newest load report that is at least reportDelay old, or the
// oldest one if there is none.
func (e *fakeEngine) report() upstream.Report {
	e.reportSequence++
	r := upstream.Report{Incarnation: strconv.Itoa(e.incarnation), Sequence: e.reportSequence, Running: len(e.running), Waiting: len(e.waiting), KVFree: 1}
	for ref, a := range e.adapters {
		running, waiting := e.inUse(ref)
		r.Adapters = append(r.Adapters, upstream.AdapterState{Name: ref.String(), Running: running, Waiting: waiting, Loading: a.loading})
	}
	slices.SortFunc(r.Adapters, func(a, b upstream.AdapterState) int { return cmp.Compare(a.Name, b.Name) })
	e.pastReports = append(e.pastReports, pastReport{e.clock.now, r})
	for len(e.pastReports) > 1 && e.clock.now.Sub(e.pastReports[1].at) >= reportDelay {
		e.pastReports = e.pastReports[1:]
	}
	return e.pastReports[0].report
}

// canServe reports whether the engine holds the adapter and has finished its load.
func (e *fakeEngine) canServe(ref record.AdapterRef) bool {
	a, ok := e.adapters[ref]
	return ok && !a.loading
}
