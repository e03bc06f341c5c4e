package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/store"
)

// leaseTable is the table of leases. A row's key is the lease's resource.
const leaseTable = "leases"

// leaseRow is a lease as it is kept. It holds no time: whoever wants to take it
// over must have seen the row unchanged for the lease's whole duration, by its
// own clock.
type leaseRow struct {
	Host string `json:"host"`
	// Process tells a host's processes apart: a restarted one must not take its
	// predecessor's lease for its own.
	Process string `json:"process"`
	// Fence grows with every new holder.
	Fence int64 `json:"fence"`
	// Released rows may be taken at once.
	Released bool `json:"released,omitempty"`
}

// leaseKeeper carries out claims of leases through the table service.
type leaseKeeper struct {
	table   store.TableService
	host    string
	process string
	now     func() time.Time

	// mu guards seen. It is not held during calls.
	mu   sync.Mutex
	seen map[string]seenLease
}

// seenLease is when a row's version was first seen.
type seenLease struct {
	version int64
	at      time.Time
}

// takeoverMargin is added to a lease's duration before it is taken over, for
// clocks that run at other speeds.
const takeoverMargin = 500 * time.Millisecond

func newLeaseKeeper(table store.TableService, host string, now func() time.Time) *leaseKeeper {
	return &leaseKeeper{table: table, host: host, process: uuid.NewString(), now: now, seen: map[string]seenLease{}}
}

// claim takes, renews or releases a lease. A store that does not answer gives a
// result that names no holder; the next claim reads back whether the write has
// taken effect.
func (k *leaseKeeper) claim(ctx context.Context, c sched.ClaimLease) sched.LeaseResult {
	result := sched.LeaseResult{Resource: c.Resource, SentAt: k.now(), TTL: c.TTL}
	row, version, err := k.read(ctx, c.Resource)
	if err != nil {
		return result
	}
	result.Holder = row.Host
	next := leaseRow{Host: k.host, Process: k.process, Fence: row.Fence, Released: c.TTL == 0}
	switch {
	case row.Process == k.process:
	case c.TTL == 0:
		return result
	case version == 0 || row.Released || k.lapsed(c, version):
		next.Fence++
	default:
		return result
	}
	if err := k.write(ctx, c.Resource, version, next); err != nil {
		if row.Process != k.process {
			result.Holder = ""
		}
		return result
	}
	result.Holder, result.Fence, result.Granted = k.host, next.Fence, c.TTL > 0
	return result
}

// lapsed reports whether the row has been seen unchanged for the lease's whole
// duration.
func (k *leaseKeeper) lapsed(c sched.ClaimLease, version int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	s, ok := k.seen[c.Resource]
	if !ok || s.version != version {
		k.seen[c.Resource] = seenLease{version, now}
		return false
	}
	return now.Sub(s.at) >= c.TTL+takeoverMargin
}

func (k *leaseKeeper) read(ctx context.Context, resource string) (leaseRow, int64, error) {
	var row leaseRow
	stored, err := k.table.Get(ctx, leaseTable, resource)
	if errors.Is(err, store.ErrNotFound) {
		return row, 0, nil
	}
	if err != nil {
		return row, 0, err
	}
	return row, stored.Version, json.Unmarshal(stored.Value, &row)
}

func (k *leaseKeeper) write(ctx context.Context, resource string, version int64, row leaseRow) error {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	return k.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Table: leaseTable, Key: resource, Version: version}},
		Writes:     []store.Write{{Table: leaseTable, Key: resource, Value: value}},
	})
}

// claimLease carries out a claim and brings the answer to the core.
func (d *Daemon) claimLease(ctx context.Context, c core.ClaimLease) {
	result := d.leases.claim(ctx, c.ClaimLease)
	if result.Granted && c.Fence != result.Fence {
		d.log.Info("lease", "resource", result.Resource, "fence", result.Fence)
	}
	if c.TTL > 0 {
		d.runtime.Handle(core.LeaseUpdated{Result: result})
	}
}
