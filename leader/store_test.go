package leader

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/store"
)

// storeCuts holds the hosts that the store does not answer, and since when.
type storeCuts struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func (c *storeCuts) set(host string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, found := c.since[host]; found == cut {
		return
	}
	if c.since == nil {
		c.since = map[string]time.Time{}
	}
	if c.since[host] = time.Now(); !cut {
		delete(c.since, host)
	}
}

func (c *storeCuts) isCut(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, found := c.since[host]
	return found
}

// age returns the time since the store stopped answering a host, 0 if it answers.
func (c *storeCuts) age(host string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since, found := c.since[host]; found {
		return time.Since(since)
	}
	return 0
}

// setSlow sets whether the store is slow.
func (f *fleet) setSlow(slow bool) {
	f.slowMu.Lock()
	defer f.slowMu.Unlock()
	f.slow = slow
}

func (f *fleet) isSlow() bool {
	f.slowMu.Lock()
	defer f.slowMu.Unlock()
	return f.slow
}

func (f *fleet) stamp() store.Stamp {
	return store.Stamp{Version: f.position(f.version), Clock: time.Since(f.start)}
}

// resetStoreCalls resets the count of store calls.
func (f *fleet) resetStoreCalls() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeCalls = map[string]int{}
}

// storeCallsOf returns the number of store calls of the hosts whose names have the prefix.
func (f *fleet) storeCallsOf(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for host, calls := range f.storeCalls {
		if strings.HasPrefix(host, prefix) {
			n += calls
		}
	}
	return n
}

// RangeStamped implements store.StampedTables.
func (h *testHost) RangeStamped(context.Context, string, string, int) ([]store.Row, store.Stamp, error) {
	f := h.fleet
	f.mu.Lock()
	f.storeCalls[h.name]++
	f.mu.Unlock()
	time.Sleep(4 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeCut.isCut(h.name) || f.isSlow() {
		return nil, store.Stamp{}, store.ErrUnavailable
	}
	var rows []store.Row
	for _, key := range []string{leaseKey, suspectsKey} {
		if row, ok := f.rows[key]; ok {
			rows = append(rows, f.read(row))
		}
	}
	return rows, f.stamp(), nil
}

// CommitStamped implements store.StampedTables.
func (h *testHost) CommitStamped(ctx context.Context, txn store.Txn) (store.Stamp, error) {
	f := h.fleet
	f.mu.Lock()
	f.storeCalls[h.name]++
	delay := f.commitDelay
	f.mu.Unlock()
	type result struct {
		stamp store.Stamp
		err   error
	}
	done := make(chan result, 1)
	go func() {
		time.Sleep(4*time.Millisecond + delay)
		stamp, err := h.commit(txn)
		done <- result{stamp, err}
	}()
	select {
	case r := <-done:
		return r.stamp, r.err
	case <-ctx.Done():
		return store.Stamp{}, store.ErrUnavailable
	}
}

// delayCommits sets the additional duration of transactions.
func (f *fleet) delayCommits(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commitDelay = d
}

func (h *testHost) commit(txn store.Txn) (store.Stamp, error) {
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.storeCut.isCut(h.name):
		return store.Stamp{}, store.ErrUnavailable
	case f.rows[txn.Conditions[0].Key].Version != store.VersionOf(txn.Conditions[0].Version):
		return f.stamp(), store.ErrConflict
	}
	f.version++
	f.rows[txn.Writes[0].Key] = store.Row{Key: txn.Writes[0].Key, Value: txn.Writes[0].Value, Version: f.version}
	if f.loseCommits > 0 || f.isSlow() {
		f.loseCommits--
		return store.Stamp{}, store.ErrUnavailable
	}
	return f.commitStamp(txn), nil
}
