package leader

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/watch"
	"github.com/jasminelock/jasminelock/wire"
)

// fleet is a set of brokers with links, a store and an engine in memory, on virtual time.
type fleet struct {
	t       *testing.T
	mu      sync.Mutex
	hosts   map[string]*testHost
	rows    map[string]store.Row
	version int64
	// era is the era of the store. mutant makes hosts see it wrongly.
	era    int64
	mutant mutant
	start  time.Time
	// storeCut holds the hosts that the store does not answer.
	storeCut storeCuts
	// loseCommits is the number of transactions that will be carried out without an answer.
	loseCommits int
	// commitDelay is the additional duration of transactions.
	commitDelay time.Duration
	// slowMu guards slow, which makes reads time out and transactions complete without an answer. It is taken
	// after all other locks.
	slowMu sync.Mutex
	slow   bool
	orders []assign.Order
	// unfenced is set if engines check no fencing tokens.
	unfenced bool
	// storeCalls counts the calls of the store by host.
	storeCalls map[string]int
	// engine handles orders and reports in place of the fleet itself, if it is set.
	engine Engines
	view   *watch.View
	// tables is what hosts read through watchers of their own, in place of view, if it is set.
	tables *watchedTables
	// viewMu is held while a change of the view is passed to the hosts. It is taken before all other locks.
	viewMu sync.Mutex
	// filter changes messages on their way, or drops them by returning nil; it may be nil. It is called with sentMu
	// held.
	filter func(from, to string, m wire.Message) wire.Message
	// sentMu guards sent, which counts the bytes of messages by type. It is taken while a broker's lock is held,
	// which is itself taken while mu is held.
	sentMu sync.Mutex
	sent   map[string]int
}

type testHost struct {
	fleet  *fleet
	name   string
	broker *Broker
	// watcher is nil unless the fleet has tables.
	watcher *watch.Watcher
	cancel  context.CancelFunc
	done    sync.WaitGroup
	// cut is set if no message reaches or leaves the host.
	cut bool
	// learned is what this host has learned of the tables from another one.
	learned watch.PriorTables
	// links holds the hosts to which this one has an open link.
	links map[string]bool
	// outbox holds the messages under way to each host, which arrive in order. outboxMu is taken while a broker's lock
	// is held.
	outboxMu sync.Mutex
	outbox   map[string]*outbox
	// clockMu guards the fields below. It is taken after all other locks.
	clockMu sync.Mutex
	// frozenAt is when the host was frozen, zero if it is not frozen.
	frozenAt time.Time
	// thawedAt is when the host was last thawed.
	thawedAt time.Time
	// clockStops makes the host's clock leave out the time for which the host was frozen.
	clockStops bool
	frozenFor  time.Duration
}

// outbox holds the messages under way to a host.
type outbox struct {
	// deliverMu is held while a message is delivered. mu guards messages.
	deliverMu sync.Mutex
	mu        sync.Mutex
	messages  []wire.Message
}

// put adds a message at the end.
func (o *outbox) put(m wire.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.messages = append(o.messages, m)
}

// take removes the first message.
func (o *outbox) take() wire.Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := o.messages[0]
	o.messages = o.messages[1:]
	return m
}

// outboxTo returns the outbox for messages to a host.
func (h *testHost) outboxTo(to string) *outbox {
	h.outboxMu.Lock()
	defer h.outboxMu.Unlock()
	o, ok := h.outbox[to]
	if !ok {
		o = &outbox{}
		h.outbox[to] = o
	}
	return o
}

const holderPause = 3 * time.Second

// clock is the host's clock. It stands still while the host is frozen, and includes the missed time after the thaw
// unless clockStops is set.
func (h *testHost) clock() time.Duration {
	h.clockMu.Lock()
	defer h.clockMu.Unlock()
	now := time.Since(h.fleet.start)
	if !h.frozenAt.IsZero() {
		now = h.frozenAt.Sub(h.fleet.start)
	}
	if h.clockStops {
		now -= h.frozenFor
	}
	return now
}

// freeze suspends the host as other hosts see it: no message, call or order reaches it or leaves it.
func (h *testHost) freeze() {
	h.fleet.mu.Lock()
	h.cut = true
	h.fleet.mu.Unlock()
	h.fleet.storeCut.set(h.name, true)
	h.clockMu.Lock()
	defer h.clockMu.Unlock()
	h.frozenAt = time.Now()
}

func (h *testHost) thaw() {
	h.clockMu.Lock()
	h.thawedAt = time.Now()
	h.frozenFor += time.Since(h.frozenAt)
	h.frozenAt = time.Time{}
	h.clockMu.Unlock()
	h.fleet.storeCut.set(h.name, false)
	h.fleet.mu.Lock()
	h.cut = false
	h.fleet.mu.Unlock()
}

// frozen reports whether the host is frozen, and whether it was thawed less than slack ago.
func (h *testHost) frozen(slack time.Duration) (still, justThawed bool) {
	h.clockMu.Lock()
	defer h.clockMu.Unlock()
	return !h.frozenAt.IsZero(), !h.thawedAt.IsZero() && time.Since(h.thawedAt) < slack
}

const adapterName = "a"

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, hosts: map[string]*testHost{}, rows: map[string]store.Row{}, start: time.Now(),
		sent: map[string]int{}, storeCalls: map[string]int{},
	}
	f.view = &watch.View{
		Config: catalog.NewConfig(catalog.ConfigParts{
			Version: 1,
			Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{
				BatchSize: 8, CacheTokens: 100_000, AdapterSlots: 2, Models: []catalog.Model{{Name: "m"}},
			}}},
			Organisations: []catalog.Organisation{{Name: "o", TokensPerSecond: 1000, BurstTokens: 1000}},
		}),
		RawConfig: store.Row{Key: "config", Value: []byte("1")},
		Versions:  catalog.Versions{},
		Upstreams: map[string]*catalog.Upstream{"e": {
			ID: "e", StartedAt: 1, Service: "s", Zone: "z", Slots: 8, Loaded: []catalog.LoadedModel{{Model: "m"}},
		}},
	}
	return f
}

// add starts a host.
func (f *fleet) add(name string, cores float64) *testHost {
	h := &testHost{fleet: f, name: name, links: map[string]bool{}, outbox: map[string]*outbox{}}
	engines := f.engine
	if engines == nil {
		engines = f
	}
	var source Source = h
	if f.tables != nil {
		h.watcher = f.tables.watcherOf(h)
		source = h.watcher
	}
	h.broker = New(Options{
		Log: hclog.NewNullLogger(), Host: name, Zone: "z", CallerAddress: name, PeerURL: name, Tables: h, Engines: engines, Source: source,
		Cores: cores, Fenced: !f.unfenced, HolderPause: holderPause, MaxPropagation: 4 * time.Second, Clock: h.clock,
		Random: rand.New(rand.NewPCG(1, hashName(name))),
		Limits: assign.Limits{RetryRatio: 0.2, RetrySlack: 50, RateWindow: 8 * time.Second},
	})
	h.broker.Attach(h)
	ctx, cancel := context.WithCancel(f.t.Context())
	h.cancel = cancel
	h.broker.Start(ctx)
	f.mu.Lock()
	f.hosts[name] = h
	f.mu.Unlock()
	h.done.Go(func() { h.broker.Run(ctx) })
	if f.tables != nil {
		h.done.Go(func() { h.watcher.Run(ctx) })
		return h
	}
	h.broker.UpdateView(f.view)
	return h
}

// hashName returns a seed that differs between hosts.
func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // writing to a hash never fails
	return h.Sum64()
}

// kill stops a host at once and breaks its links.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	h := f.hosts[name]
	delete(f.hosts, name)
	var peers []*testHost
	for _, other := range f.hosts {
		if other.links[name] || h.links[other.name] {
			delete(other.links, name)
			peers = append(peers, other)
		}
	}
	f.mu.Unlock()
	h.cancel()
	for _, other := range peers {
		other.broker.LinkLost(name)
	}
	h.done.Wait()
}

func (f *fleet) end() {
	f.mu.Lock()
	var names []string
	for name := range f.hosts {
		names = append(names, name)
	}
	f.mu.Unlock()
	for _, name := range names {
		f.kill(name)
	}
	time.Sleep(writeTimeout + time.Second) // pending timers fire without effect, and late transactions complete
}

// cutStore makes the store answer no host, or every host again.
func (f *fleet) cutStore(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.hosts {
		f.storeCut.set(name, cut)
	}
}

// leaders returns the names of the hosts that lead.
func (f *fleet) leaders() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name, h := range f.hosts {
		h.broker.mu.Lock()
		if h.broker.leading != nil {
			out = append(out, name)
		}
		h.broker.mu.Unlock()
	}
	return out
}

// Send implements Links. The first message to a host opens a link.
func (h *testHost) Send(to string, m wire.Message) error {
	f := h.fleet
	raw, err := wire.Encode(m)
	if err != nil {
		return err
	}
	decoded, err := wire.Decode(raw)
	if err != nil {
		return err
	}
	f.sentMu.Lock()
	f.sent[fmt.Sprintf("%T", m)] += len(raw) + frameHeader
	if f.filter != nil {
		decoded = f.filter(h.name, to, decoded)
	}
	f.sentMu.Unlock()
	if decoded == nil {
		return nil
	}
	o := h.outboxTo(to)
	o.put(decoded)
	go func() {
		time.Sleep(time.Millisecond)
		o.deliverMu.Lock()
		defer o.deliverMu.Unlock()
		m := o.take()
		f.mu.Lock()
		other, ok := f.hosts[to]
		ok = ok && !other.cut && !h.cut
		if ok {
			h.links[to], other.links[h.name] = true, true
		}
		f.mu.Unlock()
		if ok {
			other.broker.Receive(h.name, m)
		}
	}()
	return nil
}

// Disconnect implements Links.
func (h *testHost) Disconnect(host string) {
	h.fleet.mu.Lock()
	delete(h.links, host)
	h.fleet.mu.Unlock()
}

// The methods below implement Source.
func (h *testHost) SetRelayed(bool)                                                {}
func (h *testHost) SetLowLatency(bool)                                             {}
func (h *testHost) ApplyRelayedConfig([]byte, catalog.Versions, watch.Evacuations) {}
func (h *testHost) ApplyRelayedUpstreams(watch.RelayedUpstreams)                   {}
func (h *testHost) KnownVersions() (operator, upstreams int64)                     { return 0, 0 }
func (h *testHost) SetKnownVersions(_, _ int64)                                    {}

func (h *testHost) StoreAge() time.Duration {
	if h.fleet.isSlow() {
		return 2 * maxRelayAge
	}
	return h.fleet.storeCut.age(h.name)
}

func (f *fleet) SendOrder(_ context.Context, o assign.Order, _ string) assign.OrderResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	if len(f.orders)%2 == 1 {
		return assign.OrderAccepted
	}
	return assign.OrderSatisfied
}

// ReadReport implements Engines.
func (f *fleet) ReadReport(context.Context, *catalog.Upstream) (*assign.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &assign.Report{Loaded: []catalog.LoadedModel{{Model: "m"}}}
	if len(f.orders) >= 2 {
		r.Sequence = 1
		r.Loaded[0].Adapters = []catalog.LoadedAdapter{{Name: adapterName, Version: 1}}
	}
	return r, nil
}

// requestAssignment submits a request at a host and returns its decision, nil if none arrived within wait.
func (h *testHost) requestAssignment(wait time.Duration, cost int64) (assign.Decision, *Ticket) {
	now := time.Now()
	t := h.broker.NewTicket()
	h.broker.RequestAssignment(t, assign.Request{
		Service: "s", Organisation: "o", Cost: cost, Adapter: catalog.AdapterRef{Model: "m", Adapter: adapterName}, PromptTokens: 100,
		Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(10 * time.Second),
	})
	select {
	case d := <-t.Decisions():
		return d, t
	case <-time.After(wait):
		return nil, t
	}
}

func (h *testHost) requireGrant(t *testing.T, wait time.Duration) *Ticket {
	t.Helper()
	d, ticket := h.requestAssignment(wait, 10)
	require.IsType(t, assign.Grant{}, d, "%v", d)
	return ticket
}

// withFleet runs a test with three hosts of the same strength that have a leader.
func withFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for _, name := range []string{"h1", "h2", "h3"} {
			f.add(name, 0.4)
		}
		time.Sleep(2 * time.Second)
		require.Len(t, f.leaders(), 1)
		test(t, f)
		f.end()
	})
}

func (f *fleet) otherThan(than string) *testHost {
	for name, h := range f.hosts {
		if name != than {
			return h
		}
	}
	return nil
}
