// Package configcheck checks configurations before they are sent: it finds errors, entries that can
// never take effect and limits that contradict each other, each with its line and field, and what
// differs from another configuration. It knows the product's own records; package platform checks
// its own format with the same tools.
package configcheck

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/jasminelock/jasminelock/record"
)

// Rule names what is wrong with a configuration.
type Rule string

// The rules.
const (
	// Invalid is a field with a value that hosts reject or misread.
	Invalid Rule = "invalid"
	// UnknownField is a field that hosts ignore.
	UnknownField Rule = "unknown_field"
	// MissingReference is a name of an entry that does not exist.
	MissingReference Rule = "missing_reference"
	// NeverUsed is an entry that no request can ever match.
	NeverUsed Rule = "never_used"
	// Contradiction is a limit that another one makes impossible to keep.
	Contradiction Rule = "contradiction"
	// OldVersion is a configuration that hosts ignore, since they know a newer one.
	OldVersion Rule = "old_version"
)

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	File string `json:"file"`
	// Line counts from 1; 0 means that the entry is in the other configuration.
	Line int `json:"line"`
	// Field is the path of the field, such as "routes[2].timeout_ms".
	Field   string `json:"field"`
	Rule    Rule   `json:"rule"`
	Message string `json:"message"`
}

// String returns the finding in the form "file:line: field: message (rule)".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s (%s)", f.File, f.Line, cmp.Or(f.Field, "file"), f.Message, f.Rule)
}

// Limits are the limits of the hosts that a configuration is checked against. 0 means unknown: what
// depends on the limit is not checked.
type Limits struct {
	// Grace is the time in which a host that stops must have answered its requests.
	Grace time.Duration
	// MemoryBytes is the memory of a host.
	MemoryBytes int64
}

// bodyMemoryShare is the part of a host's memory that the largest request body may take, 1/32. By default, the requests of one
// connection may hold 1/16 of it, and two buffers are held while one grows.
const bodyMemoryShare = 32

// MaxBodyBytes returns the largest request body that fits the share of the memory, 0 if unknown.
func (l Limits) MaxBodyBytes() int64 { return l.MemoryBytes / bodyMemoryShare }

// Document is a parsed file and what was found in it.
type Document struct {
	File     string
	Findings []Finding
	raw      []byte
	root     hujson.Value
	// lines holds the line of each value by its path.
	lines map[string]int
	// indexed and line are the offset of the value that was indexed last, and its line.
	indexed, line int
}

// Parse parses a file in JSON with comments.
func Parse(file string, raw []byte) (*Document, error) {
	root, err := hujson.Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: not JSON: %w", file, err)
	}
	d := &Document{File: file, raw: raw, root: root, lines: map[string]int{}, line: 1}
	d.index("", root)
	return d, nil
}

// HasComments reports whether the file is JSON only with comments or commas at the end of lists.
func (d *Document) HasComments() bool { return !d.root.IsStandard() }

// IsArray reports whether the outermost value is an array.
func (d *Document) IsArray() bool {
	_, ok := d.root.Value.(*hujson.Array)
	return ok
}

// Value returns the content as encoding/json decodes it, with numbers as json.Number.
func (d *Document) Value() (any, error) {
	raw, err := hujson.Standardize(bytes.Clone(d.raw))
	if err != nil {
		return nil, err
	}
	return decodeJSON(raw)
}

func (d *Document) index(path string, v hujson.Value) {
	d.line += bytes.Count(d.raw[d.indexed:v.StartOffset], []byte("\n"))
	d.indexed = v.StartOffset
	d.lines[path] = d.line
	switch v := v.Value.(type) {
	case *hujson.Object:
		for _, m := range v.Members {
			d.index(join(path, memberName(m)), m.Value)
		}
	case *hujson.Array:
		for i, e := range v.Elements {
			d.index(fmt.Sprintf("%s[%d]", path, i), e)
		}
	}
}

func memberName(m hujson.ObjectMember) string {
	literal, _ := m.Name.Value.(hujson.Literal) // a parsed name is always a literal
	return literal.String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Add adds a finding at the line of the field, or of the nearest value around it.
func (d *Document) Add(rule Rule, field, format string, args ...any) {
	d.Findings = append(d.Findings, Finding{d.File, d.lineOf(field), field, rule, fmt.Sprintf(format, args...)})
}

// lineOf returns the line of a field, or of the nearest value around it.
func (d *Document) lineOf(field string) int {
	line, ok := d.lines[field]
	for parent := field; !ok && parent != ""; line, ok = d.lines[parent] {
		parent = parent[:max(strings.LastIndexAny(parent, ".["), 0)]
	}
	return line
}

// Sort sorts the findings by line.
func (d *Document) Sort() {
	slices.SortStableFunc(d.Findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
}

// Decode decodes the content into out, a pointer, and adds a finding for each field that is unknown,
// set twice or of the wrong type.
func (d *Document) Decode(out any) { d.decode("", d.root, reflect.ValueOf(out).Elem()) }

func (d *Document) decode(path string, v hujson.Value, out reflect.Value) {
	literal, isLiteral := v.Value.(hujson.Literal)
	switch {
	case isLiteral && literal.Kind() == 'n' && out.Kind() != reflect.Struct: // null leaves a value as it is
	case out.Kind() == reflect.Pointer:
		out.Set(reflect.New(out.Type().Elem()))
		d.decode(path, v, out.Elem())
	case out.Kind() == reflect.Struct:
		d.decodeObject(path, v, out)
	case out.Kind() == reflect.Slice && out.Type() != reflect.TypeFor[json.RawMessage]():
		list, ok := v.Value.(*hujson.Array)
		if !ok {
			d.Add(Invalid, path, "want a list in brackets")
			return
		}
		out.Set(reflect.MakeSlice(out.Type(), len(list.Elements), len(list.Elements)))
		for i, e := range list.Elements {
			d.decode(fmt.Sprintf("%s[%d]", path, i), e, out.Index(i))
		}
	default:
		v = v.Clone()
		v.Standardize()
		if json.Unmarshal(v.Pack(), out.Addr().Interface()) != nil {
			d.Add(Invalid, path, "want %s", record.ExpectedType(out.Kind()))
		}
	}
}

func (d *Document) decodeObject(path string, v hujson.Value, out reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.Add(Invalid, path, "want an object in braces")
		return
	}
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := memberName(m)
		field, known := fieldByName(out, name)
		switch {
		case !known:
			d.Add(UnknownField, join(path, name), "hosts ignore this field")
		case seen[strings.ToLower(name)]:
			d.Add(Invalid, join(path, name), "the field is set twice")
		default:
			d.decode(join(path, name), m.Value, field)
		}
		seen[strings.ToLower(name)] = true
	}
}

// fieldByName returns the field with a JSON name, in any case, as encoding/json does.
func fieldByName(out reflect.Value, name string) (reflect.Value, bool) {
	for i := range out.NumField() {
		known, _, _ := strings.Cut(out.Type().Field(i).Tag.Get("json"), ",")
		if strings.EqualFold(known, name) {
			return out.Field(i), true
		}
	}
	return reflect.Value{}, false
}
