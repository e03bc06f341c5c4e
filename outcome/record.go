package outcome

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jasminelock/jasminelock/apierr"
)

// schema is the version of the row's encoding. A reader accepts rows of this and
// all earlier versions and ignores unknown fields.
const schema = 1

// state is the recorded state of a request.
type state uint8

const (
	// stateRunning means that the request may have been dispatched.
	stateRunning state = iota + 1
	// stateDone means that the answer is stored.
	stateDone
	// stateUnknown means that the request may have run and its answer is lost.
	stateUnknown
	// stateFree means that the request did not run and the key may be claimed again.
	stateFree
)

// row is the record of one idempotency key. Rows are never deleted before they
// expire: the version number of a row only increases, so that a delayed write of
// an earlier claim cannot overwrite a later one.
type row struct {
	Schema int   `cbor:"1,keyasint"`
	State  state `cbor:"2,keyasint"`
	// Operation is the unique id of the claim that wrote the row.
	Operation   string `cbor:"3,keyasint"`
	Fingerprint []byte `cbor:"4,keyasint"`
	// Deadline is the time by which the claim's holder has ended the request.
	Deadline time.Time `cbor:"5,keyasint"`
	Expires  time.Time `cbor:"6,keyasint"`
	// Status, Header and Body are the answer. Object is set instead of Body if the
	// body exceeds MaxInlineBytes; it is the name of the object that holds the body.
	Status int         `cbor:"7,keyasint,omitempty"`
	Header http.Header `cbor:"8,keyasint,omitempty"`
	Body   []byte      `cbor:"9,keyasint,omitempty"`
	Object string      `cbor:"10,keyasint,omitempty"`
}

var errUnreadableRow = errors.New("outcome: the row cannot be decoded by this version")

// encMode encodes times as RFC 3339 text with nanoseconds; the default encoding
// has whole seconds.
var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func (r *row) encode() ([]byte, error) { return encMode.Marshal(r) }

func decodeRow(raw []byte) (*row, error) {
	var r row
	if cbor.Unmarshal(raw, &r) != nil {
		return nil, errUnreadableRow
	}
	if r.Schema < 1 || r.Schema > schema || r.State < stateRunning || r.State > stateFree {
		return nil, errUnreadableRow
	}
	return &r, nil
}

// rowKey returns the hex SHA-256 of the organisation and the idempotency key. The
// hash distributes rows evenly and keeps callers' keys out of the table.
func rowKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// claimDecision is how a claim proceeds after finding an existing row.
type claimDecision uint8

const (
	decisionOwned  claimDecision = iota // the row was written by this claim
	decisionClaim                       // the key may be claimed
	decisionReplay                      // replay the stored answer
	decisionWait                        // the first request may still be running
	decisionReject                      // reject the request with the error
)

// evaluateRow decides how the claim with the row own proceeds after finding another
// row under its key. abandoned reports whether an operation belongs to a claim of
// this host that was abandoned before its dispatch.
func evaluateRow(now time.Time, found *row, own *row, abandoned func(operation string) bool) (claimDecision, *apierr.Error) {
	switch {
	case found.State == stateRunning && found.Operation == own.Operation:
		return decisionOwned, nil
	case found.State == stateFree, now.After(found.Expires):
		return decisionClaim, nil
	case found.State == stateRunning && abandoned(found.Operation):
		return decisionClaim, nil
	case !bytes.Equal(found.Fingerprint, own.Fingerprint):
		return decisionReject, apierr.New(apierr.IdempotencyMismatch, "")
	case found.State == stateDone:
		return decisionReplay, nil
	case found.State == stateUnknown, now.After(found.Deadline.Add(MaxClockSkew)):
		return decisionReject, unknownOutcome()
	}
	return decisionWait, nil
}

func unknownOutcome() *apierr.Error {
	return apierr.New(apierr.OutcomeUnknown, "a request with this idempotency key").WithRan(apierr.MayHaveRun)
}
