package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// difference describes what a change would do to one record.
type difference struct {
	Record string `json:"record"`
	// Action is create, change, remove or none.
	Action string      `json:"action"`
	Fields []fieldDiff `json:"fields,omitempty"`
}

// fieldDiff is a field's value before and after a change, as compact JSON. An
// absent field is the empty string.
type fieldDiff struct {
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// diff compares records with the stored ones.
func diff(ctx context.Context, t store.TableService, records []record.Envelope) ([]difference, error) {
	all := make([]difference, 0, len(records))
	for _, e := range records {
		stored, err := configstore.Get(ctx, t, e.Ref())
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return nil, err
		}
		exists := err == nil && !stored.Deleted
		all = append(all, compare(e, stored, exists))
	}
	return all, nil
}

func compare(e, stored record.Envelope, exists bool) difference {
	d := difference{Record: e.Ref().String(), Action: "change"}
	before, after := map[string]string{}, map[string]string{}
	if exists {
		before = fieldsOf(stored)
	}
	if !e.Deleted {
		after = fieldsOf(e)
	}
	d.Fields = fieldDiffs(before, after)
	switch {
	case !exists && e.Deleted, exists && !e.Deleted && len(d.Fields) == 0:
		d.Action = "none"
	case !exists:
		d.Action = "create"
	case e.Deleted:
		d.Action = "remove"
	}
	return d
}

// fieldsOf returns a record's schema version and the fields of its spec, keyed by
// path, each as compact JSON.
func fieldsOf(e record.Envelope) map[string]string {
	fields := map[string]string{"schema": fmt.Sprint(e.Schema)}
	var spec map[string]json.RawMessage
	_ = json.Unmarshal(e.Spec, &spec) // a validated spec is a JSON object
	for name, raw := range spec {
		var compact bytes.Buffer
		if json.Compact(&compact, raw) == nil {
			fields["spec."+name] = compact.String()
		}
	}
	return fields
}

func fieldDiffs(before, after map[string]string) []fieldDiff {
	all := maps.Clone(before)
	maps.Copy(all, after)
	var diffs []fieldDiff
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if before[name] != after[name] {
			diffs = append(diffs, fieldDiff{name, before[name], after[name]})
		}
	}
	return diffs
}

// diffTable returns one row for each field that would change, and one for each
// record without such a field.
func diffTable(all []difference) table {
	t := table{header: []any{"ACTION", "RECORD", "FIELD", "BEFORE", "AFTER"}}
	for _, d := range all {
		if len(d.Fields) == 0 {
			t.rows = append(t.rows, []any{d.Action, d.Record, "", "", ""})
		}
		for _, f := range d.Fields {
			t.rows = append(t.rows, []any{d.Action, d.Record, f.Field, f.Before, f.After})
		}
	}
	return t
}
