package locate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/membership"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

func fleetOf(hosts, zones int) []Host {
	all := make([]Host, 0, hosts)
	for i := range hosts {
		name := fmt.Sprintf("host-%03d", i)
		all = append(all, Host{Name: name, Zone: fmt.Sprintf("zone-%02d", i%zones), URL: "http://" + name, Load: membership.LoadUnknown})
	}
	return all
}

func without(hosts []Host, name string) []Host {
	var rest []Host
	for _, h := range hosts {
		if h.Name != name {
			rest = append(rest, h)
		}
	}
	return rest
}

func TestHostsThatTakeNoCallersAreLeftOut(t *testing.T) {
	members := []membership.Member{
		{HostEntry: wire.HostEntry{Name: "joining", State: wire.HostJoining}},
		{HostEntry: wire.HostEntry{Name: "live", State: wire.HostLive}},
		{HostEntry: wire.HostEntry{Name: "suspected", State: wire.HostLive}, Suspected: true},
		{HostEntry: wire.HostEntry{Name: "leaving", State: wire.HostLeaving}},
		{HostEntry: wire.HostEntry{Name: "gone", State: wire.HostGone}},
	}
	choices := Decide(FromMembers(members), Query{})
	require.Len(t, choices, 1)
	require.Equal(t, "live", choices[0].Host)
	require.Empty(t, FromHostList([]store.Host{{Name: "leaving", Leaving: true}}))
}

func TestAnswerIsSmallNearAndOutlivesAZone(t *testing.T) {
	for _, hosts := range []int{1, 3, 7, 390} {
		choices := Decide(fleetOf(hosts, min(hosts, 17)), Query{Model: "menu", Zone: "zone-00"})
		require.Len(t, choices, min(hosts, MaxChoices))
		require.Equal(t, "zone-00", choices[0].Zone)
		if hosts > MaxChoices {
			require.NotEqual(t, choices[0].Zone, choices[len(choices)-1].Zone)
		}
	}
}

func TestCallersOfOneModelMeet(t *testing.T) {
	hosts := fleetOf(30, 3)
	reversed := make([]Host, 0, len(hosts))
	for _, h := range hosts {
		reversed = append([]Host{h}, reversed...)
	}
	q := Query{Model: "menu", Zone: "zone-01", Organisation: "ignored"}
	require.Equal(t, Decide(hosts, q), Decide(reversed, Query{Model: "menu", Zone: "zone-01", RandomKey: 7}))
	org := Query{Organisation: "acme", RandomKey: 1}
	require.Equal(t, Decide(hosts, org), Decide(hosts, Query{Organisation: "acme", RandomKey: 2}))
}

// first counts how many of the models have each host first.
func first(hosts []Host, models int) map[string]int {
	counts := map[string]int{}
	for i := range models {
		counts[Decide(hosts, Query{Model: fmt.Sprintf("adapter-%d", i)})[0].Host]++
	}
	return counts
}

func TestCallersOfAHostThatGoesSpread(t *testing.T) {
	const models = 7000
	hosts := fleetOf(7, 3)
	before := first(hosts, models)
	for _, n := range before {
		require.InDelta(t, models/7, n, models/7/5, "an even share")
	}
	after := first(without(hosts, "host-003"), models)
	for name, n := range after {
		more := n - before[name]
		require.Positive(t, more, name)
		require.Less(t, more, before["host-003"]/2, "no host takes them all")
	}
}

func TestCallersWithoutModelSpread(t *testing.T) {
	counts := map[string]int{}
	for i := range 1000 {
		counts[Decide(fleetOf(5, 1), Query{RandomKey: uint64(i) * 0x9e3779b97f4a7c15})[0].Host]++
	}
	for _, n := range counts {
		require.InDelta(t, 200, n, 60)
	}
}

func TestOverloadedHostComesLast(t *testing.T) {
	hosts := fleetOf(7, 1)
	q := Query{Model: "menu"}
	preferred := Decide(hosts, q)[0].Host
	for i := range hosts {
		hosts[i].Load = 10
		if hosts[i].Name == preferred {
			hosts[i].Load = 200
		}
	}
	for _, c := range Decide(hosts, q) {
		require.NotEqual(t, preferred, c.Host)
	}
}

func BenchmarkDecide390(b *testing.B) {
	hosts := fleetOf(390, 17)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		Decide(hosts, Query{Model: "menu", Zone: "zone-03", RandomKey: uint64(i)})
	}
}
