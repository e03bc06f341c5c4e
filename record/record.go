// Package record defines the records that operators write, in both schema versions, and the
// configuration that a host compiles from them.
//
// A record is an envelope (schema, kind, name, revision) around a spec. Both schema versions are
// decoded into one internal form. A record keeps the bytes that it was written with, so that fields
// unknown to this version survive.
package record

import (
	"encoding/json"
	"fmt"
)

// Supported schema versions.
const (
	SchemaV1 = 1
	SchemaV2 = 2
)

// MaxRecordBytes is the largest encoded record, in bytes.
const MaxRecordBytes = 64 << 10

// Kind is the kind of a record.
type Kind string

// The complete list of record kinds.
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

// Kinds returns the complete list of record kinds.
func Kinds() []Kind {
	return []Kind{KindOrganisation, KindKey, KindRate, KindModel, KindAdapter, KindVersion, KindRoute, KindUpstream}
}

// Ref identifies a record.
type Ref struct {
	Kind Kind
	Name string
}

// String returns "kind/name".
func (r Ref) String() string {
	return string(r.Kind) + "/" + r.Name
}

// Envelope is a record as written by an operator and stored in the table service.
type Envelope struct {
	// Schema is the schema version of Spec.
	Schema int `json:"schema"`
	// Kind is the kind of record.
	Kind Kind `json:"kind"`
	// Name is unique within the kind.
	Name string `json:"name"`
	// Revision is the configuration revision that last changed the record. If an operator sends it,
	// the write fails with a conflict if the record has changed since.
	Revision int64 `json:"revision,omitempty"`
	// Deleted marks the removal of the record.
	Deleted bool `json:"deleted,omitempty"`
	// Spec holds the fields that are specific to the kind, as written.
	Spec json.RawMessage `json:"spec,omitempty"`
}

// Ref returns the kind and the name of the record.
func (e Envelope) Ref() Ref {
	return Ref{Kind: e.Kind, Name: e.Name}
}

// maxNameBytes is the maximum length of a name.
const maxNameBytes = 128

// ValidateName returns an error if name is not a valid record name.
func ValidateName(name string) error {
	if !isName(name) {
		return fmt.Errorf("name %q: want 1 to %d of a-z, 0-9, '.', '_' and '-', starting and ending with a letter or digit", name, maxNameBytes)
	}
	return nil
}

// isName reports whether name is valid. It uses no regular expression, because every record that a
// host reads is checked.
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
