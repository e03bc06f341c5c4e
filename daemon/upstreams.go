package daemon

import (
	"context"
	"sync"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/upstream"
)

// watchUpstreams reads the load of every upstream of the configuration.
func (d *Daemon) watchUpstreams(ctx context.Context) {
	every(ctx, upstream.ReportInterval, func() {
		var group sync.WaitGroup
		for _, u := range d.board.Config.Snapshot().Upstreams() {
			group.Go(func() { d.readReport(ctx, u) })
		}
		group.Wait()
	})
}

func (d *Daemon) readReport(ctx context.Context, u *record.Upstream) {
	report, err := d.upstream.Report(ctx, u.URL)
	if err != nil {
		d.runtime.Handle(core.UpstreamUnreachable{Upstream: u.Name})
		return
	}
	d.runtime.Handle(core.LoadReported{Upstream: u.Name, Report: report})
}
