// Package configstore stores the configuration records written by operators in the
// platform's table service and reads them.
//
// Tables: "records" holds each record under "kind/name"; "changes" holds each
// accepted change, with the records that it wrote, under its revision;
// "operations" holds each change's revision under its operation id; "head"
// holds the newest revision. A change is one transaction, conditional on the
// head that it is based on, so that revisions are consecutive and a change is
// accepted completely or not at all.
//
// A revision is a store.Position: the number of the change together with the era
// of the store in which it was written. After a restore of the store from a copy,
// numbers are issued again, in the new era. Numbers are consecutive across eras:
// change 9 of era 1 may follow change 8 of era 0.
package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// The tables, and the only key of the table "head".
const (
	tableRecords    = "records"
	tableChanges    = "changes"
	tableOperations = "operations"
	tableHead       = "head"
	headKey         = "config"
)

// Limits of a read and of a change.
const (
	// pageRows is the maximum number of rows that one read requests.
	pageRows = 1000
	// maxChangeRecords is the maximum number of records in one change.
	maxChangeRecords = 10000
)

// Change is one change of the configuration.
type Change struct {
	Revision store.Position `json:"revision"`
	// Operation is the id that the operator assigned to the change. It identifies the
	// change after a lost reply.
	Operation string `json:"operation"`
	// Operator is the name of the person or program that made the change.
	Operator string `json:"operator,omitempty"`
	// Time is the time of the change by the operator's clock, in RFC 3339 format. It is
	// only displayed, never compared.
	Time    string            `json:"time,omitempty"`
	Records []record.Envelope `json:"records"`
}

// headRow is the row that every change updates.
type headRow struct {
	Revision  store.Position `json:"revision"`
	Operation string         `json:"operation"`
}

// operationRow is the row that determines the outcome of a change whose reply was lost.
type operationRow struct {
	Revision store.Position `json:"revision"`
	Digest   string         `json:"digest"`
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
		return h, 0, fmt.Errorf("configstore: decode head: %w", err)
	}
	return h, row.Version, nil
}

// ReadHead returns the newest revision, 0 if no change has been written.
func ReadHead(ctx context.Context, t store.TableService) (store.Position, error) {
	h, _, err := readHead(ctx, t)
	return h.Revision, err
}

// changeKeyWidth is the number of digits in a change's key. Zero padding makes keys
// sort by revision; 19 digits hold the largest int64.
const changeKeyWidth = 19

func changeKey(revision store.Position) string {
	return fmt.Sprintf("%0*d", changeKeyWidth, revision)
}

// ReadChanges returns up to limit changes after the given revision, oldest first.
func ReadChanges(ctx context.Context, t store.TableService, after store.Position, limit int) ([]Change, error) {
	rows, err := t.List(ctx, tableChanges, "", changeKey(after), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		var c Change
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return nil, fmt.Errorf("configstore: decode change %s: %w", row.Key, err)
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
	first := max(store.VersionOf(h.Revision)-int64(limit), 0)
	wanted := int(store.VersionOf(h.Revision) - first)
	// The changes before the restore that began the head's era have keys of older eras.
	for era := store.EraOf(h.Revision); ; era-- {
		changes, err := ReadChanges(ctx, t, store.NewPosition(era, first), limit)
		if err != nil || len(changes) >= wanted || era == 0 {
			return changes, err
		}
	}
}

// nextRevision returns the revision of a change that is written in an era on top of the head.
func nextRevision(head store.Position, era int64) store.Position {
	return store.NewPosition(max(era, store.EraOf(head)), store.VersionOf(head)+1)
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
		return e, fmt.Errorf("configstore: decode record %s: %w", row.Key, err)
	}
	return e, nil
}

// List calls page with the records of a kind, or of all kinds if kind is "", up to
// pageRows at a time. Deleted records are included.
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
