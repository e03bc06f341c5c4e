package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/jasminelock/jasminelock/platform"
	"github.com/jasminelock/jasminelock/record"
)

// ConflictError says that a record has changed since the operator read it.
type ConflictError struct {
	Ref      record.Ref
	Expected int64
	Found    int64
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: record %s is at revision %d, not %d", e.Ref, e.Found, e.Expected)
}

// writeTries bounds how often a change is made again because another operator
// moved the head in between.
const writeTries = 10

// Write makes a change in one transaction and returns its revision. A record
// with Revision set must still be at that revision. A lost answer is resolved
// by the change's operation id: the change is never made twice.
func Write(ctx context.Context, t platform.TableService, c Change) (int64, error) {
	if len(c.Records) == 0 || len(c.Records) > maxChangeRecords {
		return 0, fmt.Errorf("configstore: a change has 1 to %d records, not %d", maxChangeRecords, len(c.Records))
	}
	for range writeTries {
		revision, again, err := writeOnce(ctx, t, c)
		if !again {
			return revision, err
		}
	}
	return 0, fmt.Errorf("configstore: the head moved %d times; nothing was written", writeTries)
}

// writeOnce reports again where another change came first.
func writeOnce(ctx context.Context, t platform.TableService, c Change) (revision int64, again bool, err error) {
	h, headVersion, err := readHead(ctx, t)
	if err != nil {
		return 0, false, err
	}
	if err := checkRevisions(ctx, t, c.Records); err != nil {
		return 0, false, err
	}
	c.Revision = h.Revision + 1
	txn, err := changeTxn(c, headVersion)
	if err != nil {
		return 0, false, err
	}
	err = t.Commit(ctx, txn)
	switch {
	case err == nil:
		return c.Revision, false, nil
	case errors.Is(err, platform.ErrConflict):
		return 0, true, nil
	}
	return resolve(ctx, t, c, err)
}

// resolve finds out whether a commit whose answer was lost took effect.
func resolve(ctx context.Context, t platform.TableService, c Change, cause error) (int64, bool, error) {
	changes, err := ReadChanges(ctx, t, c.Revision-1, 1)
	if err != nil {
		return 0, false, fmt.Errorf("configstore: outcome of operation %s unknown: %w", c.Operation, cause)
	}
	if len(changes) == 1 && changes[0].Operation == c.Operation {
		return c.Revision, false, nil
	}
	return 0, true, nil
}

func checkRevisions(ctx context.Context, t platform.TableService, records []record.Envelope) error {
	for _, e := range records {
		if e.Revision == 0 {
			continue
		}
		current, err := Get(ctx, t, e.Ref())
		if errors.Is(err, platform.ErrNotFound) {
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

func changeTxn(c Change, headVersion int64) (platform.Txn, error) {
	var txn platform.Txn
	for i := range c.Records {
		c.Records[i].Revision = c.Revision
		if err := addWrite(&txn, tableRecords, c.Records[i].Ref().String(), c.Records[i]); err != nil {
			return txn, err
		}
	}
	if err := addWrite(&txn, tableChanges, changeKey(c.Revision), c); err != nil {
		return txn, err
	}
	if err := addWrite(&txn, tableHead, headKey, head{c.Revision, c.Operation}); err != nil {
		return txn, err
	}
	txn.Conditions = []platform.Condition{{Table: tableHead, Key: headKey, Version: headVersion}}
	return txn, nil
}

func addWrite(txn *platform.Txn, table, key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	txn.Writes = append(txn.Writes, platform.Write{Table: table, Key: key, Value: raw})
	return nil
}

// Get returns one record, or platform.ErrNotFound.
func Get(ctx context.Context, t platform.TableService, ref record.Ref) (record.Envelope, error) {
	var e record.Envelope
	row, err := t.Get(ctx, tableRecords, ref.String())
	if err != nil {
		return e, err
	}
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return e, fmt.Errorf("configstore: record %s: %w", ref, err)
	}
	return e, nil
}
