//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

// protocolJSON holds names of the platform's protocol, which no Go file outside package platform and the stand-ins may use.
//
//go:embed protocol.json
var protocolJSON []byte

// names are the names of the protocol, by what they stand for here.
var names = func() map[string]string {
	var out map[string]string
	if err := json.Unmarshal(protocolJSON, &out); err != nil {
		panic(err)
	}
	return out
}()
