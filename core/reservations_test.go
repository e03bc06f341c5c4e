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

// pendingLimiter leaves every reservation pending and records the tokens that are returned.
type pendingLimiter struct {
	*limit.Static
	lastTicket   limit.Ticket
	reserveCalls int
	released     map[string]int64
	resolved     []limit.Decision // returned by the next Tick
}

func newPendingLimiter() *pendingLimiter {
	return &pendingLimiter{Static: limit.NewStatic(1), released: map[string]int64{}}
}

func (s *pendingLimiter) Reserve(time.Time, string, int64) (limit.Verdict, []limit.Decision) {
	s.lastTicket++
	s.reserveCalls++
	return limit.Verdict{Pending: true, Ticket: s.lastTicket}, nil
}

func (s *pendingLimiter) Settle(_ time.Time, org string, reserved, used int64) []limit.Decision {
	s.released[org] += reserved - used
	return nil
}

func (s *pendingLimiter) Tick(time.Time) []limit.Decision {
	out := s.resolved
	s.resolved = nil
	return out
}

func (s *pendingLimiter) resolve(v limit.Verdict) {
	s.resolved = append(s.resolved, limit.Resolved{Ticket: s.lastTicket, Verdict: v})
}

// newCoreWithPendingReservation returns a core with one request that waits for tokens.
func newCoreWithPendingReservation(t *testing.T) (*Core, *pendingLimiter, *entry) {
	t.Helper()
	limiter := newPendingLimiter()
	c := New(Options{Board: blackboard.New(), Limiter: limiter, Scheduler: sched.NewLeastLoaded()})
	e := &entry{
		request: Request{ID: 1, Tokens: 50, Deadline: time.Unix(100, 0)}, org: "acme",
		schedRequest: sched.Request{ID: 1, Organisation: "acme", Deadline: time.Unix(100, 0)},
	}
	e.machine.TransitionTo(request.Authorised)
	var out decisions
	c.reserve(time.Unix(1, 0), e, &out)
	require.Empty(t, out, "decided before the verdict")
	require.Equal(t, 1, c.InFlight())
	return c, limiter, e
}

func finishError(out []Decision) *apierr.Error {
	for _, d := range out {
		if f, ok := d.(Finish); ok {
			return f.Err
		}
	}
	return nil
}

func TestPendingReservation_Admitted(t *testing.T) {
	c, limiter, e := newCoreWithPendingReservation(t)
	limiter.resolve(limit.Verdict{OK: true})
	c.Handle(time.Unix(2, 0), Tick{})
	require.Equal(t, int64(50), e.reserved)
	require.Empty(t, c.reservations.pending)
}

func TestPendingReservation_Refused(t *testing.T) {
	c, limiter, _ := newCoreWithPendingReservation(t)
	limiter.resolve(limit.Verdict{Exhausted: true, RetryAfter: 3 * time.Second})
	err := finishError(c.Handle(time.Unix(2, 0), Tick{}))
	require.NotNil(t, err)
	require.Equal(t, apierr.RateLimited, err.Kind)
	require.Equal(t, 3*time.Second, err.RetryAfter)
	require.Zero(t, c.InFlight())
	require.Empty(t, limiter.released)
}

func TestPendingReservation_ReleasedAfterCallerLeft(t *testing.T) {
	c, limiter, _ := newCoreWithPendingReservation(t)
	require.NotNil(t, finishError(c.Handle(time.Unix(2, 0), CallerLeft{ID: 1})))
	limiter.resolve(limit.Verdict{OK: true})
	c.Handle(time.Unix(2, 0), Tick{})
	require.Equal(t, map[string]int64{"acme": 50}, limiter.released)
}

// newInFlightBudget returns the load budgets of a model that limits only its loads in flight.
func newInFlightBudget(l limit.Limiter) loadBudget {
	b := newLoadBudget(l)
	config := record.NewConfig()
	config.Models()["base"] = &record.Model{Name: "base", LoadsInFlight: 8}
	b.config = config
	return b
}

func TestLoadBudget_WaitsForLimiter(t *testing.T) {
	l := newPendingLimiter()
	b := newInFlightBudget(l)
	now := time.Unix(1, 0)
	require.Equal(t, sched.BudgetRequested, b.TakeLoad(now, "base"))
	require.Equal(t, sched.BudgetRequested, b.TakeLoad(now, "base"))
	require.Equal(t, 1, l.reserveCalls, "one reservation at a time")
	require.True(t, b.onResolved(now, limit.Resolved{Ticket: l.lastTicket, Verdict: limit.Verdict{OK: true}}))
	require.Equal(t, sched.BudgetTaken, b.TakeLoad(now, "base"))
	require.Equal(t, sched.BudgetRequested, b.TakeLoad(now, "base"), "one unit serves one load")
}

func TestLoadBudget_ReleasesUnused(t *testing.T) {
	l := newPendingLimiter()
	b := newInFlightBudget(l)
	now := time.Unix(1, 0)
	b.TakeLoad(now, "base")
	b.onResolved(now, limit.Resolved{Ticket: l.lastTicket, Verdict: limit.Verdict{OK: true}})
	b.tick(now.Add(maxUnusedHold - 1))
	require.Empty(t, l.released)
	b.tick(now.Add(maxUnusedHold))
	require.Equal(t, int64(1), l.released[loadInFlightPrefix+"base"])
}

func TestRateError_Kinds(t *testing.T) {
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

// Guards against an organisation without a rate that may spend tokens, and against refusals of what costs none. The check of
// records states both for the keys of such an organisation.
func TestReserve_OrganisationWithoutARate(t *testing.T) {
	now := time.Unix(1, 0)
	for name, limiter := range map[string]limit.Limiter{
		"static": limit.NewStatic(1), "leader": limit.NewLeaderLimiter(limit.LeaderOptions{Host: "h", Incarnation: 1}),
	} {
		for tokens, want := range map[int64]request.State{0: request.Queued, 10: request.Failed} { // with no upstream, it waits
			c := New(Options{Board: blackboard.New(), Limiter: limiter, Scheduler: sched.NewLeastLoaded()})
			e := &entry{request: Request{ID: 1, Tokens: tokens, Deadline: time.Unix(100, 0)}, org: "acme"}
			e.machine.TransitionTo(request.Authorised)
			var out decisions
			c.reserve(now, e, &out)
			require.Equal(t, want, e.machine.State(), "%s, %d tokens", name, tokens)
			if tokens > 0 {
				require.Equal(t, apierr.CostOverBurst, finishError(out).Kind, name)
			}
		}
	}
}
