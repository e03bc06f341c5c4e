package intake_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/intake"
)

// At the limit of connections a new one must replace the one that is least likely in use, and never one with a request.
func TestOpen_ReplacesLongestWaiting(t *testing.T) {
	limits := testLimits()
	limits.Connections = 5
	a := newAccount(t, limits)
	underWay, usedIdle, unused, head, lateIdle := a.open(0), a.open(1), a.open(2), a.open(3), a.open(4)
	_, _ = a.Begin(at(5), underWay)
	for i, c := range []*intake.Conn{usedIdle, lateIdle} {
		_, _ = a.Begin(at(5), c)
		a.End(at(6+i), c)
	}
	_, _ = a.HeadArrived(at(8), head, 100)
	var order []*intake.Conn
	for range 4 {
		c := &intake.Conn{}
		victim, admitted := a.Open(at(2000), c)
		require.True(t, admitted)
		order = append(order, victim)
		_, _ = a.Begin(at(2000), c)
	}
	require.Equal(t, []*intake.Conn{head, unused, usedIdle, lateIdle}, order)
	_, admitted := a.Open(at(2000), &intake.Conn{})
	require.False(t, admitted)
	require.False(t, underWay.Evicted())
	require.Equal(t, 5, a.Connections())
}

// Callers that do not read their responses must not keep all connections: a new one replaces one of theirs, but none that reads.
func TestOpen_ReplacesSlowReader(t *testing.T) {
	limits := testLimits()
	limits.Connections = 3
	a := newAccount(t, limits)
	var conns []*intake.Conn
	for range 3 {
		c := a.open(0)
		_, _ = a.Begin(at(0), c)
		conns = append(conns, c)
	}
	conns[1].Writing(at(0))
	conns[2].Writing(at(2_000))
	_, admitted := a.Open(at(1_000), &intake.Conn{})
	require.False(t, admitted)
	victim, admitted := a.Open(at(4_000), &intake.Conn{})
	require.True(t, admitted)
	require.Equal(t, conns[1], victim)
}

// Guards against connections that are kept for seconds by callers that leave only the end of their responses unread.
func TestOpen_ReplacesSlowReaderOfEnd(t *testing.T) {
	limits := testLimits()
	limits.Connections = 1
	for name, finished := range map[string]bool{"handler runs": false, "handler has ended": true} {
		t.Run(name, func(t *testing.T) {
			a := newAccount(t, limits)
			c := a.open(0)
			_, _ = a.HeadArrived(at(0), c, 100)
			_, _ = a.Begin(at(0), c)
			c.Writing(at(0))
			if finished {
				a.Finish(c)
			}
			_, admitted := a.Open(at(600), &intake.Conn{})
			require.Equal(t, finished, admitted)
		})
	}
}

// connection before the first eviction is carried out. Memory then never counts as short, and nothing that stopped gives way.
func TestOpen_EvictedConnectionIsNotEvictedAgain(t *testing.T) {
	l := testLimits()
	l.Connections = 10
	a := newAccount(t, l)
	head, body := a.open(0), a.open(0)
	_, _ = a.HeadArrived(at(0), head, 5*mb)
	_, _ = a.Begin(at(0), body)
	a.ReadBody(at(600), body, 2*mb, 4*mb)
	victims, _ := a.Reserve(at(600), body, intake.Body, 2*mb)
	require.Len(t, victims, 1)
	var others []*intake.Conn
	for a.Connections() < l.Connections {
		c := a.open(700)
		_, _ = a.Begin(at(700), c)
		others = append(others, c)
	}
	_, _ = a.Open(at(1100), &intake.Conn{})
	for _, c := range append(others, head, body) {
		a.Close(c)
	}
	for range 4 {
		c := a.reading(2000, 2*mb, 0)
		_, _ = a.Reserve(at(2000), c, intake.Body, 3*mb/2)
	}
	victims, verdict := a.Reserve(at(4000), a.reading(4000, 2*mb, 0), intake.Body, 3*mb/2)
	require.NotEmpty(t, victims, "verdict %d: bodies that have stopped give way", verdict)
}

// after Finish it holds no memory and is not found among those to replace.
func TestOpen_ReplacesSlowReaderOfPipelinedEnd(t *testing.T) {
	l := testLimits()
	l.Connections = 1
	a := newAccount(t, l)
	c := a.open(0)
	_, _ = a.HeadArrived(at(0), c, 100)
	_, _ = a.Begin(at(0), c)
	a.Finish(c)
	a.End(at(1), c)
	a.HeadComplete(at(2), c) // already in the buffer of net/http
	_, _ = a.Begin(at(2), c)
	c.Writing(at(3))
	a.Finish(c)
	_, admitted := a.Open(at(9_000), &intake.Conn{})
	require.True(t, admitted)
}
