package spread

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/wire"
)

// The size to design for, and the target for all control state of a host.
const (
	adapters    = 110_000
	targetBytes = 64 << 20
)

// adapterChanges returns the changes that bring all adapters, each with one
// version.
func adapterChanges() []Change {
	const perChange = 2000
	var changes []Change
	var records []wire.ConfigRecord
	for i := range adapters {
		name := fmt.Sprintf("adapter-%06d", i)
		records = append(records,
			wire.ConfigRecord{Schema: 2, Kind: string(record.KindAdapter), Name: name, Spec: fmt.Appendf(nil, `{"organisation":"org-%d","model":"base-%d","default_version":"v1"}`, i%5000, i%5)},
			wire.ConfigRecord{Schema: 2, Kind: string(record.KindVersion), Name: name + "@v1", Spec: []byte(`{}`)})
		if len(records) >= perChange || i == adapters-1 {
			changes = append(changes, Change{Revision: int64(len(changes) + 1), Records: records})
			records = nil
		}
	}
	return changes
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func TestMemoryOfTheWholeConfiguration(t *testing.T) {
	if testing.Short() {
		t.Skip("loads 220,000 records")
	}
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	before := heapInUse()
	m := New(Host{Name: "self", Zone: "z"}, time.Second, rand.New(rand.NewPCG(1, 1)))
	head := int64(1)
	for m.Revision() < head {
		now = now.Add(10 * time.Second)
		for _, d := range m.Tick(now) {
			if r, ok := d.(ReadStore); ok {
				changes := adapterChanges() // nothing but m keeps them
				head = int64(len(changes))
				m.HandleStoreAnswer(now, StoreAnswer{ID: r.ID, Head: head, Changes: changes[r.After:]})
			}
		}
	}
	state := heapInUse() - before
	t.Logf("%d adapters with a version each: %d bytes of heap, %d a record; %d of them packed records",
		adapters, state, state/(2*adapters), m.ArchiveBytes())
	require.Less(t, state, int64(targetBytes))
	runtime.KeepAlive(m)
}
