// Package record holds the records that operators write, in both schema
// versions, and the compiled configuration that a host works from.
//
// A record is an envelope (schema, kind, name, revision) around a spec. Both
// schema versions are decoded into one internal form. A record keeps the bytes
// it was written with, so that fields unknown to this version survive.
package record

import (
	"encoding/json"
	"fmt"
)

// Schema versions that are read side by side.
const (
	SchemaV1 = 1
	SchemaV2 = 2
)

// MaxRecordBytes is the largest encoded record, in bytes.
const MaxRecordBytes = 64 << 10

// Kind is the kind of a record.
type Kind string

// The closed list of record kinds.
const (
	KindOrganisation Kind = "organisation"
	KindKey          Kind = "key"
	KindRate         Kind = "rate"
	KindModel        Kind = "model"
	KindAdapter      Kind = "adapter"
	KindVersion      Kind = "version"
	KindRoute        Kind = "route"
	KindUpstream     Kind = "upstream"
)

// Kinds returns the closed list of record kinds.
func Kinds() []Kind {
	return []Kind{KindOrganisation, KindKey, KindRate, KindModel, KindAdapter, KindVersion, KindRoute, KindUpstream}
}

// Ref names a record.
type Ref struct {
	Kind Kind
	Name string
}

// String returns "kind/name".
func (r Ref) String() string {
	return string(r.Kind) + "/" + r.Name
}

// Envelope is a record as it is written by an operator and kept in the table
// service.
type Envelope struct {
	// Schema is the schema version of Spec.
	Schema int `json:"schema"`
	// Kind is the kind of record.
	Kind Kind `json:"kind"`
	// Name is unique within the kind.
	Name string `json:"name"`
	// Revision is the configuration revision that last changed the record. An
	// operator who sends it asks for a conflict where the record has changed since.
	Revision int64 `json:"revision,omitempty"`
	// Deleted marks the removal of the record.
	Deleted bool `json:"deleted,omitempty"`
	// Spec is the kind's own part, as written.
	Spec json.RawMessage `json:"spec,omitempty"`
}

// Ref returns the record's name.
func (e Envelope) Ref() Ref {
	return Ref{Kind: e.Kind, Name: e.Name}
}

// maxNameBytes is the length of the longest name.
const maxNameBytes = 128

// ValidateName reports why name is not a record's name.
func ValidateName(name string) error {
	if !isName(name) {
		return fmt.Errorf("name %q: want 1 to %d of a-z, 0-9, '.', '_' and '-', starting and ending with a letter or digit", name, maxNameBytes)
	}
	return nil
}

// isName is written out, since every record that a host reads is checked.
func isName(name string) bool {
	if name == "" || len(name) > maxNameBytes || !isLetterOrDigit(name[0]) || !isLetterOrDigit(name[len(name)-1]) {
		return false
	}
	for i := range len(name) {
		if c := name[i]; !isLetterOrDigit(c) && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func isLetterOrDigit(c byte) bool {
	return 'a' <= c && c <= 'z' || '0' <= c && c <= '9'
}
