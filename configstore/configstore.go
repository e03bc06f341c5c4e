// Package configstore keeps the operators' records in the platform's table
// service and reads them back.
//
// Tables: "records" holds each record under "kind/name"; "changes" holds each
// accepted change under its revision, with the records that it wrote;
// "operations" holds each change's revision under its operation id; "head"
// holds the newest revision. A change is one transaction, conditional on the
// head that it was made against, so that revisions follow one another without
// gaps and a change is accepted whole or not at all.
package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// The tables and the one key of the head's table.
const (
	tableRecords    = "records"
	tableChanges    = "changes"
	tableOperations = "operations"
	tableHead       = "head"
	headKey         = "config"
)

// Limits of one read and one change.
const (
	// pageRows is how many rows one read asks for.
	pageRows = 1000
	// maxChangeRecords is how many records one change may write.
	maxChangeRecords = 10000
)

// Change is one accepted change.
type Change struct {
	Revision int64 `json:"revision"`
	// Operation is the operator's id of the change, by which a lost answer is
	// resolved.
	Operation string `json:"operation"`
	// Operator says who made the change.
	Operator string `json:"operator,omitempty"`
	// Time is the operator's clock, RFC 3339. It is shown and never compared.
	Time    string            `json:"time,omitempty"`
	Records []record.Envelope `json:"records"`
}

// headRow is the row that every change moves.
type headRow struct {
	Revision  int64  `json:"revision"`
	Operation string `json:"operation"`
}

// operationRow is the row that resolves a lost answer.
type operationRow struct {
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
}

func readHead(ctx context.Context, t store.TableService) (headRow, int64, error) {
	var h headRow
	row, err := t.Get(ctx, tableHead, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return h, 0, nil
	}
	if err != nil {
		return h, 0, err
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, 0, fmt.Errorf("configstore: head: %w", err)
	}
	return h, row.Version, nil
}

// ReadHead returns the newest revision, 0 where nothing was ever written.
func ReadHead(ctx context.Context, t store.TableService) (int64, error) {
	h, _, err := readHead(ctx, t)
	return h.Revision, err
}

// changeKeyWidth makes the keys of changes sort as their numbers do.
const changeKeyWidth = 19

func changeKey(revision int64) string {
	return fmt.Sprintf("%0*d", changeKeyWidth, revision)
}

// ReadChanges returns up to limit changes after the given revision, oldest first.
func ReadChanges(ctx context.Context, t store.TableService, after int64, limit int) ([]Change, error) {
	rows, err := t.List(ctx, tableChanges, "", changeKey(after), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		var c Change
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return nil, fmt.Errorf("configstore: change %s: %w", row.Key, err)
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// History returns the newest changes, up to limit, oldest first.
func History(ctx context.Context, t store.TableService, limit int) ([]Change, error) {
	h, _, err := readHead(ctx, t)
	if err != nil {
		return nil, err
	}
	return ReadChanges(ctx, t, max(h.Revision-int64(limit), 0), limit)
}

// Get returns one record, or store.ErrNotFound.
func Get(ctx context.Context, t store.TableService, ref record.Ref) (record.Envelope, error) {
	row, err := t.Get(ctx, tableRecords, ref.String())
	if err != nil {
		return record.Envelope{}, err
	}
	return decodeRecord(row)
}

func decodeRecord(row store.Row) (record.Envelope, error) {
	var e record.Envelope
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return e, fmt.Errorf("configstore: record %s: %w", row.Key, err)
	}
	return e, nil
}

// List gives the records of a kind, or of all kinds where it is "", page by
// page. Removed records are among them.
func List(ctx context.Context, t store.TableService, kind record.Kind, page func([]record.Envelope) error) error {
	prefix, after := "", ""
	if kind != "" {
		prefix = record.Ref{Kind: kind}.String()
	}
	for {
		rows, err := t.List(ctx, tableRecords, prefix, after, pageRows)
		if err != nil {
			return err
		}
		records := make([]record.Envelope, 0, len(rows))
		for _, row := range rows {
			e, err := decodeRecord(row)
			if err != nil {
				return err
			}
			records = append(records, e)
		}
		if err := page(records); err != nil || len(rows) < pageRows {
			return err
		}
		after = rows[len(rows)-1].Key
	}
}
