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

// newScheduler returns the scheduler of a host. Without peer links, several
// hosts cannot agree on who uses an adapter: such a fleet runs the scheduler
// that needs none.
func newScheduler(s *settings.Settings) sched.Scheduler {
	if s.Fleet.Hosts > 1 && s.Listen.Peers == "" {
		return sched.NewLeastLoaded()
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return sched.New(sched.Options{Host: s.Host, Zone: s.Zone, Random: random})
}

// upstreamWatch reads the reports of all upstreams. One that does not answer
// holds up no other.
type upstreamWatch struct {
	// mu guards reading and events.
	mu sync.Mutex
	// reading holds the upstreams whose answer has not come.
	reading map[string]bool
	// events holds the last cache event read of each engine.
	events map[string]int64
}

// watchUpstreams reads the load of every upstream of the configuration.
func (d *Daemon) watchUpstreams(ctx context.Context) {
	w := &upstreamWatch{reading: map[string]bool{}, events: map[string]int64{}}
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

// begin reports whether the upstream may be read now.
func (w *upstreamWatch) begin(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reading[name] {
		return false
	}
	w.reading[name] = true
	return true
}

func (w *upstreamWatch) end(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.reading, name)
}

func (w *upstreamWatch) after(name string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events[name]
}

func (w *upstreamWatch) seen(name string, sequence int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events[name] = sequence
}

// reportReadBound is how long reading a report may take for it to count. The
// scheduler relies on reports being recent.
const reportReadBound = 500 * time.Millisecond

func (d *Daemon) readReport(ctx context.Context, u *record.Upstream) {
	asked := time.Now()
	report, err := d.upstream.Report(ctx, u.URL)
	if err != nil {
		d.runtime.Handle(core.UpstreamUnreachable{Upstream: u.Name})
		return
	}
	if time.Since(asked) > reportReadBound {
		return
	}
	d.runtime.Handle(core.LoadReported{Upstream: u.Name, Report: report})
}

// readCacheEvents reads an engine's cache events. An engine without them is
// served all the same.
func (d *Daemon) readCacheEvents(ctx context.Context, w *upstreamWatch, u *record.Upstream) {
	events, err := d.upstream.CacheEvents(ctx, u.URL, w.after(u.Name))
	if err != nil || len(events) == 0 {
		return
	}
	w.seen(u.Name, events[len(events)-1].Sequence)
	d.runtime.Handle(core.CacheReported{Upstream: u.Name, Events: events})
}
