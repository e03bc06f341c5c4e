package leader

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/watch"
	"github.com/jasminelock/jasminelock/wire"
)

// copiedLeases are the lease rows that a copy may hold: none, one that an earlier holder has released, and one that it has
// not.
func copiedLeases(t *testing.T, holder string) map[string]map[string]store.Row {
	row := func(released bool) map[string]store.Row {
		raw, err := cbor.Marshal(lease{Host: holder, URL: holder, Secret: "older", Released: released})
		require.NoError(t, err)
		return map[string]store.Row{leaseKey: {Key: leaseKey, Value: raw, Version: 2}}
	}
	return map[string]map[string]store.Row{"absent": {}, "released": row(true), "held": row(false)}
}

// The lease is claimed between the copy and the outage, and its holder lives. Guards against a change of leader, orders of
// two holders, fencing tokens that fall, lost work of the leader, and a lost secret.
func TestRestore_LeaderContinues(t *testing.T) {
	for name := range copiedLeases(t, "h1") {
		withUnfencedFleet(t, 1, func(f *fleet, e *unfencedEngine, _ *rand.Rand) {
			leader := f.hosts[f.leaders()[0]]
			before, assigner := leader.state()
			secret := leader.broker.Secret()
			other := f.otherThan(leader.name).name
			f.restore(storeCopy{copiedLeases(t, other)[name], 2})
			restoredAt := e.count()
			time.Sleep(time.Second)
			require.Equal(t, []string{leader.name}, f.leaders(), name)
			after, same := leader.state()
			require.Greater(t, after, before, name)
			require.Equal(t, int64(1), store.EraOf(after), name)
			require.Same(t, assigner, same, name)
			require.Equal(t, secret, leader.broker.Secret(), name)
			count := e.count()
			require.Greater(t, count, restoredAt, "orders are sent within a second")
			time.Sleep(4 * time.Second)
			require.Equal(t, []string{leader.name}, f.leaders(), name)
			require.Greater(t, e.count(), count, name)
			require.Empty(t, e.violations(), name)
			f.mu.Lock()
			defer f.mu.Unlock()
			var l lease
			require.NoError(t, cbor.Unmarshal(f.rows[leaseKey].Value, &l))
			require.Equal(t, secret, l.Secret)
			require.Equal(t, int64(1), l.Era)
		})
	}
}

// renewedByCoincidence returns the era of the leader's fencing token a second after the store was restored from a copy in which
// the row of another holder has the version that the leader renews.
func renewedByCoincidence(t *testing.T, m mutant) (era int64) {
	withUnfencedFleet(t, 1, func(f *fleet, e *unfencedEngine, _ *rand.Rand) {
		leader := f.hosts[f.leaders()[0]]
		before, _ := leader.state()
		f.mu.Lock()
		f.mutant = m
		renewed := f.rows[leaseKey].Version
		f.mu.Unlock()
		rows := copiedLeases(t, f.otherThan(leader.name).name)["held"]
		row := rows[leaseKey]
		row.Version = renewed
		rows[leaseKey] = row
		f.restore(storeCopy{rows, renewed})
		time.Sleep(time.Second)
		after, _ := leader.state()
		require.GreaterOrEqual(t, after, before)
		require.Equal(t, []string{leader.name}, f.leaders())
		require.Empty(t, e.violations())
		era = store.EraOf(after)
	})
	return era
}

// Guards against a leader that takes the success of a renewal for its lease although the row is another holder's.
func TestRestore_RenewalByCoincidence(t *testing.T) {
	require.Equal(t, int64(1), renewedByCoincidence(t, noMutant))
}

// The leader is killed, or frozen and cut off from the store, while the store is unavailable. Guards against a claim before the
// lost lease and the holder pause are over, and against a fleet that stays without a leader.
func TestRestore_LeaderLost(t *testing.T) {
	for name := range copiedLeases(t, "h1") {
		for _, killed := range []bool{true, false} {
			withUnfencedFleet(t, 1, func(f *fleet, e *unfencedEngine, _ *rand.Rand) {
				lost := f.leaders()[0]
				f.cutStore(true)
				time.Sleep(300 * time.Millisecond)
				if killed {
					f.kill(lost)
				} else {
					f.hosts[lost].freeze()
				}
				f.restore(storeCopy{copiedLeases(t, f.otherThan(lost).name)[name], 2})
				f.mu.Lock()
				for host := range f.hosts {
					f.storeCut.set(host, host == lost)
				}
				f.mu.Unlock()
				for range 48 {
					time.Sleep(100 * time.Millisecond)
					for _, l := range f.leaders() {
						require.Equal(t, lost, l, "%s: a host leads before the lost lease has expired", name)
					}
				}
				if !killed {
					f.hosts[lost].thaw()
				}
				time.Sleep(3 * time.Second)
				require.Len(t, f.leaders(), 1, name)
				require.Empty(t, e.violations(), name)
			})
		}
	}
}

// fencedEngine is an engine that checks fencing tokens.
type fencedEngine struct {
	unfencedEngine
	highest int64
	// refused holds the times at which an order was refused.
	refused []time.Duration
}

func (e *fencedEngine) SendOrder(ctx context.Context, o assign.Order, holder string) assign.OrderResult {
	e.fleet.mu.Lock()
	_, runs := e.fleet.hosts[holder]
	e.fleet.mu.Unlock()
	if !runs {
		return assign.OrderUnanswered // the timers of a killed host still fire
	}
	e.mu.Lock()
	if o.Fence < e.highest {
		e.refused = append(e.refused, time.Since(e.fleet.start))
		e.mu.Unlock()
		return assign.OrderFenced
	}
	e.highest = o.Fence
	e.mu.Unlock()
	return e.unfencedEngine.SendOrder(ctx, o, holder)
}

// refusedAfter returns the number of orders that were refused after a time.
func (e *fencedEngine) refusedAfter(at time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, t := range e.refused {
		if t > at {
			n++
		}
	}
	return n
}

// carriedOut returns the number of orders of an era that were not refused.
func (e *fencedEngine) carriedOut(era int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, o := range e.orders {
		if store.EraOf(o.fence) == era {
			n++
		}
	}
	return n
}

// Engines check fencing tokens. The leader keeps running, or is killed while the store is unavailable. Guards against orders
// that engines refuse after the first second, and against a fleet that sends no order of the new era within 3 s of the store's
// return.
func TestRestore_FencedEngines(t *testing.T) {
	for _, killed := range []bool{false, true} {
		for copied := range copiedLeases(t, "h1") {
			withFencedFleet(t, func(f *fleet, e *fencedEngine) {
				leader := f.leaders()[0]
				f.cutStore(true)
				time.Sleep(time.Second)
				if killed {
					f.kill(leader)
				}
				f.restore(storeCopy{copiedLeases(t, f.otherThan(leader).name)[copied], 2})
				f.cutStore(false)
				back := time.Since(f.start)
				time.Sleep(3 * time.Second)
				require.Positive(t, e.carriedOut(1), "adapters are loaded within 3 s")
				require.Len(t, f.leaders(), 1)
				require.Zero(t, e.refusedAfter(back+time.Second), "%s, killed %t", copied, killed)
				e.mu.Lock()
				defer e.mu.Unlock()
				require.Equal(t, int64(1), store.EraOf(e.highest))
			})
		}
	}
}

// withFencedFleet runs a test with four hosts and an engine that checks fencing tokens, under a stream of requests.
func withFencedFleet(t *testing.T, test func(f *fleet, e *fencedEngine)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		e := &fencedEngine{unfencedEngine: unfencedEngine{fleet: f, held: map[string]bool{}}}
		f.engine = e
		for _, name := range []string{"h1", "h2", "h3", "h4"} {
			f.add(name, 0.4)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var asking sync.WaitGroup
		asking.Go(func() { f.requestMany(ctx, rand.New(rand.NewPCG(1, 1))) })
		time.Sleep(2 * time.Second)
		test(f, e)
		cancel()
		asking.Wait()
		f.end()
	})
}

// Random restores, beside freezes, hosts cut off from the store, lost answers and a slow store. Guards against orders of two
// holders at the same time to engines that check no fencing tokens.
func TestRestore_SingleHolderUnderFaults(t *testing.T) {
	t.Parallel()
	seeds := uint64(30)
	if testing.Short() {
		seeds = 15
	}
	orders := 0
	for seed := range seeds {
		violations, n := restoresUnderFaults(t, seed, noMutant)
		require.Empty(t, violations, "seed %d", seed)
		orders += n
	}
	require.Greater(t, orders, int(seeds)*50, "the engine has received orders")
}

// isolatedHolder returns the violations of a fleet whose leader reaches engines, but neither the store nor another host, while
// the store is restored from a copy in which the lease is free.
func isolatedHolder(t *testing.T, m mutant) (violations []string) {
	withUnfencedFleet(t, 1, func(f *fleet, e *unfencedEngine, _ *rand.Rand) {
		leader := f.leaders()[0]
		f.mu.Lock()
		f.mutant = m
		f.hosts[leader].cut = true
		f.mu.Unlock()
		f.storeCut.set(leader, true)
		f.restore(storeCopy{copiedLeases(t, leader)["released"], 2})
		if m == waitIgnored {
			f.ignoreWaits()
		}
		time.Sleep(8 * time.Second)
		violations = e.violations()
	})
	return violations
}

// Guards against a host that claims the copied lease while the holder of the lost lease still sends orders.
func TestRestore_IsolatedHolder(t *testing.T) {
	require.Empty(t, isolatedHolder(t, noMutant))
}

// Checks that the tests of unfenced engines above detect hosts that ignore the era in one place.
func TestRestore_MutantsDetected(t *testing.T) {
	t.Parallel()
	require.NotEmpty(t, isolatedHolder(t, waitIgnored))
	require.NotEmpty(t, isolatedHolder(t, rowEraIgnored))
	require.Zero(t, renewedByCoincidence(t, writeEraIgnored))
	found := 0
	for seed := range uint64(10) {
		violations, _ := restoresUnderFaults(t, seed, eraIgnored)
		found += min(len(violations), 1)
	}
	require.Greater(t, found, 5)
}

// restoresUnderFaults returns the violations of a fleet under random restores and faults, and the number of orders.
func restoresUnderFaults(t *testing.T, seed uint64, m mutant) (violations []string, orders int) {
	withUnfencedFleet(t, seed, func(f *fleet, e *unfencedEngine, random *rand.Rand) {
		f.mu.Lock()
		f.mutant = m
		f.mu.Unlock()
		var running sync.WaitGroup
		running.Go(func() { f.injectFaults(random) })
		own := rand.New(rand.NewPCG(seed, 3))
		copies := []storeCopy{{map[string]store.Row{}, 0}, {copiedLeases(t, "h2")["released"], 2}, f.copyStore()}
		for range 8 {
			copies = append(copies, f.copyStore())
			time.Sleep(time.Duration(own.IntN(3000)) * time.Millisecond)
			if own.IntN(2) == 0 {
				f.restore(copies[own.IntN(len(copies))])
			}
		}
		running.Wait()
		violations, orders = e.violations(), e.count()
	})
	return violations, orders
}

// tablesOf returns the view of a host that has read the tables in an era.
func (f *fleet) tablesOf(era int64, continuous bool, zones ...string) *watch.View {
	v := *f.view
	v.Evacuated = watch.Evacuations{Zones: map[string]bool{}, StoreVersion: store.NewPosition(era, 1), Continuous: continuous}
	for _, z := range zones {
		v.Evacuated.Zones[z] = true
	}
	return &v
}

// A host that has started after the restore leads, and knows only the copy. Guards against evacuations and departed upstreams
// that the other hosts still know and the leader does not ask for, and against a leader that counts as settled before.
func TestRestore_FreshLeaderLearns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.era = 1
		for _, name := range []string{"h1", "h2"} {
			f.add(name, 0.4)
			f.storeCut.set(name, true)
			f.hosts[name].broker.UpdateView(f.tablesOf(1, true, "lost"))
		}
		fresh := f.add("fresh", 0.4)
		fresh.broker.UpdateView(f.tablesOf(1, false))
		require.False(t, fresh.broker.Settled())
		time.Sleep(leaseTTL + 300*time.Millisecond)
		for _, name := range []string{"h1", "h2"} {
			f.storeCut.set(name, false)
		}
		time.Sleep(learnTime)
		require.Equal(t, []string{"fresh"}, f.leaders())
		f.mu.Lock()
		learned := fresh.learned
		f.mu.Unlock()
		require.Equal(t, []string{"lost"}, learned.EvacuatedZones)
		require.Equal(t, []watch.Incarnation{{ID: "left", StartedAt: 1}}, learned.Departed)
		time.Sleep(learnTime)
		require.True(t, fresh.broker.Settled())
		f.end()
	})
}

// Hosts report eras that the store has not stated. Guards against a host that then discards the store's answers as outdated.
func TestRestore_WrongEraHeard(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		fence, _ := f.hosts[leader].state()
		for _, era := range []int64{7, store.MaxEra, 1 << 62} {
			f.hosts[leader].broker.Receive(f.otherThan(leader).name, &wire.HostHeartbeat{Zone: "z", StoreEra: era})
			f.otherThan(leader).broker.Receive(leader, &wire.LeaderHeartbeat{Fence: fence, StoreEra: era})
		}
		time.Sleep(4 * time.Second)
		require.Len(t, f.leaders(), 1)
		require.Zero(t, f.hosts[f.leaders()[0]].broker.Stats().StoreEra)
		f.otherThan(f.leaders()[0]).requireGrant(t, time.Second)
	})
}

// requireUsageAssumed checks what the new leader that start brings about assumes of an organisation's use: full use after a row of
// an older era, none if the fleet starts for the first time.
func requireUsageAssumed(t *testing.T, start func(f *fleet) *testHost) {
	for _, fresh := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			f.era = 1
			if !fresh {
				raw, err := cbor.Marshal(lease{Host: "gone", Secret: "s", Usage: usageRecord{ClockMS: 1}})
				require.NoError(t, err)
				f.rows[leaseKey], f.version = store.Row{Key: leaseKey, Value: raw, Version: 1}, 1
			}
			time.Sleep(10 * time.Second)
			h := start(f)
			for !slices.Equal(f.leaders(), []string{h.name}) {
				time.Sleep(5 * time.Millisecond)
			}
			_, leading := h.state()
			h.broker.mu.Lock()
			used := leading.UsedFraction(time.Now(), "o")
			h.broker.mu.Unlock()
			if fresh {
				require.Zero(t, used)
			} else {
				require.Greater(t, used, 0.95, "full use is assumed")
			}
			f.end()
		})
	}
}

// A new leader restores the usage from a row that was written in an older era. Guards against a leader that assumes no use
// since the record, and against use that is assumed when a fleet starts for the first time.
func TestRestore_UsageAssumed(t *testing.T) {
	requireUsageAssumed(t, func(f *fleet) *testHost { return f.add("h1", 0.4) })
}

// A host claims the lease after a restore and is lost before it has renewed it. The next leader must assume full use as well:
// the claim's row is of the new era, but the usage in it is not.
func TestRestore_UsageAssumedAgain(t *testing.T) {
	requireUsageAssumed(t, func(f *fleet) *testHost {
		f.add("h1", 0.4)
		f.add("h2", 0.4)
		for len(f.leaders()) == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		first := f.leaders()[0]
		f.kill(first)
		return f.otherThan(first)
	})
}
