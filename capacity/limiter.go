package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/wire"
)

// Rates and sizes of the limiter's simulation.
const (
	limiterTick = core.TickInterval
	// arrivalRatePerHost is in requests per second.
	arrivalRatePerHost = 6
	// requestDuration is the time from the reservation of a request to its
	// settlement.
	requestDuration = 2 * time.Second
	// measuredOrganisations is the number of organisations that send requests.
	measuredOrganisations = 400
)

// limiterSimulation runs the limiters of a fleet on virtual time, without faults.
type limiterSimulation struct {
	clock    *clock
	rand     *rand.Rand
	names    []string
	limiters map[string]*limit.LeaderLimiter
	store    *memoryTable
	traffic  traffic
	requests int
}

func newLimiterSimulation(n, orgs int) *limiterSimulation {
	s := &limiterSimulation{
		clock: newClock(), rand: rand.New(rand.NewPCG(1, uint64(n))),
		limiters: map[string]*limit.LeaderLimiter{}, store: newMemoryTable(),
	}
	rates := map[string]*record.Rate{}
	for i := range orgs {
		rates[organisationName(i)] = &record.Rate{TokensPerSecond: 100_000, BurstTokens: 1_000_000}
	}
	for i := range n {
		s.names = append(s.names, hostName(i))
	}
	for i, name := range s.names {
		l := limit.NewLeaderLimiter(limit.LeaderOptions{Host: name, Incarnation: uint64(i + 1), Rand: rand.New(rand.NewPCG(uint64(i), 1))})
		s.limiters[name] = l
		s.carryOut(name, l.Configure(s.clock.now, rates))
		start := time.Duration(s.rand.Int64N(int64(limiterTick)))
		s.clock.every(start, limiterTick, func() { s.carryOut(name, l.Tick(s.clock.now)) })
		s.clock.every(start, time.Second, func() { s.carryOut(name, l.UpdateHosts(s.clock.now, s.names)) })
	}
	return s
}

func (s *limiterSimulation) carryOut(host string, decisions []limit.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case limit.Send:
			s.send(host, d.Outgoing)
		case limit.Read:
			s.traffic.reads++
			row, err := s.store.Get(context.Background(), d.Table, d.Key)
			s.deliverResult(host, limit.StoreResult{ID: d.ID, Row: row, Err: err})
		case limit.Commit:
			s.traffic.writes++
			s.deliverResult(host, limit.StoreResult{ID: d.ID, Err: s.store.Commit(context.Background(), d.Txn)})
		}
	}
}

func (s *limiterSimulation) deliverResult(host string, e limit.StoreResult) {
	s.clock.after(storeLatency, func() { s.carryOut(host, s.limiters[host].HandleStoreResult(s.clock.now, e)) })
}

func (s *limiterSimulation) send(from string, m wire.Outgoing) {
	s.traffic.messages++
	s.traffic.bytes += frameBytes(m.Message)
	s.clock.after(linkLatency, func() { s.carryOut(m.To, s.limiters[m.To].Receive(s.clock.now, from, m.Message)) })
}

// request reserves tokens on a host, and settles them after requestDuration.
func (s *limiterSimulation) request(host, organisation string) {
	const reserved, used = 1000, 400
	s.requests++
	_, decisions := s.limiters[host].Reserve(s.clock.now, organisation, reserved)
	s.carryOut(host, decisions)
	s.clock.after(requestDuration, func() {
		s.carryOut(host, s.limiters[host].Settle(s.clock.now, organisation, reserved, used))
	})
}

// startArrivals makes requests arrive at a constant rate, at random hosts and for
// random organisations.
func (s *limiterSimulation) startArrivals() {
	s.clock.every(0, time.Second/time.Duration(arrivalRatePerHost*len(s.names)), func() {
		s.request(s.names[s.rand.IntN(len(s.names))], organisationName(s.rand.IntN(measuredOrganisations)))
	})
}

func (s *limiterSimulation) measure() traffic {
	s.traffic, s.requests = traffic{}, 0
	s.clock.run(measurePeriod)
	return s.traffic
}

// measureLimiter measures the messages and bytes per reservation, the head reads
// of an idle host, and the cost per organisation.
func measureLimiter(o Options) (Measurements, error) {
	var all Measurements
	for _, n := range sizesUpTo([]int{7, 30, 100, hosts}, o.MaxHosts) {
		s := newLimiterSimulation(n, measuredOrganisations)
		s.clock.run(settleTime)
		idle := s.measure()
		s.startArrivals()
		// Every organisation has a request before the measurement, so that the
		// cost of its first request is not counted.
		for i := range measuredOrganisations {
			s.request(s.names[i%n], organisationName(i))
		}
		s.clock.run(settleTime / 2)
		busy := s.measure()
		if busy.messages == 0 {
			return nil, fmt.Errorf("capacity: no reservation was asked for by %d hosts", n)
		}
		requests := float64(s.requests)
		all = append(all,
			Measurement{limitMessages, n, "hosts", float64(busy.messages-idle.messages) / requests, "messages"},
			Measurement{limitBytes, n, "hosts", float64(busy.bytes-idle.bytes) / requests, "B"},
			Measurement{limitHeadReads, n, "hosts", float64(idle.reads) / float64(n) / measurePeriod.Seconds(), "/s"})
	}
	return append(all, measureOrganisations(organisations)...), nil
}

// measureOrganisations measures the writes and the live heap per organisation
// that had a single request.
func measureOrganisations(orgs int) Measurements {
	s := newLimiterSimulation(1, orgs)
	s.clock.run(settleTime)
	before, writes := liveHeap(), s.store.writes
	for i := range orgs {
		s.request(s.names[0], organisationName(i))
		s.clock.run(storeLatency / 2)
	}
	s.clock.run(settleTime)
	written := s.store.writes - writes
	s.store.rows = nil // the rows are kept by the platform, not by the host
	heapPerOrganisation := (liveHeap() - before) / float64(orgs)
	runtime.KeepAlive(s)
	return Measurements{
		{limitWrites, orgs, "organisations", float64(written) / float64(orgs), "writes"},
		{limitHeap, orgs, "organisations", heapPerOrganisation, "B"},
	}
}
