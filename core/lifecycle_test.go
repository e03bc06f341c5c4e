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

// This file explores every possible sequence of events of a request: in each state of its machine,
// every event that can occur, until the request has ended. Each event includes what the upstream really
// did, so that the answer to the caller can be checked against it.

// scriptedScheduler dispatches only when the scenario delivers a load report.
type scriptedScheduler struct{ queued []sched.Request }

func (s *scriptedScheduler) SetBudget(sched.Budget)                                     {}
func (s *scriptedScheduler) Configure(time.Time, *record.Config) []sched.Decision       { return nil }
func (s *scriptedScheduler) Members(time.Time, []string) []sched.Decision               { return nil }
func (s *scriptedScheduler) Unreachable(time.Time, string) []sched.Decision             { return nil }
func (s *scriptedScheduler) AttemptEnded(time.Time, sched.AttemptEnd) []sched.Decision  { return nil }
func (s *scriptedScheduler) OrderEnded(time.Time, sched.OrderEnd) []sched.Decision      { return nil }
func (s *scriptedScheduler) LeaseUpdated(time.Time, sched.LeaseResult) []sched.Decision { return nil }
func (s *scriptedScheduler) Tick(time.Time) []sched.Decision                            { return nil }
func (s *scriptedScheduler) Explain(time.Time, sched.Request) sched.Reason              { return sched.Reason{} }
func (s *scriptedScheduler) CacheUpdated(time.Time, string, []upstream.CacheEvent) []sched.Decision {
	return nil
}
func (s *scriptedScheduler) Receive(time.Time, string, wire.Message) []sched.Decision { return nil }
func (s *scriptedScheduler) Cancel(time.Time, sched.RequestID) []sched.Decision {
	s.queued = nil
	return nil
}
func (s *scriptedScheduler) Enqueue(_ time.Time, r sched.Request) []sched.Decision {
	s.queued = append(s.queued, r)
	return nil
}

// LoadReported dispatches the queued requests, as if an upstream had become free. It drops them if the
// report has waiting requests.
func (s *scriptedScheduler) LoadReported(_ time.Time, name string, r upstream.Report) []sched.Decision {
	var out []sched.Decision
	for _, w := range s.queued {
		if r.Waiting > 0 {
			out = append(out, sched.Drop{ID: w.ID, Err: apierr.New(apierr.DeadlineExceeded, "")})
		} else {
			out = append(out, sched.Dispatch{ID: w.ID, Upstream: name})
		}
	}
	s.queued = nil
	return out
}

// countingLimiter admits every request and counts the tokens spent.
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

// requestClass is a kind of request: whether it may be executed more than once, and whether it has an
// idempotency key.
type requestClass struct {
	name              string
	repeatable        bool
	hasIdempotencyKey bool
}

var requestClasses = []requestClass{{"repeatable", true, false}, {"not repeatable, with key", false, true}, {"not repeatable, without key", false, false}}

const (
	callCost       = 10
	usedTokens     = 4
	requestTimeout = time.Minute
)

// scenario is one request with the sequence of its events so far.
type scenario struct {
	class   requestClass
	core    *Core
	limiter *countingLimiter
	now     time.Time
	config  *record.Config

	executions int
	dispatches int
	// unsafeDispatches counts the dispatches after an attempt that may have run.
	unsafeDispatches int
	mayHaveRun       bool
	replayed         bool
	completed        bool
	configChanged    bool
	// unauthorisedDispatches counts the dispatches after the withdrawal of the key.
	unauthorisedDispatches int
	keyWithdrawn           bool
	stopped                bool
	// waitsAfterStop and dispatchedAfterStop are set if the request waited or was dispatched after StopStarted.
	waitsAfterStop, dispatchedAfterStop bool
	finishes                            []Finish
	mutate                              mutant
}

// mutant simulates a fault of the core: it changes the events that go in or the decisions that come
// out.
type mutant struct {
	event    func(Event) Event
	decision func(Decision) (Decision, bool)
}

func newScenario(c requestClass, m mutant) *scenario {
	s := &scenario{class: c, now: time.Unix(1000, 0), limiter: &countingLimiter{Static: limit.NewStatic(1)}, mutate: m}
	s.core = New(Options{Board: blackboard.New(), Limiter: s.limiter, Scheduler: &scriptedScheduler{}})
	s.config = scenarioConfig(c)
	s.handle(ConfigUpdated{Config: s.config})
	r := Request{ID: 1, Path: "/r", HasKey: true, KeyHash: record.HashSecret("k"), Deadline: s.now.Add(requestTimeout)}
	if c.hasIdempotencyKey {
		r.IdempotencyKey = "key"
	}
	s.handle(RequestArrived{Request: r})
	return s
}

func scenarioConfig(c requestClass) *record.Config {
	envelope := func(kind record.Kind, name, spec string) record.Envelope {
		return record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: []byte(spec)}
	}
	hash := record.HashSecret("k")
	config, problems := record.NewConfig().Apply(1, []record.Envelope{
		envelope(record.KindOrganisation, "o", `{}`),
		envelope(record.KindKey, "k", fmt.Sprintf(`{"organisation":"o","hash":%q}`, hash.String())),
		envelope(record.KindRoute, "r", fmt.Sprintf(`{"prefix":"/r","pool":"p","timeout":"1m","cost_tokens":%d,"repeatable":%v}`, callCost, c.repeatable)),
		envelope(record.KindUpstream, "u", `{"class":"service","url":"http://127.0.0.1:1","zone":"a","pool":"p","max_batch":8}`),
	})
	if len(problems) > 0 {
		panic(errors.Join(problems...))
	}
	return config
}

func (s *scenario) handle(ev Event) {
	if s.mutate.event != nil {
		ev = s.mutate.event(ev)
	}
	for _, d := range s.core.Handle(s.now, ev) {
		if s.mutate.decision != nil {
			var keep bool
			if d, keep = s.mutate.decision(d); !keep {
				continue
			}
		}
		switch d := d.(type) {
		case Dispatch:
			s.dispatches++
			s.dispatchedAfterStop = s.dispatchedAfterStop || s.stopped
			if s.keyWithdrawn {
				s.unauthorisedDispatches++
			}
			if s.mayHaveRun {
				s.unsafeDispatches++
			}
		case Finish:
			s.finishes = append(s.finishes, d)
		}
	}
	if e, ok := s.core.requests[1]; ok && s.stopped {
		state := e.machine.State()
		s.waitsAfterStop = s.waitsAfterStop || state == request.Queued || state == request.BackingOff || state == request.Reserved
	}
}

// eventStep is one event that can occur next.
type eventStep struct {
	name  string
	apply func(s *scenario)
}

func attemptEnds(name string, o request.Outcome, executed int, answerStarted bool) eventStep {
	return eventStep{name, func(s *scenario) {
		s.executions += executed
		if o != request.NotExecuted && o != request.Rejected {
			s.mayHaveRun = true
		}
		used := int64(unknownUsage)
		if o == request.Completed {
			used, s.completed = usedTokens, true
		}
		s.handle(AttemptEnded{ID: 1, Outcome: o, AnswerStarted: answerStarted, UsedTokens: used})
	}}
}

// unknownUsage is the UsedTokens of an attempt whose usage was not reported.
const unknownUsage = -1

var (
	callerLeaves   = eventStep{"caller leaves", func(s *scenario) { s.handle(CallerLeft{ID: 1}) }}
	timePasses     = eventStep{"time passes", func(s *scenario) { s.now = s.now.Add(2 * time.Second); s.handle(Tick{}) }}
	hostDrains     = eventStep{"host drains", func(s *scenario) { s.handle(DrainStarted{}) }}
	hostStops      = eventStep{"host stops", func(s *scenario) { s.stopped = true; s.handle(StopStarted{}) }}
	upstreamFree   = eventStep{"upstream is free", func(s *scenario) { s.handle(LoadReported{Upstream: "u"}) }}
	schedulerDrops = eventStep{"scheduler drops", func(s *scenario) {
		s.handle(LoadReported{Upstream: "u", Report: upstream.Report{Waiting: 1}})
	}}
	keyWithdrawal     = eventStep{"key is withdrawn", func(s *scenario) { s.deleteRecord("key", "k") }}
	upstreamRemoval   = eventStep{"upstream is removed", func(s *scenario) { s.deleteRecord("upstream", "u") }}
	answerStarts      = eventStep{"answer starts", func(s *scenario) { s.handle(FirstByteReceived{ID: 1}) }}
	lossAfterDeadline = eventStep{"paused past the deadline, then lost", func(s *scenario) {
		s.now = s.now.Add(2 * requestTimeout)
		attemptEnds("", request.Lost, 1, false).apply(s)
	}}
)

func (s *scenario) deleteRecord(kind record.Kind, name string) {
	s.configChanged = true
	s.keyWithdrawn = kind == record.KindKey
	s.config, _ = s.config.Apply(s.config.Revision+1, []record.Envelope{{Schema: record.SchemaV2, Kind: kind, Name: name, Deleted: true}})
	s.handle(ConfigUpdated{Config: s.config})
}

func claimEnds(name string, end ClaimEnded) eventStep {
	end.ID = 1
	return eventStep{name, func(s *scenario) { s.replayed = end.Replayed; s.handle(end) }}
}

// steps returns every event that can occur in the request's state.
func (s *scenario) steps() []eventStep {
	state := s.core.requests[1].machine.State()
	var out []eventStep
	switch state {
	case request.Claiming:
		out = []eventStep{
			claimEnds("key recorded", ClaimEnded{}), claimEnds("answer replayed", ClaimEnded{Replayed: true}),
			claimEnds("store is down", ClaimEnded{Err: apierr.New(apierr.OutcomeStoreDown, "")}), callerLeaves,
		}
	case request.Queued:
		out = []eventStep{upstreamFree, schedulerDrops, callerLeaves}
	case request.BackingOff:
		out = []eventStep{timePasses, callerLeaves}
	case request.Dispatched:
		out = []eventStep{
			answerStarts, lossAfterDeadline, attemptEnds("completed", request.Completed, 1, false), attemptEnds("refused", request.NotExecuted, 0, false),
			attemptEnds("lost before", request.Lost, 0, false), attemptEnds("lost after", request.Lost, 1, false),
			attemptEnds("errored", request.Errored, 1, false), attemptEnds("rejected", request.Rejected, 0, false),
			attemptEnds("cancelled before", request.CallerLeft, 0, false), attemptEnds("cancelled after", request.CallerLeft, 1, false),
		}
	case request.Streaming:
		out = []eventStep{
			attemptEnds("completed", request.Completed, 1, true), attemptEnds("cut", request.Interrupted, 1, true),
			attemptEnds("cancelled", request.CallerLeft, 1, true), attemptEnds("lost", request.Lost, 1, true),
		}
	}
	if !s.configChanged && state != request.BackingOff {
		out = append(out, keyWithdrawal, upstreamRemoval)
	}
	if !s.core.draining && s.dispatches == 0 {
		out = append(out, hostDrains)
	}
	if !s.stopped {
		out = append(out, hostStops)
	}
	return out
}

// check returns an error if the outcome of the request violates an invariant.
func (s *scenario) check() error {
	if len(s.finishes) != 1 {
		return fmt.Errorf("%d final answers", len(s.finishes))
	}
	err := s.finishes[0].Err
	switch {
	case !s.class.repeatable && s.executions > 1:
		return fmt.Errorf("executed %d times", s.executions)
	case !s.class.repeatable && s.unsafeDispatches > 0:
		return fmt.Errorf("dispatched again after an attempt that may have run")
	case s.unauthorisedDispatches > 0:
		return fmt.Errorf("dispatched with a withdrawn key")
	case s.dispatches > MaxAttempts:
		return fmt.Errorf("%d attempts", s.dispatches)
	case err == nil && !s.completed && !s.replayed:
		return fmt.Errorf("succeeded without a complete answer")
	case err == nil && s.completed && s.limiter.spent != callCost:
		return fmt.Errorf("a complete answer cost %d tokens", s.limiter.spent)
	case err != nil && err.Ran == apierr.NotRun && s.executions > 0:
		return fmt.Errorf("reported not_run after %d executions", s.executions)
	case err != nil && err.Ran == apierr.NotRun && s.limiter.spent != 0:
		return fmt.Errorf("not_run cost %d tokens", s.limiter.spent)
	case err != nil && err.Ran != apierr.NotRun && err.Kind.Definition().Retry && !s.class.repeatable && err.Kind != apierr.CallerGone:
		return fmt.Errorf("%s tells the caller to retry a request that may have run", err.Kind)
	case s.waitsAfterStop:
		return fmt.Errorf("still waits after the stop")
	case s.dispatchedAfterStop:
		return fmt.Errorf("dispatched after the stop")
	case s.core.InFlight() != 0:
		return fmt.Errorf("still in flight")
	}
	return nil
}

// walkScenarios explores every scenario of a class. It returns their number and the first violation of
// an invariant.
func walkScenarios(c requestClass, m mutant) (count int, violation error) {
	var visit func(path []int)
	visit = func(path []int) {
		s := newScenario(c, m)
		var names []string
		for _, choice := range path {
			step := s.steps()[choice]
			names = append(names, step.name)
			step.apply(s)
		}
		if _, running := s.core.requests[1]; running {
			for choice := range s.steps() {
				visit(append(path[:len(path):len(path)], choice))
			}
			return
		}
		count++
		if err := s.check(); err != nil && violation == nil {
			violation = fmt.Errorf("%s: %v: %w", c.name, names, err)
		}
	}
	visit(nil)
	return count, violation
}

func TestLifecycle_EveryScenario(t *testing.T) {
	for _, c := range requestClasses {
		t.Run(c.name, func(t *testing.T) {
			count, violation := walkScenarios(c, mutant{})
			require.NoError(t, violation)
			require.Greater(t, count, 100)
			t.Logf("%d scenarios", count)
		})
	}
}

func TestLifecycle_MutantsDetected(t *testing.T) {
	mutants := map[string]struct {
		class  requestClass
		mutant mutant
		want   string
	}{
		"lost attempt reported as not executed": {requestClasses[2], mutant{event: func(ev Event) Event {
			if a, ok := ev.(AttemptEnded); ok && a.Outcome == request.Lost {
				a.Outcome = request.NotExecuted
				return a
			}
			return ev
		}}, "reported not_run after 1 executions"},
		"every error reports not_run": {requestClasses[0], mutant{decision: func(d Decision) (Decision, bool) {
			if f, ok := d.(Finish); ok && f.Err != nil {
				e := *f.Err
				e.Ran = apierr.NotRun
				f.Err = &e
				return f, true
			}
			return d, true
		}}, "reported not_run"},
		"final answer dropped": {requestClasses[1], mutant{decision: func(d Decision) (Decision, bool) {
			_, last := d.(Finish)
			return d, !last
		}}, "0 final answers"},
		"cut answer reported as complete": {requestClasses[0], mutant{decision: func(d Decision) (Decision, bool) {
			if f, ok := d.(Finish); ok && f.Err != nil && f.Err.Kind == apierr.AnswerCut {
				f.Err = nil
				return f, true
			}
			return d, true
		}}, "without a complete answer"},
		"waiting request not ended by the stop of its host": {requestClasses[0], mutant{event: func(ev Event) Event {
			if _, ok := ev.(StopStarted); ok {
				return DrainStarted{}
			}
			return ev
		}}, "after the stop"},
		"retry requested for a request that may have run": {requestClasses[1], mutant{decision: func(d Decision) (Decision, bool) {
			if f, ok := d.(Finish); ok && f.Err != nil && f.Err.Kind == apierr.OutcomeUnknown {
				f.Err = apierr.New(apierr.UpstreamFailed, "").WithRan(f.Err.Ran)
				return f, true
			}
			return d, true
		}}, "tells the caller to retry"},
	}
	for name, tc := range mutants {
		t.Run(name, func(t *testing.T) {
			_, violation := walkScenarios(tc.class, tc.mutant)
			require.ErrorContains(t, violation, tc.want)
		})
	}
}
