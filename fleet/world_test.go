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

// world is a fleet in virtual time, with a network, a table service and a host
// list that can fail.
type world struct {
	now    time.Time
	start  time.Time
	rand   *rand.Rand
	events eventQueue
	order  uint64
	hosts  []*simHost
	byName map[string]*simHost

	// loss and duplicates are shares of the messages; delay is the largest
	// delay of one, so that they arrive out of order.
	loss, duplicates float64
	delay            time.Duration

	changes   []spread.Change
	accepted  []time.Time
	storeDown bool
	// storeHangs lets reads go unanswered while the table service is down.
	storeHangs bool
	// listLag is how old the host list is.
	listLag  time.Duration
	listings []listing

	mutant mutant
	// broken is the first breach of an invariant.
	broken error
	meter  *meter

	// quietSince is when the last fault of the network or the table service
	// ended; disturbances counts those that go on.
	quietSince   time.Time
	disturbances int
	// changedAt is when the last change was accepted, unread says that the table
	// service went down before any host was sure to have read it.
	changedAt time.Time
	unread    bool
	// withdrawnAt is when the key was withdrawn, zero where it is good.
	withdrawnAt time.Time
}

// mutant is a deliberately broken mechanism.
type mutant struct {
	// message returns what is sent in place of m, nil for nothing.
	message func(h *simHost, m wire.Outgoing) *wire.Outgoing
	// ignoreFreshness lets hosts work on however old their configuration is.
	ignoreFreshness bool
	// acceptAnything puts every change that arrives in force.
	acceptAnything bool
	// noReads keeps hosts from reading the table service.
	noReads bool
}

type listing struct {
	at    time.Time
	hosts []store.Host
}

// simHost is one host of the world.
type simHost struct {
	name, zone string
	node       *Node
	up, paused bool
	starts     uint64
	startedAt  time.Time
	// isolated hosts reach no other host, noStore hosts not the table service.
	isolated, noStore bool
	config            *record.Config
	highest           int64
	// inbox holds what arrives while the host is paused.
	inbox []func()
	// calmSince is when the last disturbance that concerns the host ended.
	calmSince time.Time
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
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

// newWorld returns a world whose hosts are spread evenly over zones.
func newWorld(seed uint64, hosts, zones int) *world {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		now: start, start: start, rand: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*simHost{},
		delay: 20 * time.Millisecond, meter: &meter{},
	}
	w.write("organisation", "acme", `{}`)
	for i := range hosts {
		h := &simHost{name: fmt.Sprintf("host-%03d", i), zone: fmt.Sprintf("zone-%02d", i%zones)}
		w.hosts = append(w.hosts, h)
		w.byName[h.name] = h
		w.after(time.Duration(w.rand.Int64N(int64(time.Second))), func() { w.startHost(h) })
	}
	w.list()
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(d), w.order, do})
}

// run lets time pass and reports the first breach of an invariant.
func (w *world) run(d time.Duration) error {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
		if w.broken != nil {
			return fmt.Errorf("after %v: %w", w.now.Sub(w.start), w.broken)
		}
	}
	w.now = end
	return nil
}

func (w *world) startHost(h *simHost) {
	h.starts++
	start := h.starts
	h.up, h.paused, h.inbox, h.config, h.highest, h.startedAt = true, false, nil, record.NewConfig(), 0, w.now
	h.calmSince = w.now
	h.node = New(w.now, Options{
		Self:         wire.HostEntry{Name: h.name, Zone: h.zone, Incarnation: (uint64(w.now.Sub(w.start)/time.Millisecond) + 1) * incarnationStep, CallerURL: "http://" + h.name, PeerURL: "http://10.0.0.1:8102"},
		ReadInterval: spread.DefaultReadInterval,
		Random:       rand.New(rand.NewPCG(w.rand.Uint64(), h.starts)),
	})
	var tick, list func()
	tick = func() {
		if !h.up || h.starts != start {
			return
		}
		w.do(h, func() []spread.Decision { return h.node.Tick(w.now) })
		w.after(TickInterval, tick)
	}
	list = func() {
		if !h.up || h.starts != start {
			return
		}
		if !w.storeDown && !h.noStore && !h.paused {
			h.node.SetHostList(w.now, w.listed())
		}
		w.after(time.Second, list)
	}
	list()
	tick()
}

// incarnationStep sets the incarnations of starts apart from those by which a
// host refutes news of itself.
const incarnationStep = 1000

// do lets a host handle an event, at once or when its pause ends.
func (w *world) do(h *simHost, handle func() []spread.Decision) {
	if !h.up {
		return
	}
	start := h.starts
	act := func() {
		if h.up && h.starts == start {
			w.carryOut(h, handle())
		}
	}
	if h.paused {
		h.inbox = append(h.inbox, act)
		return
	}
	act()
}

func (w *world) carryOut(h *simHost, decisions []spread.Decision) {
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
	if w.mutant.message != nil {
		changed := w.mutant.message(h, m)
		if changed == nil {
			return
		}
		m = *changed
	}
	w.meter.sent(m)
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
	w.do(to, func() []spread.Decision { return to.node.Receive(w.now, from.name, m.Message) })
}

func (w *world) connected(a, b *simHost) bool {
	return a.isolated == b.isolated && (!a.isolated || a.zone == b.zone)
}

// read answers a read of the table service as it is when the answer is made.
func (w *world) read(h *simHost, r spread.ReadStore) {
	if w.mutant.noReads {
		return
	}
	start := h.starts
	w.after(time.Duration(w.rand.Int64N(int64(50*time.Millisecond))), func() {
		if w.storeDown && w.storeHangs {
			return
		}
		answer := spread.StoreAnswer{ID: r.ID, Head: int64(len(w.changes))}
		if w.storeDown || h.noStore {
			answer.Err = store.ErrUnavailable
		} else {
			answer.Changes = slices.Clone(w.changes[min(r.After, answer.Head):])
		}
		w.after(time.Duration(w.rand.Int64N(int64(50*time.Millisecond))), func() {
			if h.starts == start {
				w.do(h, func() []spread.Decision { return h.node.HandleStoreAnswer(w.now, answer) })
			}
		})
	})
}

// write accepts a change of one record.
func (w *world) write(kind, name, spec string) {
	revision := int64(len(w.changes) + 1)
	w.changes = append(w.changes, spread.FromEnvelopes(revision, []record.Envelope{{
		Schema: 1 + int(revision)%2, Kind: record.Kind(kind), Name: name, Spec: []byte(spec),
	}}))
	w.accepted = append(w.accepted, w.now)
}

// list notes the host list as it is now, each second.
func (w *world) list() {
	l := listing{at: w.now}
	for _, h := range w.hosts {
		if h.up {
			l.hosts = append(l.hosts, store.Host{Name: h.name, Zone: h.zone, PeerURL: "http://10.0.0.1:8102"})
		}
	}
	w.listings = append(w.listings, l)
	w.after(time.Second, w.list)
}

func (w *world) listed() []store.Host {
	seen := w.listings[0].hosts
	for _, l := range w.listings {
		if w.now.Sub(l.at) >= w.listLag {
			seen = l.hosts
		}
	}
	return seen
}

// resume lets a paused host handle what has arrived meanwhile.
func (w *world) resume(h *simHost) {
	if !h.paused {
		return
	}
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, act := range inbox {
		act()
	}
	h.calmSince = w.now
}

// meter counts what hosts send.
type meter struct {
	on       bool
	messages int64
	bytes    int64
	byType   map[wire.Type]int64
}

func (m *meter) sent(o wire.Outgoing) {
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
