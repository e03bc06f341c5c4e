package blackboard

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTable_NotificationsCoalesced(t *testing.T) {
	table := NewTable(0)
	first, second := table.Watch(), table.Watch()
	table.Publish(1)
	table.Publish(2)
	for _, w := range []<-chan struct{}{first, second} {
		<-w
		require.Empty(t, w)
	}
	require.Equal(t, 2, table.Snapshot())
}

// A reader gets a consistent snapshot during concurrent publications, and never an older one than
// before. Run with -race.
func TestTable_SnapshotsConsistentAndOrdered(t *testing.T) {
	type pair struct{ first, second int }
	table := NewTable(pair{})
	const publications = 1000
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			last := 0
			for last < publications {
				p := table.Snapshot()
				if p.first != p.second || p.first < last {
					t.Errorf("snapshot %+v after %d", p, last)
					return
				}
				last = p.first
			}
		})
	}
	for i := 1; i <= publications; i++ {
		table.Publish(pair{i, i})
	}
	group.Wait()
}
