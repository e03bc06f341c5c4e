package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/settings"
	"github.com/jasminelock/jasminelock/upstream"
)

// newScheduler returns the host's scheduler. The hosts of a fleet without peer links cannot coordinate
// the placement of adapters, so each of them uses the scheduler that needs no coordination.
func newScheduler(s *settings.Settings) sched.Scheduler {
	if s.Fleet.Hosts > 1 && s.Listen.Peers == "" {
		return sched.NewLeastLoaded()
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return sched.New(sched.Options{Host: s.Host, Zone: s.Zone, Random: random})
}

// upstreamPolls tracks the polling of upstreams. At most one poll of an upstream is in progress, so that
// an upstream that does not answer delays no other.
type upstreamPolls struct {
	// mu guards the fields below.
	mu sync.Mutex
	// inProgress holds the names of the upstreams that are being polled.
	inProgress map[string]bool
	// lastCacheEvents holds, by engine, the sequence number of the last cache event that was read.
	lastCacheEvents map[string]int64
}

// watchUpstreams reads the load report of every upstream in the configuration, and the cache events of
// engines, at each upstream.ReportInterval until the context ends. An upstream whose previous poll is
// still in progress is skipped.
func (d *Daemon) watchUpstreams(ctx context.Context) {
	w := &upstreamPolls{inProgress: map[string]bool{}, lastCacheEvents: map[string]int64{}}
	var group sync.WaitGroup
	every(ctx, upstream.ReportInterval, func() {
		for _, u := range d.board.Config.Snapshot().Upstreams() {
			if !w.begin(u.Name) {
				continue
			}
			group.Go(func() {
				defer w.end(u.Name)
				d.readReport(ctx, u)
				if u.Class == record.ClassEngine {
					d.readCacheEvents(ctx, w, u)
				}
			})
		}
	})
	group.Wait()
}

// begin marks the upstream as being polled. It returns false if a poll is in progress.
func (w *upstreamPolls) begin(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inProgress[name] {
		return false
	}
	w.inProgress[name] = true
	return true
}

// end marks the poll of the upstream as finished.
func (w *upstreamPolls) end(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.inProgress, name)
}

// lastCacheEvent returns the sequence number after which the engine's cache events are read next.
func (w *upstreamPolls) lastCacheEvent(name string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastCacheEvents[name]
}

// setLastCacheEvent records the sequence number of the last cache event that was read.
func (w *upstreamPolls) setLastCacheEvent(name string, sequence int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastCacheEvents[name] = sequence
}

// maxReportReadTime is the maximum time that reading a report may take. A report that took longer is
// discarded, because the scheduler relies on reports being recent.
const maxReportReadTime = 500 * time.Millisecond

// readReport reads an upstream's load report and passes it, or the failure to read it, to the core.
func (d *Daemon) readReport(ctx context.Context, u *record.Upstream) {
	sentAt := time.Now()
	report, err := d.upstreamClient.Report(ctx, u.URL)
	if err != nil {
		d.runtime.Handle(core.UpstreamUnreachable{Upstream: u.Name})
		return
	}
	if time.Since(sentAt) > maxReportReadTime {
		return
	}
	d.runtime.Handle(core.LoadReported{Upstream: u.Name, Report: report})
}

// readCacheEvents reads an engine's new cache events and passes them to the core. Errors are ignored,
// because an engine that does not offer cache events is used nevertheless.
func (d *Daemon) readCacheEvents(ctx context.Context, w *upstreamPolls, u *record.Upstream) {
	events, err := d.upstreamClient.CacheEvents(ctx, u.URL, w.lastCacheEvent(u.Name))
	if err != nil || len(events) == 0 {
		return
	}
	w.setLastCacheEvent(u.Name, events[len(events)-1].Sequence)
	d.runtime.Handle(core.CacheReported{Upstream: u.Name, Events: events})
}
