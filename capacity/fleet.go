package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/jasminelock/jasminelock/fleet"
	"github.com/jasminelock/jasminelock/spread"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// Times of the simulated links and of the table service.
const (
	linkTime  = 2 * time.Millisecond
	storeTime = 10 * time.Millisecond
	// settle is how long a fleet runs before it is measured, period how long it
	// is measured.
	settle = 20 * time.Second
	period = 10 * time.Second
)

// traffic counts what all hosts send and read.
type traffic struct {
	messages, bytes, reads, writes int
}

// fleetWorld is a fleet on virtual time without faults but for the outage.
type fleetWorld struct {
	clock   *clock
	nodes   map[string]*fleet.Node
	listed  []store.Host
	changes []spread.Change
	down    bool
	traffic traffic
}

func newFleetWorld(n, zoneCount int) *fleetWorld {
	w := &fleetWorld{clock: newClock(), nodes: map[string]*fleet.Node{}, changes: adapterChanges(1)}
	random := rand.New(rand.NewPCG(1, uint64(n)))
	for i := range n {
		h := listedHost(i)
		h.Zone = zoneName(i % zoneCount)
		w.listed = append(w.listed, h)
		start := time.Duration(random.Int64N(int64(time.Second)))
		seed := random.Uint64()
		w.clock.after(start, func() { w.start(h, seed) })
	}
	return w
}

func (w *fleetWorld) start(h store.Host, seed uint64) {
	node := fleet.New(w.clock.now, fleet.Options{
		Self:         wire.HostEntry{Name: h.Name, Zone: h.Zone, Incarnation: uint64(w.clock.now.UnixMilli()), CallerURL: h.CallerURL, PeerURL: h.PeerURL},
		ReadInterval: readInterval, Random: rand.New(rand.NewPCG(seed, 1)),
	})
	w.nodes[h.Name] = node
	w.clock.every(0, time.Second, func() {
		if !w.down {
			node.SetHostList(w.clock.now, w.listed)
		}
	})
	w.clock.every(0, fleet.TickInterval, func() { w.carryOut(h.Name, node.Tick(w.clock.now)) })
}

func (w *fleetWorld) carryOut(host string, decisions []spread.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case spread.Send:
			w.send(host, d.Outgoing)
		case spread.ReadStore:
			w.read(host, d)
		case spread.ApplyConfig:
			w.nodes[host].SetState(wire.HostLive)
		}
	}
}

func (w *fleetWorld) send(from string, m wire.Outgoing) {
	w.traffic.messages++
	w.traffic.bytes += frameBytes(m.Message)
	w.clock.after(linkTime, func() {
		if to, ok := w.nodes[m.To]; ok {
			w.carryOut(m.To, to.Receive(w.clock.now, from, m.Message))
		}
	})
}

func (w *fleetWorld) read(host string, r spread.ReadStore) {
	w.traffic.reads++
	w.clock.after(storeTime, func() {
		answer := spread.StoreAnswer{ID: r.ID, Head: int64(len(w.changes))}
		if w.down {
			answer.Err = store.ErrUnavailable
		} else {
			answer.Changes = w.changes[min(r.After, answer.Head):]
		}
		w.carryOut(host, w.nodes[host].HandleStoreAnswer(w.clock.now, answer))
	})
}

// measure runs the fleet for a period and returns its traffic.
func (w *fleetWorld) measure() traffic {
	w.traffic = traffic{}
	w.clock.run(period)
	return w.traffic
}

// fleetZones are the zones of the fleets that are measured, by hosts.
var fleetZones = map[int]int{7: 3, 30: 5, 100: 9, hosts: zones}

// measureFleet measures the roster and the spread of the configuration, with
// nothing changing, and with the table service down.
func measureFleet(o Options) (Measurements, error) {
	var all Measurements
	for _, n := range within([]int{7, 30, 100, hosts}, o.MaxHosts) {
		before := liveHeap()
		w := newFleetWorld(n, fleetZones[n])
		w.clock.run(settle)
		heapOfOne := (liveHeap() - before) / float64(n)
		calm := w.measure()
		w.down = true
		w.clock.run(settle)
		outage := w.measure()
		each := period.Seconds() * float64(n)
		all = append(all,
			Measurement{fleetMessages, n, "hosts", float64(calm.messages) / each, "/s"},
			Measurement{fleetBytes, n, "hosts", float64(calm.bytes) / each, "B/s"},
			Measurement{fleetOutageBytes, n, "hosts", float64(outage.bytes) / each, "B/s"},
			Measurement{fleetHeap, n, "hosts", heapOfOne, "B"},
			Measurement{configHeadReads, n, "hosts", float64(calm.reads) / period.Seconds(), "/s"})
	}
	return all, nil
}
