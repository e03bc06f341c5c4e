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

// Limits of one write.
const (
	// maxAttempts bounds the attempts to write a change. An attempt is repeated if
	// another change moved the head in between or if a reply was lost.
	maxAttempts = 10
	// maxUnansweredAttempts bounds the attempts that end without a reply.
	maxUnansweredAttempts = 5
	// initialBackoff is the delay after the first lost reply. It doubles each time.
	initialBackoff = 50 * time.Millisecond
)

// Check validates a change before it is written on top of the given revision.
// store.ErrConflict and an unavailable table service start another attempt; any other
// error rejects the change.
type Check func(ctx context.Context, revision store.Position) error

// Writer writes changes. Each change has an operation id, which is recorded with the
// change: no change is applied twice, whichever replies are lost, and a change that
// is sent again with the same id is recognised.
type Writer struct {
	tables  store.TableService
	check   Check
	backoff func(ctx context.Context, unanswered int)
}

// NewWriter returns a writer that runs the check before each attempt. The check may
// be nil.
func NewWriter(t store.TableService, check Check) *Writer {
	return &Writer{tables: t, check: check, backoff: sleepBackoff}
}

// Write writes a change without a check. See Writer.Write.
func Write(ctx context.Context, t store.TableService, c Change) (store.Position, error) {
	return NewWriter(t, nil).Write(ctx, c)
}

// Write applies a change in one transaction and returns its revision. A record with a
// non-zero Revision must still be at that revision. If Write fails, the change was
// not applied, unless the error is an UnknownOutcomeError.
func (w *Writer) Write(ctx context.Context, c Change) (store.Position, error) {
	if len(c.Records) == 0 || len(c.Records) > maxChangeRecords {
		return 0, fmt.Errorf("configstore: a change must have 1 to %d records, got %d", maxChangeRecords, len(c.Records))
	}
	if c.Operation == "" {
		return 0, errors.New("configstore: the change has no operation id")
	}
	digest, err := recordsDigest(c.Records)
	if err != nil {
		return 0, err
	}
	cw := changeWrite{writer: w, change: c, digest: digest}
	return cw.run(ctx)
}

// changeWrite is one change being written.
type changeWrite struct {
	writer *Writer
	change Change
	digest string
	// lostReply is the last error that left the outcome of a commit unknown.
	lostReply error
}

func (cw *changeWrite) run(ctx context.Context) (store.Position, error) {
	unansweredCount := 0
	for range maxAttempts {
		revision, err := cw.tryOnce(ctx)
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, store.ErrConflict):
			continue // another change came first, or this change is already recorded
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
	return cw.resolveFailure(ctx, fmt.Errorf("configstore: change not written after %d attempts", maxAttempts))
}

// resolveFailure determines the result of a write that failed with err. If the reply
// to a commit was lost, that commit may have taken effect and may even have caused err.
func (cw *changeWrite) resolveFailure(ctx context.Context, err error) (store.Position, error) {
	if cw.lostReply == nil {
		return 0, err
	}
	revision, found, lookupErr := cw.lookUpOperation(ctx)
	var conflict *ConflictError
	switch {
	case lookupErr == nil && found:
		return revision, nil
	case lookupErr == nil && errors.As(err, &conflict):
		return 0, err // the head has changed, so a pending commit can no longer take effect
	}
	return 0, &UnknownOutcomeError{Operation: cw.change.Operation, Cause: cw.lostReply}
}

// tryOnce attempts to write the change on top of the current head.
func (cw *changeWrite) tryOnce(ctx context.Context) (store.Position, error) {
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
	cw.change.Revision = nextRevision(h.Revision, store.CurrentEra(t))
	txn, err := cw.transaction(h.Revision, headVersion)
	if err != nil {
		return 0, err
	}
	err = t.Commit(ctx, txn)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		cw.lostReply = err
	}
	return cw.change.Revision, err
}

// lookUpOperation returns the revision recorded for the change's operation id, and
// whether there is one.
func (cw *changeWrite) lookUpOperation(ctx context.Context) (revision store.Position, found bool, err error) {
	row, err := cw.writer.tables.Get(ctx, tableOperations, cw.change.Operation)
	if errors.Is(err, store.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	var o operationRow
	if err := json.Unmarshal(row.Value, &o); err != nil {
		return 0, false, fmt.Errorf("configstore: decode operation %s: %w", cw.change.Operation, err)
	}
	if o.Digest != cw.digest {
		return 0, false, &OperationReusedError{Operation: cw.change.Operation, Revision: o.Revision}
	}
	return o.Revision, true, nil
}

// transaction returns the change as one transaction, conditional on the head
// and on the operation not being recorded. It is also conditional on the change
// that wrote the head: after a restore of the store, the head's version may be
// that of another head.
func (cw *changeWrite) transaction(head store.Position, headVersion int64) (store.Txn, error) {
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
	if head > 0 {
		txn.Conditions = append(txn.Conditions, store.Condition{Table: tableChanges, Key: changeKey(head), Version: 1})
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

// checkRevisions returns a ConflictError if a record with a non-zero Revision, which is
// the revision that the operator read, is no longer at that revision.
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

// recordsDigest returns the hex SHA-256 of the records in JSON. It detects an operation
// id that is used for two different changes.
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

// sleepBackoff waits before the next attempt, after the given number of lost replies.
func sleepBackoff(ctx context.Context, unanswered int) {
	t := time.NewTimer(initialBackoff << (unanswered - 1))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
