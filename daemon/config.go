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
			answer := d.readConfigChanges(ctx, r)
			if failing != (answer.Err != nil) {
				failing = answer.Err != nil
				d.log.Warn("configuration reads from the table service changed state", "failing", failing, "error", answer.Err)
			}
			d.fleet.handleStoreRead(answer)
		}
	}
}

// readConfigChanges reads the head revision and, if it is above r.After, up to changesPerRead changes that
// follow r.After.
func (d *Daemon) readConfigChanges(ctx context.Context, r spread.ReadStore) spread.StoreAnswer {
	news, err := configstore.ReadNews(ctx, d.platform, r.After, changesPerRead)
	answer := spread.StoreAnswer{ID: r.ID, Head: news.Head, Era: news.Era, Err: err}
	for _, change := range news.Changes {
		answer.Changes = append(answer.Changes, spread.FromEnvelopes(change.Revision, change.Records))
	}
	return answer
}
