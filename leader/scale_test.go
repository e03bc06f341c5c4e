package leader

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

// largeFleet returns a fleet with ten upstreams per host. No host is started yet.
func largeFleet(t *testing.T, hosts int) *fleet {
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

// bytesPerHost returns the mean number of bytes sent per host since the last call.
func (f *fleet) bytesPerHost() float64 {
	f.sentMu.Lock()
	defer f.sentMu.Unlock()
	total := 0
	for _, n := range f.sent {
		total += n
	}
	clear(f.sent)
	return float64(total) / float64(len(f.hosts))
}

// All hosts start within half a second, and later lose their leader. They read the platform's tables themselves.
// The control traffic per host must stay within its limit, and must grow slowly enough with the fleet to do so at
// the design scale.
func TestControlTraffic_GrowingFleet(t *testing.T) {
	phases := []string{"start", "steady", "leader lost"}
	const phaseDuration = 5 * time.Second // of each phase
	sizes := []int{20, 40, 80}
	rates := make([][]float64, len(phases))
	for _, hosts := range sizes {
		synctest.Test(t, func(t *testing.T) {
			f := largeFleet(t, hosts)
			for i := range hosts {
				f.add(fmt.Sprintf("host-%03d", i), 0.4)
				time.Sleep(500 * time.Millisecond / time.Duration(hosts))
			}
			for i := range phases {
				time.Sleep(phaseDuration)
				require.Len(t, f.leaders(), 1)
				rates[i] = append(rates[i], f.bytesPerHost()/phaseDuration.Seconds())
				if i == 1 {
					f.kill(f.leaders()[0])
				}
			}
			f.end()
		})
	}
	last := len(sizes) - 1
	for i, phase := range phases {
		slope := (rates[i][last] - rates[i][last-1]) / float64(sizes[last]-sizes[last-1])
		atDesign := rates[i][last] + slope*float64(designHosts-sizes[last])
		t.Logf("%s: %.0f B/s per host at %v hosts, %.0f at %d", phase, rates[i], sizes, atDesign, designHosts)
		require.Less(t, atDesign, controlLimit, phase)
	}
}

// A host misses a relayed change. Its heartbeats show that, and the leader must relay the complete tables again.
func TestRelay_MissedChangeSentAgain(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.hosts[f.leaders()[0]]
		lagging := f.otherThan(leader.name)
		next := *f.view
		next.Checksum = 7
		leader.broker.UpdateView(&next)
		for _, h := range f.hosts {
			if h != lagging {
				h.broker.UpdateView(&next)
			}
		}
		before := f.pushedBytes()
		time.Sleep(maxRelayDelay + (maxMismatches+2)*heartbeatInterval)
		require.Greater(t, f.pushedBytes(), before)
		lagging.broker.UpdateView(&next)
		time.Sleep(heartbeatInterval)
		before = f.pushedBytes()
		time.Sleep(10 * heartbeatInterval)
		require.Equal(t, before, f.pushedBytes())
	})
}

// pushedBytes returns the number of bytes of upstream pushes sent.
func (f *fleet) pushedBytes() int {
	f.sentMu.Lock()
	defer f.sentMu.Unlock()
	return f.sent[fmt.Sprintf("%T", &wire.UpstreamPush{})]
}

// Many hosts have a different view at once, as after a partition. The leader must relay the tables to one host
// after another, so that its link carries them.
func TestRelay_FullPushesRateLimited(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := largeFleet(t, 60)
		random := rand.New(rand.NewPCG(1, 1))
		for range 4000 { // random IDs, which compress like real ones
			id := fmt.Sprintf("i-%010x", random.Uint64()>>24)
			f.view.Upstreams[id] = &catalog.Upstream{
				ID: id, StartedAt: 1_700_000_000_000 + random.Int64N(1_000_000), Service: "s", Zone: "zone-a", Slots: 8,
				Address: fmt.Sprintf("10.%d.%d.%d:9000", random.IntN(250), random.IntN(250), random.IntN(250)),
				Loaded:  []catalog.LoadedModel{{Model: "m"}},
			}
		}
		for i := range 60 {
			f.add(fmt.Sprintf("host-%03d", i), 0.4)
		}
		time.Sleep(3 * time.Second)
		leader := f.hosts[f.leaders()[0]].broker
		next := *f.view
		next.Checksum = 7
		leader.UpdateView(&next)
		leader.mu.Lock()
		one := frameSize(t, &wire.UpstreamPush{Complete: true, Packed: leader.packedUpstreams()})
		leader.mu.Unlock()
		f.bytesPerHost()
		require.Greater(t, 60*one, 2*fullRelayRate*heartbeatInterval.Seconds(), "a heartbeat interval is too short for all hosts")
		for range 10 {
			before := f.pushedBytes()
			time.Sleep(heartbeatInterval)
			require.LessOrEqual(t, float64(f.pushedBytes()-before), 2*fullRelayRate*heartbeatInterval.Seconds()+one)
		}
		time.Sleep(maxRelayDelay)
		require.Greater(t, float64(f.pushedBytes())/one, 59.0, "all hosts receive the tables")
		f.end()
	})
}

// Hundreds of hosts join within a second, so that the member list changes constantly. Each must receive the whole
// list once or twice, and only its changes otherwise.
func TestMemberList_SimultaneousJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		const hosts = 200
		f.add("first", 0.8)
		time.Sleep(2 * time.Second)
		leader := f.hosts["first"].broker
		f.bytesPerHost()
		for i := range hosts {
			f.add(fmt.Sprintf("host-%03d", i), 0.2)
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		leader.mu.Lock()
		whole := frameSize(t, &wire.LeaderHeartbeat{Hosts: leader.hosts})
		require.Len(t, leader.hosts, hosts+1)
		leader.mu.Unlock()
		f.sentMu.Lock()
		sent := float64(f.sent[fmt.Sprintf("%T", &wire.LeaderHeartbeat{})])
		f.sentMu.Unlock()
		t.Logf("%.1f whole lists per host", sent/hosts/whole)
		require.Less(t, sent, 3*hosts*whole)
		for _, h := range f.hosts {
			require.Len(t, h.broker.Hosts(), hosts+1)
		}
		f.end()
	})
}

// Guards against a push to every host with each entry of an upstream in its slow start, and against hosts that
// miss the beginning or the end of one.
func TestRelay_SlowStartChanges(t *testing.T) {
	fast := &catalog.Upstream{ID: "e", StartedAt: 1}
	slow, slower := *fast, *fast
	slow.SlowStartRemaining, slower.SlowStartRemaining = time.Second, 2*time.Second
	require.True(t, entryDiffers(fast, &slow))
	require.True(t, entryDiffers(&slow, fast))
	require.False(t, entryDiffers(&slower, &slow))
	reported := wireUpstream(&slow)
	require.Equal(t, time.Second, decodeUpstream(&reported).SlowStartRemaining)
}
