package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/wire"
)

// knownPace returns the pace of the upstream "e" that a host expects now, and whether the upstream has stated one.
func (h *testHost) knownPace(t *testing.T) (pace float64, stated bool) {
	t.Helper()
	all := h.broker.UpstreamStats()
	require.Len(t, all, 1)
	return all[0].FastPace, all[0].PaceStated
}

// stream runs a request on the upstream "e", which states a load in the header of its answer.
func (h *testHost) stream(t *testing.T, load assign.Load) {
	t.Helper()
	ticket := h.requireGrant(t, time.Second)
	h.broker.LoadStated(ticket, &load)
	h.broker.FirstByteReceived(ticket)
	time.Sleep(time.Second)
	h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Completed, Feedback: assign.UpstreamFeedback{Load: &load}})
	time.Sleep(10 * time.Millisecond)
}

// An upstream states its pace in an answer to a follower. Guards against a leader that does not learn it with the first byte,
// and against one that uses it as a new statement at the end of the stream.
func TestPace_LeaderLearns(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.hosts[f.leaders()[0]]
		h := f.otherThan(leader.name)
		ticket := h.requireGrant(t, time.Second)
		load := &assign.Load{Running: 1, Pace: 1.7}
		h.broker.LoadStated(ticket, load)
		h.broker.FirstByteReceived(ticket)
		time.Sleep(10 * time.Millisecond)
		for _, host := range []*testHost{leader, h} {
			pace, stated := host.knownPace(t)
			require.True(t, stated, host.name)
			require.InDelta(t, 1.7, pace, 1e-9, host.name)
		}
		other := leader.requireGrant(t, time.Second)
		leader.broker.AttemptEnded(other, assign.AttemptEnded{
			Outcome: assign.Completed, Feedback: assign.UpstreamFeedback{Load: &assign.Load{Pace: 4.25}},
		})
		h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Completed, Feedback: assign.UpstreamFeedback{Load: load}})
		time.Sleep(10 * time.Millisecond)
		pace, _ := leader.knownPace(t)
		require.InDelta(t, 4.25, pace, 1e-9, "the statement of the later answer")
	})
}

// Guards against hosts that do not know the pace without a leader, and against a new leader that does not learn it from the
// next answer.
func TestPace_LeaderLost(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for _, h := range f.hosts {
			h.stream(t, assign.Load{Pace: 1.7})
		}
		f.cutStore(true)
		f.kill(f.leaders()[0])
		time.Sleep(10 * time.Millisecond)
		for _, h := range f.hosts {
			pace, stated := h.knownPace(t)
			require.True(t, stated, h.name)
			require.InDelta(t, 1.7, pace, 1e-9, h.name)
		}
		f.cutStore(false)
		time.Sleep(5 * time.Second)
		leader := f.hosts[f.leaders()[0]]
		f.otherThan(leader.name).stream(t, assign.Load{Pace: 0.7})
		pace, stated := leader.knownPace(t)
		require.True(t, stated)
		require.InDelta(t, 0.7, pace, 1e-9)
	})
}

// Hosts of older builds send no pace and no route, and ignore those of this build. Their requests must be served.
func TestPace_OlderHosts(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.sentMu.Lock()
		f.filter = func(_, _ string, m wire.Message) wire.Message {
			switch m := m.(type) {
			case *wire.AssignRequest:
				older := *m
				older.Route = ""
				return &older
			case *wire.FirstByteReceived:
				return &wire.FirstByteReceived{Number: m.Number}
			case *wire.AttemptEnded:
				older := *m
				older.PacePercent, older.OutputTokens = 0, 0
				return &older
			}
			return m
		}
		f.sentMu.Unlock()
		leader := f.hosts[f.leaders()[0]]
		h := f.otherThan(leader.name)
		h.stream(t, assign.Load{Running: 1, Pace: 1.7})
		_, stated := leader.knownPace(t)
		require.False(t, stated)
		h.requireGrant(t, time.Second)
	})
}

// A leader of an older build ignores the load that comes with the first byte. Guards against load reports that such a leader does
// not get at all, against a pace that a leader takes for a new statement at the end of the answer, and against a load that is
// sent twice to a leader that reads the first one. The leader may be replaced during the answer.
func TestPace_OlderLeader(t *testing.T) {
	for _, older := range []bool{true, false} {
		withFleet(t, func(t *testing.T, f *fleet) {
			var ended []*wire.AttemptEnded
			f.sentMu.Lock()
			f.filter = func(_, _ string, m wire.Message) wire.Message {
				switch m := m.(type) {
				case *wire.LeaderHeartbeat:
					changed := *m
					changed.ReadsFirstByteLoad = m.ReadsFirstByteLoad && !older
					return &changed
				case *wire.FirstByteReceived:
					if older {
						return &wire.FirstByteReceived{Number: m.Number}
					}
				case *wire.AttemptEnded:
					ended = append(ended, m)
				}
				return m
			}
			f.sentMu.Unlock()
			for _, replaced := range []bool{false, true} {
				f.sentMu.Lock()
				older, ended = older != replaced, nil
				f.sentMu.Unlock()
				time.Sleep(2 * heartbeatInterval)
				f.otherThan(f.leaders()[0]).stream(t, assign.Load{Running: 3, Waiting: 1, Pace: 1.7})
				f.sentMu.Lock()
				got := ended
				f.sentMu.Unlock()
				require.Len(t, got, 1)
				want := wire.AttemptEnded{Number: got[0].Number, Outcome: uint8(assign.Completed)}
				if older {
					want.HasLoad, want.Running, want.Waiting = true, 3, 1
				}
				require.Equal(t, want, *got[0], "older %t, replaced %t", older, replaced)
			}
		})
	}
}

// The leader itself has received the answer, or the host has assigned the request by itself. Guards against a load that is
// applied again at the end, for want of a leader's statement that it reads the first one.
func TestPace_EndWithoutOtherLeader(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.hosts[f.leaders()[0]]
		load := assign.AttemptEnded{Feedback: assign.UpstreamFeedback{Load: &assign.Load{Running: 3, Pace: 1.7}}}
		b := f.otherThan(leader.name).broker
		b.update(func(now time.Time) {
			b.leader.readsFirstByteLoad = false
			require.Nil(t, b.endOfAttempt(now, &Ticket{loadPassedOn: true}, load).Feedback.Load)
		})
		leader.broker.update(func(now time.Time) {
			require.Nil(t, leader.broker.endOfAttempt(now, &Ticket{loadPassedOn: true, atLeader: true}, load).Feedback.Load)
		})
	})
}

// Guards against a pace, load or route that its encoding changes, and against a negative pace that is sent as a valid one.
func TestPace_Encoding(t *testing.T) {
	for _, pace := range []float64{0, 0.05, 0.7, 1, 1.7, 4.25, 20} {
		require.InDelta(t, pace, decodePace(pacePercent(pace)), 1e-9)
	}
	require.Zero(t, pacePercent(-1))
	require.InDelta(t, 20, decodePace(65535), 1e-9)
	ev := assign.AttemptEnded{Feedback: assign.UpstreamFeedback{Load: &assign.Load{Running: 2, Pace: 0.7}, OutputTokens: 120}}
	require.Equal(t, ev.Feedback, endedEvent("h", endedMessage(&ev)).Feedback)
	r := assign.Request{Route: "chat"}
	require.Equal(t, "chat", decodeRequest(time.Now(), "h", requestMessage(time.Now(), &r)).Route)
}

// Control traffic may grow by 5% per host. The load that comes with the first byte is not sent again with the end.
func TestControlTraffic_Pace(t *testing.T) {
	number := uint64(1) << 60
	grant := &wire.Grant{Number: number, Upstream: "engine-00001", StartedAt: 1 << 41, Version: 2, Rule: "resident", ExpectedMillis: 300}
	request := func(route string, first *wire.FirstByteReceived, ended *wire.AttemptEnded) float64 {
		r := typicalRequest(time.Now())
		r.Route, first.Number, ended.Number = route, number, number
		return frameSize(t, requestMessage(time.Now(), r)) + frameSize(t, grant) + frameSize(t, first) + frameSize(t, ended)
	}
	before := request("", &wire.FirstByteReceived{}, &wire.AttemptEnded{HasLoad: true, Running: 9, Waiting: 1})
	after := request("chat-stream", &wire.FirstByteReceived{Running: 9, Waiting: 1, PacePercent: 170}, &wire.AttemptEnded{OutputTokens: 240})
	capability := frameSize(t, &wire.LeaderHeartbeat{ReadsFirstByteLoad: true}) - frameSize(t, &wire.LeaderHeartbeat{})
	heartbeats := frameSize(t, &wire.HostHeartbeat{Zone: "az-1", CallerAddress: "10.100.100.100:9000", Cores: 0.192, MemberListVersion: 1 << 40}) +
		frameSize(t, &wire.LeaderHeartbeat{Fence: 1 << 30, LeaseVersion: 1 << 30, MemberListVersion: 1 << 40, StoreAgeMillis: 1000})
	perSecond := designRequests / designHosts
	total := perSecond*before + heartbeats/heartbeatInterval.Seconds()
	more := perSecond*(after-before) + capability/heartbeatInterval.Seconds()
	t.Logf("%.0f B more per request, %.0f B/s more per host, before %.0f B/s", after-before, more, total)
	require.LessOrEqual(t, more, 0.05*total)
}
