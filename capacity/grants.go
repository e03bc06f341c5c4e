package capacity

import (
	"fmt"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

// grantWorld is one owner of upstreams and one host that sends them requests.
type grantWorld struct {
	clock   *clock
	owner   *hostPolicy
	asker   *hostPolicy
	traffic traffic
	// dispatched are requests given to an upstream.
	dispatched int
}

// newGrantWorld returns a world with n upstreams, whose owner holds one lease.
func newGrantWorld(n int) *grantWorld {
	w := &grantWorld{clock: newClock(), owner: newHostPolicy("owner", freeLoads{}), asker: newHostPolicy("asker", freeLoads{})}
	w.asker.granted = func(string) bool { return false }
	config, members := engines(n, 1), []string{w.asker.name, w.owner.name}
	for _, p := range []*hostPolicy{w.owner, w.asker} {
		now := w.clock.now
		w.carryOut(p, p.Configure(now, config))
		if p == w.owner {
			// It claims all leases before it learns of the other host.
			w.carryOut(p, p.Tick(now))
		}
		w.carryOut(p, p.Members(now, members))
		w.clock.every(0, upstream.ReportInterval, func() { p.reportAll(w.clock.now, n, 1) })
		w.clock.every(0, core.TickInterval, func() { w.carryOut(p, p.Tick(w.clock.now)) })
	}
	return w
}

func (w *grantWorld) carryOut(p *hostPolicy, decisions []sched.Decision) {
	for _, d := range p.claim(w.clock.now, decisions) {
		switch d := d.(type) {
		case sched.Dispatch:
			w.dispatched++
		case sched.Send:
			w.send(p, d.Outgoing)
		}
	}
}

func (w *grantWorld) send(from *hostPolicy, m wire.Outgoing) {
	w.traffic.messages++
	w.traffic.bytes += frameBytes(m.Message)
	to := w.owner
	if m.To == w.asker.name {
		to = w.asker
	}
	w.clock.after(linkTime, func() { w.carryOut(to, to.Receive(w.clock.now, from.name, m.Message)) })
}

// measureGrants measures the questions and answers for a request in flight, by
// the upstreams of one owner.
func measureGrants(Options) (Measurements, error) {
	var all Measurements
	for _, n := range []int{1, 5, upstreamsPerLease} {
		w := newGrantWorld(n)
		w.clock.run(settle)
		w.traffic = traffic{}
		w.carryOut(w.asker, w.asker.Enqueue(w.clock.now, requestFor(1, 0, w.clock.now)))
		w.clock.run(period)
		if w.dispatched != 1 {
			return nil, fmt.Errorf("capacity: %d requests were dispatched with %d upstreams, 1 was sent", w.dispatched, n)
		}
		all = append(all,
			Measurement{grantMessages, n, "upstreams of an owner", float64(w.traffic.messages) / period.Seconds(), "/s"},
			Measurement{grantBytes, n, "upstreams of an owner", float64(w.traffic.bytes) / period.Seconds(), "B/s"})
	}
	return all, nil
}
