package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jasminelock/jasminelock/spread"
	"github.com/jasminelock/jasminelock/wire"
)

// FuzzReceive looks for messages from a faulty host that cause a panic, a decrease
// of the revision, or an answer that exceeds the maximum frame size.
func FuzzReceive(f *testing.F) {
	for _, m := range []wire.Message{
		&wire.Ping{HeartbeatState: wire.HeartbeatState{Sequence: 1, Incarnation: 2, State: wire.HostLive, MemberListHash: 3}},
		&wire.Ack{HeartbeatState: wire.HeartbeatState{Sequence: 1, Revision: 9}, Confirmed: true, FailedReads: []uint32{1, 2, 3, 4}},
		&wire.MemberListUpdate{Entries: []wire.HostEntry{{Name: "self", Incarnation: 1 << 63, State: wire.HostGone}}},
		&wire.MemberListDigest{Buckets: make([]uint64, 16), WantDigest: true},
		&wire.Suspicion{Host: "self", Incarnation: 1, Witness: "other"},
		&wire.ConfigChange{Revision: 1, Parts: 1, Records: []wire.ConfigRecord{{Schema: 1, Kind: "organisation", Name: "a", Spec: []byte(`{}`)}}},
		&wire.ConfigPull{After: -5},
		&wire.SnapshotOffer{Revision: 4, Buckets: 256},
		&wire.SnapshotPull{Bucket: 3},
		&wire.SnapshotPart{Revision: 4, Parts: 1},
	} {
		raw, err := wire.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, raw)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		n := New(now, Options{
			Self:         wire.HostEntry{Name: "self", Zone: "z", Incarnation: 1},
			ReadInterval: time.Second, Random: rand.New(rand.NewPCG(1, 1)),
		})
		highest := int64(0)
		for _, raw := range [][]byte{first, second, first} {
			m, err := wire.Decode(raw)
			if err != nil || m == nil {
				continue
			}
			for range 3 {
				now = now.Add(TickInterval)
				checkFrames(t, n.Receive(now, "other", m))
				checkFrames(t, n.Tick(now))
			}
			if n.Revision() < highest {
				t.Fatalf("revision decreased from %d to %d", highest, n.Revision())
			}
			highest = n.Revision()
		}
	})
}

// checkFrames fails the test if a message to be sent cannot be encoded.
func checkFrames(t *testing.T, decisions []spread.Decision) {
	t.Helper()
	for _, d := range decisions {
		if s, ok := d.(spread.Send); ok {
			if _, err := wire.Encode(s.Message); err != nil {
				t.Fatal(err)
			}
		}
	}
}
