package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/store"
)

// eraCheckInterval is how often this host checks whether a response of the store has stated a newer era.
const eraCheckInterval = 100 * time.Millisecond

// restoreRecord is what this host has done about restores of the store from a copy.
type restoreRecord struct {
	// rewritten is the number of claims of idempotency keys that were written again, taken that of claims whose key another
	// host had claimed before.
	rewritten, taken atomic.Int64

	// The fields below belong to watchEra. era is the last era that was handled, and restores the number of restores seen by
	// then. written is the number of claims written again since, and failing is set if the last attempt has failed.
	era, restores int64
	written       int
	failing       bool
}

// watchEra writes the claims of this host again after each restore of the store, until the context ends.
func (d *Daemon) watchEra(ctx context.Context) {
	every(ctx, eraCheckInterval, func() {
		if d.outcomes.NeedsWriteAgain() || d.platform.Era() != d.restores.era {
			d.handleNewEra(ctx)
		}
	})
}

// handleNewEra writes the claims of this host again and logs the restore. After a failure it is called again.
func (d *Daemon) handleNewEra(ctx context.Context) {
	r := &d.restores
	era, restores := d.platform.Era(), d.platform.Restores()
	result, err := d.outcomes.WriteAgain(ctx)
	r.written += result.Written
	r.rewritten.Add(int64(result.Written))
	var listed store.Position
	if err == nil {
		listed, err = configstore.ReadHead(ctx, d.platform)
	}
	if err != nil {
		if !r.failing {
			d.log.Warn("claims of idempotency keys not written again yet; retrying", "era", era, "written", r.written, "error", err)
		}
		r.failing = true
		return
	}
	r.taken.Add(int64(result.Taken)) // a pass that fails is repeated and finds the same claims
	if restores > r.restores {       // the first era that a store states is no restore
		d.log.Warn("store restored from a copy", "era", era, "era_before", r.era, "revision", d.board.Config.Snapshot().Revision,
			"revision_listed", listed, "written", r.written, "taken_by_others", result.Taken)
	}
	r.era, r.restores, r.written, r.failing = era, restores, 0, false
}

// registerStoreMetrics registers the metrics of restores of the store.
func (d *Daemon) registerStoreMetrics() error {
	meter := d.metrics.provider.Meter("store")
	for _, g := range []struct {
		name, description string
		value             func() int64
	}{
		{"jasminelock.store.era", "Era of the store, 0 if it states none", d.platform.Era},
		{"jasminelock.store.drills", "Times since the start that the store has come back from a copy", d.platform.Restores},
	} {
		if _, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description), observeInt64(g.value)); err != nil {
			return err
		}
	}
	for _, c := range []struct {
		name, description string
		value             func() int64
	}{
		{"jasminelock.outcomes.rewritten", "Claims of idempotency keys written again after the store came back from a copy", d.restores.rewritten.Load},
		{"jasminelock.outcomes.taken", "Claims not written again since another host had claimed their key", d.restores.taken.Load},
	} {
		if _, err := meter.Int64ObservableCounter(c.name, metric.WithDescription(c.description), observeInt64(c.value)); err != nil {
			return err
		}
	}
	return nil
}
