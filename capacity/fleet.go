package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/jasminelock/jasminelock/fleet"
	"github.com/jasminelock/jasminelock/spread"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// Latencies of the simulation, and durations of its phases.
const (
	// linkLatency is the one-way latency between two hosts.
	linkLatency = 2 * time.Millisecond
	// storeLatency is the latency of one call of the table service.
	storeLatency = 10 * time.Millisecond
	// settleTime is how long a fleet runs before a measurement starts.
	settleTime = 20 * time.Second
	// measurePeriod is how long a measurement takes.
	measurePeriod = 10 * time.Second
)

// traffic counts the messages and bytes that all hosts send to each other, and
// their reads and writes of the table service.
type traffic struct {
	messages, bytes, reads, writes int
}

// fleetSimulation runs the nodes of a fleet on virtual time. Its only fault is an
// outage of the table service while down is true.
type fleetSimulation struct {
	clock   *clock
	nodes   map[string]*fleet.Node
	listed  []store.Host
	changes []spread.Change
	down    bool
	traffic traffic
}

func newFleetSimulation(n, zoneCount int) *fleetSimulation {
	s := &fleetSimulation{clock: newClock(), nodes: map[string]*fleet.Node{}, changes: adapterChanges(1)}
	random := rand.New(rand.NewPCG(1, uint64(n)))
	for i := range n {
		h := listedHost(i)
		h.Zone = zoneName(i % zoneCount)
		s.listed = append(s.listed, h)
		start := time.Duration(random.Int64N(int64(time.Second)))
		seed := random.Uint64()
		s.clock.after(start, func() { s.start(h, seed) })
	}
	return s
}

func (s *fleetSimulation) start(h store.Host, seed uint64) {
	node := fleet.New(s.clock.now, fleet.Options{
		Self:         wire.HostEntry{Name: h.Name, Zone: h.Zone, Incarnation: uint64(s.clock.now.UnixMilli()), CallerURL: h.CallerURL, PeerURL: h.PeerURL},
		ReadInterval: readInterval, Random: rand.New(rand.NewPCG(seed, 1)),
	})
	s.nodes[h.Name] = node
	s.clock.every(0, time.Second, func() {
		if !s.down {
			node.SetHostList(s.clock.now, s.listed)
		}
	})
	s.clock.every(0, fleet.TickInterval, func() { s.carryOut(h.Name, node.Tick(s.clock.now)) })
}

func (s *fleetSimulation) carryOut(host string, decisions []spread.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case spread.Send:
			s.send(host, d.Outgoing)
		case spread.ReadStore:
			s.read(host, d)
		case spread.ApplyConfig:
			s.nodes[host].SetState(wire.HostLive)
		}
	}
}

func (s *fleetSimulation) send(from string, m wire.Outgoing) {
	s.traffic.messages++
	s.traffic.bytes += frameBytes(m.Message)
	s.clock.after(linkLatency, func() {
		if to, ok := s.nodes[m.To]; ok {
			s.carryOut(m.To, to.Receive(s.clock.now, from, m.Message))
		}
	})
}

func (s *fleetSimulation) read(host string, r spread.ReadStore) {
	s.traffic.reads++
	s.clock.after(storeLatency, func() {
		answer := spread.StoreAnswer{ID: r.ID, Head: int64(len(s.changes))}
		if s.down {
			answer.Err = store.ErrUnavailable
		} else {
			answer.Changes = s.changes[min(r.After, answer.Head):]
		}
		s.carryOut(host, s.nodes[host].HandleStoreAnswer(s.clock.now, answer))
	})
}

// measure runs the fleet for measurePeriod and returns the traffic of that time.
func (s *fleetSimulation) measure() traffic {
	s.traffic = traffic{}
	s.clock.run(measurePeriod)
	return s.traffic
}

// fleetZones maps the number of hosts of a measured fleet to its number of zones.
var fleetZones = map[int]int{7: 3, 30: 5, 100: 9, hosts: zones}

// measureFleet measures the traffic and the heap of membership and configuration
// spread while nothing changes, and the traffic during an outage of the table
// service.
func measureFleet(o Options) (Measurements, error) {
	var all Measurements
	for _, n := range sizesUpTo([]int{7, 30, 100, hosts}, o.MaxHosts) {
		before := liveHeap()
		s := newFleetSimulation(n, fleetZones[n])
		s.clock.run(settleTime)
		heapPerHost := (liveHeap() - before) / float64(n)
		steady := s.measure()
		s.down = true
		s.clock.run(settleTime)
		outage := s.measure()
		each := measurePeriod.Seconds() * float64(n)
		all = append(all,
			Measurement{fleetMessages, n, "hosts", float64(steady.messages) / each, "/s"},
			Measurement{fleetBytes, n, "hosts", float64(steady.bytes) / each, "B/s"},
			Measurement{fleetOutageBytes, n, "hosts", float64(outage.bytes) / each, "B/s"},
			Measurement{fleetHeap, n, "hosts", heapPerHost, "B"},
			Measurement{configHeadReads, n, "hosts", float64(steady.reads) / measurePeriod.Seconds(), "/s"})
	}
	return all, nil
}
