package host

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/lead"
	"github.com/jasminelock/jasminelock/store"
)

// tableService is the interface to the platform's store that a host uses.
type tableService interface {
	store.Feed
	store.StampedTables
}

// countedTables is a tableService that counts calls by method and result.
type countedTables struct {
	tables tableService
	calls  metric.Int64Counter
}

func (c *countedTables) countCall(method string, err error) {
	c.calls.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("call", method), attribute.String("result", storeResult(err))))
}

// storeResult returns the metric label for the result of a call to the store.
func storeResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, store.ErrNotFound):
		return "not_found"
	case errors.Is(err, store.ErrConflict):
		return "conflict"
	case errors.Is(err, store.ErrHistoryLost):
		return "history_lost"
	}
	return "unavailable"
}

// Snapshot implements store.Feed.
func (c *countedTables) Snapshot(ctx context.Context, table string) (store.Changes, error) {
	changes, err := c.tables.Snapshot(ctx, table)
	c.countCall("snapshot", err)
	return changes, err
}

// Changes implements store.Feed.
func (c *countedTables) Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Changes, error) {
	changes, err := c.tables.Changes(ctx, table, after, wait)
	c.countCall("changes", err)
	return changes, err
}

// RangeStamped implements store.StampedTables.
func (c *countedTables) RangeStamped(ctx context.Context, table, from string, limit int) ([]store.Row, store.Stamp, error) {
	rows, stamp, err := c.tables.RangeStamped(ctx, table, from, limit)
	c.countCall("get", err)
	return rows, stamp, err
}

// CommitStamped implements store.StampedTables.
func (c *countedTables) CommitStamped(ctx context.Context, txn store.Txn) (store.Stamp, error) {
	stamp, err := c.tables.CommitStamped(ctx, txn)
	c.countCall("commit", err)
	return stamp, err
}

// countedEngines is a lead.Engines that counts the orders to engines by kind and result.
type countedEngines struct {
	lead.Engines
	orders metric.Int64Counter
}

// Order implements lead.Engines.
func (c *countedEngines) SendOrder(ctx context.Context, o assign.Order, holder string) assign.OrderResult {
	result := c.Engines.SendOrder(ctx, o, holder)
	kind := "load"
	if o.Evict {
		kind = "evict"
	}
	c.orders.Add(ctx, 1,
		metric.WithAttributes(attribute.String("order", kind), attribute.String("result", result.String())))
	return result
}
