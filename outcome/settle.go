package outcome

import (
	"context"
	"errors"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/store"
)

// errNotOurs says that the row belongs to another claim.
var errNotOurs = errors.New("outcome: the row belongs to another claim")

// Complete stores the answer. It returns once the answer is stored, or with
// false after CompleteTimeout: storing then goes on behind the answer.
func (c *Claim) Complete(ctx context.Context, a Answer) bool {
	next := c.row
	next.State, next.Status, next.Header = stateDone, a.Status, a.Header
	if len(a.Body) <= MaxInlineBytes {
		next.Body = a.Body
	} else {
		next.Object = "outcome/" + c.row.Operation
	}
	return c.end(ctx, next, a.Body, CompleteTimeout)
}

// Release ends a claim without an answer. A request that did not run frees the
// key; of any other the outcome is marked unknown. It does not wait.
func (c *Claim) Release(ran apierr.Ran) {
	next := c.row
	next.State = stateUnknown
	if ran == apierr.NotRun {
		next.State = stateFree
	}
	c.end(context.Background(), next, nil, 0)
}

// abandon frees the key of a claim that was given up while it was not known
// whether its row had been written. It has not been dispatched.
func (s *Store) abandon(c *Claim) {
	s.mu.Lock()
	s.abandoned[c.row.Operation] = true
	s.mu.Unlock()
	next := c.row
	next.State = stateFree
	c.end(context.Background(), next, nil, 0)
}

// end writes the claim's end in the background and waits for it up to wait.
func (c *Claim) end(ctx context.Context, next row, object []byte, wait time.Duration) bool {
	s := c.store
	select {
	case s.settling <- struct{}{}:
	default:
		return false // the row stays, and is unknown after its deadline
	}
	stored := make(chan bool, 1)
	s.group.Go(func() {
		defer func() { <-s.settling }()
		settle, cancel := context.WithTimeout(context.Background(), FinishTimeout)
		defer cancel()
		stored <- c.settle(settle, next, object)
		s.mu.Lock()
		delete(s.abandoned, c.row.Operation)
		s.mu.Unlock()
	})
	if wait == 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case ok := <-stored:
		return ok
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// settle writes the claim's end, again and again until it is known to be
// written or the context ends.
func (c *Claim) settle(ctx context.Context, next row, object []byte) bool {
	pauses := newPauses()
	for ctx.Err() == nil {
		err := c.trySettle(ctx, next, object)
		if err == nil || errors.Is(err, errNotOurs) {
			return err == nil
		}
		pause(ctx, pauses.NextBackOff())
	}
	return false
}

func (c *Claim) trySettle(ctx context.Context, next row, object []byte) error {
	if next.Object != "" {
		if err := c.store.objects.Put(ctx, next.Object, object, false); err != nil {
			return err
		}
	}
	err := c.write(ctx, next)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	found, version, err := c.store.read(ctx, c.key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		c.version = 0
		return store.ErrConflict
	case err != nil:
		return err
	case found.Operation != c.row.Operation:
		return errNotOurs
	case found.State == next.State:
		return nil // an earlier try took effect and its answer was lost
	}
	c.version = version
	return store.ErrConflict
}

// sweepPage is how many rows one sweep reads.
const sweepPage = 200

// Sweep deletes the expired rows of one page of the table, and the objects that
// they name. It returns where the next page starts, "" at the table's end.
func (s *Store) Sweep(ctx context.Context, after string) (next string, err error) {
	rows, err := s.tables.List(ctx, table, "", after, sweepPage)
	if err != nil || len(rows) == 0 {
		return "", err
	}
	var txn store.Txn
	now := time.Now()
	for _, raw := range rows {
		r, err := decodeRow(raw.Value)
		if err != nil || !now.After(r.Expires.Add(MaxClockSkew)) {
			continue
		}
		if r.Object != "" {
			if err := s.objects.Delete(ctx, r.Object); err != nil {
				continue
			}
		}
		txn.Conditions = append(txn.Conditions, store.Condition{Table: table, Key: raw.Key, Version: raw.Version})
		txn.Writes = append(txn.Writes, store.Write{Table: table, Key: raw.Key, Delete: true})
	}
	if len(txn.Writes) > 0 {
		err = s.tables.Commit(ctx, txn)
	}
	if len(rows) < sweepPage {
		return "", err
	}
	return rows[len(rows)-1].Key, err
}
