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

// schema is the version of the row's encoding. A reader takes rows of its own
// version and below; fields that it does not know are ignored.
const schema = 1

// state is what a row says of its request.
type state uint8

const (
	// stateRunning: the request may have been dispatched.
	stateRunning state = iota + 1
	// stateDone: the answer is stored.
	stateDone
	// stateUnknown: the request may have run and its answer is lost.
	stateUnknown
	// stateFree: the request did not run. The key may be claimed again.
	stateFree
)

// row is the record of one idempotency key. Rows are never deleted before they
// expire: a version number that only grows keeps a delayed write from landing
// on a later claim.
type row struct {
	Schema int   `cbor:"1,keyasint"`
	State  state `cbor:"2,keyasint"`
	// Operation names the claim that wrote the row.
	Operation   string `cbor:"3,keyasint"`
	Fingerprint []byte `cbor:"4,keyasint"`
	// Deadline is when the claim's holder has ended the request at the latest.
	Deadline time.Time `cbor:"5,keyasint"`
	Expires  time.Time `cbor:"6,keyasint"`
	// Status, Header and Body are the answer. A large body is an object.
	Status int         `cbor:"7,keyasint,omitempty"`
	Header http.Header `cbor:"8,keyasint,omitempty"`
	Body   []byte      `cbor:"9,keyasint,omitempty"`
	Object string      `cbor:"10,keyasint,omitempty"`
}

var errRow = errors.New("outcome: the row cannot be read by this version")

// encMode keeps milliseconds of times.
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
		return nil, errRow
	}
	if r.Schema < 1 || r.Schema > schema || r.State < stateRunning || r.State > stateFree {
		return nil, errRow
	}
	return &r, nil
}

// rowKey spreads rows evenly and keeps callers' keys out of the table.
func rowKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// verdict says what a claim may do with the row that it found.
type verdict uint8

const (
	verdictOwned  verdict = iota // the row is the claim's own
	verdictTake                  // the key may be claimed
	verdictReplay                // the stored answer is the answer
	verdictWait                  // the first request still runs
	verdictRefuse                // the error is the answer
)

// judge decides what a claim may do with the row that it found. abandoned
// reports a claim of this host that was given up before its dispatch.
func judge(now time.Time, found *row, own *row, abandoned func(operation string) bool) (verdict, *apierr.Error) {
	switch {
	case found.State == stateRunning && found.Operation == own.Operation:
		return verdictOwned, nil
	case found.State == stateFree, now.After(found.Expires):
		return verdictTake, nil
	case found.State == stateRunning && abandoned(found.Operation):
		return verdictTake, nil
	case !bytes.Equal(found.Fingerprint, own.Fingerprint):
		return verdictRefuse, apierr.New(apierr.IdempotencyMismatch, "")
	case found.State == stateDone:
		return verdictReplay, nil
	case found.State == stateUnknown, now.After(found.Deadline.Add(MaxClockSkew)):
		return verdictRefuse, unknownOutcome()
	}
	return verdictWait, nil
}

func unknownOutcome() *apierr.Error {
	return apierr.New(apierr.OutcomeUnknown, "a request with this idempotency key").WithRan(apierr.MayHaveRun)
}
