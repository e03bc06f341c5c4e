package outcome

import (
	"context"
	"errors"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/store"
)

// recall decides how a claim proceeds from what this host remembers of an earlier claim of the same key. decisionClaim means
// that the table service decides.
func (s *Store) recall(ctx context.Context, c *Claim) (claimDecision, *Answer, *apierr.Error) {
	known := s.memory.get(c.key)
	if known == nil || known.row.Operation == c.row.Operation {
		return decisionClaim, nil, nil
	}
	decision, apiErr := evaluateRow(time.Now(), &known.row, &c.row, c.isFreed)
	if decision != decisionReplay {
		return decision, nil, apiErr
	}
	if known.bodyless {
		return s.recallBodyless(ctx, c.key, known)
	}
	return decision, &Answer{Status: known.row.Status, Header: known.row.Header.Clone(), Body: known.body}, nil
}

// recallBodyless leaves a claim to the table service if that has the remembered answer.
func (s *Store) recallBodyless(ctx context.Context, key string, known *remembered) (claimDecision, *Answer, *apierr.Error) {
	found, _, err := s.read(ctx, key)
	switch {
	case err == nil && found.Operation == known.row.Operation && found.State == stateDone:
		return decisionClaim, nil, nil
	case err == nil, errors.Is(err, store.ErrNotFound):
		return decisionReject, nil, apierr.New(apierr.OutcomeUnknown, "the stored answer is lost").WithRan(apierr.HasRun)
	}
	return decisionUnavailable, nil, nil
}

// forgetStored forgets claims older than MemoryTime, unless the store was restored and they have not been written again. It
// is called after a response of the table service, so that an outage does not count.
func (s *Store) forgetStored(now time.Time) {
	if store.CurrentEra(s.tables) == s.writtenEra.Load() {
		s.memory.forget(now.Add(-MemoryTime))
	}
}

// Rewritten is the result of WriteAgain.
type Rewritten struct {
	// Written is the number of claims whose rows were missing or older and have been written again.
	Written int
	// Taken is the number of claims whose key another claim has taken since the restore: its request may have run twice.
	Taken int
}

// NeedsWriteAgain reports whether the store was restored since the last WriteAgain.
func (s *Store) NeedsWriteAgain() bool { return store.CurrentEra(s.tables) != s.writtenEra.Load() }

// WriteAgain writes the remembered claims whose rows a restore of the store has lost or reverted. After an error it must be
// called again.
func (s *Store) WriteAgain(ctx context.Context) (Rewritten, error) {
	var result Rewritten
	era := store.CurrentEra(s.tables)
	for _, key := range s.memory.keys() {
		if err := s.writeClaimAgain(ctx, key, &result); err != nil {
			return result, err
		}
	}
	s.writtenEra.Store(era)
	return result, nil
}

// maxRewriteAttempts bounds the attempts to write one claim again, each of which fails if its row changes meanwhile.
const maxRewriteAttempts = 5

func (s *Store) writeClaimAgain(ctx context.Context, key string, result *Rewritten) error {
	err := store.ErrConflict
	for range maxRewriteAttempts {
		known := s.memory.get(key)
		if known == nil {
			return nil
		}
		found, version, readErr := s.read(ctx, key)
		switch {
		case errors.Is(readErr, store.ErrNotFound):
		case errors.Is(readErr, errUnreadableRow):
			return nil
		case readErr != nil:
			return readErr
		case found.Operation == known.row.Operation && found.State == known.row.State:
			return s.restoreObject(ctx, known)
		case found.Operation != known.row.Operation && found.State != stateFree && !time.Now().After(found.Expires):
			if known.row.State != stateFree {
				result.Taken++
			}
			return nil
		}
		if err = s.restoreObject(ctx, known); err != nil {
			return err
		}
		c := &Claim{store: s, key: key, version: version}
		if err = c.write(ctx, known.storable()); err == nil {
			result.Written++
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return err
}

// restoreObject writes the object of a remembered answer again: rows and objects may be restored from different times.
func (s *Store) restoreObject(ctx context.Context, known *remembered) error {
	if known.row.Object == "" || known.bodyless {
		return nil
	}
	return s.objects.Put(ctx, known.row.Object, known.body, false)
}

// storable returns the row to write again. An answer without its body counts as unknown.
func (c *remembered) storable() row {
	r := c.row
	if c.bodyless {
		r.State, r.Object = stateUnknown, ""
	}
	return r
}
