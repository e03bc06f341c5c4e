package lead

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/wire"
)

// The size to design for, and what a host may send and receive for control.
const (
	designHosts    = 390
	designRequests = 2300.0
	controlLimit   = 7000.0
	// frameHeader is the WebSocket header of a masked frame.
	frameHeader = 8
)

func size(t *testing.T, m wire.Message) float64 {
	t.Helper()
	raw, err := wire.Encode(m)
	require.NoError(t, err)
	return float64(len(raw) + frameHeader)
}

// usualRequest is a request as callers of the two deployments send them.
func usualRequest(now time.Time) *assign.Request {
	return &assign.Request{
		ID: assign.RequestID{Host: "entry-host-1", Number: 1 << 60}, Service: "models1", Organisation: "customer",
		Adapter: catalog.AdapterRef{Model: "basemodel1", Adapter: "a2201"}, PromptTokens: 2368, OutputTokens: 80, ExpectedOutput: 24,
		PrefixBlocks: []assign.PrefixBlock{{ID: "0a0b0c01", Tokens: 341}, {ID: "0a0b0c02", Tokens: 227}, {ID: "0a0b0c03", Tokens: 1800}},
		Cost:         2448, Priority: 1, Zone: "az-1", Arrived: now, Target: now.Add(800 * time.Millisecond), Deadline: now.Add(4 * time.Second),
	}
}

// What a host that does not lead sends and receives stays within the limit.
func TestControlTrafficOfAHost(t *testing.T) {
	request := size(t, askMessage(time.Now(), usualRequest(time.Now()))) +
		size(t, &wire.Grant{Number: 1 << 60, Upstream: "engine-00001", StartedAt: 1 << 41, Version: 2, Rule: "resident", ExpectedMillis: 300}) +
		size(t, &wire.FirstByteReceived{Number: 1 << 60}) + size(t, &wire.AttemptEnded{Number: 1 << 60, HasLoad: true, Running: 9, Waiting: 1})
	beats := size(t, &wire.HostHeartbeat{Zone: "az-1", CallerAddress: "10.100.100.100:9000", Cores: 0.192, MemberListVersion: 1 << 40}) +
		size(t, &wire.LeaderHeartbeat{Fence: 1 << 30, LeaseVersion: 1 << 30, MemberListVersion: 1 << 40, StoreAgeMillis: 1000})
	perHost := designRequests/designHosts*request + beats/beatEvery.Seconds()
	t.Logf("a request %.0f B, a beat and its answer %.0f B, a host %.0f B/s, the lead %.0f B/s", request, beats, perHost, perHost*designHosts)
	require.Less(t, perHost, controlLimit)
}
