package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/jasminelock/jasminelock/record"
)

// recordFile is the content of a file of records. Problems make the file invalid,
// warnings do not.
type recordFile struct {
	records  []record.Envelope
	problems []string
	warnings []string
}

// readRecords reads a file that holds an array of records. The error lists the
// problems of all records.
func readRecords(path string) (*recordFile, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	value, err := hujson.Parse(raw)
	if err != nil {
		return nil, invalid("%s: not JSON with comments: %s", path, err)
	}
	list, ok := value.Value.(*hujson.Array)
	if !ok {
		return nil, invalid("%s:1: want an array of records in brackets", path)
	}
	var f recordFile
	seen := map[record.Ref]bool{}
	for _, element := range list.Elements {
		position := fmt.Sprintf("%s:%d: ", path, 1+bytes.Count(raw[:element.StartOffset], []byte("\n")))
		f.add(position, element, seen)
	}
	if len(f.problems) > 0 {
		return nil, &invalidError{strings.Join(f.problems, "\n")}
	}
	return &f, nil
}

func (f *recordFile) add(position string, element hujson.Value, seen map[record.Ref]bool) {
	element.Standardize()
	var e record.Envelope
	decoder := json.NewDecoder(bytes.NewReader(element.Pack()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		f.problems = append(f.problems, position+"want a record with schema, kind, name and spec: "+err.Error())
		return
	}
	for _, p := range record.Validate(e) {
		f.problems = append(f.problems, position+p.Error())
	}
	if seen[e.Ref()] {
		f.problems = append(f.problems, position+"record "+e.Ref().String()+": want it once in a file")
	}
	seen[e.Ref()] = true
	for _, w := range record.Warnings(e) {
		f.warnings = append(f.warnings, position+w)
	}
	f.records = append(f.records, e)
}
