package store

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost says that the changes after a version are no longer kept. A
// new snapshot has to be read.
var ErrHistoryLost = errors.New("platform: the history asked for is no longer kept")

// Change is a row that was written or deleted.
type Change struct {
	Row
	// Deleted says that the row is gone; its value is empty.
	Deleted bool
}

// Changes are rows of one table up to a version of the whole store.
type Changes struct {
	Rows []Change
	// Version is where to continue from.
	Version int64
}

// Feed tells of the rows of a table as they change.
type Feed interface {
	// Snapshot returns all rows of a table.
	Snapshot(ctx context.Context, table string) (Changes, error)
	// Changes returns the rows that have changed after a version, as soon as
	// there is one, and none when wait has passed. ErrHistoryLost asks for a new
	// snapshot.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// Committer writes transactions and tells their versions.
type Committer interface {
	// CommitVersion writes a transaction and returns the version that its rows
	// have got. Versions grow with every transaction of the whole store.
	CommitVersion(ctx context.Context, txn Txn) (int64, error)
}
