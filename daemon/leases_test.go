package daemon

import (
	"context"
	"maps"
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
	era               int64
}

// eraClient is one host's client of a memoryTable. It knows the era of the responses that it has received.
type eraClient struct {
	*memoryTable
	seen int64
}

// Era implements store.EraReporter.
func (c *eraClient) Era() int64 { return c.seen }

func (c *eraClient) Get(ctx context.Context, table, key string) (store.Row, error) {
	row, err := c.memoryTable.Get(ctx, table, key)
	if !c.down {
		c.seen = c.era
	}
	return row, err
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
	// held is the fencing number that the claiming host's scheduler holds.
	held   int64
	fence  int64
	holder string
	// copied makes a copy of the rows after the step. restored restores it before the step.
	copied, restored bool
}

// era1 is the position of version 0 in the first era after a restore.
const era1 = 1 << 40

// Guards against a lease with two holders, also across a restore of the store, and against fencing numbers that do not rise.
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
		"after a restore the holder acquires at once and others wait": {
			{keeper: "b", ttl: testTTL, granted: true, fence: 1, holder: "b", copied: true},
			{keeper: "b", holder: "b", fence: 1},
			{keeper: "a", ttl: testTTL, granted: true, fence: 2, holder: "a"},
			{keeper: "b", ttl: testTTL, restored: true},
			{keeper: "b", after: 9 * time.Second, ttl: testTTL},
			{keeper: "a", ttl: testTTL, held: 2},
			{keeper: "a", ttl: testTTL, held: 2, granted: true, fence: era1 + 2, holder: "a"},
			{keeper: "b", after: 2 * time.Second, ttl: testTTL, holder: "a"},
			{keeper: "a", after: 9 * time.Second, ttl: testTTL, held: era1 + 2, granted: true, fence: era1 + 2, holder: "a"},
		},
		"after a restore a missing row is not free": {
			{keeper: "b", down: true, ttl: testTTL, copied: true},
			{keeper: "a", ttl: testTTL, granted: true, fence: 1, holder: "a"},
			{keeper: "b", ttl: testTTL, restored: true},
			{keeper: "b", after: 10 * time.Second, ttl: testTTL},
			{keeper: "b", after: time.Second, ttl: testTTL, granted: true, fence: era1 + 1, holder: "b"},
			{keeper: "a", ttl: testTTL, held: 1},
			{keeper: "a", ttl: testTTL, held: 1, holder: "b"},
		},
		"after a restore a released row is neither free nor released again": {
			{keeper: "a", ttl: testTTL, granted: true, fence: 1, holder: "a", copied: true},
			{keeper: "a", holder: "a", fence: 1},
			{keeper: "b", ttl: testTTL, granted: true, fence: 2, holder: "b"},
			{keeper: "a", restored: true},
			{keeper: "a"},
			{keeper: "a", after: time.Second, ttl: testTTL},
			{keeper: "b", after: 5 * time.Second, ttl: testTTL, held: 2},
			{keeper: "b", ttl: testTTL, held: 2, granted: true, fence: era1 + 2, holder: "b"},
		},
		"a version that is issued again is seen for the first time": {
			{keeper: "a", ttl: testTTL, granted: true, fence: 1, holder: "a", copied: true},
			{keeper: "a", after: time.Second, ttl: testTTL, held: 1, granted: true, fence: 1, holder: "a"},
			{keeper: "b", ttl: testTTL, holder: "a"},
			{keeper: "a", after: 3 * time.Second, ttl: testTTL, held: 1, restored: true},
			{keeper: "a", ttl: testTTL, held: 1, granted: true, fence: era1 + 2, holder: "a"},
			{keeper: "b", ttl: testTTL},
			{keeper: "b", after: 8 * time.Second, ttl: testTTL, holder: "a"},
		},
		"a lease that expired during the outage is waited for": {
			{keeper: "a", ttl: testTTL, granted: true, fence: 1, holder: "a", copied: true},
			{keeper: "a", after: 11 * time.Second, ttl: testTTL, held: 1, restored: true},
			{keeper: "a", after: time.Second, ttl: testTTL, held: 1},
			{keeper: "a", after: 10 * time.Second, ttl: testTTL, granted: true, fence: era1 + 2, holder: "a"},
		},
		"a claim during an outage names no holder": {
			{keeper: "a", ttl: testTTL, granted: true, fence: 1, holder: "a"},
			{keeper: "b", ttl: testTTL, down: true},
			{keeper: "a", after: time.Hour, ttl: testTTL, granted: true, fence: 1, holder: "a"},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			copied := map[string]store.Row{}
			table := &memoryTable{rows: map[string]store.Row{}}
			now := time.Unix(0, 0)
			clock := func() time.Time { return now }
			keepers := map[string]*leaseKeeper{
				"a": newLeaseKeeper(&eraClient{memoryTable: table}, "a", clock), "a2": newLeaseKeeper(&eraClient{memoryTable: table}, "a", clock),
				"b": newLeaseKeeper(&eraClient{memoryTable: table}, "b", clock),
			}
			for i, s := range steps {
				now = now.Add(s.after)
				if s.restored {
					table.rows = maps.Clone(copied)
					table.era++
				}
				table.down, table.loseAnswers = s.down, s.loseAnswers
				got := keepers[s.keeper].claim(context.Background(), sched.ClaimLease{Resource: "upstreams/z/1", TTL: s.ttl, Fence: s.held})
				want := sched.LeaseResult{Resource: "upstreams/z/1", Granted: s.granted, Fence: s.fence, Holder: s.holder, SentAt: now, TTL: s.ttl}
				assert.Equal(t, want, got, "step %d", i)
				if s.copied {
					copied = maps.Clone(table.rows)
				}
			}
		})
	}
}
