package store

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost is returned if the service does not have the changes after a position:
// it no longer retains them, or it was restored from a copy. The caller must read a new
// snapshot.
var ErrHistoryLost = errors.New("platform: the requested changes are no longer retained")

// Change is a row that was written or deleted.
type Change struct {
	Row
	// Deleted means that the row was deleted. Its value is empty.
	Deleted bool
}

// Changes are the changed rows of one table up to a version of the whole store.
type Changes struct {
	Rows []Change
	// Version is the position to continue from: the after argument of the next call of
	// Feed.Changes.
	Version Position
}

// Feed reads the rows of a table and follows their changes.
type Feed interface {
	// Snapshot returns all rows of a table, all read in one era.
	Snapshot(ctx context.Context, table string) (Changes, error)
	// Changes returns the rows that have changed after a position. It returns as soon as
	// there is a change, or without rows once wait has elapsed. After ErrHistoryLost the
	// caller must read a new snapshot.
	Changes(ctx context.Context, table string, after Position, wait time.Duration) (Changes, error)
}

// Stamp is the service's position and clock at the time of an operation.
type Stamp struct {
	// Version is the newest position of the whole store.
	Version Position
	// Clock is the service's monotonic clock. It is independent of restarts of the
	// client.
	Clock time.Duration
}

// StampedTables is a table service that returns its version and clock with each
// operation.
type StampedTables interface {
	// RangeStamped returns up to limit rows of a table in the order of their keys,
	// starting with the key from.
	RangeStamped(ctx context.Context, table, from string, limit int) ([]Row, Stamp, error)
	// CommitStamped commits a transaction. The version of the stamp is the new position of
	// the written rows. Positions increase with every transaction of the whole store.
	//
	// The service compares the versions of conditions without their eras. If it was restored
	// since the rows were read, a condition may be met by another row; the stamp is then of
	// another era than the conditions.
	CommitStamped(ctx context.Context, txn Txn) (Stamp, error)
}
