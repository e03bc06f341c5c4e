// Package store holds the interfaces of the platform's services — the
// transactional table service, the object store, the weight store and the host
// list — and an HTTP client for each.
//
// Everything that must be agreed or must last goes through these services.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's services. Any other error of a write leaves its
// outcome unknown: the write may have taken effect.
var (
	// ErrConflict says that a condition of a transaction did not hold. Nothing
	// was written.
	ErrConflict = errors.New("platform: a condition of the transaction does not hold")
	// ErrNotFound says that there is no such row or object.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable says that the service did not answer or could not serve.
	// The outcome of a write is unknown.
	ErrUnavailable = errors.New("platform: service unavailable")
)

// Row is a row of a table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version counts the writes to the row, from 1. Version 0 means no row.
	Version int64 `json:"version"`
}

// Condition requires that a row has the given version when a transaction
// commits. Version 0 requires that there is no row.
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

// Txn is written whole or not at all.
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
	// Commit writes a transaction. ErrConflict means that nothing was written.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Put writes an object. With onlyNew, an object that exists gives ErrConflict.
	Put(ctx context.Context, name string, data []byte, onlyNew bool) error
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object. A missing one is no error.
	Delete(ctx context.Context, name string) error
}

// WeightInfo describes an adapter version in the weight store.
type WeightInfo struct {
	Source string `json:"source"`
	Bytes  int64  `json:"bytes"`
}

// WeightStore answers questions about adapters. Engines fetch the weights
// themselves when they are ordered to load.
type WeightStore interface {
	// Stat returns what is known of an adapter version, or ErrNotFound.
	Stat(ctx context.Context, source string) (WeightInfo, error)
}

// Host is an entry of the host list, which lags.
type Host struct {
	// Name is the host's unique name.
	Name string `json:"name"`
	// Zone is the host's availability zone.
	Zone string `json:"zone"`
	// CallerURL is where callers connect.
	CallerURL string `json:"caller_url"`
	// PeerURL is where other hosts connect, "" where there are no peer links.
	PeerURL string `json:"peer_url,omitempty"`
	// Leaving hosts finish their work and take no more.
	Leaving bool `json:"leaving,omitempty"`
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	// Hosts returns the list as it was a while ago.
	Hosts(ctx context.Context) ([]Host, error)
	// Announce adds or refreshes this host's entry, which expires after ttl.
	Announce(ctx context.Context, h Host, ttl time.Duration) error
	// Withdraw removes this host's entry.
	Withdraw(ctx context.Context, name string) error
}
