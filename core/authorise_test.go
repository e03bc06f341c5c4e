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

// host is a core with a plain service of two replicas, each with one place.
type host struct {
	t    *testing.T
	core *core.Core
	now  time.Time
	last []core.Decision
}

func envelope(kind record.Kind, name, spec string) record.Envelope {
	return record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: []byte(spec)}
}

func key(withdrawn bool) record.Envelope {
	return envelope(record.KindKey, "acme-1",
		fmt.Sprintf(`{"organisation":"acme","hash":%q,"withdrawn":%t}`, record.HashSecret("secret"), withdrawn))
}

func newHost(t *testing.T) (*host, *record.Config) {
	t.Helper()
	config, problems := record.NewConfig().Apply(1, []record.Envelope{
		envelope(record.KindOrganisation, "acme", `{}`),
		envelope(record.KindRate, "acme", `{"tokens_per_second":1000,"burst_tokens":1000}`),
		envelope(record.KindUpstream, "stock-1", `{"class":"service","url":"http://10.0.0.1:1","pool":"stock","max_batch":1}`),
		envelope(record.KindUpstream, "stock-2", `{"class":"service","url":"http://10.0.0.1:2","pool":"stock","max_batch":1}`),
		envelope(record.KindRoute, "stock", `{"prefix":"/stock","pool":"stock","repeatable":true,"cost_tokens":1}`),
		envelope(record.KindRoute, "open", `{"prefix":"/open","pool":"stock","open":true}`),
		key(false),
	})
	require.Empty(t, problems)
	h := &host{t: t, now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
	h.core = core.New(core.Options{Board: blackboard.New(), Limiter: limit.NewStatic(1), Scheduler: sched.NewLeastLoaded()})
	h.handle(core.ConfigConfirmed{Until: h.now.Add(10 * time.Second)})
	h.handle(core.ConfigUpdated{Config: config})
	h.step(func() bool { return false })
	return h, config
}

// step brings a report of each upstream, and a tick, until done.
func (h *host) step(done func() bool) {
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

func (h *host) handle(ev core.Event) { h.last = h.core.Handle(h.now, ev) }

func (h *host) arrive(id sched.RequestID, path string) {
	h.handle(core.RequestArrived{Request: core.Request{
		ID: id, Path: path, HasKey: true, KeyHash: record.HashSecret("secret"), Deadline: h.now.Add(time.Minute),
	}})
}

func (h *host) end(id sched.RequestID, o request.Outcome) {
	h.handle(core.AttemptEnded{ID: id, Outcome: o, UsedTokens: -1})
}

// outcome returns the last decision on a request: its dispatch, or its error.
func (h *host) outcome(id sched.RequestID) (dispatched bool, err *apierr.Error) {
	for _, d := range h.last {
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

// fill is above the number of requests that the upstream takes at once.
const fill = 100

// spoil makes the key of later decisions bad.
type spoil func(h *host, config *record.Config)

func withdraw(h *host, config *record.Config) {
	next, _ := config.Apply(2, []record.Envelope{key(true)})
	h.handle(core.ConfigUpdated{Config: next})
}

func suspend(h *host, config *record.Config) {
	next, _ := config.Apply(2, []record.Envelope{envelope(record.KindOrganisation, "acme", `{"suspended":true}`)})
	h.handle(core.ConfigUpdated{Config: next})
}

// pauseHost lets more time pass than the confirmation is good for, without any
// event, as a paused process sees it.
func pauseHost(h *host, _ *record.Config) { h.now = h.now.Add(20 * time.Second) }

func cutOff(h *host, _ *record.Config) { h.handle(core.ConfigConfirmed{Until: h.now}) }

func TestKeyIsCheckedWhereverWorkStarts(t *testing.T) {
	spoils := []struct {
		name  string
		spoil spoil
		kind  apierr.Kind
	}{
		{"key withdrawn", withdraw, apierr.InvalidKey},
		{"organisation suspended", suspend, apierr.InvalidKey},
		{"host cut off", cutOff, apierr.ConfigStale},
		{"host paused", pauseHost, apierr.ConfigStale},
	}
	moments := []struct {
		name string
		// before brings request 1 to the moment, after lets it go on.
		before, after func(h *host)
	}{
		{"at arrival", func(*host) {}, func(h *host) { h.arrive(1, "/stock") }},
		{"at dispatch from the queue", func(h *host) {
			for id := sched.RequestID(2); id < fill; id++ {
				h.arrive(id, "/stock")
				if dispatched, _ := h.outcome(id); !dispatched {
					break
				}
			}
			h.arrive(1, "/stock")
		}, func(h *host) {
			for id := sched.RequestID(2); id < fill && !h.decided(1); id++ {
				h.end(id, request.Completed)
				h.step(func() bool { return h.decided(1) })
			}
		}},
		{"before a retry", func(h *host) { h.arrive(1, "/stock") }, func(h *host) {
			h.end(1, request.NotExecuted)
			for range 100 { // a retry may be held back for a while
				if h.decided(1) {
					return
				}
				h.now = h.now.Add(core.TickInterval)
				h.step(func() bool { return h.decided(1) })
			}
		}},
	}
	for _, moment := range moments {
		for _, s := range spoils {
			t.Run(moment.name+"/"+s.name, func(t *testing.T) {
				h, config := newHost(t)
				moment.before(h)
				s.spoil(h, config)
				moment.after(h)
				dispatched, err := h.outcome(1)
				require.False(t, dispatched)
				require.NotNil(t, err)
				require.Equal(t, s.kind, err.Kind)
				require.Equal(t, apierr.NotRun, err.Ran)
			})
			t.Run(moment.name+"/not "+s.name, func(t *testing.T) {
				h, _ := newHost(t)
				moment.before(h)
				moment.after(h)
				dispatched, err := h.outcome(1)
				require.True(t, dispatched, "%v", err)
			})
		}
	}
}

// decided reports whether the last event decided on a request.
func (h *host) decided(id sched.RequestID) bool {
	dispatched, err := h.outcome(id)
	return dispatched || err != nil
}

func TestStaleHostServesOpenRoutesAndTellsWhenToComeBack(t *testing.T) {
	h, config := newHost(t)
	cutOff(h, config)
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

func TestRevisionNeverGoesBack(t *testing.T) {
	h, config := newHost(t)
	withdraw(h, config)
	h.handle(core.ConfigUpdated{Config: config})
	h.arrive(1, "/stock")
	_, err := h.outcome(1)
	require.Equal(t, apierr.InvalidKey, err.Kind)
}

// members notes the names that a limiter is told.
type members struct {
	limit.Limiter
	names []string
}

func (m *members) UpdateHosts(_ time.Time, names []string) []limit.Decision {
	m.names = names
	return nil
}

func TestRosterTellsWhoIsLive(t *testing.T) {
	limiter := &members{Limiter: limit.NewStatic(1)}
	c := core.New(core.Options{Board: blackboard.New(), Limiter: limiter, Scheduler: sched.NewLeastLoaded()})
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c.Handle(now, core.HostsUpdated{})
	require.Empty(t, limiter.names)
	c.Handle(now, core.MembersUpdated{Live: []string{"a", "b"}})
	c.Handle(now, core.HostsUpdated{})
	require.Equal(t, []string{"a", "b"}, limiter.names, "the lagging list no longer counts")
}
