package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/upstream"
)

// execute executes a decision that needs network traffic.
func (d *Daemon) execute(ctx context.Context, decision core.Decision) {
	switch decision := decision.(type) {
	case core.Order:
		err := d.sendOrder(ctx, decision)
		if err != nil {
			d.log.Warn("order to an engine failed", "order", decision.Order.ID, "error", err)
		}
		d.runtime.Handle(core.OrderEnded{End: sched.OrderEnd{ID: decision.Order.ID, Err: err}})
	case core.ClaimLease:
		d.claimLease(ctx, decision)
	case core.StoreRead:
		row, err := d.platform.Get(ctx, decision.Table, decision.Key)
		d.runtime.Handle(core.StoreEnded{End: limit.StoreResult{ID: decision.ID, Row: row, Err: err}})
	case core.StoreCommit:
		err := d.platform.Commit(ctx, decision.Txn)
		d.runtime.Handle(core.StoreEnded{End: limit.StoreResult{ID: decision.ID, Err: err}})
	}
}

// errOrderExpired is the error of an order that was not sent because its deadline had passed.
var errOrderExpired = errors.New("order not sent: its deadline has passed")

// sendOrder sends an order to its engine, bounded by the order's deadline if it has one.
func (d *Daemon) sendOrder(ctx context.Context, o core.Order) error {
	if !o.Order.Deadline.IsZero() {
		if !time.Now().Before(o.Order.Deadline) {
			return errOrderExpired
		}
		deadlineCtx, cancel := context.WithDeadline(ctx, o.Order.Deadline)
		defer cancel()
		ctx = deadlineCtx
	}
	name := o.Order.Adapter.String()
	switch o.Order.Operation {
	case sched.Load:
		return d.upstreamClient.Load(ctx, o.Upstream.URL, upstream.LoadOrder{Name: name, Source: o.Source, Fence: o.Order.Fence})
	case sched.Unload:
		return d.upstreamClient.Unload(ctx, o.Upstream.URL, name, o.Order.Fence)
	}
	return d.upstreamClient.SetRole(ctx, o.Upstream.URL, o.Order.Role, o.Order.Fence)
}
