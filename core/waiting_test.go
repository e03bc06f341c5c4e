package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/blackboard"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
)

// slowLimiter makes every reservation wait. It notes what is given back.
type slowLimiter struct {
	*limit.Static
	last   limit.Ticket
	asked  int
	gave   map[string]int64
	answer []limit.Decision // handed out by the next Tick
}

func newSlowLimiter() *slowLimiter {
	return &slowLimiter{Static: limit.NewStatic(1), gave: map[string]int64{}}
}

func (s *slowLimiter) Reserve(time.Time, string, int64) (limit.Verdict, []limit.Decision) {
	s.last++
	s.asked++
	return limit.Verdict{Pending: true, Ticket: s.last}, nil
}

func (s *slowLimiter) Settle(_ time.Time, org string, reserved, used int64) []limit.Decision {
	s.gave[org] += reserved - used
	return nil
}

func (s *slowLimiter) Tick(time.Time) []limit.Decision {
	out := s.answer
	s.answer = nil
	return out
}

func (s *slowLimiter) resolve(v limit.Verdict) {
	s.answer = append(s.answer, limit.Resolved{Ticket: s.last, Verdict: v})
}

// waitingCore returns a core with one request that waits for tokens.
func waitingCore(t *testing.T) (*Core, *slowLimiter, *entry) {
	t.Helper()
	l := newSlowLimiter()
	c := New(Options{Board: blackboard.New(), Limiter: l, Scheduler: sched.NewLeastLoaded()})
	e := &entry{
		request: Request{ID: 1, Tokens: 50, Deadline: time.Unix(100, 0)}, org: "acme",
		work: sched.Request{ID: 1, Organisation: "acme", Deadline: time.Unix(100, 0)},
	}
	e.machine.TransitionTo(request.Authorised)
	var out decisions
	c.reserve(time.Unix(1, 0), e, &out)
	require.Empty(t, out, "decided before the verdict")
	require.Equal(t, 1, c.InFlight())
	return c, l, e
}

func finished(out []Decision) *apierr.Error {
	for _, d := range out {
		if f, ok := d.(Finish); ok {
			return f.Err
		}
	}
	return nil
}

func TestWaitingRequestIsAdmitted(t *testing.T) {
	c, l, e := waitingCore(t)
	l.resolve(limit.Verdict{OK: true})
	c.Handle(time.Unix(2, 0), Tick{})
	require.Equal(t, int64(50), e.reserved)
	require.Empty(t, c.waiting.tickets)
}

func TestWaitingRequestIsRefused(t *testing.T) {
	c, l, _ := waitingCore(t)
	l.resolve(limit.Verdict{Exhausted: true, RetryAfter: 3 * time.Second})
	err := finished(c.Handle(time.Unix(2, 0), Tick{}))
	require.NotNil(t, err)
	require.Equal(t, apierr.RateLimited, err.Kind)
	require.Equal(t, 3*time.Second, err.RetryAfter)
	require.Zero(t, c.InFlight())
	require.Empty(t, l.gave)
}

func TestTokensOfACallerWhoLeftGoBack(t *testing.T) {
	c, l, _ := waitingCore(t)
	require.NotNil(t, finished(c.Handle(time.Unix(2, 0), CallerLeft{ID: 1})))
	l.resolve(limit.Verdict{OK: true})
	c.Handle(time.Unix(2, 0), Tick{})
	require.Equal(t, map[string]int64{"acme": 50}, l.gave)
}

// loadBudgetOf returns the budget of a model with loads in flight only.
func loadBudgetOf(l limit.Limiter) loadBudget {
	b := newLoadBudget(l)
	config := record.NewConfig()
	config.Models()["base"] = &record.Model{Name: "base", LoadsInFlight: 8}
	b.config = config
	return b
}

func TestLoadWaitsForItsBudget(t *testing.T) {
	l := newSlowLimiter()
	b := loadBudgetOf(l)
	now := time.Unix(1, 0)
	require.Equal(t, sched.BudgetRequested, b.TakeLoad(now, "base"))
	require.Equal(t, sched.BudgetRequested, b.TakeLoad(now, "base"))
	require.Equal(t, 1, l.asked, "one ask at a time")
	require.True(t, b.resolved(now, limit.Resolved{Ticket: l.last, Verdict: limit.Verdict{OK: true}}))
	require.Equal(t, sched.BudgetTaken, b.TakeLoad(now, "base"))
	require.Equal(t, sched.BudgetRequested, b.TakeLoad(now, "base"), "one part serves one load")
}

func TestUnusedBudgetGoesBack(t *testing.T) {
	l := newSlowLimiter()
	b := loadBudgetOf(l)
	now := time.Unix(1, 0)
	b.TakeLoad(now, "base")
	b.resolved(now, limit.Resolved{Ticket: l.last, Verdict: limit.Verdict{OK: true}})
	b.tick(now.Add(maxInHand - 1))
	require.Empty(t, l.gave)
	b.tick(now.Add(maxInHand))
	require.Equal(t, int64(1), l.gave[loadInFlightPrefix+"base"])
}

func TestOnlyALimiterThatHasLookedSaysThatTheRateIsUsedUp(t *testing.T) {
	for _, tc := range []struct {
		verdict limit.Verdict
		kind    apierr.Kind
	}{
		{limit.Verdict{Exhausted: true, RetryAfter: time.Second}, apierr.RateLimited},
		{limit.Verdict{RetryAfter: time.Second}, apierr.RateUnknown},
		{limit.Verdict{OverBurst: true}, apierr.CostOverBurst},
	} {
		err := rateError(10, tc.verdict)
		require.Equal(t, tc.kind, err.Kind)
		require.Equal(t, tc.verdict.RetryAfter, err.RetryAfter)
	}
}
