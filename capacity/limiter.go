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

// Loops of the limiter's world.
const (
	limiterTick = core.TickInterval
	// arrivalsPerHost are requests a second.
	arrivalsPerHost = 6
	// requestRuns is how long a request runs before it is settled.
	requestRuns = 2 * time.Second
	// measuredOrganisations is how many there are.
	measuredOrganisations = 400
)

// limiterWorld is the limiters of a fleet on virtual time, without faults.
type limiterWorld struct {
	clock    *clock
	rand     *rand.Rand
	names    []string
	limiters map[string]*limit.LeaderLimiter
	store    *memoryTable
	traffic  traffic
	requests int
}

func newLimiterWorld(n, orgs int) *limiterWorld {
	w := &limiterWorld{
		clock: newClock(), rand: rand.New(rand.NewPCG(1, uint64(n))),
		limiters: map[string]*limit.LeaderLimiter{}, store: newMemoryTable(),
	}
	rates := map[string]*record.Rate{}
	for i := range orgs {
		rates[organisationName(i)] = &record.Rate{TokensPerSecond: 100_000, BurstTokens: 1_000_000}
	}
	for i := range n {
		w.names = append(w.names, hostName(i))
	}
	for i, name := range w.names {
		l := limit.NewLeaderLimiter(limit.LeaderOptions{Host: name, Incarnation: uint64(i + 1), Rand: rand.New(rand.NewPCG(uint64(i), 1))})
		w.limiters[name] = l
		w.carryOut(name, l.Configure(w.clock.now, rates))
		start := time.Duration(w.rand.Int64N(int64(limiterTick)))
		w.clock.every(start, limiterTick, func() { w.carryOut(name, l.Tick(w.clock.now)) })
		w.clock.every(start, time.Second, func() { w.carryOut(name, l.UpdateHosts(w.clock.now, w.names)) })
	}
	return w
}

func (w *limiterWorld) carryOut(host string, decisions []limit.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case limit.Send:
			w.send(host, d.Outgoing)
		case limit.Read:
			w.traffic.reads++
			row, err := w.store.Get(context.Background(), d.Table, d.Key)
			w.answer(host, limit.StoreResult{ID: d.ID, Row: row, Err: err})
		case limit.Commit:
			w.traffic.writes++
			w.answer(host, limit.StoreResult{ID: d.ID, Err: w.store.Commit(context.Background(), d.Txn)})
		}
	}
}

func (w *limiterWorld) answer(host string, e limit.StoreResult) {
	w.clock.after(storeTime, func() { w.carryOut(host, w.limiters[host].HandleStoreResult(w.clock.now, e)) })
}

func (w *limiterWorld) send(from string, m wire.Outgoing) {
	w.traffic.messages++
	w.traffic.bytes += frameBytes(m.Message)
	w.clock.after(linkTime, func() { w.carryOut(m.To, w.limiters[m.To].Receive(w.clock.now, from, m.Message)) })
}

// request reserves tokens and settles them when the request has run.
func (w *limiterWorld) request(host, organisation string) {
	const reserved, used = 1000, 400
	w.requests++
	_, decisions := w.limiters[host].Reserve(w.clock.now, organisation, reserved)
	w.carryOut(host, decisions)
	w.clock.after(requestRuns, func() {
		w.carryOut(host, w.limiters[host].Settle(w.clock.now, organisation, reserved, used))
	})
}

// arrive has requests arrive at random hosts for random organisations.
func (w *limiterWorld) arrive() {
	w.clock.every(0, time.Second/time.Duration(arrivalsPerHost*len(w.names)), func() {
		w.request(w.names[w.rand.IntN(len(w.names))], organisationName(w.rand.IntN(measuredOrganisations)))
	})
}

func (w *limiterWorld) measure() traffic {
	w.traffic, w.requests = traffic{}, 0
	w.clock.run(period)
	return w.traffic
}

// measureLimiter measures the cost of reservations and of doing nothing.
func measureLimiter(o Options) (Measurements, error) {
	var all Measurements
	for _, n := range within([]int{7, 30, 100, hosts}, o.MaxHosts) {
		w := newLimiterWorld(n, measuredOrganisations)
		w.clock.run(settle)
		idle := w.measure()
		w.arrive()
		// All organisations are seen once before the reservations are measured.
		for i := range measuredOrganisations {
			w.request(w.names[i%n], organisationName(i))
		}
		w.clock.run(settle / 2)
		busy := w.measure()
		if busy.messages == 0 {
			return nil, fmt.Errorf("capacity: no reservation was asked for by %d hosts", n)
		}
		requests := float64(w.requests)
		all = append(all,
			Measurement{limitMessages, n, "hosts", float64(busy.messages-idle.messages) / requests, "messages"},
			Measurement{limitBytes, n, "hosts", float64(busy.bytes-idle.bytes) / requests, "B"},
			Measurement{limitHeadReads, n, "hosts", float64(idle.reads) / float64(n) / period.Seconds(), "/s"})
	}
	return append(all, measureLead(organisations)...), nil
}

// measureLead measures what organisations cost that were asked for once.
func measureLead(orgs int) Measurements {
	w := newLimiterWorld(1, orgs)
	w.clock.run(settle)
	before, writes := liveHeap(), w.store.writes
	for i := range orgs {
		w.request(w.names[0], organisationName(i))
		w.clock.run(storeTime / 2)
	}
	w.clock.run(settle)
	written := w.store.writes - writes
	w.store.rows = nil // they are the platform's
	heapOfOne := (liveHeap() - before) / float64(orgs)
	runtime.KeepAlive(w)
	return Measurements{
		{limitWrites, orgs, "organisations", float64(written) / float64(orgs), "writes"},
		{limitHeap, orgs, "organisations", heapOfOne, "B"},
	}
}
