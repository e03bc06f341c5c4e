package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// slowBound is what an engine takes in a second while it starts slowly. The fleet must
// stay below slowCrash in any second.
const (
	slowBound = 4
	slowCrash = 1.5*slowBound + 5
	slowTime  = 3 * time.Second
)

// slowWorld returns a world whose engines start slowly.
func slowWorld(t *testing.T, engines int) *world {
	w := newWorld(t, 1, engines, 3)
	engine := w.config.Service("s").Engine
	w.config = catalog.NewConfig(catalog.ConfigParts{
		Version:       2,
		Services:      []catalog.Service{{Name: "s", Engine: engine, SlowStart: catalog.SlowStart{RequestsPerSecond: slowBound, Period: slowTime}}},
		Organisations: []catalog.Organisation{{Name: "o", TokensPerSecond: 1e9, BurstTokens: 1e9}},
	})
	w.handle(ConfigUpdated{w.config})
	w.run(50 * time.Millisecond)
	return w
}

// entryOf changes an engine's entry.
func (w *world) entryOf(id string, change func(u *catalog.Upstream)) {
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

// press asks for one adapter far more often than a slow engine takes, and returns when
// each engine was given requests.
func (w *world) press(first uint64, d time.Duration) map[string][]time.Time {
	given := map[string][]time.Time{}
	for n, end := first, w.now.Add(d); w.now.Before(end); n++ {
		before := len(w.granted)
		w.ask(n, "a", func(r *Request) { r.PromptTokens = 10 })
		w.run(5 * time.Millisecond)
		if len(w.granted) == before {
			continue
		}
		for id, g := range w.granted {
			if id.Number >= first && !w.asked[id].IsZero() {
				given[g.Upstream] = append(given[g.Upstream], w.now)
				w.asked[id] = time.Time{}
			}
		}
	}
	return given
}

// worstSecond returns the most requests in any second.
func worstSecond(times []time.Time) int {
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

// Pattern: an engine says that it starts slowly, at a moment when it holds what all ask
// for. It is given no more than it takes, and anything again once that is over.
func TestAnEngineThatStartsSlowlyIsGivenFewRequests(t *testing.T) {
	w := slowWorld(t, 1)
	w.ask(1, "a")
	w.run(time.Second)
	w.entryOf("e0", func(u *catalog.Upstream) { u.SlowStartRemaining = slowTime })
	given := w.press(10, slowTime)["e0"]
	require.LessOrEqual(t, worstSecond(given), slowBound+slowStartBurst)
	require.Greater(t, len(given), slowBound)
	w.run(2 * time.Second)
	require.Greater(t, worstSecond(w.press(100_000, time.Second)["e0"]), 2*slowBound)
}

// Pattern: leads follow one another while an engine starts slowly, and a zone comes back
// whose engines have become slow without a word.
func TestSlowStartsOutliveLeadsAndEvacuations(t *testing.T) {
	w := slowWorld(t, 1)
	w.ask(1, "a")
	w.run(time.Second)
	w.entryOf("e0", func(u *catalog.Upstream) { u.SlowStartRemaining = slowTime })
	var given []time.Time
	for n := range uint64(4) {
		given = append(given, w.press(10+10_000*n, 700*time.Millisecond)["e0"]...)
		w.lead()
		w.run(10 * time.Millisecond)
	}
	require.LessOrEqual(t, float64(worstSecond(given)), slowCrash)
	w.run(5 * time.Second)
	w.entryOf("e0", func(u *catalog.Upstream) { u.SlowStartRemaining = 0 })
	w.evacuate("z")
	w.run(time.Second)
	w.evacuate()
	require.LessOrEqual(t, worstSecond(w.press(200_000, slowTime)["e0"]), slowBound+slowStartBurst)
}

// Pattern: without a lead, each host gives out its part of what a slow upstream takes.
func TestHostsWithoutALeadShareASlowStart(t *testing.T) {
	const hosts = 7
	now := time.Unix(1_000_000, 0)
	config := catalog.NewConfig(catalog.ConfigParts{Version: 1, Services: []catalog.Service{{
		Name: "plain", SlowStart: catalog.SlowStart{RequestsPerSecond: slowBound, Period: slowTime},
	}}})
	var given []time.Time
	fleet := make([]*Assigner, hosts)
	for i := range fleet {
		fleet[i] = New(Options{Share: 1.0 / hosts, Random: newWorld(t, 1, 1, 1).random, Limits: simLimits})
		fleet[i].Handle(now, ConfigUpdated{config})
		fleet[i].Handle(now, UpstreamsUpdated{map[string]*catalog.Upstream{
			"p": {ID: "p", StartedAt: 1, Service: "plain", Slots: 6, SlowStartRemaining: slowTime},
		}})
	}
	for n := uint64(0); now.Before(time.Unix(1_000_000, 0).Add(slowTime)); n++ {
		now = now.Add(2 * time.Millisecond)
		id := RequestID{"h", n}
		a := fleet[n%hosts]
		for _, d := range a.Handle(now, RequestSubmitted{Request{ID: id, Service: "plain", Arrived: now, Target: now, Deadline: now.Add(time.Second)}}) {
			if _, ok := d.(Grant); ok {
				given = append(given, now)
				a.Handle(now, AttemptEnded{ID: id, Outcome: Completed})
			}
		}
		a.Handle(now, RequestWithdrawn{ID: id})
	}
	require.LessOrEqual(t, float64(worstSecond(given)), slowCrash)
	require.NotEmpty(t, given)
}
