package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/wire"
)

// targetBytesPerSecond bounds the control traffic of one host, sent and received
// together.
const targetBytesPerSecond = 7000

// hostCost is the average cost of the protocols on one host.
type hostCost struct {
	messagesPerSecond float64
	// bytesPerSecond counts sent bytes. On average a host receives as many.
	bytesPerSecond  float64
	allocsPerSecond float64
}

// measureCost runs a settled fleet for 10 s. If the table service is up, one change
// is accepted in that time, which is many times the rate of 1,900 a day.
func measureCost(t *testing.T, w *world) hostCost {
	t.Helper()
	w.meter = &trafficMeter{on: true}
	if !w.storeDown {
		w.setKey(false)
	}
	var start, end runtime.MemStats
	runtime.ReadMemStats(&start)
	const period = 10 * time.Second
	require.NoError(t, w.run(period))
	runtime.ReadMemStats(&end)
	w.meter.on = false
	each := period.Seconds() * float64(len(w.hosts))
	return hostCost{
		messagesPerSecond: float64(w.meter.messages) / each,
		bytesPerSecond:    float64(w.meter.bytes) / each,
		allocsPerSecond:   float64(end.Mallocs-start.Mallocs) / each,
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func TestControlTraffic_WithinTarget(t *testing.T) {
	sizes := []struct{ hosts, zones int }{{7, 3}, {30, 5}, {100, 9}, {390, 17}}
	for _, size := range sizes {
		if size.hosts > maxMeasuredHosts {
			continue
		}
		before := heapInUse()
		w := newWorld(9, size.hosts, size.zones)
		require.NoError(t, w.run(20*time.Second))
		t.Logf("hosts %3d: %7.0f bytes of heap a host", size.hosts, float64(heapInUse()-before)/float64(size.hosts))
		checkCost(t, w, measureCost(t, w))
		w.storeDown = true
		require.NoError(t, w.run(20*time.Second))
		checkCost(t, w, measureCost(t, w))
	}
}

func checkCost(t *testing.T, w *world, c hostCost) {
	t.Helper()
	t.Logf("hosts %3d, store down %5t: a host sends %5.1f messages/s, %5.0f bytes/s, with %4.0f allocations/s including the simulation;%s",
		len(w.hosts), w.storeDown, c.messagesPerSecond, c.bytesPerSecond, c.allocsPerSecond, w.meter.summary())
	require.Less(t, 2*c.bytesPerSecond, float64(targetBytesPerSecond), "sent and received, %d hosts", len(w.hosts))
	oldest := time.Duration(0)
	for _, h := range w.hosts {
		oldest = max(oldest, w.now.Sub(h.node.ConfirmedAt()))
	}
	t.Logf("oldest confirmation: %v", oldest)
	for _, h := range w.hosts {
		require.Len(t, h.node.Members(), len(w.hosts), h.name)
		require.True(t, w.now.Before(h.node.FreshUntil()), h.name)
	}
}

// summary lists the sent bytes by message type.
func (m *trafficMeter) summary() string {
	text := ""
	for number := wire.Type(0); number < wire.FirstLimitType; number++ {
		if bytes := m.byType[number]; bytes > 0 {
			text += fmt.Sprintf(" type %d %d bytes", number, bytes)
		}
	}
	return text
}
