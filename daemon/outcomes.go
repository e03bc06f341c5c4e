package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"
)

// sweepInterval is the time between two pages of the sweep for expired
// outcomes, over all hosts together.
const sweepInterval = 250 * time.Millisecond

// sweepOutcomes deletes expired outcomes, one page at a time. Each host starts
// at a place of its own, and the hosts share the pace.
func (d *Daemon) sweepOutcomes(ctx context.Context) {
	var start [sweepStartBytes]byte
	_, _ = rand.Read(start[:]) // crypto/rand.Read never fails
	after := hex.EncodeToString(start[:])
	for ctx.Err() == nil {
		hosts := max(len(d.board.Hosts.Snapshot()), d.settings.Fleet.Hosts)
		sleep(ctx, time.Duration(hosts)*sweepInterval)
		next, err := d.outcomes.Sweep(ctx, after)
		if err != nil {
			d.log.Debug("expired outcomes not swept", "error", err)
			continue
		}
		after = next
	}
}

// settleOutcomes waits until the end of every claim has been written, so that
// the keys of a host which has left are not in doubt. No request may run.
func (d *Daemon) settleOutcomes(ctx context.Context) {
	settled := make(chan struct{})
	go func() {
		d.outcomes.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-ctx.Done():
		d.log.Warn("outcomes not written before the end")
	}
}

// sweepStartBytes is enough of a row's key to spread the hosts' starts.
const sweepStartBytes = 8
