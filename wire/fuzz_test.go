package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// sampleMessages returns a message of every link, membership and configuration type.
func sampleMessages() []Message {
	state := HeartbeatState{Sequence: 7, Incarnation: 1 << 40, State: HostLive, MemberListHash: 1 << 63, Load: 3, Revision: 12}
	return []Message{
		&Hello{Host: "host-1", Zone: "zone-1", Incarnation: 5, MinVersion: 1, MaxVersion: 2},
		&Ping{HeartbeatState: state, Probe: true},
		&Ack{HeartbeatState: state, Confirmed: true, ConfirmedAgeMillis: 40, FailedReads: []uint32{1, 2, 3, 4}, RequiredZones: []uint32{9}},
		&MemberListUpdate{Entries: []HostEntry{{Name: "host-1", Zone: "zone-1", Incarnation: 1, State: HostLeaving, CallerURL: "http://a", PeerURL: "http://b"}}},
		&MemberListDigest{Buckets: make([]uint64, 16), WantDigest: true},
		&Suspicion{Host: "host-1", Incarnation: 3, Witness: "host-2"},
		&ProbeRequest{Host: "host-1"},
		&Alive{Host: "host-1"},
		&ConfigChange{Revision: 3, Parts: 1, Records: []ConfigRecord{{Schema: 2, Kind: "key", Name: "k", Spec: []byte(`{}`)}}},
		&ConfigPull{After: 3},
		&SnapshotOffer{Revision: 4, Buckets: 256},
		&SnapshotPull{Bucket: 255},
		&RateLimits{
			Version: 1 << 40, Base: 3, Limits: []RateLimit{{Upstream: "u", StartedAt: 1_700_000_000_000, PerSecond: 1.9, Withdrawn: true, AgeMillis: 4, Version: 7}},
			Ended: []RateLimit{{Upstream: "v", StartedAt: 2}},
		},
		&RateLimitReport{Limits: []RateLimit{{Upstream: "u", PerSecond: 0.25}}},
		&Grant{Number: 1, Upstream: "u", HeldMillis: 3, RateLimit: &RateLimitState{PerSecond: 1.9, Share: 1, AgeMillis: 20}},
		&SnapshotPart{Revision: 4, Bucket: 1, Parts: 1, Data: []byte{1, 2}},
	}
}

func TestMessages_RoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		raw, err := Encode(m)
		require.NoError(t, err)
		got, err := Decode(raw)
		require.NoError(t, err)
		require.Equal(t, m, got)
	}
}

// A newer host may send a higher frame version, unknown message types and unknown
// fields. Decode accepts all three and rejects versions below MinVersion.
func TestDecode_NewerVersion(t *testing.T) {
	body, err := encMode.Marshal(map[int]any{1: "host-1", 99: "new"})
	require.NoError(t, err)
	newer, err := encMode.Marshal(frame{Version: Version + 1, Type: TypeProbeRequest, Body: body})
	require.NoError(t, err)
	m, err := Decode(newer)
	require.NoError(t, err)
	require.Equal(t, &ProbeRequest{Host: "host-1"}, m)

	unknown, err := encMode.Marshal(frame{Version: Version + 1, Type: 65000, Body: body})
	require.NoError(t, err)
	m, err = Decode(unknown)
	require.NoError(t, err)
	require.Nil(t, m)

	old, err := encMode.Marshal(frame{Version: MinVersion - 1, Type: TypeProbeRequest, Body: body})
	require.NoError(t, err)
	_, err = Decode(old)
	require.Error(t, err)
}

// FuzzDecode searches for frames that make the decoder panic, and checks that every
// decoded message can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		raw, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode(raw)
		if err != nil || m == nil {
			return
		}
		reencoded, err := Encode(m)
		if err != nil {
			t.Fatalf("decoded message cannot be encoded: %v", err)
		}
		if _, err := Decode(reencoded); err != nil {
			t.Fatalf("encoded message cannot be decoded: %v", err)
		}
	})
}
