package assign

import (
	"maps"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/throttle"
)

// referenceCapacity computes the capacity of a service from all of its upstreams.
func referenceCapacity(now time.Time, s *service) capacityEstimate {
	allPaused := true
	for _, u := range s.upstreams {
		allPaused = allPaused && (u.draining() || now.Before(u.pausedUntil))
	}
	c := capacityEstimate{opensIn: maxKnownRetryAfter}
	present := 0
	for _, u := range s.upstreams {
		if u.draining() || (now.Before(u.pausedUntil) && !allPaused) {
			continue
		}
		present++
		c.requestTime += u.requestTime
		c.opensIn = min(c.opensIn, max(u.fullUntil.Sub(now), 0))
		rate, stated, gap := u.workRate(now, s.line.meanWork())
		c.rate += rate
		c.stated += stated
		c.gap = max(c.gap, gap)
	}
	c.requestTime /= time.Duration(max(present, 1))
	return c
}

// capacityRun applies random events to a ranked simulation with engines and plain upstreams.
type capacityRun struct {
	w      *simulation
	random *rand.Rand
	number uint64
}

func newCapacityRun(t *testing.T, seed uint64) *capacityRun {
	w := newSimulation(t, seed, 5, 3)
	for _, e := range w.engines {
		e.held["a"] = 1
	}
	w.startRankedLeader()
	w.addSlowPlain(4, 40)
	w.run(20 * time.Millisecond)
	return &capacityRun{w: w, random: rand.New(rand.NewPCG(seed, 7))}
}

func (r *capacityRun) upstream() string {
	return []string{"e0", "e1", "e2", "e3", "e4", "p0", "p1", "p2", "p3"}[r.random.IntN(9)]
}

// change applies an event that concerns a random upstream, or all.
func (r *capacityRun) change() {
	w, id := r.w, r.upstream()
	key := throttle.Incarnation{ID: id, StartedAt: 1}
	switch r.random.IntN(16) {
	case 0:
		limit := throttle.Limit{PerSecond: float64(r.random.IntN(20)), HeardAt: w.now}
		if r.random.IntN(2) == 0 {
			limit.WithdrawnAt = w.now
		}
		w.handle(RateLimitUpdated{Upstream: key, Limit: limit, Share: 1})
	case 1, 2:
		w.handle(RateLimitEnded{Upstream: key})
	case 3:
		w.handle(LoadStated{Upstream: id, StartedAt: 1, Load: Load{Pace: 0.5 + r.random.Float64()}})
	case 4:
		r.updateRecord(id)
	case 5:
		w.handle(EvacuationsUpdated{map[string]bool{"z": r.random.IntN(4) == 0}})
	case 6:
		if r.random.IntN(5) == 0 {
			w.handle(UpstreamLeaving{Upstream: id, StartedAt: 1})
		}
	case 7, 8:
		if u, ok := w.assigner.upstreams[id]; ok {
			w.handle(OrderEnded{Upstream: id, StartedAt: 1, Order: u.orders.inFlight, Result: OrderMisdirected})
		}
	case 9:
		w.handle(ConfigUpdated{w.config})
	default:
		r.endAttempt()
	}
}

// updateRecord changes an upstream's entry in the store: it drains, is in a slow start, has other slots or is missing.
func (r *capacityRun) updateRecord(id string) {
	records := maps.Clone(r.w.records)
	record := *records[id]
	switch r.random.IntN(4) {
	case 0:
		delete(records, id)
	default:
		record.Draining = r.random.IntN(3) == 0
		record.SlowStartRemaining = time.Duration(r.random.IntN(3)) * 200 * time.Millisecond
		record.Slots = 1 + r.random.IntN(64)
		records[id] = &record
	}
	r.w.handle(UpstreamsUpdated{records})
}

// endAttempt ends the attempt of some running request.
func (r *capacityRun) endAttempt() {
	outcomes := []Outcome{Completed, Completed, Completed, Failed, Full, TimedOut, Unreachable, Lost, Replaced}
	for id, e := range r.w.assigner.requests {
		if e.upstream != nil {
			r.w.handle(AttemptEnded{ID: id, Outcome: outcomes[r.random.IntN(len(outcomes))]})
			return
		}
	}
}

func (r *capacityRun) submit() {
	r.number++
	if r.random.IntN(2) == 0 {
		r.w.submitRankedPlain(r.number)
	} else {
		r.w.submit(r.number, "a", func(q *Request) { q.PromptTokens = 100 + r.random.IntN(5000) })
	}
}

// Guards against sums over upstreams that miss a change: a pause, its end, a limit, a learned speed, an upstream that comes
// or goes.
func TestRanked_CapacitySameAsScan(t *testing.T) {
	t.Parallel()
	rates := map[string]bool{}
	for seed := range uint64(30) {
		r := newCapacityRun(t, seed)
		a := r.w.assigner
		for step := range 400 {
			if r.random.IntN(3) == 0 {
				r.w.run(time.Duration(r.random.IntN(60)) * time.Millisecond)
			}
			r.submit()
			r.change()
			a.invalidateCapacity()
			for _, name := range []string{"s", "plain"} {
				s := a.service(name)
				if s.line == nil {
					continue
				}
				want, got := referenceCapacity(r.w.now, s), a.capacity(r.w.now, s)
				require.InDelta(t, want.rate, got.rate, 1e-9*(1+want.rate), "seed %d, step %d, %s", seed, step, name)
				require.InDelta(t, want.stated, got.stated, 1e-9*(1+want.stated), "seed %d, step %d, %s", seed, step, name)
				want.rate, want.stated = got.rate, got.stated
				require.Equal(t, want, got, "seed %d, step %d, %s", seed, step, name)
				rates[strconv.FormatFloat(got.rate, 'g', 4, 64)] = true
			}
		}
	}
	t.Logf("%d different rates", len(rates))
	require.Greater(t, len(rates), 1000)
}
