package intake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/intake"
)

var start = time.Unix(1_000_000, 0)

// at returns the time after a number of milliseconds.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

const mb = 1 << 20

func testLimits() intake.Limits {
	return intake.Limits{Bytes: 8 * mb, Connections: 100, PerConnection: 6 * mb, PerKey: 7 * mb}
}

// account is a budget with helpers for tests.
type account struct {
	*intake.Budget
	t *testing.T
}

func newAccount(t *testing.T, l intake.Limits) account { return account{intake.New(l), t} }

func (a account) open(ms int) *intake.Conn {
	c := &intake.Conn{}
	_, admitted := a.Open(at(ms), c)
	require.True(a.t, admitted)
	return c
}

// reading returns a connection with a body of which received bytes have arrived and are held.
func (a account) reading(ms int, expected, received int64) *intake.Conn {
	c := a.open(ms)
	_, verdict := a.Begin(at(ms), c)
	require.Equal(a.t, intake.Granted, verdict)
	a.ReadBody(at(ms), c, expected, 4*mb)
	_, verdict = a.Reserve(at(ms), c, intake.Body, received)
	require.Equal(a.t, intake.Granted, verdict)
	c.Received(at(ms), int(received))
	return c
}

// Guards against default limits that ordinary callers reach. The smallest host of the users' deployments must serve 250
// connections, all with a request, with 30 bodies of 14 KB at once; and, without that load, one body of the largest size.
func TestLimits_OrdinaryLoadOfSmallestHost(t *testing.T) {
	limits := intake.NewLimits(144*mb, 3075, intake.DefaultShares())
	a := newAccount(t, limits)
	for i := range 250 {
		c := a.open(0)
		victims, verdict := a.HeadArrived(at(0), c, intake.HeadBytes(1000, 20))
		require.Equal(t, intake.Granted, verdict)
		require.Empty(t, victims)
		victims, verdict = a.Begin(at(0), c)
		require.Equal(t, intake.Granted, verdict)
		require.Empty(t, victims)
		if i < 30 {
			_, _ = a.SetKey(at(0), c, "key")
			a.ReadBody(at(0), c, 14_000, 4*mb)
			victims, verdict = a.Reserve(at(0), c, intake.Body, 14_000)
			require.Equal(t, intake.Granted, verdict)
			require.Empty(t, victims)
		}
	}
	a = newAccount(t, limits)
	c := a.reading(0, 4*mb, 0)
	_, _ = a.SetKey(at(0), c, "key")
	for size := int64(16 << 10); size <= 4*mb; size *= 2 {
		_, verdict := a.Reserve(at(0), c, intake.Body, size)
		require.Equal(t, intake.Granted, verdict, "a body of %d bytes", size)
		a.Release(c, intake.Body, size/2)
	}
	require.True(t, a.BodyRead(c))
}

// Guards against limits that together exceed the descriptors: with a share of one half, callers' connections, those to upstreams
// and idle ones added up to 1.25 times as many.
func TestLimits_SumOfDescriptors(t *testing.T) {
	for _, memory := range []int64{144 * mb, 4096 * mb, 1 << 40} {
		for _, descriptors := range []int{400, 3075, 4100, 65_536} {
			shares := intake.DefaultShares()
			for _, shares.Descriptors = range []float64{0.1, 0.4, 0.5} {
				l := intake.NewLimits(memory, descriptors, shares)
				sum := 2*l.Connections + l.IdleUpstreamConnections + intake.ReservedDescriptors
				require.LessOrEqual(t, sum, descriptors+8, "at least 8 idle connections are kept")
			}
		}
	}
}

// Bodies that have stopped must give way to a body that arrives, although they lack only a byte.
func TestReserve_StoppedBodiesGiveWay(t *testing.T) {
	a := newAccount(t, testLimits())
	var stopped []*intake.Conn
	for range 5 {
		stopped = append(stopped, a.reading(0, mb, mb-1))
	}
	c := a.reading(0, mb, 16)
	victims, verdict := a.Reserve(at(600), c, intake.Body, mb)
	require.Equal(t, intake.Granted, verdict)
	require.Len(t, victims, 1)
	require.Contains(t, stopped, victims[0])
	require.False(t, a.BodyRead(victims[0]), "a request that was given up must not be sent to an upstream")
	require.True(t, a.BodyRead(c))
}

// While all bodies arrive, one that is nearly complete must not be given up for one that has just begun; the latter is given up
// for the former.
func TestReserve_NearlyWholeIsKept(t *testing.T) {
	a := newAccount(t, testLimits())
	var nearlyWhole []*intake.Conn
	for range 5 {
		nearlyWhole = append(nearlyWhole, a.reading(0, mb, mb-100))
	}
	begun := a.reading(0, 4*mb, mb/2)
	_, verdict := a.Reserve(at(100), begun, intake.Body, mb)
	require.Equal(t, intake.Refused, verdict)
	for _, c := range nearlyWhole {
		require.False(t, c.Evicted())
	}
	_, _ = a.Reserve(at(100), nearlyWhole[0], intake.Body, mb/2)
	require.True(t, begun.Evicted())
	require.False(t, nearlyWhole[1].Evicted())
}

// A caller that sends a byte now and then must not keep its memory while memory is short, although it does not stop.
func TestReserve_TricklingBodyGivesWay(t *testing.T) {
	a := newAccount(t, testLimits())
	for range 4 {
		require.True(t, a.BodyRead(a.reading(0, mb, mb)))
	}
	trickling := a.reading(0, 4*mb, mb)
	for ms := 100; ms <= 30_000; ms += 100 {
		trickling.Received(at(ms), 1)
	}
	victims, verdict := a.Reserve(at(30_000), a.reading(30_000, mb, 16), intake.Body, mb)
	require.Equal(t, intake.Granted, verdict)
	require.Equal(t, []*intake.Conn{trickling}, victims)
}

// While memory is not short, no rate is demanded.
func TestReserve_NoRateWhileNotShort(t *testing.T) {
	a := newAccount(t, testLimits())
	slow := a.reading(0, mb, 100)
	victims, verdict := a.Reserve(at(9_000), a.open(9_000), intake.Body, mb)
	require.Equal(t, intake.Granted, verdict)
	require.Empty(t, victims)
	require.True(t, a.BodyRead(slow))
}

// A complete request must not be given up: an upstream may have it.
func TestReserve_CompleteRequestIsKept(t *testing.T) {
	a := newAccount(t, testLimits())
	complete := a.reading(0, 4*mb, 4*mb)
	require.True(t, a.BodyRead(complete))
	more := a.reading(0, 4*mb, mb)
	victims, verdict := a.Reserve(at(60_000), more, intake.Body, 4*mb)
	require.Equal(t, intake.Refused, verdict)
	require.Empty(t, victims)
	require.False(t, complete.Evicted())
}

// A caller that does not read its response holds it and the request. One that reads slowly does not stop.
func TestReserve_SlowReaderGivesWay(t *testing.T) {
	for name, tc := range map[string]struct {
		lastProgress int
		evicted      bool
	}{"does not read": {0, true}, "reads slowly": {8_000, false}} {
		t.Run(name, func(t *testing.T) {
			a := newAccount(t, testLimits())
			reader := a.reading(0, 4*mb, 4*mb)
			require.True(t, a.BodyRead(reader))
			reader.Writing(at(tc.lastProgress))
			_, verdict := a.Reserve(at(10_000), a.reading(10_000, 4*mb, mb), intake.Body, 4*mb)
			require.NotEqual(t, intake.Granted, verdict, "what is given up is free only when the connection has ended")
			require.Equal(t, tc.evicted, reader.Evicted())
		})
	}
}

// One connection and one key must not take everything. Within a key, what has stopped gives way.
func TestReserve_Shares(t *testing.T) {
	limits := testLimits()
	limits.PerConnection, limits.PerKey = 2*mb, 3*mb
	a := newAccount(t, limits)
	_, verdict := a.Reserve(at(0), a.reading(0, 4*mb, mb), intake.Body, mb)
	require.Equal(t, intake.Refused, verdict)
	var greedy []*intake.Conn
	for range 2 {
		c := a.reading(0, 2*mb, mb)
		_, _ = a.SetKey(at(0), c, "greedy")
		greedy = append(greedy, c)
	}
	_, verdict = a.Reserve(at(100), greedy[0], intake.Body, mb)
	require.Equal(t, intake.Refused, verdict)
	other := a.reading(100, 2*mb, mb)
	_, _ = a.SetKey(at(0), other, "other")
	greedy[0].Received(at(600), 1000)
	victims, verdict := a.Reserve(at(600), greedy[0], intake.Body, mb-intake.RequestBytes)
	require.Equal(t, intake.Granted, verdict)
	require.Equal(t, []*intake.Conn{greedy[1]}, victims)
}

// Guards against an account of evicted connections that stays too high if one is evicted twice: for memory, and for a new
// Guards against a caller of pipelined requests that reads nothing and keeps its place: its second request holds no head, so that
// New requests must not take all of the memory, or those that have begun are refused for their bodies.
func TestReserve_NewRequestsLeaveRoomForBodies(t *testing.T) {
	l := testLimits()
	l.Connections = 1000
	a := newAccount(t, l)
	var begun []*intake.Conn
	for range l.Connections {
		c := a.open(0)
		if _, verdict := a.Begin(at(0), c); verdict == intake.Granted {
			begun = append(begun, c)
		}
	}
	require.Less(t, len(begun), l.Connections)
	for _, c := range begun[:10] {
		a.ReadBody(at(0), c, 14_000, mb)
		_, verdict := a.Reserve(at(0), c, intake.Body, 14_000)
		require.Equal(t, intake.Granted, verdict)
	}
}

// Requests without a body reserve nothing after their key is known. Those of one key must not hold more than its share, and must
// leave room for the bodies of others with the key.
func TestSetKey_ShareOfRequestsWithoutBody(t *testing.T) {
	l := testLimits()
	l.Connections, l.PerKey = 1000, 2*mb
	a := newAccount(t, l)
	granted := 0
	for range 100 {
		c := a.open(0)
		_, _ = a.Begin(at(0), c)
		victims, verdict := a.SetKey(at(0), c, "greedy")
		require.Empty(t, victims)
		if verdict == intake.Granted {
			granted++
			continue
		}
		a.Close(c)
	}
	require.Less(t, int64(granted)*intake.RequestBytes, l.PerKey)
	c := a.open(0)
	_, verdict := a.Begin(at(0), c)
	require.Equal(t, intake.Granted, verdict)
	_, verdict = a.SetKey(at(0), c, "other")
	require.Equal(t, intake.Granted, verdict)
}

// Whatever callers do, no more is held than the limit, the sums agree, a request that was given up is never sent, and
// nothing is left once all connections have ended.
func TestBudget_RandomClients(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		limits := testLimits()
		limits.Connections, limits.PerConnection, limits.PerKey = 20, 3*mb, 5*mb
		a := newAccount(t, limits)
		var open []*intake.Conn
		reading := map[*intake.Conn]bool{}
		now := 0
		for range 2000 {
			now += random.IntN(200)
			if len(open) == 0 || random.IntN(8) == 0 {
				c := &intake.Conn{}
				victim, admitted := a.Open(at(now), c)
				require.False(t, victim != nil && reading[victim], "a connection with a request was closed for a new one")
				if admitted {
					open = append(open, c)
				}
				continue
			}
			i := random.IntN(len(open))
			c := open[i]
			switch random.IntN(8) {
			case 0:
				_, _ = a.HeadArrived(at(now), c, random.Int64N(mb))
			case 1:
				if _, verdict := a.Begin(at(now), c); verdict == intake.Granted && !reading[c] {
					_, _ = a.SetKey(at(now), c, []string{"", "a", "b"}[random.IntN(3)])
					a.ReadBody(at(now), c, []int64{-1, 4 * mb}[random.IntN(2)], 4*mb)
					reading[c] = true
				}
			case 2, 3, 4:
				_, _ = a.Reserve(at(now), c, intake.Kinds()[random.IntN(4)], random.Int64N(mb))
				c.Received(at(now), random.IntN(mb))
			case 5:
				a.Release(c, intake.Body, random.Int64N(mb))
			case 6:
				if reading[c] {
					require.Equal(t, !c.Evicted(), a.BodyRead(c))
					a.End(at(now), c)
					delete(reading, c)
				}
			case 7:
				a.Close(c)
				delete(reading, c)
				open = append(open[:i], open[i+1:]...)
			}
			sum := int64(0)
			for _, k := range intake.Kinds() {
				require.GreaterOrEqual(t, a.Held(k), int64(0))
				sum += a.Held(k)
			}
			require.LessOrEqual(t, sum, limits.Bytes)
			require.LessOrEqual(t, a.Connections(), limits.Connections)
		}
		for _, c := range open {
			a.Close(c)
		}
		for _, k := range intake.Kinds() {
			require.Zero(t, a.Held(k))
		}
		require.Zero(t, a.Connections())
	}
}

// BenchmarkBudget_Request measures what the account of one request with a body of 14 KB costs, beside 250 open connections.
func BenchmarkBudget_Request(b *testing.B) {
	budget := intake.New(intake.NewLimits(144*mb, 3075, intake.DefaultShares()))
	var conns []*intake.Conn
	for range 250 {
		c := &intake.Conn{}
		budget.Open(start, c)
		conns = append(conns, c)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c := conns[i%len(conns)]
		budget.HeadArrived(start, c, intake.HeadBytes(600, 15))
		budget.Begin(start, c)
		_, _ = budget.SetKey(start, c, "key")
		budget.ReadBody(start, c, 14_000, 4*mb)
		budget.Reserve(start, c, intake.Body, 14_000)
		c.Received(start, 14_000)
		budget.BodyRead(c)
		for _, k := range intake.Kinds() {
			budget.ReleaseAll(c, k)
		}
		budget.End(start, c)
	}
}

// BenchmarkBudget_Short measures a refused reservation while memory is short and held by as many requests as fit.
func BenchmarkBudget_Short(b *testing.B) {
	limits := intake.NewLimits(144*mb, 3075, intake.DefaultShares())
	budget := intake.New(limits)
	for budget.Held(intake.Request) < limits.Bytes-2*intake.RequestBytes {
		c := &intake.Conn{}
		budget.Open(start, c)
		budget.Begin(start, c)
	}
	c := &intake.Conn{}
	budget.Open(start, c)
	b.ReportAllocs()
	for b.Loop() {
		budget.Reserve(start, c, intake.Body, mb)
	}
}
