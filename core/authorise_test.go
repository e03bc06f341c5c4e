package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/blackboard"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
)

// testHost is a core with a plain service of two replicas, each of which runs one request at a time.
type testHost struct {
	t         *testing.T
	core      *core.Core
	now       time.Time
	decisions []core.Decision
}

func envelope(kind record.Kind, name, spec string) record.Envelope {
	return record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: []byte(spec)}
}

func keyEnvelope(withdrawn bool) record.Envelope {
	return envelope(record.KindKey, "acme-1",
		fmt.Sprintf(`{"organisation":"acme","hash":%q,"withdrawn":%t}`, record.HashSecret("secret"), withdrawn))
}

func newTestHost(t *testing.T) (*testHost, *record.Config) {
	t.Helper()
	config, problems := record.NewConfig().Apply(1, []record.Envelope{
		envelope(record.KindOrganisation, "acme", `{}`),
		envelope(record.KindRate, "acme", `{"tokens_per_second":1000,"burst_tokens":1000}`),
		envelope(record.KindUpstream, "stock-1", `{"class":"service","url":"http://10.0.0.1:1","pool":"stock","max_batch":1}`),
		envelope(record.KindUpstream, "stock-2", `{"class":"service","url":"http://10.0.0.1:2","pool":"stock","max_batch":1}`),
		envelope(record.KindRoute, "stock", `{"prefix":"/stock","pool":"stock","repeatable":true,"cost_tokens":1}`),
		envelope(record.KindRoute, "open", `{"prefix":"/open","pool":"stock","open":true}`),
		keyEnvelope(false),
	})
	require.Empty(t, problems)
	h := &testHost{t: t, now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
	h.core = core.New(core.Options{Board: blackboard.New(), Limiter: limit.NewStatic(1), Scheduler: sched.NewLeastLoaded()})
	h.handle(core.ConfigConfirmed{Until: h.now.Add(10 * time.Second)})
	h.handle(core.ConfigUpdated{Config: config})
	h.reportAndTick(func() bool { return false })
	return h, config
}

// reportAndTick delivers a load report of each upstream and a tick, and stops as soon as done returns
// true.
func (h *testHost) reportAndTick(done func() bool) {
	events := []core.Event{
		core.LoadReported{Upstream: "stock-1"}, core.LoadReported{Upstream: "stock-2"}, core.Tick{},
	}
	for _, ev := range events {
		if done() {
			return
		}
		h.handle(ev)
	}
}

func (h *testHost) handle(ev core.Event) { h.decisions = h.core.Handle(h.now, ev) }

func (h *testHost) arrive(id sched.RequestID, path string) {
	h.handle(core.RequestArrived{Request: core.Request{
		ID: id, Path: path, HasKey: true, KeyHash: record.HashSecret("secret"), Deadline: h.now.Add(time.Minute),
	}})
}

func (h *testHost) endAttempt(id sched.RequestID, o request.Outcome) {
	h.handle(core.AttemptEnded{ID: id, Outcome: o, UsedTokens: -1})
}

// outcome returns whether the last event dispatched the request, and the error if it ended the
// request.
func (h *testHost) outcome(id sched.RequestID) (dispatched bool, err *apierr.Error) {
	for _, d := range h.decisions {
		switch d := d.(type) {
		case core.Dispatch:
			dispatched = dispatched || d.ID == id
		case core.Finish:
			if d.ID == id {
				err = d.Err
			}
		}
	}
	return dispatched, err
}

// maxFill is greater than the number of requests that the upstreams run at once.
const maxFill = 100

// invalidation makes later decisions on requests with the key fail.
type invalidation func(h *testHost, config *record.Config)

func withdrawKey(h *testHost, config *record.Config) {
	next, _ := config.Apply(2, []record.Envelope{keyEnvelope(true)})
	h.handle(core.ConfigUpdated{Config: next})
}

func suspendOrganisation(h *testHost, config *record.Config) {
	next, _ := config.Apply(2, []record.Envelope{envelope(record.KindOrganisation, "acme", `{"suspended":true}`)})
	h.handle(core.ConfigUpdated{Config: next})
}

// pauseHost advances the clock past the end of the confirmation without an event, as if the process
// had been paused.
func pauseHost(h *testHost, _ *record.Config) { h.now = h.now.Add(20 * time.Second) }

func expireConfig(h *testHost, _ *record.Config) { h.handle(core.ConfigConfirmed{Until: h.now}) }

func TestAuthorisation_CheckedAtEveryStage(t *testing.T) {
	invalidations := []struct {
		name       string
		invalidate invalidation
		kind       apierr.Kind
	}{
		{"key withdrawn", withdrawKey, apierr.InvalidKey},
		{"organisation suspended", suspendOrganisation, apierr.InvalidKey},
		{"confirmation expired", expireConfig, apierr.ConfigStale},
		{"host paused", pauseHost, apierr.ConfigStale},
	}
	stages := []struct {
		name string
		// before brings request 1 to the stage, after lets it continue.
		before, after func(h *testHost)
	}{
		{"at arrival", func(*testHost) {}, func(h *testHost) { h.arrive(1, "/stock") }},
		{"at dispatch from the queue", func(h *testHost) {
			for id := sched.RequestID(2); id < maxFill; id++ {
				h.arrive(id, "/stock")
				if dispatched, _ := h.outcome(id); !dispatched {
					break
				}
			}
			h.arrive(1, "/stock")
		}, func(h *testHost) {
			for id := sched.RequestID(2); id < maxFill && !h.decided(1); id++ {
				h.endAttempt(id, request.Completed)
				h.reportAndTick(func() bool { return h.decided(1) })
			}
		}},
		{"before a retry", func(h *testHost) { h.arrive(1, "/stock") }, func(h *testHost) {
			h.endAttempt(1, request.NotExecuted)
			for range 100 { // a retry waits for its backoff
				if h.decided(1) {
					return
				}
				h.now = h.now.Add(core.TickInterval)
				h.reportAndTick(func() bool { return h.decided(1) })
			}
		}},
	}
	for _, stage := range stages {
		for _, tc := range invalidations {
			t.Run(stage.name+"/"+tc.name, func(t *testing.T) {
				h, config := newTestHost(t)
				stage.before(h)
				tc.invalidate(h, config)
				stage.after(h)
				dispatched, err := h.outcome(1)
				require.False(t, dispatched)
				require.NotNil(t, err)
				require.Equal(t, tc.kind, err.Kind)
				require.Equal(t, apierr.NotRun, err.Ran)
			})
			t.Run(stage.name+"/without "+tc.name, func(t *testing.T) {
				h, _ := newTestHost(t)
				stage.before(h)
				stage.after(h)
				dispatched, err := h.outcome(1)
				require.True(t, dispatched, "%v", err)
			})
		}
	}
}

// decided reports whether the last event dispatched or ended the request.
func (h *testHost) decided(id sched.RequestID) bool {
	dispatched, err := h.outcome(id)
	return dispatched || err != nil
}

func TestStaleConfig_ServesOpenRoutesOnly(t *testing.T) {
	h, config := newTestHost(t)
	expireConfig(h, config)
	h.arrive(1, "/stock")
	_, err := h.outcome(1)
	require.Equal(t, apierr.ConfigStale, err.Kind)
	require.Positive(t, err.RetryAfter)
	h.arrive(2, "/open")
	dispatched, _ := h.outcome(2)
	require.True(t, dispatched)
	h.handle(core.ConfigConfirmed{Until: h.now.Add(time.Second)})
	h.arrive(3, "/stock")
	_, err = h.outcome(3)
	require.Nil(t, err, "confirmed again")
}

func TestConfig_OlderRevisionIgnored(t *testing.T) {
	h, config := newTestHost(t)
	withdrawKey(h, config)
	h.handle(core.ConfigUpdated{Config: config})
	h.arrive(1, "/stock")
	_, err := h.outcome(1)
	require.Equal(t, apierr.InvalidKey, err.Kind)
}

// memberRecorder records the names passed to the limiter's UpdateHosts.
type memberRecorder struct {
	limit.Limiter
	names []string
}

func (m *memberRecorder) UpdateHosts(_ time.Time, names []string) []limit.Decision {
	m.names = names
	return nil
}

func TestMemberList_OverridesHostList(t *testing.T) {
	limiter := &memberRecorder{Limiter: limit.NewStatic(1)}
	c := core.New(core.Options{Board: blackboard.New(), Limiter: limiter, Scheduler: sched.NewLeastLoaded()})
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c.Handle(now, core.HostsUpdated{})
	require.Empty(t, limiter.names)
	c.Handle(now, core.MembersUpdated{Live: []string{"a", "b"}})
	c.Handle(now, core.HostsUpdated{})
	require.Equal(t, []string{"a", "b"}, limiter.names, "host list used after the member list")
}

// A host that is leaving gets a request whose deadline is after its end. It must refuse the request, which it would have to
// interrupt. Before, the timeouts of routes were not compared with the rest of the drain timeout.
func TestLeavingHost_RefusesWhatMayOutlastIt(t *testing.T) {
	h, _ := newTestHost(t)
	h.handle(core.LeaveStarted{Until: h.now.Add(time.Minute)})
	h.arrive(1, "/stock") // its deadline is in one minute
	dispatched, err := h.outcome(1)
	require.True(t, dispatched, "%v", err)
	h.now = h.now.Add(time.Millisecond)
	h.arrive(2, "/stock")
	dispatched, err = h.outcome(2)
	require.False(t, dispatched)
	require.Equal(t, apierr.Draining, err.Kind)
	require.Equal(t, apierr.NotRun, err.Ran)
}
