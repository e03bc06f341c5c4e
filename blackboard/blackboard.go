// Package blackboard holds the typed tables that the controllers of a host share.
//
// Each table has one writer, named in the comment of its field, and any number of readers. A reader
// takes the current snapshot without a lock and must not modify it.
//
// Lock order: a goroutine that holds one of these locks may acquire only locks further down the list.
//
//  1. the fleet controller's lock, held while fleet.Node handles one event;
//  2. daemon.Runtime's state lock, held while core.Core handles one event;
//  3. a table's writer lock, held while a snapshot is published, or the lock of
//     the peer links, held while a message is queued;
//  4. a watcher's channel; sending to it never blocks.
//
// None of these locks is held during network traffic.
package blackboard

import (
	"sync"
	"sync/atomic"

	"github.com/jasminelock/jasminelock/membership"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// Board is the set of tables of one host.
type Board struct {
	// Config is the configuration in force. Written by core.Core.
	Config *Table[*record.Config]
	// Hosts is the last host list read from the platform. Written by core.Core.
	Hosts *Table[[]store.Host]
	// Members is the member list: the hosts that, as far as this host knows, have not left. Empty
	// without peer links. Written by the daemon's fleet controller.
	Members *Table[[]membership.Member]
}

// New returns a board with an empty configuration and no hosts.
func New() *Board {
	return &Board{
		Config: NewTable(record.NewConfig()),
		Hosts:  NewTable[[]store.Host](nil),
		Members: NewTable[[]membership.Member](nil),
	}
}

// Table holds the current snapshot of one kind of state.
type Table[T any] struct {
	current atomic.Pointer[T]
	// mu guards watchers and orders writers.
	mu       sync.Mutex
	watchers []chan struct{}
}

// NewTable returns a table whose first snapshot is the given value.
func NewTable[T any](initial T) *Table[T] {
	t := &Table[T]{}
	t.current.Store(&initial)
	return t
}

// Snapshot returns the value last published.
func (t *Table[T]) Snapshot() T {
	return *t.current.Load()
}

// Publish replaces the snapshot and notifies the watchers.
func (t *Table[T]) Publish(next T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.Store(&next)
	for _, w := range t.watchers {
		select {
		case w <- struct{}{}:
		default: // the watcher has an unread notification
		}
	}
}

// Watch returns a channel that receives a value after each Publish. Several publications may result in
// one notification.
func (t *Table[T]) Watch() <-chan struct{} {
	w := make(chan struct{}, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watchers = append(t.watchers, w)
	return w
}
