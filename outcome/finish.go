package outcome

import (
	"context"
	"errors"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/store"
)

// errOtherClaim means that the row was written by another claim.
var errOtherClaim = errors.New("outcome: the row belongs to another claim")

// Complete stores the answer and reports whether it is stored. It waits up to
// CompleteTimeout or until ctx is done; storing then continues in the background. If
// MaxPendingFinishes claims are already being finished, it returns false at once and the answer
// is not stored.
func (c *Claim) Complete(ctx context.Context, a Answer) bool {
	next := c.row
	next.State, next.Status, next.Header = stateDone, a.Status, a.Header
	if len(a.Body) <= MaxInlineBytes {
		next.Body = a.Body
	} else {
		next.Object = "outcome/" + c.row.Operation
	}
	c.store.memory.set(c.key, next, a.Body, time.Now())
	return c.finish(ctx, next, a.Body, CompleteTimeout)
}

// Release ends a claim without an answer. If the request did not run, the key is
// freed; otherwise the outcome is marked unknown. Release does not block.
func (c *Claim) Release(ran apierr.Ran) {
	next := c.row
	next.State = stateUnknown
	if ran == apierr.NotRun {
		next.State = stateFree
	}
	c.store.memory.set(c.key, next, nil, time.Now())
	c.finish(context.Background(), next, nil, 0)
}

// abandon frees the key of a claim whose request was not dispatched because the
// table service did not confirm that the row was written.
func (s *Store) abandon(c *Claim) {
	s.mu.Lock()
	s.abandoned[c.row.Operation] = true
	s.mu.Unlock()
	next := c.row
	next.State = stateFree
	c.finish(context.Background(), next, nil, 0)
}

// finish writes the claim's final state, and the object if next names one, in the
// background. It waits up to timeout and reports whether the state is stored.
func (c *Claim) finish(ctx context.Context, next row, object []byte, timeout time.Duration) bool {
	s := c.store
	select {
	case s.finishSlots <- struct{}{}:
	default:
		return false // the row stays as it is and counts as unknown after its deadline
	}
	stored := make(chan bool, 1)
	s.finishing.Go(func() {
		defer func() { <-s.finishSlots }()
		finishCtx, cancel := context.WithTimeout(context.Background(), FinishTimeout)
		defer cancel()
		ok := c.finishWithRetry(finishCtx, next, object)
		if ok {
			s.memory.refresh(c.key, c.row.Operation, time.Now())
		}
		stored <- ok
		s.mu.Lock()
		delete(s.abandoned, c.row.Operation)
		s.mu.Unlock()
	})
	if timeout == 0 {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case ok := <-stored:
		return ok
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// finishWithRetry retries writing the claim's final state until it is stored, the
// row belongs to another claim, or ctx is done. It reports whether it is stored.
func (c *Claim) finishWithRetry(ctx context.Context, next row, object []byte) bool {
	retryDelays := newBackoff()
	for ctx.Err() == nil {
		err := c.tryFinish(ctx, next, object)
		if err == nil || errors.Is(err, errOtherClaim) {
			return err == nil
		}
		sleep(ctx, retryDelays.NextBackOff())
	}
	return false
}

func (c *Claim) tryFinish(ctx context.Context, next row, object []byte) error {
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
		return errOtherClaim
	case found.State == next.State:
		return nil // an earlier attempt took effect and its reply was lost
	}
	c.version = version
	return store.ErrConflict
}

// sweepPageRows is the maximum number of rows that one Sweep reads.
const sweepPageRows = 200

// Sweep deletes the expired rows of one page of the table and the objects named in
// them. It returns the key after which the next page starts, "" at the end of the
// table. Rows that cannot be decoded are kept. It also forgets claims that are
// older than MemoryTime.
func (s *Store) Sweep(ctx context.Context, after string) (next string, err error) {
	rows, err := s.tables.List(ctx, table, "", after, sweepPageRows)
	if err == nil {
		s.forgetStored(time.Now())
	}
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
	if len(rows) < sweepPageRows {
		return "", err
	}
	return rows[len(rows)-1].Key, err
}
