package daemon

import (
	"context"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/spread"
)

// changesPerRead is the maximum number of configuration changes in one read of the table service.
const changesPerRead = 1000

// watchConfig performs the reads of the configuration that the fleet controller requests, one at a time,
// until the context ends. It logs when reads start to fail and when they succeed again.
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
				d.log.Warn("configuration reads from the table service changed state", "failing", failing, "error", a.Err)
			}
			d.fleet.storeRead(a)
		}
	}
}

// readStore reads the head revision and, if it is above r.After, up to changesPerRead changes that
// follow r.After.
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
