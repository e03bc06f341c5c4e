package lead

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

// Pattern: messages that decode and mean nothing, of every type and with any content,
// reach the lead and its hosts. None of them ends a process, and the fleet serves on.
func TestMessagesOfAnyContentEndNoProcess(t *testing.T) {
	types := []wire.Message{
		&wire.AssignRequest{}, &wire.WithdrawRequest{}, &wire.FirstByteReceived{}, &wire.AttemptEnded{}, &wire.Grant{}, &wire.Refuse{}, &wire.HostHeartbeat{}, &wire.AdoptRequest{},
		&wire.ConfigPush{}, &wire.UpstreamPush{}, &wire.AdapterLocations{}, &wire.Suspects{}, &wire.UpstreamLeaving{}, &wire.LeaderHeartbeat{},
	}
	inFleet(t, func(t *testing.T, f *fleet) {
		random := oldrand.New(oldrand.NewSource(1))
		lead := f.leads()[0]
		other := f.other(lead)
		waiting, _ := other.ask(0, 10)
		require.Nil(t, waiting)
		for range 300 {
			for _, m := range types {
				content, ok := quick.Value(reflect.TypeOf(m).Elem(), random)
				require.True(t, ok)
				pointer := reflect.New(content.Type())
				pointer.Elem().Set(content)
				drawn := pointer.Interface().(wire.Message)
				if beat, isBeat := drawn.(*wire.LeaderHeartbeat); isBeat {
					beat.Fence = 1 // a lead of long ago: a newer one is followed
				}
				f.hosts[lead].broker.Receive(other.name, drawn)
				other.broker.Receive(lead, drawn)
				f.hosts[lead].broker.Receive("stranger", drawn)
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		require.Len(t, f.leads(), 1)
		for _, h := range f.hosts {
			d, _ := h.ask(2*time.Second, 10)
			require.NotNil(t, d, "%s answers", h.name)
		}
	})
}

// Pattern: a host is only silent for a while. Its running requests are neither given up
// nor started again elsewhere, and the lead counts them again when it is back.
func TestAHostThatWasSilentKeepsWhatItRuns(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		h := f.other(lead)
		running := h.granted(t, time.Second)
		h.broker.FirstByteReceived(running)
		f.mu.Lock()
		h.cut = true
		f.mu.Unlock()
		time.Sleep(memberSilence + 2*beatEvery)
		select {
		case d := <-running.Decisions():
			t.Fatalf("decided on again: %v", d)
		default:
		}
		f.mu.Lock()
		h.cut = false
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		b := f.hosts[lead].broker
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

// Pattern: a host restarts after an upstream has said that it leaves, which the store
// does not say yet. The lead tells the host.
func TestARestartedHostLeavesLeavingUpstreamsAlone(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		name := f.other(lead).name
		u := f.view.Upstreams["e"]
		f.hosts[lead].broker.UpstreamLeaving(u)
		f.kill(name)
		f.cutStore(true)
		h := f.add(name, 0.4)
		f.cutStore(false)
		time.Sleep(2 * time.Second)
		_, withheld := h.broker.DeclinesRequests(u)
		require.True(t, withheld)
	})
}

// Pattern: hundreds of hosts are killed at once and come back within a second. One of
// them leads soon, and all follow it.
func TestHundredsOfHostsComeBackAtOnce(t *testing.T) {
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
		require.Len(t, f.leads(), 1)
		following := 0
		for _, h := range f.hosts {
			h.broker.mu.Lock()
			if h.broker.lead.host != "" {
				following++
			}
			h.broker.mu.Unlock()
		}
		require.Equal(t, hosts, following)
		f.end()
	})
}

// Pattern: a refusal of a kind that this version does not know, and a count of tokens
// that is no number. The request is refused with a kind that has an answer, and the
// organisation's rate holds on.
func TestMessagesFromAnotherVersionAreTakenWithCare(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		lead := f.leads()[0]
		h := f.other(lead)
		ticket := h.broker.NewTicket()
		ticket.toLead = true
		h.broker.Receive(lead, &wire.Refuse{Number: ticket.request.ID.Number, Kind: 250})
		refused, ok := (<-ticket.Decisions()).(assign.Refuse)
		require.True(t, ok)
		require.True(t, refused.Kind.Known())

		f.hosts[lead].broker.Receive(h.name, &wire.HostHeartbeat{Zone: "z", TokenUsages: []wire.TokenUsage{
			{Organisation: "o", Tokens: math.NaN()}, {Organisation: "o", Tokens: math.Inf(-1)}, {Organisation: "o", Tokens: -1e9},
		}})
		d, _ := h.ask(time.Second, 8500)
		require.IsType(t, assign.Grant{}, d)
		d, _ = h.ask(time.Second, 3000)
		require.IsType(t, assign.Refuse{}, d, "the rate is used up")
	})
}
