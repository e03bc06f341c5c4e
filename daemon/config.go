package daemon

import (
	"context"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/spread"
)

// changesPerRead bounds the changes of one read of the table service.
const changesPerRead = 1000

// watchConfig carries out reads of the table service, one at a time.
func (d *Daemon) watchConfig(ctx context.Context) {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-d.fleet.reads:
			a := d.readStore(ctx, r)
			if failing != (a.Err != nil) {
				failing = a.Err != nil
				d.log.Warn("table service", "failing", failing, "error", a.Err)
			}
			d.fleet.storeRead(a)
		}
	}
}

// readStore reads the head, and the changes after a revision where there are
// any.
func (d *Daemon) readStore(ctx context.Context, r spread.ReadStore) spread.StoreAnswer {
	head, err := configstore.ReadHead(ctx, d.platform)
	if err != nil || head <= r.After {
		return spread.StoreAnswer{ID: r.ID, Head: head, Err: err}
	}
	changes, err := configstore.ReadChanges(ctx, d.platform, r.After, changesPerRead)
	a := spread.StoreAnswer{ID: r.ID, Head: head, Err: err}
	for _, c := range changes {
		a.Changes = append(a.Changes, spread.FromEnvelopes(c.Revision, c.Records))
	}
	return a
}
