package leader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
)

// thawGrace is how long after a thaw a host's orders are not checked.
const thawGrace = 300 * time.Millisecond

// unfencedEngine carries out every order with the expected sequence number, whatever its fencing token, and
// records the sender.
type unfencedEngine struct {
	fleet    *fleet
	mu       sync.Mutex
	held     map[string]bool
	accepted int64
	orders   []receivedOrder
}

type receivedOrder struct {
	at     time.Duration
	holder string
	fence  int64
}

func (e *unfencedEngine) SendOrder(_ context.Context, o assign.Order, holder string) assign.OrderResult {
	e.fleet.mu.Lock()
	h := e.fleet.hosts[holder]
	e.fleet.mu.Unlock()
	if h == nil {
		return assign.OrderUnanswered
	}
	still, justThawed := h.frozen(thawGrace)
	if still {
		return assign.OrderUnanswered
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !justThawed {
		e.orders = append(e.orders, receivedOrder{time.Since(e.fleet.start), holder, o.Fence})
	}
	name := o.Adapter.Adapter
	switch {
	case e.held[name] != o.Evict:
		return assign.OrderSatisfied
	case o.Sequence != e.accepted:
		return assign.OrderConflict
	}
	e.accepted++
	if o.Evict {
		delete(e.held, name)
		return assign.OrderSatisfied
	}
	e.held[name] = true
	return assign.OrderAccepted
}

func (e *unfencedEngine) ReadReport(context.Context, *catalog.Upstream) (*assign.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := catalog.LoadedModel{Model: "m"}
	for name := range e.held {
		l.Adapters = append(l.Adapters, catalog.LoadedAdapter{Name: name, Version: 1})
	}
	return &assign.Report{Sequence: e.accepted, Loaded: []catalog.LoadedModel{l}}, nil
}

// count returns the number of recorded orders.
func (e *unfencedEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// violations returns what is wrong with the recorded orders: a lower fencing token after a higher one, two holders
// with one token, or a holder that sends orders again within holderPause of its last, after another holder.
func (e *unfencedEngine) violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	highest, holderOf, lastOf := int64(0), map[int64]string{}, map[string]time.Duration{}
	last := ""
	for _, o := range e.orders {
		if o.fence < highest {
			out = append(out, fmt.Sprintf("%s: %s sent an order with token %d after token %d", o.at, o.holder, o.fence, highest))
		}
		if h, ok := holderOf[o.fence]; ok && h != o.holder {
			out = append(out, fmt.Sprintf("%s: %s and %s sent orders with the same token %d", o.at, h, o.holder, o.fence))
		}
		if before, ok := lastOf[o.holder]; ok && last != o.holder && o.at-before < holderPause {
			out = append(out, fmt.Sprintf("%s: %s sent an order again after %s", o.at, o.holder, last))
		}
		highest, holderOf[o.fence], lastOf[o.holder], last = max(highest, o.fence), o.holder, o.at, o.holder
	}
	return out
}

// withUnfencedFleet runs a test with four hosts and an engine that checks no fencing tokens. Requests for changing
// adapters keep orders coming.
func withUnfencedFleet(t *testing.T, seed uint64, test func(f *fleet, e *unfencedEngine, random *rand.Rand)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		e := &unfencedEngine{fleet: f, held: map[string]bool{}}
		f.unfenced, f.engine = true, e
		for _, name := range []string{"h1", "h2", "h3", "h4"} {
			f.add(name, 0.4)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var asking sync.WaitGroup
		asking.Go(func() { f.requestMany(ctx, rand.New(rand.NewPCG(seed, 1))) })
		time.Sleep(2 * time.Second)
		test(f, e, rand.New(rand.NewPCG(seed, 2)))
		cancel()
		asking.Wait()
		f.end()
	})
}

// requestMany submits requests for random adapters at random hosts until the context ends.
func (f *fleet) requestMany(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		f.mu.Lock()
		h := f.hosts[[]string{"h1", "h2", "h3", "h4"}[random.IntN(4)]]
		f.mu.Unlock()
		if h == nil {
			continue
		}
		name := fmt.Sprintf("a%d", random.IntN(40))
		go func() {
			ticket, now := h.broker.NewTicket(), time.Now()
			h.broker.RequestAssignment(ticket, assign.Request{
				Service: "s", Organisation: "free", Adapter: catalog.AdapterRef{Model: "m", Adapter: name}, PromptTokens: 100,
				Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(2 * time.Second),
			})
			select {
			case d := <-ticket.Decisions():
				if _, ok := d.(assign.Grant); ok {
					h.broker.FirstByteReceived(ticket)
					time.Sleep(20 * time.Millisecond)
					h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Completed})
				}
			case <-time.After(2 * time.Second):
			}
			h.broker.Withdraw(ticket)
		}()
	}
}

// The leader is frozen for seconds while another host claims its lease, and resumes with work that is due.
func TestUnfenced_FrozenLeaderSendsNoOrders(t *testing.T) {
	withUnfencedFleet(t, 1, func(f *fleet, e *unfencedEngine, _ *rand.Rand) {
		require.Len(t, f.leaders(), 1)
		leader := f.hosts[f.leaders()[0]]
		leader.freeze()
		time.Sleep(4 * time.Second)
		require.Len(t, f.leaders(), 2, "the frozen leader does not know that it was replaced")
		leader.thaw()
		time.Sleep(4 * time.Second)
		require.Empty(t, e.violations())
		require.Len(t, f.leaders(), 1)
	})
}

// The leader's machine is suspended, and no host claims the lease. The leader must not continue with the old lease,
// whatever the answer to a renewal in progress is.
func TestUnfenced_SuspendedLeaderClaimsAgain(t *testing.T) {
	withUnfencedFleet(t, 1, func(f *fleet, e *unfencedEngine, _ *rand.Rand) {
		name := f.leaders()[0]
		leader := f.hosts[name]
		leader.broker.mu.Lock()
		before := leader.broker.leader.fence
		leader.broker.mu.Unlock()
		for _, other := range []string{"h1", "h2", "h3", "h4"} {
			f.storeCut.set(other, true)
		}
		leader.freeze()
		time.Sleep(2 * time.Second)
		leader.thaw()
		time.Sleep(2 * time.Second)
		leader.broker.mu.Lock()
		defer leader.broker.mu.Unlock()
		require.Greater(t, leader.broker.leader.fence, before)
		require.Equal(t, name, leader.broker.leader.host)
		require.Empty(t, e.violations())
	})
}

// A leader with little processor time yields to a strong host while orders are sent.
func TestUnfenced_YieldBetweenOrders(t *testing.T) {
	withUnfencedFleet(t, 1, func(f *fleet, e *unfencedEngine, _ *rand.Rand) {
		f.add("strong", 0.8)
		time.Sleep(yieldAfter + 3*time.Second)
		require.Equal(t, []string{"strong"}, f.leaders())
		require.Empty(t, e.violations())
	})
}

// Freezes, cuts, lost answers and a slow store, in series and at once. Engines must never receive orders of two
// holders at a time.
func TestUnfenced_SingleHolderUnderFaults(t *testing.T) {
	t.Parallel()
	seeds := uint64(30)
	if testing.Short() {
		seeds = 15
	}
	orders := 0
	for seed := range seeds {
		withUnfencedFleet(t, seed, func(f *fleet, e *unfencedEngine, random *rand.Rand) {
			f.injectFaults(random)
			require.Empty(t, e.violations(), "seed %d", seed)
			orders += e.count()
		})
	}
	require.Greater(t, orders, int(seeds)*50, "the engine has received orders")
}

// Checks that violations finds a leader whose clock leaves out the time for which its machine was suspended.
func TestUnfenced_StoppedClockDetected(t *testing.T) {
	t.Parallel()
	found := 0
	for seed := range uint64(10) {
		withUnfencedFleet(t, seed, func(f *fleet, e *unfencedEngine, random *rand.Rand) {
			for _, h := range f.hosts {
				h.clockMu.Lock()
				h.clockStops = true
				h.clockMu.Unlock()
			}
			f.injectFaults(random)
			found += min(len(e.violations()), 1)
		})
	}
	require.Positive(t, found)
}

// injectFaults injects faults that follow and overlap each other for some twenty seconds.
func (f *fleet) injectFaults(random *rand.Rand) {
	var running sync.WaitGroup
	for range 8 {
		lasts := time.Duration(200+random.IntN(5000)) * time.Millisecond
		begin, end := f.randomFault(random)
		begin()
		running.Go(func() {
			time.Sleep(lasts)
			end()
		})
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
	running.Wait()
	time.Sleep(4 * time.Second)
}

// randomFault returns functions that begin and end a random fault.
func (f *fleet) randomFault(random *rand.Rand) (begin, end func()) {
	victim := f.hosts["h1"]
	if leaders := f.leaders(); len(leaders) > 0 {
		victim = f.hosts[leaders[random.IntN(len(leaders))]]
	}
	switch random.IntN(5) {
	case 0, 1:
		if still, _ := victim.frozen(0); still {
			return func() {}, func() {}
		}
		return victim.freeze, victim.thaw
	case 2:
		return func() { f.storeCut.set(victim.name, true) }, func() { f.storeCut.set(victim.name, false) }
	case 3:
		return func() { f.mu.Lock(); f.loseCommits = 2; f.mu.Unlock() }, func() {}
	}
	slow := time.Duration(random.IntN(1200)) * time.Millisecond
	return func() { f.delayCommits(slow) }, func() { f.delayCommits(0) }
}

// The store takes sixty times as long as usual for a while. The leader must continue to send orders, since each
// renewal is answered before the lease could expire.
func TestUnfenced_SlowStoreKeepsLeader(t *testing.T) {
	withUnfencedFleet(t, 1, func(f *fleet, e *unfencedEngine, _ *rand.Rand) {
		leader := f.leaders()
		require.Len(t, leader, 1)
		f.delayCommits(700 * time.Millisecond)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, leader, f.leaders())
		}
		require.Empty(t, e.violations())
	})
}
