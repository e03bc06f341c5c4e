package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/store"
)

// memoryTable is an in-memory table service that can fail calls and lose answers.
type memoryTable struct {
	rows map[string]store.Row
	// down lets every call fail; loseAnswers lets commits fail after they have taken
	// effect.
	down, loseAnswers bool
}

func (t *memoryTable) Get(_ context.Context, _, key string) (store.Row, error) {
	if t.down {
		return store.Row{}, store.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return row, store.ErrNotFound
	}
	return row, nil
}

func (t *memoryTable) List(context.Context, string, string, string, int) ([]store.Row, error) {
	return nil, nil
}

func (t *memoryTable) Commit(_ context.Context, txn store.Txn) error {
	c, w := txn.Conditions[0], txn.Writes[0]
	switch {
	case t.down:
		return store.ErrUnavailable
	case t.rows[c.Key].Version != c.Version:
		return store.ErrConflict
	}
	t.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: c.Version + 1}
	if t.loseAnswers {
		return store.ErrUnavailable
	}
	return nil
}

const testTTL = 10 * time.Second

// claimStep is one claim by a keeper, the time before it and the expected result.
type claimStep struct {
	keeper      string
	after       time.Duration
	ttl         time.Duration
	down        bool
	loseAnswers bool
	granted     bool
	fence       int64
	holder      string
}

func TestLeaseKeeper(t *testing.T) {
	cases := map[string][]claimStep{
		"renewal keeps the fence": {
			{keeper: "a", ttl: testTTL, granted: true, fence: 1, holder: "a"},
			{keeper: "a", after: 3 * time.Second, ttl: testTTL, granted: true, fence: 1, holder: "a"},
		},
		"a lease is not taken over from a holder that renews it": {
			{keeper: "a", ttl: testTTL, granted: true, fence: 1, holder: "a"},
			{keeper: "b", ttl: testTTL, holder: "a"},
			{keeper: "a", after: 9 * time.Second, ttl: testTTL, granted: true, fence: 1, holder: "a"},
			{keeper: "b", after: 9 * time.Second, ttl: testTTL, holder: "a"},
			{keeper: "b", after: 9 * time.Second, ttl: testTTL, holder: "a"},
			{keeper: "b", after: 2 * time.Second, ttl: testTTL, granted: true, fence: 2, holder: "b"},
			{keeper: "a", ttl: testTTL, holder: "b"},
		},
		"a restarted process waits for its predecessor's lease": {
			{keeper: "a", ttl: testTTL, granted: true, fence: 1, holder: "a"},
			{keeper: "a2", ttl: testTTL, holder: "a"},
			{keeper: "a2", after: 11 * time.Second, ttl: testTTL, granted: true, fence: 2, holder: "a"},
		},
		"a released lease is acquired at once": {
			{keeper: "a", ttl: testTTL, granted: true, fence: 1, holder: "a"},
			{keeper: "a", holder: "a", fence: 1},
			{keeper: "b", ttl: testTTL, granted: true, fence: 2, holder: "b"},
		},
		"a claim after a lost answer finds the lease written": {
			{keeper: "a", ttl: testTTL, loseAnswers: true},
			{keeper: "a", after: time.Second, ttl: testTTL, granted: true, fence: 1, holder: "a"},
		},
		"a claim during an outage names no holder": {
			{keeper: "a", ttl: testTTL, granted: true, fence: 1, holder: "a"},
			{keeper: "b", ttl: testTTL, down: true},
			{keeper: "a", after: time.Hour, ttl: testTTL, granted: true, fence: 1, holder: "a"},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			table := &memoryTable{rows: map[string]store.Row{}}
			now := time.Unix(0, 0)
			clock := func() time.Time { return now }
			keepers := map[string]*leaseKeeper{
				"a": newLeaseKeeper(table, "a", clock), "a2": newLeaseKeeper(table, "a", clock), "b": newLeaseKeeper(table, "b", clock),
			}
			for i, s := range steps {
				now = now.Add(s.after)
				table.down, table.loseAnswers = s.down, s.loseAnswers
				got := keepers[s.keeper].claim(context.Background(), sched.ClaimLease{Resource: "upstreams/z/1", TTL: s.ttl})
				want := sched.LeaseResult{Resource: "upstreams/z/1", Granted: s.granted, Fence: s.fence, Holder: s.holder, SentAt: now, TTL: s.ttl}
				assert.Equal(t, want, got, "step %d", i)
			}
		})
	}
}
