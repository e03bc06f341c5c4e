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

// leaseTable is the table that holds the leases. The key of a row is the resource that is leased.
const leaseTable = "leases"

// leaseRow is the stored form of a lease. It holds no time, so that the clocks of hosts need not agree:
// a host takes the lease over only after it has seen the row unchanged for the lease's whole duration
// by its own clock.
type leaseRow struct {
	Host string `json:"host"`
	// Process is a random id of the process that holds the lease: a restarted process must not treat
	// its predecessor's lease as its own.
	Process string `json:"process"`
	// Fence is the fencing number. It increases with every new holder. It is a position: its era is the one of the
	// store in which the lease was acquired.
	Fence store.Position `json:"fence"`
	// Released means that the lease may be acquired at once.
	Released bool `json:"released,omitempty"`
}

// leaseKeeper acquires, renews and releases leases in the table service.
type leaseKeeper struct {
	table   store.TableService
	host    string
	process string
	now     func() time.Time

	// mu guards the fields below. It is not held during calls to the table service.
	mu   sync.Mutex
	seen map[string]seenLease
	// held holds the latest grants of this process.
	held map[string]heldLease
	// era is the newest era of the store in which a lease was read, and eraSeenAt is when it was first seen.
	era       int64
	eraSeenAt time.Time
}

// seenLease is a version of a row and the time at which it was first seen. Versions are issued again in each era.
type seenLease struct {
	era, version int64
	at           time.Time
}

// heldLease is a grant. It is valid until a time.
type heldLease struct {
	fence store.Position
	until time.Time
}

// takeoverMargin is added to a lease's duration before it is taken over, because the clocks of two hosts
// may run at different speeds.
const takeoverMargin = 500 * time.Millisecond

func newLeaseKeeper(table store.TableService, host string, now func() time.Time) *leaseKeeper {
	return &leaseKeeper{table: table, host: host, process: uuid.NewString(), now: now, seen: map[string]seenLease{}, held: map[string]heldLease{}}
}

// claim acquires or renews a lease, or releases it if c.TTL is 0. If the read fails, or the write that
// would make this process the holder, the result names no holder; the next claim reads the row again and
// so finds out whether the write has taken effect. The same holds if the store was restored meanwhile.
func (k *leaseKeeper) claim(ctx context.Context, c sched.ClaimLease) sched.LeaseResult {
	unknown := sched.LeaseResult{Resource: c.Resource, SentAt: k.now(), TTL: c.TTL}
	result := unknown
	before := store.CurrentEra(k.table)
	row, version, err := k.read(ctx, c.Resource)
	era := store.CurrentEra(k.table)
	k.observeEra(era)
	if err != nil || era != before {
		return unknown
	}
	outdated := store.EraOf(row.Fence) < era
	if outdated && !k.acquirable(c) {
		return unknown
	}
	result.Holder = row.Host
	next := leaseRow{Host: k.host, Process: k.process, Fence: row.Fence, Released: c.TTL == 0}
	switch {
	case row.Process == k.process && !outdated:
	case c.TTL == 0:
		return result
	case version == 0 || row.Released || outdated || k.expired(c, era, version):
		next.Fence = nextFence(row.Fence, era)
	default:
		return result
	}
	err = k.write(ctx, c.Resource, version, next)
	if store.CurrentEra(k.table) != era {
		return unknown
	}
	if err != nil {
		if row.Process != k.process {
			result.Holder = ""
		}
		return result
	}
	result.Holder, result.Fence, result.Granted = k.host, next.Fence, c.TTL > 0
	k.hold(c, result)
	return result
}

// nextFence returns the fencing number of a holder that acquires a lease in an era.
func nextFence(last store.Position, era int64) store.Position {
	return store.NewPosition(max(era, store.EraOf(last)), store.VersionOf(last)+1)
}

// observeEra records when an era was first seen.
func (k *leaseKeeper) observeEra(era int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if era > k.era {
		k.era, k.eraSeenAt = era, k.now()
	}
}

// hold records a grant, or that it was released.
func (k *leaseKeeper) hold(c sched.ClaimLease, r sched.LeaseResult) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !r.Granted {
		delete(k.held, c.Resource)
		return
	}
	k.held[c.Resource] = heldLease{fence: r.Fence, until: r.SentAt.Add(r.TTL)}
}

// acquirable reports whether a lease may be acquired whose row was written in an older era, or is missing. The row may then
// be older than the last grant. The process that holds the lease acquires it at once. Any other waits until all grants of
// the older era, which were made before this era was seen, have expired.
func (k *leaseKeeper) acquirable(c sched.ClaimLease) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	held, ok := k.held[c.Resource]
	if ok && held.fence == c.Fence && now.Before(held.until) {
		return true
	}
	return c.TTL > 0 && now.Sub(k.eraSeenAt) >= c.TTL+takeoverMargin
}

// expired reports whether the row has been seen unchanged for the lease's whole duration and
// takeoverMargin. A version that is seen for the first time starts that period.
func (k *leaseKeeper) expired(c sched.ClaimLease, era, version int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	s, ok := k.seen[c.Resource]
	if !ok || s.version != version || s.era != era {
		k.seen[c.Resource] = seenLease{era, version, now}
		return false
	}
	return now.Sub(s.at) >= c.TTL+takeoverMargin
}

// read returns the row of a lease and its version, which is 0 if there is no row.
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

// write stores the row if its version in the table is still the given one, and returns an error otherwise.
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

// claimLease executes a claim and passes the result to the core. The core expects no result of a release.
func (d *Daemon) claimLease(ctx context.Context, c core.ClaimLease) {
	result := d.leases.claim(ctx, c.ClaimLease)
	if result.Granted && c.Fence != result.Fence {
		d.log.Info("lease", "resource", result.Resource, "fence", result.Fence)
	}
	if c.TTL > 0 {
		d.runtime.Handle(core.LeaseUpdated{Result: result})
	}
}
