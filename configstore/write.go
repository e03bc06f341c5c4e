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
	// writeTries bounds how often a change is tried: because another operator
	// moved the head in between, or because an answer was lost.
	writeTries = 10
	// unansweredTries bounds how many tries may end without an answer.
	unansweredTries = 5
	// firstPause is the wait after the first lost answer. It doubles.
	firstPause = 50 * time.Millisecond
)

// Check looks at a change before it is written against the given revision.
type Check func(ctx context.Context, revision int64) error

// Writer writes changes. Each change has an operation id, which is recorded
// with it: whatever answers are lost, no change is made twice, and a change
// that is sent again with the same id is recognised.
type Writer struct {
	tables store.TableService
	check  Check
	pause  func(ctx context.Context, unanswered int)
}

// NewWriter returns a writer. The check may be nil.
func NewWriter(t store.TableService, check Check) *Writer {
	return &Writer{tables: t, check: check, pause: pause}
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
	digest, err := digestOf(c.Records)
	if err != nil {
		return 0, err
	}
	a := attempt{writer: w, change: c, digest: digest}
	return a.run(ctx)
}

// attempt is one change on its way.
type attempt struct {
	writer *Writer
	change Change
	digest string
	// unknown is the last error that left a commit's outcome unknown.
	unknown error
}

func (a *attempt) run(ctx context.Context) (int64, error) {
	unanswered := 0
	for range writeTries {
		revision, err := a.once(ctx)
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, store.ErrConflict):
			continue // another change came first, or this one is there already
		case isUnavailable(err):
			unanswered++
			if unanswered == unansweredTries || ctx.Err() != nil {
				return a.giveUp(ctx, err)
			}
			a.writer.pause(ctx, unanswered)
		default:
			return a.giveUp(ctx, err)
		}
	}
	return a.giveUp(ctx, fmt.Errorf("configstore: given up after %d tries", writeTries))
}

// giveUp ends with err. Where a commit's answer was lost, that commit may have
// taken effect and may even be the reason of err.
func (a *attempt) giveUp(ctx context.Context, err error) (int64, error) {
	if a.unknown == nil {
		return 0, err
	}
	revision, found, lookErr := a.recorded(ctx)
	var conflict *ConflictError
	switch {
	case lookErr == nil && found:
		return revision, nil
	case lookErr == nil && errors.As(err, &conflict):
		return 0, err // the head has moved on: a commit under way can no longer take effect
	}
	return 0, &UnknownOutcomeError{Operation: a.change.Operation, Cause: a.unknown}
}

// once tries the change against the current head.
func (a *attempt) once(ctx context.Context) (int64, error) {
	t := a.writer.tables
	h, headVersion, err := readHead(ctx, t)
	if err != nil {
		return 0, err
	}
	if revision, found, err := a.recorded(ctx); found || err != nil {
		return revision, err
	}
	if err := checkRevisions(ctx, t, a.change.Records); err != nil {
		return 0, err
	}
	if a.writer.check != nil {
		if err := a.writer.check(ctx, h.Revision); err != nil {
			return 0, err
		}
	}
	a.change.Revision = h.Revision + 1
	txn, err := a.transaction(headVersion)
	if err != nil {
		return 0, err
	}
	err = t.Commit(ctx, txn)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		a.unknown = err
	}
	return a.change.Revision, err
}

// recorded looks the change up by its operation id.
func (a *attempt) recorded(ctx context.Context) (revision int64, found bool, err error) {
	row, err := a.writer.tables.Get(ctx, tableOperations, a.change.Operation)
	if errors.Is(err, store.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	var o operation
	if err := json.Unmarshal(row.Value, &o); err != nil {
		return 0, false, fmt.Errorf("configstore: operation %s: %w", a.change.Operation, err)
	}
	if o.Digest != a.digest {
		return 0, false, &OperationReusedError{Operation: a.change.Operation, Revision: o.Revision}
	}
	return o.Revision, true, nil
}

// transaction returns the change as one transaction, conditional on the head
// and on the operation not being recorded.
func (a *attempt) transaction(headVersion int64) (store.Txn, error) {
	c := a.change
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
	if err := addWrite(&txn, tableOperations, c.Operation, operation{c.Revision, a.digest}); err != nil {
		return txn, err
	}
	if err := addWrite(&txn, tableHead, headKey, head{c.Revision, c.Operation}); err != nil {
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

// digestOf identifies a change's records, so that an operation id is not used
// for two changes.
func digestOf(records []record.Envelope) (string, error) {
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

// pause waits before the next try after a lost answer.
func pause(ctx context.Context, unanswered int) {
	t := time.NewTimer(firstPause << (unanswered - 1))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
