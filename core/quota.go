package core

import (
	"crypto/sha256"

	"github.com/jasminelock/jasminelock/limit"
)

// Fingerprint is a hash of what a request asks for.
type Fingerprint [sha256.Size]byte

// Quota is the organisation's rate as it is told to a caller, in tokens.
type Quota struct {
	// Known is false where the request is not counted.
	Known     bool
	Limit     int64
	Remaining int64
}

func quotaOf(v limit.Verdict) Quota {
	return Quota{Known: v.Limit > 0, Limit: v.Limit, Remaining: v.Remaining}
}
