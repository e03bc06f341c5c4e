package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/jasminelock/jasminelock/fleet"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/spread"
	"github.com/jasminelock/jasminelock/wire"
)

// readInterval is the interval at which a reader reads the head of the
// configuration from the table service.
const readInterval = spread.DefaultReadInterval

func adapterName(i int) record.AdapterRef {
	return record.AdapterRef{Name: fmt.Sprintf("adapter-%06d", i), Version: "1"}
}

func organisationName(i int) string { return fmt.Sprintf("organisation-%04d", i%organisations) }

// adapterRecords returns the records of adapter i and of its only version.
func adapterRecords(i int) []wire.ConfigRecord {
	ref := adapterName(i)
	adapter := fmt.Appendf(nil, `{"organisation":%q,"model":"model-%d","default_version":%q}`, organisationName(i), i%5, ref.Version)
	return []wire.ConfigRecord{
		{Schema: record.SchemaV2, Kind: string(record.KindAdapter), Name: ref.Name, Spec: adapter},
		versionRecord(i),
	}
}

func versionRecord(i int) wire.ConfigRecord {
	return wire.ConfigRecord{Schema: record.SchemaV2, Kind: string(record.KindVersion), Name: adapterName(i).String(), Spec: []byte(`{}`)}
}

// adapterChanges returns configuration changes that together create n adapters.
func adapterChanges(n int) []spread.Change {
	const perChange = 1000
	var changes []spread.Change
	var records []wire.ConfigRecord
	for i := range n {
		records = append(records, adapterRecords(i)...)
		if len(records) >= perChange || i == n-1 {
			changes = append(changes, spread.Change{Revision: int64(len(changes) + 1), Records: records})
			records = nil
		}
	}
	return changes
}

// loadedNode returns a node that has read n adapters from the table service, and
// the configuration that it has in force. It returns an error if the node does
// not reach the head.
func loadedNode(n int) (*fleet.Node, *record.Config, error) {
	now := newClock().now
	node := fleet.New(now, fleet.Options{
		Self: wire.HostEntry{Name: hostName(0), Zone: zoneName(0), Incarnation: 1}, ReadInterval: readInterval, Random: rand.New(rand.NewPCG(1, 1)),
	})
	changes := adapterChanges(n)
	head := int64(len(changes))
	var config *record.Config
	for tries := 0; node.Revision() < head; tries++ {
		if tries > int(head)+10 {
			return nil, nil, fmt.Errorf("capacity: the configuration stays at revision %d of %d", node.Revision(), head)
		}
		now = now.Add(10 * time.Second)
		for _, d := range node.Tick(now) {
			read, ok := d.(spread.ReadStore)
			if !ok {
				continue
			}
			for _, d := range node.HandleStoreAnswer(now, spread.StoreAnswer{ID: read.ID, Head: head, Changes: changes[read.After:]}) {
				if inForce, ok := d.(spread.ApplyConfig); ok {
					config = inForce.Config
				}
			}
		}
	}
	return node, config, nil
}

// measureConfiguration measures the heap and the archive size of all records on
// one host, and the frame size of one change.
func measureConfiguration(o Options) (Measurements, error) {
	var all Measurements
	for _, n := range sizesUpTo([]int{3_000, 30_000, adapters}, o.MaxAdapters) {
		before := liveHeap()
		node, config, err := loadedNode(n)
		if err != nil {
			return nil, err
		}
		all = append(all,
			Measurement{configHeap, n, "adapters", liveHeap() - before, "B"},
			Measurement{configArchive, n, "adapters", float64(node.ArchiveBytes()), "B"})
		runtime.KeepAlive(config)
		runtime.KeepAlive(node)
	}
	change := &wire.ConfigChange{Revision: 100_000, Parts: 1, Records: []wire.ConfigRecord{versionRecord(1)}}
	return append(all, Measurement{configChangeFrame, 1, "change", float64(frameBytes(change)), "B"}), nil
}
