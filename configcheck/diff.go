package configcheck

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Change is a difference between two configurations.
type Change struct {
	// Item is the entry, such as "routes/chat", "" for fields outside the lists.
	Item string `json:"item"`
	// Action is "add", "remove" or "change".
	Action string `json:"action"`
	// Field is the changed field of the entry. Before and After are its values as JSON, "" for none.
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as a person reads it.
func (c Change) String() string {
	item := c.Item
	if item == "" {
		item = "configuration"
	}
	switch {
	case c.Action == "add":
		return "+ " + item
	case c.Action == "remove":
		return "- " + item
	case c.Before == "":
		return fmt.Sprintf("~ %s: %s: set to %s", item, c.Field, c.After)
	case c.After == "":
		return fmt.Sprintf("~ %s: %s: removed, was %s", item, c.Field, c.Before)
	}
	return fmt.Sprintf("~ %s: %s: %s -> %s", item, c.Field, c.Before, c.After)
}

// keyField is the field whose values are secret. Only a part of their hashes is shown.
const keyField = "api_keys"

// fields holds the values of the fields of one entry, by path, as JSON.
type fields map[string]string

// Diff returns the changes between two configurations as encoding/json decodes them, in order.
// Entries of lists are identified by their names, or by their kinds and names.
func Diff(before, after any) []Change {
	b, a := items(before), items(after)
	all := maps.Clone(b)
	maps.Copy(all, a)
	var changes []Change
	for _, item := range slices.Sorted(maps.Keys(all)) {
		switch {
		case b[item] == nil:
			changes = append(changes, Change{Item: item, Action: "add"})
		case a[item] == nil:
			changes = append(changes, Change{Item: item, Action: "remove"})
		default:
			changes = append(changes, fieldChanges(item, b[item], a[item])...)
		}
	}
	return changes
}

func fieldChanges(item string, before, after fields) []Change {
	all := maps.Clone(before)
	maps.Copy(all, after)
	var changes []Change
	for _, field := range slices.Sorted(maps.Keys(all)) {
		if before[field] != after[field] {
			changes = append(changes, Change{item, "change", field, before[field], after[field]})
		}
	}
	return changes
}

// items returns the entries of a configuration: those of an array, or those of the lists of an object.
func items(value any) map[string]fields {
	all := map[string]fields{}
	switch value := value.(type) {
	case []any:
		addItems(all, "", value)
	case map[string]any:
		all[""] = fields{}
		for name, v := range value {
			if list, ok := v.([]any); ok {
				addItems(all, name+"/", list)
				continue
			}
			flatten(all[""], name, v)
		}
	}
	return all
}

func addItems(all map[string]fields, prefix string, list []any) {
	for i, v := range list {
		name := prefix + entryName(v, i)
		for n := 2; all[name] != nil; n++ {
			name = fmt.Sprintf("%s%s#%d", prefix, entryName(v, i), n)
		}
		all[name] = fields{}
		flatten(all[name], "", v)
	}
}

// entryName returns the name that identifies an entry of a list, or its index.
func entryName(v any, index int) string {
	object, _ := v.(map[string]any)
	for _, field := range []string{"name", "service"} {
		if name, ok := object[field].(string); ok {
			if kind, ok := object["kind"].(string); ok && object["schema"] != nil {
				return kind + "/" + name
			}
			return name
		}
	}
	return fmt.Sprint(index)
}

func flatten(out fields, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, v := range value {
			if path == "" && name == "revision" {
				continue // it states which version of a record is replaced
			}
			flatten(out, join(path, name), v)
		}
	case []any:
		for i, v := range value {
			if _, isObject := v.(map[string]any); isObject {
				flatten(out, path+"/"+entryName(v, i), v)
				continue
			}
			out[path+"/"+scalarName(path, v, i)] = scalarValue(path, v)
		}
	default:
		out[path] = scalarValue(path, value)
	}
}

func scalarName(path string, value any, index int) string {
	if path == keyField {
		return keyID(value)
	}
	return fmt.Sprint(index)
}

// keyID returns what is shown of a key: the beginning of its SHA-256.
func keyID(value any) string {
	sum := sha256.Sum256([]byte(fmt.Sprint(value)))
	return fmt.Sprintf("sha256:%x", sum[:4])
}

func scalarValue(path string, value any) string {
	if path == keyField {
		return "a key"
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(raw)
}

// decodeJSON decodes a value. Numbers keep their digits: a float64 may be too small for them.
func decodeJSON(raw []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var out any
	err := decoder.Decode(&out)
	return out, err
}
