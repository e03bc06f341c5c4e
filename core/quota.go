package core

import (
	"crypto/sha256"

	"github.com/jasminelock/jasminelock/limit"
)

// Fingerprint is a hash of the method, the path and the body of a request.
type Fingerprint [sha256.Size]byte

// Quota is the state of the organisation's rate limit as it is reported to a caller, in tokens.
type Quota struct {
	// Known is false if the request is not counted.
	Known     bool
	Limit     int64
	Remaining int64
}

func quotaOf(v limit.Verdict) Quota {
	return Quota{Known: v.Limit > 0, Limit: v.Limit, Remaining: v.Remaining}
}
