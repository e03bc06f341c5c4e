package lead

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/wire"
)

// grownFleet returns a fleet with ten upstreams for each host, none of which is
// started yet.
func grownFleet(t *testing.T, hosts int) *fleet {
	f := newFleet(t)
	for i := range 10 * hosts {
		id := fmt.Sprintf("i-%010d", i)
		f.view.Upstreams[id] = &catalog.Upstream{
			ID: id, StartedAt: 1_700_000_000_000, Service: "s", Address: "10.100.100.100:9000", Zone: "zone-a", Slots: 8,
			Loaded: []catalog.LoadedModel{{Model: "m"}},
		}
	}
	return f
}

// taken returns what was sent since the last call, in bytes a host.
func (f *fleet) taken() float64 {
	f.sentMu.Lock()
	defer f.sentMu.Unlock()
	all := 0
	for _, n := range f.sent {
		all += n
	}
	clear(f.sent)
	return float64(all) / float64(len(f.hosts))
}

// Pattern: all hosts start within half a second, and later lose their lead. They
// know the platform's tables themselves. What a host sends and is sent stays
// within the limit, and what grows with the fleet does so slowly enough for that
// at the size to design for.
func TestControlTrafficOfAGrowingFleet(t *testing.T) {
	phases := []string{"start", "steady", "lead lost"}
	const took = 5 * time.Second // of each phase
	sizes := []int{20, 40, 80}
	rates := make([][]float64, len(phases))
	for _, hosts := range sizes {
		synctest.Test(t, func(t *testing.T) {
			f := grownFleet(t, hosts)
			for i := range hosts {
				f.add(fmt.Sprintf("host-%03d", i), 0.4)
				time.Sleep(500 * time.Millisecond / time.Duration(hosts))
			}
			for i := range phases {
				time.Sleep(took)
				require.Len(t, f.leads(), 1)
				rates[i] = append(rates[i], f.taken()/took.Seconds())
				if i == 1 {
					f.kill(f.leads()[0])
				}
			}
			f.end()
		})
	}
	last := len(sizes) - 1
	for i, phase := range phases {
		slope := (rates[i][last] - rates[i][last-1]) / float64(sizes[last]-sizes[last-1])
		atDesign := rates[i][last] + slope*float64(designHosts-sizes[last])
		t.Logf("%s: %.0f B/s a host at %v hosts, %.0f at %d", phase, rates[i], sizes, atDesign, designHosts)
		require.Less(t, atDesign, controlLimit, phase)
	}
}

// Pattern: a host misses a change that was passed on. It says so with its beats,
// and is told all again.
func TestAChangeThatWasMissedIsToldAgain(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.hosts[f.leads()[0]]
		missed := f.other(lead.name)
		next := *f.view
		next.Checksum = 7
		lead.broker.UpdateView(&next)
		for _, h := range f.hosts {
			if h != missed {
				h.broker.UpdateView(&next)
			}
		}
		before := f.pushes()
		time.Sleep(passTime + (missedBeats+2)*beatEvery)
		require.Greater(t, f.pushes(), before)
		missed.broker.UpdateView(&next)
		time.Sleep(beatEvery)
		before = f.pushes()
		time.Sleep(10 * beatEvery)
		require.Equal(t, before, f.pushes())
	})
}

// pushes returns the bytes of whole lists of upstreams that were sent.
func (f *fleet) pushes() int {
	f.sentMu.Lock()
	defer f.sentMu.Unlock()
	return f.sent[fmt.Sprintf("%T", &wire.UpstreamPush{})]
}

// Pattern: many hosts know something else at once, as after a partition. They are
// told all one after another, so that the lead's link carries it.
func TestManyHostsAreToldAllOneAfterAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := grownFleet(t, 60)
		random := rand.New(rand.NewPCG(1, 1))
		for range 4000 { // drawn names, which compress as real ones do
			id := fmt.Sprintf("i-%010x", random.Uint64()>>24)
			f.view.Upstreams[id] = &catalog.Upstream{
				ID: id, StartedAt: 1_700_000_000_000 + random.Int64N(1_000_000), Service: "s", Zone: "zone-a", Slots: 8,
				Address: fmt.Sprintf("10.%d.%d.%d:9000", random.IntN(250), random.IntN(250), random.IntN(250)), Loaded: []catalog.LoadedModel{{Model: "m"}},
			}
		}
		for i := range 60 {
			f.add(fmt.Sprintf("host-%03d", i), 0.4)
		}
		time.Sleep(3 * time.Second)
		lead := f.hosts[f.leads()[0]].broker
		next := *f.view
		next.Checksum = 7
		lead.UpdateView(&next)
		lead.mu.Lock()
		one := size(t, &wire.UpstreamPush{Complete: true, Packed: lead.packedUpstreams()})
		lead.mu.Unlock()
		f.taken()
		require.Greater(t, 60*one, 2*passRate*beatEvery.Seconds(), "not all can be told within a beat")
		for range 10 {
			before := f.pushes()
			time.Sleep(beatEvery)
			require.LessOrEqual(t, float64(f.pushes()-before), 2*passRate*beatEvery.Seconds()+one)
		}
		time.Sleep(passTime)
		require.Greater(t, float64(f.pushes())/one, 59.0, "all are told")
		f.end()
	})
}

// Pattern: hundreds of hosts join within a second, so that the list of hosts changes all
// the time. Each is told the whole list once or twice, and else its changes.
func TestHostsThatJoinTogetherAreToldTheListOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		const hosts = 200
		f.add("first", 0.8)
		time.Sleep(2 * time.Second)
		lead := f.hosts["first"].broker
		f.taken()
		for i := range hosts {
			f.add(fmt.Sprintf("host-%03d", i), 0.2)
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		lead.mu.Lock()
		whole := size(t, &wire.LeaderHeartbeat{Hosts: lead.hosts})
		require.Len(t, lead.hosts, hosts+1)
		lead.mu.Unlock()
		f.sentMu.Lock()
		sent := float64(f.sent[fmt.Sprintf("%T", &wire.LeaderHeartbeat{})])
		f.sentMu.Unlock()
		t.Logf("%.1f whole lists a host", sent/hosts/whole)
		require.Less(t, sent, 3*hosts*whole)
		for _, h := range f.hosts {
			require.Len(t, h.broker.Hosts(), hosts+1)
		}
		f.end()
	})
}

// Guards against a push to every host with each entry of an upstream that starts slowly,
// and against hosts that do not learn that one does.
func TestOnlyTheBeginAndTheEndOfASlowStartAreToldOn(t *testing.T) {
	fast := &catalog.Upstream{ID: "e", StartedAt: 1}
	slow, slower := *fast, *fast
	slow.SlowStartRemaining, slower.SlowStartRemaining = time.Second, 2*time.Second
	require.True(t, listsOther(fast, &slow))
	require.True(t, listsOther(&slow, fast))
	require.False(t, listsOther(&slower, &slow))
	told := wireUpstream(&slow)
	require.Equal(t, time.Second, listedUpstream(&told).SlowStartRemaining)
}
