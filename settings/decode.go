package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// tree is a parsed settings file: it knows the line of each field.
type tree struct {
	file string
	raw  []byte
	// lines holds the line of each field that the file sets, by its path. The
	// path "" is the file's outermost object.
	lines    map[string]int
	problems Problems
}

// decode fills out with the file's fields. It reports every field that is
// unknown, set twice or of the wrong type.
func decode(file string, raw []byte, out any) (*tree, Problems) {
	t := &tree{file: file, raw: raw, lines: map[string]int{}}
	value, err := hujson.Parse(raw)
	if err != nil {
		// The parser's message tells the line and column itself.
		return t, Problems{{File: file, Line: syntaxLine(err), Want: "not JSON with comments: " + err.Error()}}
	}
	t.walk("", value, reflect.ValueOf(out).Elem())
	return t, t.problems
}

func syntaxLine(err error) int {
	line := 1
	for e := err; e != nil; e = errors.Unwrap(e) {
		if n, _ := fmt.Sscanf(e.Error(), "hujson: line %d", &line); n == 1 {
			break
		}
	}
	return line
}

// walk sets out from a value of the file. Values that hold fields are walked
// field by field, all others are decoded as a whole.
func (t *tree) walk(path string, value hujson.Value, out reflect.Value) {
	t.lines[path] = t.line(value.StartOffset)
	_, leaf := out.Addr().Interface().(json.Unmarshaler)
	if out.Kind() == reflect.Struct && !leaf {
		t.walkObject(path, value, out)
		return
	}
	value.Standardize()
	if err := json.Unmarshal(value.Pack(), out.Addr().Interface()); err != nil {
		t.report(path, wanted(out, err))
	}
}

func (t *tree) walkObject(path string, value hujson.Value, out reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		t.report(path, "want an object in braces")
		return
	}
	fields := fieldsOf(out)
	set := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		child := join(path, name)
		t.lines[child] = t.line(member.Name.StartOffset)
		field, known := fields[name]
		switch {
		case !known:
			t.report(child, "unknown field"+suggestion(name, fields))
		case set[name]:
			t.report(child, "the field is set twice")
		default:
			set[name] = true
			t.walk(child, member.Value, field)
		}
	}
}

// fieldsOf returns a struct's fields by their names in JSON.
func fieldsOf(out reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range out.NumField() {
		name, _, _ := strings.Cut(out.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = out.Field(i)
	}
	return fields
}

func (t *tree) report(field, want string) {
	t.problems = append(t.problems, Problem{File: t.file, Line: t.lines[field], Field: field, Want: want})
}

func (t *tree) line(offset int) int {
	return 1 + bytes.Count(t.raw[:offset], []byte("\n"))
}

// locate adds the file and line to problems. A missing field is reported at
// the innermost object that should hold it.
func (t *tree) locate(problems Problems) Problems {
	for i := range problems {
		problems[i].File = t.file
		problems[i].Line = t.nearest(problems[i].Field)
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return problems
}

func (t *tree) nearest(field string) int {
	for field != "" {
		if line, ok := t.lines[field]; ok {
			return line
		}
		cut := max(strings.LastIndexByte(field, '.'), 0)
		field = field[:cut]
	}
	return t.lines[""]
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// wanted says what a field of out's type may hold.
func wanted(out reflect.Value, err error) string {
	switch out.Kind() {
	case reflect.String:
		return "want text in quotes"
	case reflect.Bool:
		return "want true or false"
	case reflect.Int, reflect.Int64:
		if _, duration := out.Interface().(Duration); !duration {
			return "want a whole number without quotes"
		}
	}
	return err.Error()
}
