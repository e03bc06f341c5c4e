package configstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// Bounds of one write.
const (
	// maxAttempts bounds how often a change is tried: because another operator
	// moved the head in between, or because an answer was lost.
	maxAttempts = 10
	// maxUnansweredAttempts bounds how many tries may end without an answer.
	maxUnansweredAttempts = 5
	// initialBackoff is the wait after the first lost answer. It doubles.
	initialBackoff = 50 * time.Millisecond
)

// Check looks at a change before it is written against the given revision.
type Check func(ctx context.Context, revision int64) error

// Writer writes changes. Each change has an operation id, which is recorded
// with it: whatever answers are lost, no change is made twice, and a change
// that is sent again with the same id is recognised.
type Writer struct {
	tables  store.TableService
	check   Check
	backoff func(ctx context.Context, unanswered int)
}

// NewWriter returns a writer. The check may be nil.
func NewWriter(t store.TableService, check Check) *Writer {
	return &Writer{tables: t, check: check, backoff: sleepBackoff}
}

// Write makes a change without a check. See Writer.Write.
func Write(ctx context.Context, t store.TableService, c Change) (int64, error) {
	return NewWriter(t, nil).Write(ctx, c)
}

// Write makes a change in one transaction and returns its revision. A record
// with Revision set must still be at that revision. After an error the change
// was not made, unless the error is an UnknownOutcomeError.
func (w *Writer) Write(ctx context.Context, c Change) (int64, error) {
	if len(c.Records) == 0 || len(c.Records) > maxChangeRecords {
		return 0, fmt.Errorf("configstore: a change has 1 to %d records, not %d", maxChangeRecords, len(c.Records))
	}
	if c.Operation == "" {
		return 0, errors.New("configstore: a change needs an operation id")
	}
	digest, err := recordsDigest(c.Records)
	if err != nil {
		return 0, err
	}
	cw := changeWrite{writer: w, change: c, digest: digest}
	return cw.run(ctx)
}

// changeWrite is one change on its way.
type changeWrite struct {
	writer *Writer
	change Change
	digest string
	// unknown is the last error that left a commit's outcome unknown.
	lostReply error
}

func (cw *changeWrite) run(ctx context.Context) (int64, error) {
	unansweredCount := 0
	for range maxAttempts {
		revision, err := cw.tryOnce(ctx)
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, store.ErrConflict):
			continue // another change came first, or this one is there already
		case isUnavailable(err):
			unansweredCount++
			if unansweredCount == maxUnansweredAttempts || ctx.Err() != nil {
				return cw.resolveFailure(ctx, err)
			}
			cw.writer.backoff(ctx, unansweredCount)
		default:
			return cw.resolveFailure(ctx, err)
		}
	}
	return cw.resolveFailure(ctx, fmt.Errorf("configstore: given up after %d tries", maxAttempts))
}

// giveUp ends with err. Where a commit's answer was lost, that commit may have
// taken effect and may even be the reason of err.
func (cw *changeWrite) resolveFailure(ctx context.Context, err error) (int64, error) {
	if cw.lostReply == nil {
		return 0, err
	}
	revision, found, lookupErr := cw.lookUpOperation(ctx)
	var conflict *ConflictError
	switch {
	case lookupErr == nil && found:
		return revision, nil
	case lookupErr == nil && errors.As(err, &conflict):
		return 0, err // the head has moved on: a commit under way can no longer take effect
	}
	return 0, &UnknownOutcomeError{Operation: cw.change.Operation, Cause: cw.lostReply}
}

// once tries the change against the current head.
func (cw *changeWrite) tryOnce(ctx context.Context) (int64, error) {
	t := cw.writer.tables
	h, headVersion, err := readHead(ctx, t)
	if err != nil {
		return 0, err
	}
	if revision, found, err := cw.lookUpOperation(ctx); found || err != nil {
		return revision, err
	}
	if err := checkRevisions(ctx, t, cw.change.Records); err != nil {
		return 0, err
	}
	if cw.writer.check != nil {
		if err := cw.writer.check(ctx, h.Revision); err != nil {
			return 0, err
		}
	}
	cw.change.Revision = h.Revision + 1
	txn, err := cw.transaction(headVersion)
	if err != nil {
		return 0, err
	}
	err = t.Commit(ctx, txn)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		cw.lostReply = err
	}
	return cw.change.Revision, err
}

// recorded looks the change up by its operation id.
func (cw *changeWrite) lookUpOperation(ctx context.Context) (revision int64, found bool, err error) {
	row, err := cw.writer.tables.Get(ctx, tableOperations, cw.change.Operation)
	if errors.Is(err, store.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	var o operationRow
	if err := json.Unmarshal(row.Value, &o); err != nil {
		return 0, false, fmt.Errorf("configstore: operation %s: %w", cw.change.Operation, err)
	}
	if o.Digest != cw.digest {
		return 0, false, &OperationReusedError{Operation: cw.change.Operation, Revision: o.Revision}
	}
	return o.Revision, true, nil
}

// transaction returns the change as one transaction, conditional on the head
// and on the operation not being recorded.
func (cw *changeWrite) transaction(headVersion int64) (store.Txn, error) {
	c := cw.change
	c.Records = append([]record.Envelope{}, c.Records...)
	var txn store.Txn
	for i := range c.Records {
		c.Records[i].Revision = c.Revision
		if err := addWrite(&txn, tableRecords, c.Records[i].Ref().String(), c.Records[i]); err != nil {
			return txn, err
		}
	}
	if err := addWrite(&txn, tableChanges, changeKey(c.Revision), c); err != nil {
		return txn, err
	}
	if err := addWrite(&txn, tableOperations, c.Operation, operationRow{c.Revision, cw.digest}); err != nil {
		return txn, err
	}
	if err := addWrite(&txn, tableHead, headKey, headRow{c.Revision, c.Operation}); err != nil {
		return txn, err
	}
	txn.Conditions = []store.Condition{
		{Table: tableHead, Key: headKey, Version: headVersion},
		{Table: tableOperations, Key: c.Operation, Version: 0},
	}
	return txn, nil
}

func addWrite(txn *store.Txn, table, key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	txn.Writes = append(txn.Writes, store.Write{Table: table, Key: key, Value: raw})
	return nil
}

// checkRevisions compares the revisions that the operator saw with the current
// ones.
func checkRevisions(ctx context.Context, t store.TableService, records []record.Envelope) error {
	for _, e := range records {
		if e.Revision == 0 {
			continue
		}
		current, err := Get(ctx, t, e.Ref())
		if errors.Is(err, store.ErrNotFound) {
			current, err = record.Envelope{}, nil
		}
		if err != nil {
			return err
		}
		if current.Revision != e.Revision {
			return &ConflictError{Ref: e.Ref(), Expected: e.Revision, Found: current.Revision}
		}
	}
	return nil
}

// recordsDigest identifies a change's records, so that an operation id is not used
// for two changes.
func recordsDigest(records []record.Envelope) (string, error) {
	raw, err := json.Marshal(records)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:]), nil
}

func isUnavailable(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded)
}

// sleepBackoff waits before the next try after a lost answer.
func sleepBackoff(ctx context.Context, unanswered int) {
	t := time.NewTimer(initialBackoff << (unanswered - 1))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
