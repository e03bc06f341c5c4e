package tables

import (
	"fmt"
	"strings"
)

// entryFormat is an upstream's entry with places for its address, its slots, its start and further fields.
const entryFormat = `{"service":"app","address":%s,"zone":"z","state":"ready","slots":%s,"born":%s%s}`

// OddUpstreams returns entries of upstreams that a faulty writer may leave, by what is odd about them.
func OddUpstreams() map[string]string {
	entry := func(address, slots, born, more string) string {
		return fmt.Sprintf(entryFormat, address, slots, born, more)
	}
	return map[string]string{
		"nested lists":        entry(`"127.0.0.1:1"`, "8", "1", `,"models":`+strings.Repeat("[", 50_000)+strings.Repeat("]", 50_000)),
		"nested objects":      strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000),
		"nested, not closed":  strings.Repeat("[", 60_000),
		"huge number":         entry(`"127.0.0.1:1"`, "8", "1e400", ""),
		"huge whole number":   entry(`"127.0.0.1:1"`, "99999999999999999999999", "1", ""),
		"huge duration":       entry(`"127.0.0.1:1"`, "8", "1", `,"cold_remaining_ms":1e300`),
		"negative duration":   entry(`"127.0.0.1:1"`, "8", "1", `,"cold_remaining_ms":-1e300`),
		"negative slots":      entry(`"127.0.0.1:1"`, "-8", "1", ""),
		"most slots":          entry(`"127.0.0.1:1"`, "9223372036854775807", "1", ""),
		"port out of range":   entry(`"127.0.0.1:65536"`, "8", "1", ""),
		"negative port":       entry(`"127.0.0.1:-1"`, "8", "1", ""),
		"no port":             entry(`"127.0.0.1"`, "8", "1", ""),
		"null":                "null",
		"nothing":             "",
		"fields of null":      entry("null", "null", "null", ""),
		"text for an object":  `"ready"`,
		"not text":            "\xff\xfe{",
		"models of all kinds": entry(`"127.0.0.1:1"`, "8", "1", `,"models":[null,1,"x",{"name":[]}]`),
	}
}
