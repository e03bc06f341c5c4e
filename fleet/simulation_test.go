package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/spread"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// world simulates a fleet in virtual time, with a network, a table service and a host
// list that can fail.
type world struct {
	now           time.Time
	start         time.Time
	rand          *rand.Rand
	events        eventQueue
	eventSequence uint64
	hosts         []*simHost
	byName        map[string]*simHost

	// loss and duplicates are the fractions of messages that are lost or duplicated.
	// delay is the maximum delay of a message; delays are random, so that messages
	// arrive out of order.
	loss, duplicates float64
	delay            time.Duration

	changes    []spread.Change
	acceptedAt []time.Time
	storeDown  bool
	// era is the number of restores of the table service.
	era int64
	// storeHangs leaves reads unanswered, instead of failing them, while the table
	// service is down.
	storeHangs bool
	// hostListLag is the age of the host list that hosts receive.
	hostListLag     time.Duration
	hostListHistory []hostListSnapshot

	mutant mutant
	// violation is the first violation of an invariant.
	violation error
	meter     *trafficMeter

	// networkUndisturbedSince is when the last fault of the network or the table
	// service ended; activeFaults is the number of those that are active.
	networkUndisturbedSince time.Time
	activeFaults            int
	// lastChangeAt is when the last change was accepted. lastChangeUnread is true if
	// the table service went down before it was certain that some host had read the
	// change.
	lastChangeAt     time.Time
	lastChangeUnread bool
	// withdrawnAt is when the key was withdrawn; zero if it is valid.
	withdrawnAt time.Time
}

// mutant disables or breaks mechanisms, to test the checks.
type mutant struct {
	// replaceMessage returns the message to send instead of m, or nil to drop it.
	replaceMessage func(h *simHost, m wire.Outgoing) *wire.Outgoing
	// ignoreFreshness makes hosts accept keys however old their configuration is.
	ignoreFreshness bool
	// acceptAnything puts every received change in force, whatever its revision.
	acceptAnything bool
	// noReads drops all reads of the table service.
	noReads bool
	// ignoreEra leaves the era out of all revisions.
	ignoreEra bool
}

type hostListSnapshot struct {
	at    time.Time
	hosts []store.Host
}

// simHost is one host of the world.
type simHost struct {
	name, zone string
	node       *Node
	up, paused bool
	startCount uint64
	startedAt  time.Time
	// An isolated host reaches only isolated hosts of its own zone. If storeUnreachable
	// is true, the host cannot read the table service and the host list.
	isolated, storeUnreachable bool
	config                     *record.Config
	highestRevision            int64
	// inbox holds the events that arrive while the host is paused.
	inbox []func()
	// undisturbedSince is when the host last stopped, started or resumed.
	undisturbedSince time.Time
}

// event is an action scheduled for a time. The sequence orders events of the same
// time.
type event struct {
	at       time.Time
	sequence uint64
	action   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// newWorld returns a world whose hosts are distributed evenly over zones. Each host
// starts within the first second.
func newWorld(seed uint64, hosts, zones int) *world {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		now: start, start: start, rand: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*simHost{},
		delay: 20 * time.Millisecond, meter: &trafficMeter{},
	}
	w.acceptChange("organisation", "acme", `{}`)
	for i := range hosts {
		h := &simHost{name: fmt.Sprintf("host-%03d", i), zone: fmt.Sprintf("zone-%02d", i%zones)}
		w.hosts = append(w.hosts, h)
		w.byName[h.name] = h
		w.after(time.Duration(w.rand.Int64N(int64(time.Second))), func() { w.startHost(h) })
	}
	w.recordHostList()
	return w
}

func (w *world) after(d time.Duration, action func()) {
	w.eventSequence++
	heap.Push(&w.events, event{w.now.Add(d), w.eventSequence, action})
}

// run advances the virtual time by d. It returns the first violation of an invariant.
func (w *world) run(d time.Duration) error {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.action()
		if w.violation != nil {
			return fmt.Errorf("after %v: %w", w.now.Sub(w.start), w.violation)
		}
	}
	w.now = end
	return nil
}

func (w *world) startHost(h *simHost) {
	h.startCount++
	startNumber := h.startCount
	h.up, h.paused, h.inbox, h.config, h.highestRevision, h.startedAt = true, false, nil, record.NewConfig(), 0, w.now
	h.undisturbedSince = w.now
	h.node = New(w.now, Options{
		Self: wire.HostEntry{
			Name: h.name, Zone: h.zone,
			Incarnation: (uint64(w.now.Sub(w.start)/time.Millisecond) + 1) * incarnationStep,
			CallerURL:   "http://" + h.name, PeerURL: "http://10.0.0.1:8102",
		},
		ReadInterval: spread.DefaultReadInterval,
		Random:       rand.New(rand.NewPCG(w.rand.Uint64(), h.startCount)),
	})
	var tick, list func()
	tick = func() {
		if !h.up || h.startCount != startNumber {
			return
		}
		w.handleEvent(h, func() []spread.Decision { return h.node.Tick(w.now) })
		w.after(TickInterval, tick)
	}
	list = func() {
		if !h.up || h.startCount != startNumber {
			return
		}
		if !w.storeDown && !h.storeUnreachable && !h.paused {
			h.node.SetHostList(w.now, w.visibleHostList())
		}
		w.after(time.Second, list)
	}
	list()
	tick()
}

// incarnationStep divides every incarnation with which a host starts, but none with
// which a host refutes a claim about itself.
const incarnationStep = 1000

// handleEvent makes a host handle an event, at once or when its pause ends.
func (w *world) handleEvent(h *simHost, handle func() []spread.Decision) {
	if !h.up {
		return
	}
	startNumber := h.startCount
	process := func() {
		if h.up && h.startCount == startNumber {
			w.execute(h, handle())
		}
	}
	if h.paused {
		h.inbox = append(h.inbox, process)
		return
	}
	process()
}

func (w *world) execute(h *simHost, decisions []spread.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case spread.Send:
			w.send(h, d.Outgoing)
		case spread.ReadStore:
			w.read(h, d)
		case spread.ApplyConfig:
			h.config = d.Config
			h.node.SetState(wire.HostLive)
		}
	}
}

func (w *world) send(h *simHost, m wire.Outgoing) {
	if w.mutant.replaceMessage != nil {
		changed := w.mutant.replaceMessage(h, m)
		if changed == nil {
			return
		}
		m = *changed
	}
	w.meter.record(m)
	copies := 1
	if w.rand.Float64() < w.duplicates {
		copies = 2
	}
	for range copies {
		if w.rand.Float64() >= w.loss {
			w.after(time.Millisecond+time.Duration(w.rand.Int64N(int64(w.delay))), func() { w.deliver(h, m) })
		}
	}
}

func (w *world) deliver(from *simHost, m wire.Outgoing) {
	to, ok := w.byName[m.To]
	if !ok || !w.connected(from, to) {
		return
	}
	if c, ok := m.Message.(*wire.ConfigChange); ok && w.mutant.acceptAnything && to.up {
		to.config = record.NewConfig()
		to.config.Revision = c.Revision
	}
	w.handleEvent(to, func() []spread.Decision { return to.node.Receive(w.now, from.name, m.Message) })
}

func (w *world) connected(a, b *simHost) bool {
	return a.isolated == b.isolated && (!a.isolated || a.zone == b.zone)
}

// read answers a read of the table service after a random delay. The answer has the
// state at the time when the service handles the read.
func (w *world) read(h *simHost, r spread.ReadStore) {
	if w.mutant.noReads {
		return
	}
	startNumber := h.startCount
	w.after(time.Duration(w.rand.Int64N(int64(50*time.Millisecond))), func() {
		if w.storeDown && w.storeHangs {
			return
		}
		answer := spread.StoreAnswer{ID: r.ID, Head: w.head(), Era: w.era}
		if w.storeDown || h.storeUnreachable {
			answer.Err = store.ErrUnavailable
		} else {
			first := slices.IndexFunc(w.changes, func(c spread.Change) bool { return c.Revision > r.After })
			if first >= 0 {
				answer.Changes = slices.Clone(w.changes[first:])
			}
		}
		w.after(time.Duration(w.rand.Int64N(int64(50*time.Millisecond))), func() {
			if h.startCount == startNumber {
				w.handleEvent(h, func() []spread.Decision { return h.node.HandleStoreAnswer(w.now, answer) })
			}
		})
	})
}

// acceptChange adds an accepted change of one record.
func (w *world) acceptChange(kind, name, spec string) {
	revision := store.NewPosition(w.era, int64(len(w.changes)+1))
	if w.mutant.ignoreEra {
		revision = store.VersionOf(revision)
	}
	w.changes = append(w.changes, spread.FromEnvelopes(revision, []record.Envelope{{
		Schema: 1 + int(revision)%2, Kind: record.Kind(kind), Name: name, Spec: []byte(spec),
	}}))
	w.acceptedAt = append(w.acceptedAt, w.now)
}

// head returns the newest revision in the table service.
func (w *world) head() store.Position { return w.changes[len(w.changes)-1].Revision }

// restore restores the table service from a copy that has the first n changes.
func (w *world) restore(n int) {
	w.changes, w.acceptedAt = slices.Clone(w.changes[:n]), slices.Clone(w.acceptedAt[:n])
	w.era++
}

// recordHostList records the current host list each second.
func (w *world) recordHostList() {
	l := hostListSnapshot{at: w.now}
	for _, h := range w.hosts {
		if h.up {
			l.hosts = append(l.hosts, store.Host{Name: h.name, Zone: h.zone, PeerURL: "http://10.0.0.1:8102"})
		}
	}
	w.hostListHistory = append(w.hostListHistory, l)
	w.after(time.Second, w.recordHostList)
}

// visibleHostList returns the host list as it was hostListLag ago.
func (w *world) visibleHostList() []store.Host {
	visible := w.hostListHistory[0].hosts
	for _, l := range w.hostListHistory {
		if w.now.Sub(l.at) >= w.hostListLag {
			visible = l.hosts
		}
	}
	return visible
}

// resume ends the pause of a host and handles the events that arrived during it.
func (w *world) resume(h *simHost) {
	if !h.paused {
		return
	}
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, process := range inbox {
		process()
	}
	h.undisturbedSince = w.now
}

// trafficMeter counts the messages and bytes that hosts send.
type trafficMeter struct {
	on       bool
	messages int64
	bytes    int64
	byType   map[wire.Type]int64
}

func (m *trafficMeter) record(o wire.Outgoing) {
	if !m.on {
		return
	}
	frame, err := wire.Encode(o.Message)
	if err != nil {
		panic(err)
	}
	if _, err := wire.Decode(frame); err != nil {
		panic(err)
	}
	m.messages++
	m.bytes += int64(len(frame)) + frameOverhead
	if m.byType == nil {
		m.byType = map[wire.Type]int64{}
	}
	m.byType[o.Message.WireType()] += int64(len(frame)) + frameOverhead
}

// frameOverhead is the header of a small masked WebSocket message, in bytes.
const frameOverhead = 8
