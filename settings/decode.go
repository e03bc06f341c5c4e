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

// parsedFile is a parsed settings file with the line number of each field.
type parsedFile struct {
	file string
	raw  []byte
	// fieldLines holds the line number, counting from 1, of each field that the file
	// sets, by its path. The path "" is the outermost object.
	fieldLines map[string]int
	problems   Problems
}

// decodeFile decodes the file's fields into out, a pointer to a struct. It reports
// every field that is unknown, set twice or of the wrong type.
func decodeFile(file string, raw []byte, out any) (*parsedFile, Problems) {
	f := &parsedFile{file: file, raw: raw, fieldLines: map[string]int{}}
	value, err := hujson.Parse(raw)
	if err != nil {
		// The parser's message contains the line and column.
		return f, Problems{{File: file, Line: syntaxLine(err), Want: "not JSON with comments: " + err.Error()}}
	}
	f.decodeValue("", value, reflect.ValueOf(out).Elem())
	return f, f.problems
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

// decodeValue decodes a value of the file into out. Structs are decoded field by field;
// all other types, and structs that implement json.Unmarshaler, as a whole.
func (f *parsedFile) decodeValue(path string, value hujson.Value, out reflect.Value) {
	f.fieldLines[path] = f.lineAt(value.StartOffset)
	_, isLeaf := out.Addr().Interface().(json.Unmarshaler)
	if out.Kind() == reflect.Struct && !isLeaf {
		f.decodeObject(path, value, out)
		return
	}
	value.Standardize()
	if err := json.Unmarshal(value.Pack(), out.Addr().Interface()); err != nil {
		f.addProblem(path, expectedValue(out, err))
	}
}

func (f *parsedFile) decodeObject(path string, value hujson.Value, out reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		f.addProblem(path, "want an object in braces")
		return
	}
	fields := fieldsByName(out)
	set := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := joinPath(path, name)
		f.fieldLines[memberPath] = f.lineAt(member.Name.StartOffset)
		field, known := fields[name]
		switch {
		case !known:
			f.addProblem(memberPath, "unknown field"+suggestion(name, fields))
		case set[name]:
			f.addProblem(memberPath, "the field is set twice")
		default:
			set[name] = true
			f.decodeValue(memberPath, member.Value, field)
		}
	}
}

// fieldsByName returns a struct's fields by their JSON names.
func fieldsByName(out reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range out.NumField() {
		name, _, _ := strings.Cut(out.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = out.Field(i)
	}
	return fields
}

func (f *parsedFile) addProblem(field, want string) {
	f.problems = append(f.problems, Problem{File: f.file, Line: f.fieldLines[field], Field: field, Want: want})
}

func (f *parsedFile) lineAt(offset int) int {
	return 1 + bytes.Count(f.raw[:offset], []byte("\n"))
}

// addPositions sets the file and line of the problems and sorts them by line. A missing
// field is reported at the innermost enclosing object that the file sets.
func (f *parsedFile) addPositions(problems Problems) Problems {
	for i := range problems {
		problems[i].File = f.file
		problems[i].Line = f.nearestLine(problems[i].Field)
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return problems
}

func (f *parsedFile) nearestLine(field string) int {
	for field != "" {
		if line, ok := f.fieldLines[field]; ok {
			return line
		}
		parentEnd := max(strings.LastIndexByte(field, '.'), 0)
		field = field[:parentEnd]
	}
	return f.fieldLines[""]
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// expectedValue describes the values allowed for a field of out's type. For other types
// it returns the text of err.
func expectedValue(out reflect.Value, err error) string {
	switch out.Kind() {
	case reflect.String:
		return "want text in quotes"
	case reflect.Bool:
		return "want true or false"
	case reflect.Int, reflect.Int64:
		if _, isDuration := out.Interface().(Duration); !isDuration {
			return "want a whole number without quotes"
		}
	}
	return err.Error()
}
