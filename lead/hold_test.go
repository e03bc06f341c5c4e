package lead

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

// thawSlack is how long after it stood still a host's orders are excused.
const thawSlack = 300 * time.Millisecond

// trustingEngine carries out the orders of everybody who counts right, whatever
// the fencing token, and remembers who gave them.
type trustingEngine struct {
	fleet *fleet
	mu    sync.Mutex
	held  map[string]bool
	taken int64
	given []givenOrder
}

type givenOrder struct {
	at     time.Duration
	holder string
	fence  int64
}

func (e *trustingEngine) SendOrder(_ context.Context, o assign.Order, holder string) assign.OrderResult {
	e.fleet.mu.Lock()
	h := e.fleet.hosts[holder]
	e.fleet.mu.Unlock()
	if h == nil {
		return assign.OrderUnanswered
	}
	still, justThawed := h.stands(thawSlack)
	if still {
		return assign.OrderUnanswered
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !justThawed {
		e.given = append(e.given, givenOrder{time.Since(e.fleet.start), holder, o.Fence})
	}
	name := o.Adapter.Adapter
	switch {
	case e.held[name] != o.Evict:
		return assign.OrderSatisfied
	case o.Sequence != e.taken:
		return assign.OrderConflict
	}
	e.taken++
	if o.Evict {
		delete(e.held, name)
		return assign.OrderSatisfied
	}
	e.held[name] = true
	return assign.OrderAccepted
}

func (e *trustingEngine) ReadReport(context.Context, *catalog.Upstream) (*assign.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := catalog.LoadedModel{Model: "m"}
	for name := range e.held {
		l.Adapters = append(l.Adapters, catalog.LoadedAdapter{Name: name, Version: 1})
	}
	return &assign.Report{Sequence: e.taken, Loaded: []catalog.LoadedModel{l}}, nil
}

// count returns how many orders were given.
func (e *trustingEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.given)
}

// faults returns what is wrong with the orders given: a lower fencing token after a
// higher one, two holders of one, and holders that took turns within holderPause.
func (e *trustingEngine) faults() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	highest, holderOf, lastOf := int64(0), map[int64]string{}, map[string]time.Duration{}
	last := ""
	for _, o := range e.given {
		if o.fence < highest {
			out = append(out, fmt.Sprintf("%s: %s orders under %d after %d", o.at, o.holder, o.fence, highest))
		}
		if h, ok := holderOf[o.fence]; ok && h != o.holder {
			out = append(out, fmt.Sprintf("%s: %s and %s order under %d", o.at, h, o.holder, o.fence))
		}
		if before, ok := lastOf[o.holder]; ok && last != o.holder && o.at-before < holderPause {
			out = append(out, fmt.Sprintf("%s: %s orders again after %s", o.at, o.holder, last))
		}
		highest, holderOf[o.fence], lastOf[o.holder], last = max(highest, o.fence), o.holder, o.at, o.holder
	}
	return out
}

// trustingFleet runs a test with four hosts before an engine that checks no
// fencing tokens. They are asked for ever other adapters, so that orders go on.
func trustingFleet(t *testing.T, seed uint64, test func(f *fleet, e *trustingEngine, random *rand.Rand)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		e := &trustingEngine{fleet: f, held: map[string]bool{}}
		f.unfenced, f.engine = true, e
		for _, name := range []string{"h1", "h2", "h3", "h4"} {
			f.add(name, 0.4)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var asking sync.WaitGroup
		asking.Go(func() { f.askForMany(ctx, rand.New(rand.NewPCG(seed, 1))) })
		time.Sleep(2 * time.Second)
		test(f, e, rand.New(rand.NewPCG(seed, 2)))
		cancel()
		asking.Wait()
		f.end()
	})
}

// askForMany has hosts ask for adapters drawn from many until the context ends.
func (f *fleet) askForMany(ctx context.Context, random *rand.Rand) {
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

// Pattern: the lead stands still for seconds while another host takes its lease,
// and goes on with work that is due.
func TestALeadThatStoodStillGivesNoOrder(t *testing.T) {
	trustingFleet(t, 1, func(f *fleet, e *trustingEngine, _ *rand.Rand) {
		require.Len(t, f.leads(), 1)
		lead := f.hosts[f.leads()[0]]
		lead.freeze()
		time.Sleep(4 * time.Second)
		require.Len(t, f.leads(), 2, "it does not know yet")
		lead.thaw()
		time.Sleep(4 * time.Second)
		require.Empty(t, e.faults())
		require.Len(t, f.leads(), 1)
	})
}

// Pattern: the machine of a lead is suspended, and nobody takes the lease. The
// lead must not go on by it, whatever a renewal that was under way says.
func TestASuspendedLeadClaimsAnew(t *testing.T) {
	trustingFleet(t, 1, func(f *fleet, e *trustingEngine, _ *rand.Rand) {
		name := f.leads()[0]
		lead := f.hosts[name]
		lead.broker.mu.Lock()
		before := lead.broker.lead.fence
		lead.broker.mu.Unlock()
		for _, other := range []string{"h1", "h2", "h3", "h4"} {
			f.storeCut.set(other, true)
		}
		lead.freeze()
		time.Sleep(2 * time.Second)
		lead.thaw()
		time.Sleep(2 * time.Second)
		lead.broker.mu.Lock()
		defer lead.broker.mu.Unlock()
		require.Greater(t, lead.broker.lead.fence, before)
		require.Equal(t, name, lead.broker.lead.host)
		require.Empty(t, e.faults())
	})
}

// Pattern: a lead with little processor time hands over to a strong host while
// orders go on.
func TestALeadYieldsBetweenOrders(t *testing.T) {
	trustingFleet(t, 1, func(f *fleet, e *trustingEngine, _ *rand.Rand) {
		f.add("strong", 0.8)
		time.Sleep(yieldAfter + 3*time.Second)
		require.Equal(t, []string{"strong"}, f.leads())
		require.Empty(t, e.faults())
	})
}

// Pattern: freezes, cuts, lost answers, a slow store and shutdowns in series and
// at once. At no time do engines get orders of two holders.
func TestOneHolderGivesOrders(t *testing.T) {
	seeds := uint64(30)
	if testing.Short() {
		seeds = 15
	}
	orders := 0
	for seed := range seeds {
		trustingFleet(t, seed, func(f *fleet, e *trustingEngine, random *rand.Rand) {
			f.trouble(random)
			require.Empty(t, e.faults(), "seed %d", seed)
			orders += e.count()
		})
	}
	require.Greater(t, orders, int(seeds)*50, "the engine has been given orders")
}

// The checker sees a lead whose clock leaves out the time for which its machine
// stood still.
func TestAClockThatStopsIsSeen(t *testing.T) {
	found := 0
	for seed := range uint64(10) {
		trustingFleet(t, seed, func(f *fleet, e *trustingEngine, random *rand.Rand) {
			for _, h := range f.hosts {
				h.clockMu.Lock()
				h.blind = true
				h.clockMu.Unlock()
			}
			f.trouble(random)
			found += min(len(e.faults()), 1)
		})
	}
	require.Positive(t, found)
}

// trouble has faults come in series and overlap for some twenty seconds.
func (f *fleet) trouble(random *rand.Rand) {
	var running sync.WaitGroup
	for range 8 {
		lasts := time.Duration(200+random.IntN(5000)) * time.Millisecond
		begin, end := f.drawFault(random)
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

// drawFault returns what begins a fault and what ends it.
func (f *fleet) drawFault(random *rand.Rand) (begin, end func()) {
	victim := f.hosts["h1"]
	if leads := f.leads(); len(leads) > 0 {
		victim = f.hosts[leads[random.IntN(len(leads))]]
	}
	switch random.IntN(5) {
	case 0, 1:
		if still, _ := victim.stands(0); still {
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

// Pattern: the store takes sixty times as long as usual for a while. The lead goes on
// giving orders, since each renewal is answered before the lease could be another's.
func TestALeadOutlivesASlowStore(t *testing.T) {
	trustingFleet(t, 1, func(f *fleet, e *trustingEngine, _ *rand.Rand) {
		lead := f.leads()
		require.Len(t, lead, 1)
		f.delayCommits(700 * time.Millisecond)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, lead, f.leads())
		}
		require.Empty(t, e.faults())
	})
}
