package record

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// schemaSet is the set of schema versions in which a field is valid.
type schemaSet uint8

const (
	inV1   schemaSet = 1 << SchemaV1
	inV2   schemaSet = 1 << SchemaV2
	inBoth           = inV1 | inV2
)

// kindFields lists the fields of each kind's spec.
var kindFields = map[Kind]map[string]schemaSet{
	KindOrganisation: {"display_name": inBoth, "suspended": inBoth},
	KindKey:          {"organisation": inBoth, "hash": inBoth, "withdrawn": inBoth},
	KindRate:         {"tokens_per_minute": inV1, "tokens_per_second": inV2, "burst_tokens": inBoth},
	KindModel:        {"max_context_tokens": inBoth, "loads_per_second": inBoth, "loads_in_flight": inBoth},
	KindAdapter:      {"organisation": inBoth, "model": inBoth, "default_version": inBoth, "public": inBoth},
	KindVersion:      {"source": inBoth},
	KindRoute: {
		"prefix": inBoth, "pool": inBoth, "open": inBoth, "repeatable": inBoth, "cost_tokens": inBoth,
		"timeout_seconds": inV1, "timeout": inV2, "priority": inV2,
	},
	KindUpstream: {
		"class": inBoth, "url": inBoth, "zone": inBoth, "model": inBoth, "pool": inBoth, "adapter_slots": inBoth,
		"max_batch": inBoth, "checks_fence": inBoth, "leaving": inBoth,
	},
}

// Validate returns all problems of a record before it is written. It reports every field of the wrong
// type, whereas Decode stops at the first one.
func Validate(e Envelope) Problems {
	d := decoder{envelope: e}
	d.checkEnvelope()
	if len(d.problems) == 0 && !e.Deleted {
		d.checkTypes()
	}
	if len(d.problems) > 0 || e.Deleted {
		return d.problems
	}
	d.decode()
	return d.problems
}

// checkTypes decodes the spec field by field.
func (d *decoder) checkTypes() {
	var spec map[string]json.RawMessage
	if err := json.Unmarshal(d.envelope.Spec, &spec); err != nil {
		d.addProblem("spec", "an object with the kind's fields")
		return
	}
	fields := reflect.ValueOf(&d.fields).Elem()
	for i := range fields.NumField() {
		name := fields.Type().Field(i).Tag.Get("json")
		raw, ok := spec[name]
		if !ok || kindFields[d.envelope.Kind][name] == 0 {
			continue
		}
		if json.Unmarshal(raw, fields.Field(i).Addr().Interface()) != nil {
			d.addProblem("spec."+name, ExpectedType(fields.Field(i).Kind()))
		}
	}
}

// ExpectedType describes the JSON value that a field of a kind takes.
func ExpectedType(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "text in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number without quotes"
	default:
		return "a whole number without quotes"
	}
}

// Warnings returns a text for each field of a record's spec that has no effect in this version:
// unknown fields and fields of the other schema. Such fields are kept.
func Warnings(e Envelope) []string {
	var spec map[string]json.RawMessage
	if e.Deleted || json.Unmarshal(e.Spec, &spec) != nil {
		return nil
	}
	var warnings []string
	for _, name := range slices.Sorted(maps.Keys(spec)) {
		known := kindFields[e.Kind][name]
		switch {
		case known == 0:
			warnings = append(warnings, fmt.Sprintf("record %s: field spec.%s is not known; known are %s", e.Ref(), name, fieldNames(e)))
		case known&(1<<e.Schema) == 0:
			warnings = append(warnings, fmt.Sprintf("record %s: field spec.%s has no effect in schema %d", e.Ref(), name, e.Schema))
		}
	}
	return warnings
}

func fieldNames(e Envelope) string {
	var names []string
	for name, known := range kindFields[e.Kind] {
		if known&(1<<e.Schema) != 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// WithField returns the record with one field of its spec replaced. All other fields stay as written,
// including unknown ones.
func WithField(e Envelope, name string, value any) (Envelope, error) {
	spec := map[string]json.RawMessage{}
	if err := json.Unmarshal(e.Spec, &spec); err != nil {
		return e, err
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return e, err
	}
	spec[name] = raw
	e.Spec, err = json.Marshal(spec)
	return e, err
}
