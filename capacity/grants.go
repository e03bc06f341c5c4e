package capacity

import (
	"fmt"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

// grantSimulation runs two hosts on virtual time: the owner of all upstreams, and
// a host that sends requests to these upstreams.
type grantSimulation struct {
	clock     *clock
	owner     *hostScheduler
	requester *hostScheduler
	traffic   traffic
	// dispatched is the number of requests dispatched to an upstream.
	dispatched int
}

// newGrantSimulation returns a simulation with n upstreams, whose owner holds one
// lease.
func newGrantSimulation(n int) *grantSimulation {
	s := &grantSimulation{clock: newClock(), owner: newHostScheduler("owner", unlimitedBudget{}), requester: newHostScheduler("asker", unlimitedBudget{})}
	s.requester.isGranted = func(string) bool { return false }
	config, members := engines(n, 1), []string{s.requester.name, s.owner.name}
	for _, p := range []*hostScheduler{s.owner, s.requester} {
		now := s.clock.now
		s.carryOut(p, p.Configure(now, config))
		if p == s.owner {
			// The owner claims all leases before it learns of the other host.
			s.carryOut(p, p.Tick(now))
		}
		s.carryOut(p, p.Members(now, members))
		s.clock.every(0, upstream.ReportInterval, func() { p.reportAll(s.clock.now, n, 1) })
		s.clock.every(0, core.TickInterval, func() { s.carryOut(p, p.Tick(s.clock.now)) })
	}
	return s
}

func (s *grantSimulation) carryOut(p *hostScheduler, decisions []sched.Decision) {
	for _, d := range p.grantLeases(s.clock.now, decisions) {
		switch d := d.(type) {
		case sched.Dispatch:
			s.dispatched++
		case sched.Send:
			s.send(p, d.Outgoing)
		}
	}
}

func (s *grantSimulation) send(from *hostScheduler, m wire.Outgoing) {
	s.traffic.messages++
	s.traffic.bytes += frameBytes(m.Message)
	to := s.owner
	if m.To == s.requester.name {
		to = s.requester
	}
	s.clock.after(linkLatency, func() { s.carryOut(to, to.Receive(s.clock.now, from.name, m.Message)) })
}

// measureGrants measures the messages and bytes of use grants while one request
// is in flight, for several numbers of upstreams per owner.
func measureGrants(Options) (Measurements, error) {
	var all Measurements
	for _, n := range []int{1, 5, upstreamsPerLease} {
		s := newGrantSimulation(n)
		s.clock.run(settleTime)
		s.traffic = traffic{}
		s.carryOut(s.requester, s.requester.Enqueue(s.clock.now, requestFor(1, 0, s.clock.now)))
		s.clock.run(measurePeriod)
		if s.dispatched != 1 {
			return nil, fmt.Errorf("capacity: %d requests were dispatched with %d upstreams, 1 was sent", s.dispatched, n)
		}
		all = append(all,
			Measurement{grantMessages, n, "upstreams of an owner", float64(s.traffic.messages) / measurePeriod.Seconds(), "/s"},
			Measurement{grantBytes, n, "upstreams of an owner", float64(s.traffic.bytes) / measurePeriod.Seconds(), "B/s"})
	}
	return all, nil
}
