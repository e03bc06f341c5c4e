package bench

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/store"
)

// Errors of the fake engine and of the fake weight store.
var (
	errRestarted  = errors.New("bench: the engine has restarted")
	errInUse      = errors.New("bench: the adapter serves")
	errLoadFailed = errors.New("bench: the weights could not be read")
)

// weightStore is a fake of the weight store, which starts LoadsPerSecond loads per
// second. A load takes LoadTime while no more than LoadsInFlight are in flight.
// Beyond that number the duration grows in proportion.
type weightStore struct {
	clock        *clock
	rng          *rand.Rand
	deployment   Deployment
	failureShare float64
	inFlight     int
	// nextStart is the earliest time at which the next load may start.
	nextStart time.Time
	stats     *stats
}

func (s *weightStore) fetch(done func(error)) {
	start := s.clock.now
	if s.nextStart.After(start) {
		start = s.nextStart
	}
	s.nextStart = start.Add(time.Duration(float64(time.Second) / s.deployment.LoadsPerSecond))
	s.clock.after(start.Sub(s.clock.now), func() {
		s.inFlight++
		s.stats.maxLoadsInFlight = max(s.stats.maxLoadsInFlight, s.inFlight)
		slower := max(1, float64(s.inFlight)/float64(s.deployment.LoadsInFlight))
		s.clock.after(time.Duration(float64(s.deployment.LoadTime)*slower), func() {
			s.inFlight--
			if s.rng.Float64() < s.failureShare {
				done(errLoadFailed)
				return
			}
			done(nil)
		})
	})
}

// tables is an in-memory fake of the platform's table service.
type tables struct {
	clock  *clock
	down   bool
	rows   map[tableKey]store.Row
	leases map[string]*lease
	writes int
	reads  int
}

type tableKey struct{ table, key string }

type lease struct {
	holder  string
	fence   int64
	expires time.Time
}

func newTables(c *clock) *tables {
	return &tables{clock: c, rows: map[tableKey]store.Row{}, leases: map[string]*lease{}}
}

func (t *tables) get(table, key string) (store.Row, error) {
	t.reads++
	if t.down {
		return store.Row{}, store.ErrUnavailable
	}
	row, ok := t.rows[tableKey{table, key}]
	if !ok {
		return row, store.ErrNotFound
	}
	return row, nil
}

func (t *tables) commit(txn store.Txn) error {
	t.writes++
	if t.down {
		return store.ErrUnavailable
	}
	for _, c := range txn.Conditions {
		if t.rows[tableKey{c.Table, c.Key}].Version != c.Version {
			return store.ErrConflict
		}
	}
	for _, w := range txn.Writes {
		key := tableKey{w.Table, w.Key}
		if w.Delete {
			delete(t.rows, key)
			continue
		}
		t.rows[key] = store.Row{Key: w.Key, Value: w.Value, Version: t.rows[key].Version + 1}
	}
	return nil
}

// claim grants a lease that is free, has expired or is held by the claimant. A
// change of the holder raises the fence.
func (t *tables) claim(holder string, c sched.ClaimLease, sentAt time.Time) sched.LeaseResult {
	t.writes++
	r := sched.LeaseResult{Resource: c.Resource, SentAt: sentAt, TTL: c.TTL}
	if t.down {
		return r
	}
	l, ok := t.leases[c.Resource]
	if !ok {
		l = &lease{}
		t.leases[c.Resource] = l
	}
	if l.holder != holder && t.clock.now.Before(l.expires) {
		r.Holder = l.holder
		return r
	}
	if l.holder != holder {
		l.fence++
	}
	l.holder = holder
	l.expires = t.clock.now.Add(c.TTL)
	r.Granted, r.Fence, r.Holder = true, l.fence, holder
	return r
}
