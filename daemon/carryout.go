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

// carryOut carries out a decision that needs network traffic.
func (d *Daemon) carryOut(ctx context.Context, decision core.Decision) {
	switch decision := decision.(type) {
	case core.Order:
		err := d.giveOrder(ctx, decision)
		if err != nil {
			d.log.Warn("order failed", "order", decision.Order.ID, "error", err)
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

// errOrderLate says that an order was not sent since its time had passed.
var errOrderLate = errors.New("the order's time has passed")

func (d *Daemon) giveOrder(ctx context.Context, o core.Order) error {
	if !o.Order.Deadline.IsZero() {
		if !time.Now().Before(o.Order.Deadline) {
			return errOrderLate
		}
		bounded, cancel := context.WithDeadline(ctx, o.Order.Deadline)
		defer cancel()
		ctx = bounded
	}
	name := o.Order.Adapter.String()
	switch o.Order.Operation {
	case sched.Load:
		return d.upstream.Load(ctx, o.Upstream.URL, upstream.LoadOrder{Name: name, Source: o.Source, Fence: o.Order.Fence})
	case sched.Unload:
		return d.upstream.Unload(ctx, o.Upstream.URL, name, o.Order.Fence)
	}
	return d.upstream.SetRole(ctx, o.Upstream.URL, o.Order.Role, o.Order.Fence)
}
