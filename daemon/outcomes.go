package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"
)

// sweepInterval is the mean time between two pages of the sweep for expired outcomes, counted over
// all hosts of the fleet.
const sweepInterval = 250 * time.Millisecond

// sweepOutcomes deletes expired outcomes, one page at a time, until the context ends. Each host starts
// at a random key. The interval of a host grows with the number of hosts, so that the rate of the whole
// fleet stays the same.
func (d *Daemon) sweepOutcomes(ctx context.Context) {
	var start [sweepStartBytes]byte
	_, _ = rand.Read(start[:]) // crypto/rand.Read never fails
	after := hex.EncodeToString(start[:])
	for ctx.Err() == nil {
		hosts := max(len(d.board.Hosts.Snapshot()), d.settings.Fleet.Hosts)
		sleep(ctx, time.Duration(hosts)*sweepInterval)
		next, err := d.outcomes.Sweep(ctx, after)
		if err != nil {
			d.log.Debug("sweep of expired outcomes failed; the same page is retried", "error", err)
			continue
		}
		after = next
	}
}

// waitForOutcomes waits until the end of every claim has been written, so that the outcome of no
// idempotency key is left unknown when this host leaves. It gives up when the context ends. It must be
// called only after every request has ended.
func (d *Daemon) waitForOutcomes(ctx context.Context) {
	settled := make(chan struct{})
	go func() {
		d.outcomes.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-ctx.Done():
		d.log.Warn("shutdown ended before all outcomes were written; their idempotency keys stay unresolved")
	}
}

// sweepStartBytes is the length of the random key prefix at which a host starts its sweep. 8 bytes are
// enough to spread the hosts over the key range.
const sweepStartBytes = 8
