package leader

import (
	"math"
	"time"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/wire"
)

// LoadStated records the load that an upstream has stated in the header of an answer, nil if it stated none. If it
// contains a pace, it is passed on with the first byte of the answer's body, otherwise with the end of the attempt.
func (b *Broker) LoadStated(t *Ticket, load *assign.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.load = load
}

// FirstByteReceived records that the first byte of an answer has arrived.
func (b *Broker) FirstByteReceived(t *Ticket) {
	b.update(func(now time.Time) {
		t.firstByteReceived = true
		m := &wire.FirstByteReceived{Number: t.request.ID.Number}
		if load := t.load; load != nil && load.Pace > 0 {
			m.Running, m.Waiting, m.PacePercent = load.Running, load.Waiting, pacePercent(load.Pace)
			t.loadPassedOn = true
			b.passLoad(now, t, *load)
		}
		b.forwardEvent(now, t, assign.FirstByteReceived{ID: t.request.ID}, m)
	})
}

// passLoad passes the load that an upstream has stated to this host's Assigners. This host's own needs it also while the
// leader assigns requests, so that it knows the upstreams' pace when there is no leader.
func (b *Broker) passLoad(now time.Time, t *Ticket, load assign.Load) {
	ev := assign.LoadStated{ID: t.request.ID, Upstream: t.upstream, StartedAt: t.upstreamStartedAt, Load: load}
	b.handleLocal(now, ev)
	if t.atLeader && b.leading != nil {
		b.handleLeading(now, ev)
	}
}

// endOfAttempt returns the event of an attempt's end as it is passed on: without the load if that has been passed on
// before, since it is no longer current. A leader of an older build has ignored it then; it gets the request counts now, and
// no pace, which it would not read either.
func (b *Broker) endOfAttempt(now time.Time, t *Ticket, ev assign.AttemptEnded) assign.AttemptEnded {
	load := ev.Feedback.Load
	switch {
	case load == nil:
	case t.loadPassedOn && t.atLeader && b.leading == nil && !b.leader.readsFirstByteLoad:
		ev.Feedback.Load = &assign.Load{Running: load.Running, Waiting: load.Waiting}
	case t.loadPassedOn:
		ev.Feedback.Load = nil
	case t.atLeader && load.Pace > 0:
		b.handleLocal(now, assign.LoadStated{Upstream: t.upstream, StartedAt: t.upstreamStartedAt, Load: *load})
	}
	return ev
}

// receiveFirstByte handles the first byte of an answer on another host.
func (b *Broker) receiveFirstByte(now time.Time, id assign.RequestID, m *wire.FirstByteReceived) {
	if m.PacePercent > 0 {
		load := assign.Load{Running: m.Running, Waiting: m.Waiting, Pace: decodePace(m.PacePercent)}
		b.handleLeading(now, assign.LoadStated{ID: id, Load: load})
	}
	b.handleLeading(now, assign.FirstByteReceived{ID: id})
}

// pacePercent encodes a pace in percent of the usual, 0 if it is not stated.
func pacePercent(pace float64) uint16 {
	return uint16(math.Round(100 * assign.BoundPace(pace)))
}

// decodePace decodes a pace in percent of the usual.
func decodePace(percent uint16) float64 { return assign.BoundPace(float64(percent) / 100) }

// UpstreamStats returns what this host knows of the work and the speed of the upstreams, ordered by ID. On the leader, and
// for the services whose requests it assigns, this covers the requests of all hosts, otherwise those of this host.
func (b *Broker) UpstreamStats() []assign.UpstreamStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	all := b.local.UpstreamStats(now)
	if b.leading == nil {
		return all
	}
	atLeader := map[string]assign.UpstreamStats{}
	for _, u := range b.leading.UpstreamStats(now) {
		atLeader[u.ID] = u
	}
	for i, u := range all {
		if leading, ok := atLeader[u.ID]; ok && b.needsLeader(u.Service) {
			all[i] = leading
		}
	}
	return all
}
