package lead

import (
	"context"
	"fmt"
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

// fleet is some brokers with links, a store and an engine in memory, on virtual
// time.
type fleet struct {
	t       *testing.T
	mu      sync.Mutex
	hosts   map[string]*testHost
	rows    map[string]store.Row
	version int64
	start   time.Time
	// storeCut names the hosts that the store does not answer.
	storeCut cuts
	// loseCommits is how many transactions are carried out without an answer.
	loseCommits int
	// commitDelay is how long transactions take beyond the usual.
	commitDelay time.Duration
	// slowMu guards slow, which says that reads time out and transactions are
	// carried out too late for whoever waits. It is taken after all other locks.
	slowMu sync.Mutex
	slow   bool
	orders []assign.Order
	// unfenced says that engines check no fencing tokens.
	unfenced bool
	// called counts the calls of the store by their host.
	called map[string]int
	// engine takes the orders in place of the fleet itself, where there is one.
	engine Engines
	view   *watch.View
	// sentMu guards sent, which counts the bytes of messages by their type. It is
	// taken with a broker's lock held, which mu is taken before.
	sentMu sync.Mutex
	sent   map[string]int
}

type testHost struct {
	fleet  *fleet
	name   string
	broker *Broker
	cancel context.CancelFunc
	done   sync.WaitGroup
	// cut says that no message reaches or leaves the host.
	cut bool
	// links holds the hosts that this one has an open link to.
	links map[string]bool
	// clockMu guards what follows. It is taken after all other locks.
	clockMu sync.Mutex
	// standing is since when the host stands still, zero where it does not.
	standing time.Time
	// thawedAt is when it went on.
	thawedAt time.Time
	// blind has its clock leave out the time for which it stood still.
	blind bool
	stood time.Duration
}

const holderPause = 3 * time.Second

// clock is the host's clock, which does not move on while it stands still. What
// it missed shows once it goes on.
func (h *testHost) clock() time.Duration {
	h.clockMu.Lock()
	defer h.clockMu.Unlock()
	now := time.Since(h.fleet.start)
	if !h.standing.IsZero() {
		now = h.standing.Sub(h.fleet.start)
	}
	if h.blind {
		now -= h.stood
	}
	return now
}

// freeze has the host stand still as others see it: no message, call or order
// reaches it or leaves it.
func (h *testHost) freeze() {
	h.fleet.mu.Lock()
	h.cut = true
	h.fleet.mu.Unlock()
	h.fleet.storeCut.set(h.name, true)
	h.clockMu.Lock()
	defer h.clockMu.Unlock()
	h.standing = time.Now()
}

func (h *testHost) thaw() {
	h.clockMu.Lock()
	h.thawedAt = time.Now()
	h.stood += time.Since(h.standing)
	h.standing = time.Time{}
	h.clockMu.Unlock()
	h.fleet.storeCut.set(h.name, false)
	h.fleet.mu.Lock()
	h.cut = false
	h.fleet.mu.Unlock()
}

// stands reports whether the host stands still, or went on only just now.
func (h *testHost) stands(slack time.Duration) (still, justThawed bool) {
	h.clockMu.Lock()
	defer h.clockMu.Unlock()
	return !h.standing.IsZero(), !h.thawedAt.IsZero() && time.Since(h.thawedAt) < slack
}

const adapterName = "a"

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, hosts: map[string]*testHost{}, rows: map[string]store.Row{}, start: time.Now(), sent: map[string]int{}, called: map[string]int{}}
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
	h := &testHost{fleet: f, name: name, links: map[string]bool{}}
	engines := f.engine
	if engines == nil {
		engines = f
	}
	h.broker = New(Options{
		Log: hclog.NewNullLogger(), Host: name, Zone: "z", CallerAddress: name, PeerURL: name, Tables: h, Engines: engines, Source: h,
		Cores: cores, Fenced: !f.unfenced, HolderPause: holderPause, MaxPropagation: 4 * time.Second, Clock: h.clock, Random: rand.New(rand.NewPCG(uint64(len(name)), uint64(name[len(name)-1]))),
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
	h.broker.UpdateView(f.view)
	return h
}

// kill ends a host at once; its links break.
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
	time.Sleep(writeTimeout + time.Second) // alarms that are set find nothing to do, and late transactions end
}

// cutStore has the store answer no host, or all again.
func (f *fleet) cutStore(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.hosts {
		f.storeCut.set(name, cut)
	}
}

// leads returns the names of the hosts that lead.
func (f *fleet) leads() []string {
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
	f.sentMu.Unlock()
	go func() {
		time.Sleep(time.Millisecond)
		f.mu.Lock()
		other, ok := f.hosts[to]
		ok = ok && !other.cut && !h.cut
		if ok {
			h.links[to], other.links[h.name] = true, true
		}
		f.mu.Unlock()
		if ok {
			other.broker.Receive(h.name, decoded)
		}
	}()
	return nil
}

// Drop implements Links.
func (h *testHost) Drop(host string) {
	h.fleet.mu.Lock()
	delete(h.links, host)
	h.fleet.mu.Unlock()
}

// SetRelayed, TakeConfig, TakeUpstreams and Contact implement Source.
func (h *testHost) SetRelayed(bool)                                           {}
func (h *testHost) SetLowLatency(bool)                                             {}
func (h *testHost) ApplyRelayedConfig([]byte, catalog.Versions, watch.Evacuations) {}
func (h *testHost) ApplyRelayedUpstreams(watch.RelayedUpstreams)                             {}
func (h *testHost) KnownVersions() (operator, upstreams int64)                        { return 0, 0 }
func (h *testHost) SetKnownVersions(_, _ int64)                                     {}

// StoreAge implements Source.
func (h *testHost) StoreAge() time.Duration {
	if h.fleet.isSlow() {
		return 2 * relayAge
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

// ask asks a host for an upstream and returns its decision, nil where none came
// in time.
func (h *testHost) ask(wait time.Duration, cost int64) (assign.Decision, *Ticket) {
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

func (h *testHost) granted(t *testing.T, wait time.Duration) *Ticket {
	t.Helper()
	d, ticket := h.ask(wait, 10)
	require.IsType(t, assign.Grant{}, d, "%v", d)
	return ticket
}

// inFleet runs a test with three hosts of the same strength that have a lead.
func inFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for _, name := range []string{"h1", "h2", "h3"} {
			f.add(name, 0.4)
		}
		time.Sleep(2 * time.Second)
		require.Len(t, f.leads(), 1)
		test(t, f)
		f.end()
	})
}

func (f *fleet) other(than string) *testHost {
	for name, h := range f.hosts {
		if name != than {
			return h
		}
	}
	return nil
}
