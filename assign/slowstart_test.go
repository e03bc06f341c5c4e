package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// slowStartRate is the number of requests per second that an engine accepts during slow start. The fleet must stay
// below slowStartCrashRate in any second.
const (
	slowStartRate      = 4
	slowStartCrashRate = 1.5*slowStartRate + 5
	slowStartTime      = 3 * time.Second
)

// newSlowStartSimulation returns a simulation whose engines have slow-start limits.
func newSlowStartSimulation(t *testing.T, engines int) *simulation {
	w := newSimulation(t, 1, engines, 3)
	engine := w.config.Service("s").Engine
	w.config = catalog.NewConfig(catalog.ConfigParts{
		Version:       2,
		Services:      []catalog.Service{{Name: "s", Engine: engine, SlowStart: catalog.SlowStart{RequestsPerSecond: slowStartRate, Period: slowStartTime}}},
		Organisations: []catalog.Organisation{{Name: "o", TokensPerSecond: 1e9, BurstTokens: 1e9}},
	})
	w.handle(ConfigUpdated{w.config})
	w.run(50 * time.Millisecond)
	return w
}

// updateRecord changes an engine's record.
func (w *simulation) updateRecord(id string, change func(u *catalog.Upstream)) {
	listed := map[string]*catalog.Upstream{}
	for other, r := range w.records {
		c := *r
		if other == id {
			change(&c)
		}
		listed[other] = &c
	}
	w.records = listed
	w.handle(UpstreamsUpdated{listed})
}

// submitRepeatedly requests one adapter far more often than an engine in slow start accepts requests, and returns
// the times of the assignments to each engine.
func (w *simulation) submitRepeatedly(first uint64, d time.Duration) map[string][]time.Time {
	assigned := map[string][]time.Time{}
	for n, end := first, w.now.Add(d); w.now.Before(end); n++ {
		before := len(w.granted)
		w.submit(n, "a", func(r *Request) { r.PromptTokens = 10 })
		w.run(5 * time.Millisecond)
		if len(w.granted) == before {
			continue
		}
		for id, g := range w.granted {
			if id.Number >= first && !w.submittedAt[id].IsZero() {
				assigned[g.Upstream] = append(assigned[g.Upstream], w.now)
				w.submittedAt[id] = time.Time{}
			}
		}
	}
	return assigned
}

// maxPerSecond returns the maximum number of requests in any second.
func maxPerSecond(times []time.Time) int {
	worst := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}

// An engine enters slow start while it holds the adapter of all requests. It is assigned no more requests than the
// limit allows, and any number after the slow start.
func TestSlowStart_LimitsRequests(t *testing.T) {
	w := newSlowStartSimulation(t, 1)
	w.submit(1, "a")
	w.run(time.Second)
	w.updateRecord("e0", func(u *catalog.Upstream) { u.SlowStartRemaining = slowStartTime })
	assigned := w.submitRepeatedly(10, slowStartTime)["e0"]
	require.LessOrEqual(t, maxPerSecond(assigned), slowStartRate+slowStartBurst)
	require.Greater(t, len(assigned), slowStartRate)
	w.run(2 * time.Second)
	require.Greater(t, maxPerSecond(w.submitRepeatedly(100_000, time.Second)["e0"]), 2*slowStartRate)
}

// The leader changes repeatedly during a slow start, and an evacuated zone returns whose engines have entered slow
// start without their records showing it.
func TestSlowStart_AcrossLeadersAndEvacuations(t *testing.T) {
	w := newSlowStartSimulation(t, 1)
	w.submit(1, "a")
	w.run(time.Second)
	w.updateRecord("e0", func(u *catalog.Upstream) { u.SlowStartRemaining = slowStartTime })
	var assigned []time.Time
	for n := range uint64(4) {
		assigned = append(assigned, w.submitRepeatedly(10+10_000*n, 700*time.Millisecond)["e0"]...)
		w.startLeader()
		w.run(10 * time.Millisecond)
	}
	require.LessOrEqual(t, float64(maxPerSecond(assigned)), slowStartCrashRate)
	w.run(5 * time.Second)
	w.updateRecord("e0", func(u *catalog.Upstream) { u.SlowStartRemaining = 0 })
	w.evacuate("z")
	w.run(time.Second)
	w.evacuate()
	require.LessOrEqual(t, maxPerSecond(w.submitRepeatedly(200_000, slowStartTime)["e0"]), slowStartRate+slowStartBurst)
}

// Without a leader, each host uses its share of the slow-start rate.
func TestSlowStart_SharedByStandaloneHosts(t *testing.T) {
	const hosts = 7
	now := time.Unix(1_000_000, 0)
	config := catalog.NewConfig(catalog.ConfigParts{Version: 1, Services: []catalog.Service{{
		Name: "plain", SlowStart: catalog.SlowStart{RequestsPerSecond: slowStartRate, Period: slowStartTime},
	}}})
	var assigned []time.Time
	fleet := make([]*Assigner, hosts)
	for i := range fleet {
		fleet[i] = New(Options{Share: 1.0 / hosts, Random: newSimulation(t, 1, 1, 1).random, Limits: simLimits})
		fleet[i].Handle(now, ConfigUpdated{config})
		fleet[i].Handle(now, UpstreamsUpdated{map[string]*catalog.Upstream{
			"p": {ID: "p", StartedAt: 1, Service: "plain", Slots: 6, SlowStartRemaining: slowStartTime},
		}})
	}
	for n := uint64(0); now.Before(time.Unix(1_000_000, 0).Add(slowStartTime)); n++ {
		now = now.Add(2 * time.Millisecond)
		id := RequestID{"h", n}
		a := fleet[n%hosts]
		for _, d := range a.Handle(now, RequestSubmitted{Request{ID: id, Service: "plain", Arrived: now, Target: now, Deadline: now.Add(time.Second)}}) {
			if _, ok := d.(Grant); ok {
				assigned = append(assigned, now)
				a.Handle(now, AttemptEnded{ID: id, Outcome: Completed})
			}
		}
		a.Handle(now, RequestWithdrawn{ID: id})
	}
	require.LessOrEqual(t, float64(maxPerSecond(assigned)), slowStartCrashRate)
	require.NotEmpty(t, assigned)
}

// Guards against queued requests that are assigned beyond the limit of an upstream once one of its attempts ends.
func TestSlowStart_QueuedRequests(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a := New(Options{SendsOrders: true, Share: 1, Random: newSimulation(t, 1, 1, 1).random, Limits: simLimits})
	a.Handle(now, ConfigUpdated{catalog.NewConfig(catalog.ConfigParts{Version: 1, Services: []catalog.Service{{
		Name: "plain", SlowStart: catalog.SlowStart{RequestsPerSecond: slowStartRate, Period: slowStartTime},
	}}})})
	a.Handle(now, UpstreamsUpdated{map[string]*catalog.Upstream{
		"p": {ID: "p", StartedAt: 1, Service: "plain", Slots: 6, SlowStartRemaining: slowStartTime},
	}})
	var assigned []time.Time
	endsAt := map[RequestID]time.Time{}
	carryOut := func(decisions []Decision) {
		for _, d := range decisions {
			if g, ok := d.(Grant); ok {
				assigned = append(assigned, now)
				endsAt[g.ID] = now.Add(307 * time.Millisecond) // between two passes over the queues
			}
		}
	}
	for n := range uint64(50) {
		carryOut(a.Handle(now, RequestSubmitted{Request{
			ID: RequestID{"h", n}, Service: "plain", Arrived: now, Target: now, Deadline: now.Add(time.Minute),
		}}))
	}
	for end := now.Add(slowStartTime); now.Before(end); now = now.Add(time.Millisecond) {
		for id, at := range endsAt {
			if !at.After(now) {
				delete(endsAt, id)
				carryOut(a.Handle(now, AttemptEnded{ID: id, Outcome: Completed}))
			}
		}
		if at, ok := a.NextWakeup(now); ok && !at.After(now) {
			carryOut(a.Handle(now, Tick{}))
		}
	}
	require.LessOrEqual(t, maxPerSecond(assigned), slowStartRate+slowStartBurst)
	require.Greater(t, len(assigned), slowStartRate)
}
