// Package blackboard holds the typed tables that controllers share.
//
// Each table has one writer, named at its field, and any number of readers.
// A reader takes the current snapshot without a lock and must not change it.
//
// Lock order. A goroutine that holds one of these may take only those below it:
//
//  1. the fleet controller's lock, held while fleet.Node handles one event;
//  2. daemon.Runtime's state lock, held while core.Core handles one event;
//  3. a table's writer lock, held while a snapshot is published, or the lock of
//     the peer links, held while a message is queued;
//  4. a watcher's channel, which is never waited on.
//
// No lock of these is held during network traffic.
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
	// Hosts is the platform's host list as last seen. Written by core.Core.
	Hosts *Table[[]store.Host]
	// Members is the hosts that have not left, as this one knows them. Empty
	// without peer links. Written by the daemon's fleet controller.
	Members *Table[[]membership.Member]
}

// New returns a board whose tables hold an empty configuration and no hosts.
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

// NewTable returns a table that holds first.
func NewTable[T any](first T) *Table[T] {
	t := &Table[T]{}
	t.current.Store(&first)
	return t
}

// Snapshot returns what was last published.
func (t *Table[T]) Snapshot() T {
	return *t.current.Load()
}

// Publish replaces the snapshot and wakes the watchers.
func (t *Table[T]) Publish(next T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.Store(&next)
	for _, w := range t.watchers {
		select {
		case w <- struct{}{}:
		default: // the watcher has a wake-up waiting already
		}
	}
}

// Watch returns a channel that is sent to after each Publish. Several
// publications may give one wake-up.
func (t *Table[T]) Watch() <-chan struct{} {
	w := make(chan struct{}, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watchers = append(t.watchers, w)
	return w
}
