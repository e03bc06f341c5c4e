package core

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/blackboard"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

// This file walks through every life that a request can have: at each state
// of its machine, every event that can come then, to the end. What the upstream
// really did is a part of each event, so that what the caller is told can be
// checked against it.

// scriptedScheduler dispatches when the walk says so.
type scriptedScheduler struct{ waiting []sched.Request }

func (s *scriptedScheduler) SetBudget(sched.Budget)                                  {}
func (s *scriptedScheduler) Configure(time.Time, *record.Config) []sched.Decision    { return nil }
func (s *scriptedScheduler) Members(time.Time, []string) []sched.Decision            { return nil }
func (s *scriptedScheduler) Unreachable(time.Time, string) []sched.Decision          { return nil }
func (s *scriptedScheduler) AttemptEnded(time.Time, sched.AttemptEnd) []sched.Decision      { return nil }
func (s *scriptedScheduler) OrderEnded(time.Time, sched.OrderEnd) []sched.Decision   { return nil }
func (s *scriptedScheduler) LeaseUpdated(time.Time, sched.LeaseResult) []sched.Decision { return nil }
func (s *scriptedScheduler) Tick(time.Time) []sched.Decision                         { return nil }
func (s *scriptedScheduler) Explain(time.Time, sched.Request) sched.Reason           { return sched.Reason{} }
func (s *scriptedScheduler) CacheUpdated(time.Time, string, []upstream.CacheEvent) []sched.Decision {
	return nil
}
func (s *scriptedScheduler) Receive(time.Time, string, wire.Message) []sched.Decision { return nil }
func (s *scriptedScheduler) Cancel(time.Time, sched.RequestID) []sched.Decision {
	s.waiting = nil
	return nil
}
func (s *scriptedScheduler) Enqueue(_ time.Time, r sched.Request) []sched.Decision {
	s.waiting = append(s.waiting, r)
	return nil
}

// Reported stands for "an upstream is free": it dispatches what waits.
func (s *scriptedScheduler) LoadReported(_ time.Time, name string, r upstream.Report) []sched.Decision {
	var out []sched.Decision
	for _, w := range s.waiting {
		if r.Waiting > 0 {
			out = append(out, sched.Drop{ID: w.ID, Err: apierr.New(apierr.DeadlineExceeded, "")})
		} else {
			out = append(out, sched.Dispatch{ID: w.ID, Upstream: name})
		}
	}
	s.waiting = nil
	return out
}

// countingLimiter admits everything and keeps what was spent.
type countingLimiter struct {
	*limit.Static
	spent int64
}

func (l *countingLimiter) Reserve(_ time.Time, _ string, tokens int64) (limit.Verdict, []limit.Decision) {
	l.spent += tokens
	return limit.Verdict{OK: true, Limit: 1000, Remaining: 1000 - l.spent}, nil
}

func (l *countingLimiter) Settle(_ time.Time, _ string, reserved, used int64) []limit.Decision {
	l.spent += used - reserved
	return nil
}

// class is one class of request.
type class struct {
	name       string
	repeatable bool
	keyed      bool
}

var classes = []class{{"repeatable", true, false}, {"once with key", false, true}, {"once without key", false, false}}

const (
	lifeCost     = 10
	lifeUsed     = 4
	lifeDeadline = time.Minute
)

// life is one request on its way.
type life struct {
	class   class
	core    *Core
	limiter *countingLimiter
	now     time.Time
	config  *record.Config

	executions int
	dispatches int
	// unsafe counts dispatches after an attempt that may have run.
	unsafe    int
	mayHave   bool
	replayed  bool
	completed bool
	withdrawn bool
	// keyless counts dispatches after the key was withdrawn.
	keyless      int
	keyWithdrawn bool
	finishes     []Finish
	mutate       mutant
}

// mutant changes what the core is told or decides, as a fault in it would.
type mutant struct {
	event    func(Event) Event
	decision func(Decision) (Decision, bool)
}

func newLife(c class, m mutant) *life {
	l := &life{class: c, now: time.Unix(1000, 0), limiter: &countingLimiter{Static: limit.NewStatic(1)}, mutate: m}
	l.core = New(Options{Board: blackboard.New(), Limiter: l.limiter, Scheduler: &scriptedScheduler{}})
	l.config = lifeConfig(c)
	l.tell(ConfigUpdated{Config: l.config})
	r := Request{ID: 1, Path: "/r", HasKey: true, KeyHash: record.HashSecret("k"), Deadline: l.now.Add(lifeDeadline)}
	if c.keyed {
		r.IdempotencyKey = "key"
	}
	l.tell(RequestArrived{Request: r})
	return l
}

func lifeConfig(c class) *record.Config {
	e := func(kind record.Kind, name, spec string) record.Envelope {
		return record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: []byte(spec)}
	}
	hash := record.HashSecret("k")
	config, problems := record.NewConfig().Apply(1, []record.Envelope{
		e(record.KindOrganisation, "o", `{}`),
		e(record.KindKey, "k", fmt.Sprintf(`{"organisation":"o","hash":%q}`, hash.String())),
		e(record.KindRoute, "r", fmt.Sprintf(`{"prefix":"/r","pool":"p","timeout":"1m","cost_tokens":%d,"repeatable":%v}`, lifeCost, c.repeatable)),
		e(record.KindUpstream, "u", `{"class":"service","url":"http://127.0.0.1:1","zone":"a","pool":"p","max_batch":8}`),
	})
	if len(problems) > 0 {
		panic(errors.Join(problems...))
	}
	return config
}

func (l *life) tell(ev Event) {
	if l.mutate.event != nil {
		ev = l.mutate.event(ev)
	}
	for _, d := range l.core.Handle(l.now, ev) {
		if l.mutate.decision != nil {
			var keep bool
			if d, keep = l.mutate.decision(d); !keep {
				continue
			}
		}
		switch d := d.(type) {
		case Dispatch:
			l.dispatches++
			if l.keyWithdrawn {
				l.keyless++
			}
			if l.mayHave {
				l.unsafe++
			}
		case Finish:
			l.finishes = append(l.finishes, d)
		}
	}
}

// step is one event that can come next.
type step struct {
	name string
	do   func(l *life)
}

func ended(name string, o request.Outcome, executed int, started bool) step {
	return step{name, func(l *life) {
		l.executions += executed
		if o != request.NotExecuted && o != request.Rejected {
			l.mayHave = true
		}
		used := int64(unknownUsage)
		if o == request.Completed {
			used, l.completed = lifeUsed, true
		}
		l.tell(AttemptEnded{ID: 1, Outcome: o, AnswerStarted: started, UsedTokens: used})
	}}
}

// unknownUsage is what an attempt without reported usage tells.
const unknownUsage = -1

var (
	callerLeaves = step{"caller leaves", func(l *life) { l.tell(CallerLeft{ID: 1}) }}
	timePasses   = step{"time passes", func(l *life) { l.now = l.now.Add(2 * time.Second); l.tell(Tick{}) }}
	drains       = step{"host drains", func(l *life) { l.tell(DrainStarted{}) }}
	free         = step{"upstream is free", func(l *life) { l.tell(LoadReported{Upstream: "u"}) }}
	drops        = step{"scheduler drops", func(l *life) {
		l.tell(LoadReported{Upstream: "u", Report: upstream.Report{Waiting: 1}})
	}}
	withdrawal = step{"key is withdrawn", func(l *life) { l.change("key", "k") }}
	removal    = step{"upstream is removed", func(l *life) { l.change("upstream", "u") }}
	starts     = step{"answer starts", func(l *life) { l.tell(FirstByteReceived{ID: 1}) }}
	lateLoss   = step{"paused past the deadline, then lost", func(l *life) {
		l.now = l.now.Add(2 * lifeDeadline)
		ended("", request.Lost, 1, false).do(l)
	}}
)

func (l *life) change(kind record.Kind, name string) {
	l.withdrawn = true
	l.keyWithdrawn = kind == record.KindKey
	l.config, _ = l.config.Apply(l.config.Revision+1, []record.Envelope{{Schema: record.SchemaV2, Kind: kind, Name: name, Deleted: true}})
	l.tell(ConfigUpdated{Config: l.config})
}

func claimEnds(name string, end ClaimEnded) step {
	end.ID = 1
	return step{name, func(l *life) { l.replayed = end.Replayed; l.tell(end) }}
}

// steps returns every event that can come in the request's state.
func (l *life) steps() []step {
	state := l.core.requests[1].machine.State()
	var out []step
	switch state {
	case request.Claiming:
		out = []step{
			claimEnds("key recorded", ClaimEnded{}), claimEnds("answer replayed", ClaimEnded{Replayed: true}),
			claimEnds("store is down", ClaimEnded{Err: apierr.New(apierr.OutcomeStoreDown, "")}), callerLeaves,
		}
	case request.Queued:
		out = []step{free, drops, callerLeaves}
	case request.BackingOff:
		out = []step{timePasses, callerLeaves}
	case request.Dispatched:
		out = []step{
			starts, lateLoss, ended("completed", request.Completed, 1, false), ended("refused", request.NotExecuted, 0, false),
			ended("lost before", request.Lost, 0, false), ended("lost after", request.Lost, 1, false),
			ended("errored", request.Errored, 1, false), ended("rejected", request.Rejected, 0, false),
			ended("cancelled before", request.CallerLeft, 0, false), ended("cancelled after", request.CallerLeft, 1, false),
		}
	case request.Streaming:
		out = []step{
			ended("completed", request.Completed, 1, true), ended("cut", request.Interrupted, 1, true),
			ended("cancelled", request.CallerLeft, 1, true), ended("lost", request.Lost, 1, true),
		}
	}
	if !l.withdrawn && state != request.BackingOff {
		out = append(out, withdrawal, removal)
	}
	if !l.core.draining && l.dispatches == 0 {
		out = append(out, drains)
	}
	return out
}

// check reports how the life's end breaks a promise.
func (l *life) check() error {
	if len(l.finishes) != 1 {
		return fmt.Errorf("%d final answers", len(l.finishes))
	}
	err := l.finishes[0].Err
	switch {
	case !l.class.repeatable && l.executions > 1:
		return fmt.Errorf("executed %d times", l.executions)
	case !l.class.repeatable && l.unsafe > 0:
		return fmt.Errorf("dispatched again after a byte may have left")
	case l.keyless > 0:
		return fmt.Errorf("dispatched with a withdrawn key")
	case l.dispatches > MaxAttempts:
		return fmt.Errorf("%d attempts", l.dispatches)
	case err == nil && !l.completed && !l.replayed:
		return fmt.Errorf("ended well without a whole answer")
	case err == nil && l.completed && l.limiter.spent != lifeCost:
		return fmt.Errorf("a whole answer cost %d", l.limiter.spent)
	case err != nil && err.Ran == apierr.NotRun && l.executions > 0:
		return fmt.Errorf("said not_run after %d executions", l.executions)
	case err != nil && err.Ran == apierr.NotRun && l.limiter.spent != 0:
		return fmt.Errorf("not_run cost %d", l.limiter.spent)
	case err != nil && err.Ran != apierr.NotRun && err.Kind.Definition().Retry && !l.class.repeatable && err.Kind != apierr.CallerGone:
		return fmt.Errorf("%s asks for a repetition of what may have run", err.Kind)
	case l.core.InFlight() != 0:
		return fmt.Errorf("still in flight")
	}
	return nil
}

// walk visits every life of a class and returns how many there are and the
// first one that breaks a promise.
func walk(c class, m mutant) (lives int, broken error) {
	var visit func(path []int)
	visit = func(path []int) {
		l := newLife(c, m)
		var names []string
		for _, choice := range path {
			s := l.steps()[choice]
			names = append(names, s.name)
			s.do(l)
		}
		if _, running := l.core.requests[1]; running {
			for choice := range l.steps() {
				visit(append(path[:len(path):len(path)], choice))
			}
			return
		}
		lives++
		if err := l.check(); err != nil && broken == nil {
			broken = fmt.Errorf("%s: %v: %w", c.name, names, err)
		}
	}
	visit(nil)
	return lives, broken
}

func TestEveryLifeOfARequestEndsTruthfully(t *testing.T) {
	for _, c := range classes {
		t.Run(c.name, func(t *testing.T) {
			lives, broken := walk(c, mutant{})
			require.NoError(t, broken)
			require.Greater(t, lives, 100)
			t.Logf("%d lives", lives)
		})
	}
}

func TestTheWalkCatchesMutants(t *testing.T) {
	mutants := map[string]struct {
		class  class
		mutant mutant
		want   string
	}{
		"a lost attempt passes for one that was not executed": {classes[2], mutant{event: func(ev Event) Event {
			if a, ok := ev.(AttemptEnded); ok && a.Outcome == request.Lost {
				a.Outcome = request.NotExecuted
				return a
			}
			return ev
		}}, "said not_run after 1 executions"},
		"every refusal says not_run": {classes[0], mutant{decision: func(d Decision) (Decision, bool) {
			if f, ok := d.(Finish); ok && f.Err != nil {
				e := *f.Err
				e.Ran = apierr.NotRun
				f.Err = &e
				return f, true
			}
			return d, true
		}}, "said not_run"},
		"a final answer is forgotten": {classes[1], mutant{decision: func(d Decision) (Decision, bool) {
			_, last := d.(Finish)
			return d, !last
		}}, "0 final answers"},
		"a cut answer ends well": {classes[0], mutant{decision: func(d Decision) (Decision, bool) {
			if f, ok := d.(Finish); ok && f.Err != nil && f.Err.Kind == apierr.AnswerCut {
				f.Err = nil
				return f, true
			}
			return d, true
		}}, "without a whole answer"},
		"what may have run is to be repeated": {classes[1], mutant{decision: func(d Decision) (Decision, bool) {
			if f, ok := d.(Finish); ok && f.Err != nil && f.Err.Kind == apierr.OutcomeUnknown {
				f.Err = apierr.New(apierr.UpstreamFailed, "").WithRan(f.Err.Ran)
				return f, true
			}
			return d, true
		}}, "asks for a repetition"},
	}
	for name, m := range mutants {
		t.Run(name, func(t *testing.T) {
			_, broken := walk(m.class, m.mutant)
			require.ErrorContains(t, broken, m.want)
		})
	}
}
