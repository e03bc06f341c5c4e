// Package store holds the interfaces of the platform's services — the
// transactional table service, the object store, the weight store and the host
// list — and an HTTP client for each.
//
// All state that hosts must agree on or that must be durable is kept in these
// services.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's services. After any other error the outcome of a write is
// unknown: it may have taken effect.
var (
	// ErrConflict means that a condition of a transaction was not met. Nothing was
	// written.
	ErrConflict = errors.New("platform: a condition of the transaction is not met")
	// ErrNotFound means that the row, object or adapter version does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable means that the service did not answer or answered with an error.
	// The outcome of a write is unknown.
	ErrUnavailable = errors.New("platform: service unavailable")
)

// Row is a row of a table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version counts the writes to the row, from 1. From StampedTables and Feed it is the
	// version of the transaction that wrote the row last, as a Position in the era in which
	// the row was read. Version 0 means no row.
	Version int64 `json:"version"`
}

// Condition requires that a row has the given version when a transaction commits.
// Version 0 requires that the row does not exist.
type Condition struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction. It is applied atomically: all of its writes or none.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// TableService is the platform's transactional table service.
type TableService interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, table, key string) (Row, error)
	// List returns up to limit rows with keys above after that start with
	// prefix, in the order of their keys.
	List(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Commit commits a transaction. ErrConflict means that nothing was written.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Put writes an object. With onlyNew it returns ErrConflict if the object exists.
	Put(ctx context.Context, name string, data []byte, onlyNew bool) error
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object. It returns no error if the object does not exist.
	Delete(ctx context.Context, name string) error
}

// WeightInfo describes an adapter version in the weight store.
type WeightInfo struct {
	Source string `json:"source"`
	Bytes  int64  `json:"bytes"`
}

// WeightStore returns metadata of adapter weights. Engines fetch the weights
// themselves when they are ordered to load an adapter.
type WeightStore interface {
	// Stat returns the description of an adapter version, or ErrNotFound.
	Stat(ctx context.Context, source string) (WeightInfo, error)
}

// Host is an entry of the host list.
type Host struct {
	// Name is the host's unique name.
	Name string `json:"name"`
	// Zone is the host's availability zone.
	Zone string `json:"zone"`
	// CallerURL is the URL that callers connect to.
	CallerURL string `json:"caller_url"`
	// PeerURL is the URL that other hosts connect to, "" without peer links.
	PeerURL string `json:"peer_url,omitempty"`
	// Leaving hosts finish their requests and accept no new ones.
	Leaving bool `json:"leaving,omitempty"`
}

// HostList is the platform's list of live and leaving hosts. It is eventually
// consistent.
type HostList interface {
	// Hosts returns the list, which may be out of date.
	Hosts(ctx context.Context) ([]Host, error)
	// Announce adds or refreshes this host's entry, which expires after ttl.
	Announce(ctx context.Context, h Host, ttl time.Duration) error
	// Withdraw removes this host's entry.
	Withdraw(ctx context.Context, name string) error
}
