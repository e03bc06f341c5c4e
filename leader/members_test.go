package leader

import (
	"fmt"
	"math"
	oldrand "math/rand"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/quick"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/wire"
)

// Messages of every type that decode but have arbitrary contents reach the leader and its hosts. None may crash a
// process, and the fleet must keep assigning requests.
func TestReceive_ArbitraryMessages(t *testing.T) {
	types := []wire.Message{
		&wire.AssignRequest{}, &wire.WithdrawRequest{}, &wire.FirstByteReceived{}, &wire.AttemptEnded{}, &wire.Grant{}, &wire.Refuse{}, &wire.HostHeartbeat{}, &wire.AdoptRequest{},
		&wire.ConfigPush{}, &wire.UpstreamPush{}, &wire.AdapterLocations{}, &wire.Suspects{}, &wire.UpstreamLeaving{}, &wire.LeaderHeartbeat{},
	}
	withFleet(t, func(t *testing.T, f *fleet) {
		random := oldrand.New(oldrand.NewSource(1))
		leader := f.leaders()[0]
		other := f.otherThan(leader)
		waiting, _ := other.requestAssignment(0, 10)
		require.Nil(t, waiting)
		for range 300 {
			for _, m := range types {
				content, ok := quick.Value(reflect.TypeOf(m).Elem(), random)
				require.True(t, ok)
				pointer := reflect.New(content.Type())
				pointer.Elem().Set(content)
				drawn := pointer.Interface().(wire.Message)
				if heartbeat, isBeat := drawn.(*wire.LeaderHeartbeat); isBeat {
					heartbeat.Fence = 1 // an old leader's token: a newer leader would be followed
				}
				f.hosts[leader].broker.Receive(other.name, drawn)
				other.broker.Receive(leader, drawn)
				f.hosts[leader].broker.Receive("stranger", drawn)
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		require.Len(t, f.leaders(), 1)
		for _, h := range f.hosts {
			d, _ := h.requestAssignment(2*time.Second, 10)
			require.NotNil(t, d, "%s answers", h.name)
		}
	})
}

// A host is silent for a while. Its running requests must be neither cancelled nor assigned again, and the leader
// must count them again when the host is back.
func TestMember_SilentHostKeepsRequests(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		h := f.otherThan(leader)
		running := h.requireGrant(t, time.Second)
		h.broker.FirstByteReceived(running)
		f.mu.Lock()
		h.cut = true
		f.mu.Unlock()
		time.Sleep(memberTimeout + 2*heartbeatInterval)
		select {
		case d := <-running.Decisions():
			t.Fatalf("a second decision arrived: %v", d)
		default:
		}
		f.mu.Lock()
		h.cut = false
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		b := f.hosts[leader].broker
		b.mu.Lock()
		inFlight := b.leading.InFlight()
		b.mu.Unlock()
		require.Equal(t, 1, inFlight)
		h.broker.AttemptEnded(running, assign.AttemptEnded{Outcome: assign.Completed})
		time.Sleep(10 * time.Millisecond)
		b.mu.Lock()
		defer b.mu.Unlock()
		require.Zero(t, b.leading.InFlight())
	})
}

// A host restarts after an upstream has reported that it is leaving, which the store does not show yet. The leader
// must notify the host.
func TestLeaving_RestartedHostNotified(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		name := f.otherThan(leader).name
		u := f.view.Upstreams["e"]
		f.hosts[leader].broker.UpstreamLeaving(u)
		f.kill(name)
		f.cutStore(true)
		h := f.add(name, 0.4)
		f.cutStore(false)
		time.Sleep(2 * time.Second)
		_, withheld := h.broker.DeclinesRequests(u)
		require.True(t, withheld)
	})
}

// Hundreds of hosts are killed at once and restart within a second. One of them must lead soon, and all must
// follow it.
func TestElection_HundredsOfHostsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		random := rand.New(rand.NewPCG(1, 1))
		const hosts = 300
		start := func() {
			for i := range hosts {
				f.add(fmt.Sprintf("h%03d", i), 0.2+0.6*float64(i%15/14))
				if i%10 == 0 {
					time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				}
			}
		}
		start()
		time.Sleep(5 * time.Second)
		for i := range hosts {
			f.kill(fmt.Sprintf("h%03d", i))
		}
		start()
		time.Sleep(2500 * time.Millisecond)
		require.Len(t, f.leaders(), 1)
		following := 0
		for _, h := range f.hosts {
			h.broker.mu.Lock()
			if h.broker.leader.host != "" {
				following++
			}
			h.broker.mu.Unlock()
		}
		require.Equal(t, hosts, following)
		f.end()
	})
}

// A refusal has a kind unknown to this version, and a token count is not a finite positive number. The request
// must be refused with a known kind, and the organisation's rate must still hold.
func TestReceive_OtherVersions(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		leader := f.leaders()[0]
		h := f.otherThan(leader)
		ticket := h.broker.NewTicket()
		ticket.atLeader = true
		h.broker.Receive(leader, &wire.Refuse{Number: ticket.request.ID.Number, Kind: 250})
		refused, ok := (<-ticket.Decisions()).(assign.Refuse)
		require.True(t, ok)
		require.True(t, refused.Kind.Known())

		f.hosts[leader].broker.Receive(h.name, &wire.HostHeartbeat{Zone: "z", TokenUsages: []wire.TokenUsage{
			{Organisation: "o", Tokens: math.NaN()}, {Organisation: "o", Tokens: math.Inf(-1)}, {Organisation: "o", Tokens: -1e9},
		}})
		d, _ := h.requestAssignment(time.Second, 8500)
		require.IsType(t, assign.Grant{}, d)
		d, _ = h.requestAssignment(time.Second, 3000)
		require.IsType(t, assign.Refuse{}, d, "the rate is exhausted")
	})
}
