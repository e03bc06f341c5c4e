// Package outcome records idempotency keys and the outcomes of their requests
// in the platform's table service, so that a non-idempotent request is executed
// once and a duplicate on any host receives the same answer.
//
// A key is claimed by a conditional insert before the request is dispatched.
// The claim then ends in one of three ways: Complete stores the answer, Release
// frees the key of a request that did not run, and otherwise the outcome is
// marked unknown. If the host that holds a claim crashes, the outcome counts as
// unknown after the claim's deadline, because it cannot be determined whether
// the request ran.
//
// A restore of the store from a copy loses the rows written since the copy. Each
// host remembers its own claims for MemoryTime and writes them again; what it
// remembers takes precedence over the store. A request whose row is lost and
// whose host has ended may run a second time.
package outcome

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/store"
)

// Time-outs and size limits.
const (
	// ClaimTimeout bounds how long a request waits until its key is recorded.
	ClaimTimeout = 3 * time.Second
	// DuplicateWaitTimeout bounds how long a duplicate waits for the first request with
	// the same key to end.
	DuplicateWaitTimeout = 5 * time.Second
	// CompleteTimeout bounds how long an answer is held back until it is stored.
	// After it the answer is sent to the caller and storing continues in the
	// background.
	CompleteTimeout = 2 * time.Second
	// FinishTimeout bounds how long writing the final state of a claim is retried.
	FinishTimeout = 5 * time.Minute
	// KeyLifetime is how long a key is kept, counted from its claim.
	KeyLifetime = 24 * time.Hour
	// MaxClockSkew is the assumed maximum difference between two hosts' clocks.
	MaxClockSkew = 5 * time.Second
	// MaxInlineBytes is the largest body that is stored in the row itself. Larger
	// bodies are stored as objects.
	MaxInlineBytes = 16 << 10
	// MaxPendingFinishes bounds how many final states are being written at once.
	MaxPendingFinishes = 1024
)

const (
	table                 = "outcomes"
	retryAfterUnavailable = 2 * time.Second
	retryAfterInProgress  = time.Second
	initialBackoff        = 50 * time.Millisecond
	maxBackoff            = time.Second
)

// Request identifies a request that must be executed at most once.
type Request struct {
	Organisation string
	Key          string
	// Fingerprint distinguishes the request from a different one with the same key.
	Fingerprint []byte
	// Deadline is the time by which the request has ended.
	Deadline time.Time
}

// Answer is the response to a request, stored for replay to duplicates.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Store keeps outcomes in the platform's table service and object store.
type Store struct {
	tables  store.TableService
	objects store.ObjectStore

	// finishing counts the claims whose final state is being written; finishSlots
	// limits them to MaxPendingFinishes.
	finishing   sync.WaitGroup
	finishSlots chan struct{}

	// mu guards abandoned, the operations of this host that were abandoned before
	// dispatch and whose rows have not been freed yet.
	mu        sync.Mutex
	abandoned map[string]bool

	memory *memory
	// writtenEra is the era of the store in which the remembered claims were last written again.
	writtenEra atomic.Int64
}

// New returns a Store on the given table service and object store.
func New(tables store.TableService, objects store.ObjectStore) *Store {
	return &Store{
		tables: tables, objects: objects,
		finishSlots: make(chan struct{}, MaxPendingFinishes), abandoned: map[string]bool{},
		memory: newMemory(),
	}
}

// Wait blocks until the final state of every claim has been written or abandoned.
func (s *Store) Wait() { s.finishing.Wait() }

// Claim is the right to execute a request once. It must be ended by exactly one
// call of either Complete or Release.
type Claim struct {
	store *Store
	key   string
	row   row
	// version is the last known version of the row, 0 if there is no row.
	version int64
}

// Begin claims the request's key. It returns exactly one of three: a claim, the
// stored answer of an earlier request, or the error to send to the caller.
func (s *Store) Begin(ctx context.Context, r Request) (*Claim, *Answer, *apierr.Error) {
	now := time.Now()
	c := &Claim{store: s, key: rowKey(r.Organisation, r.Key), row: row{
		Schema: schema, State: stateRunning, Operation: rand.Text(), Fingerprint: r.Fingerprint,
		Deadline: r.Deadline, Expires: now.Add(KeyLifetime),
	}}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	claimDeadline, retryDelays := now.Add(ClaimTimeout), newBackoff()
	duplicateDeadline := now.Add(DuplicateWaitTimeout)
	for {
		decision, answer, apiErr := s.tryBegin(ctx, c)
		now = time.Now()
		switch {
		case decision == decisionOwned:
			s.memory.set(c.key, c.row, nil, now)
			return c, nil, nil
		case decision == decisionReplay || decision == decisionReject:
			return nil, answer, apiErr
		case decision == decisionWait && (now.After(duplicateDeadline) || ctx.Err() != nil):
			return nil, nil, apierr.New(apierr.IdempotencyInProgress, "").WithRan(apierr.MayHaveRun).WithRetryAfter(retryAfterInProgress)
		case decision == decisionUnavailable && (now.After(claimDeadline) || ctx.Err() != nil):
			s.abandon(c)
			return nil, nil, apierr.New(apierr.OutcomeStoreDown, "").WithRetryAfter(retryAfterUnavailable)
		}
		sleep(ctx, retryDelays.NextBackOff())
	}
}

// decisionUnavailable means that the state of the row could not be determined.
const decisionUnavailable claimDecision = 255

// tryBegin makes one attempt to claim the key by inserting the claim's row, unless this host remembers an earlier claim.
func (s *Store) tryBegin(ctx context.Context, c *Claim) (claimDecision, *Answer, *apierr.Error) {
	if decision, answer, apiErr := s.recall(ctx, c); decision != decisionClaim {
		return decision, answer, apiErr
	}
	err := c.write(ctx, c.row)
	if err == nil {
		return decisionOwned, nil, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return decisionUnavailable, nil, nil
	}
	found, version, err := s.read(ctx, c.key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		c.version = 0 // the row has expired and been deleted since the insert
		return decisionUnavailable, nil, nil
	case errors.Is(err, errUnreadableRow):
		return decisionReject, nil, unknownOutcome()
	case err != nil:
		return decisionUnavailable, nil, nil
	}
	decision, apiErr := evaluateRow(time.Now(), found, &c.row, c.isFreed)
	switch decision {
	case decisionOwned:
		c.version = version
	case decisionClaim:
		c.version = version
		if c.write(ctx, c.row) == nil {
			return decisionOwned, nil, nil
		}
		return decisionUnavailable, nil, nil
	case decisionReplay:
		return s.replay(ctx, found)
	}
	return decision, nil, apiErr
}

// write writes r as the claim's row if the stored row still has the last known
// version. Otherwise it returns store.ErrConflict.
func (c *Claim) write(ctx context.Context, r row) error {
	raw, err := r.encode()
	if err != nil {
		return err
	}
	err = c.store.tables.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Table: table, Key: c.key, Version: c.version}},
		Writes:     []store.Write{{Table: table, Key: c.key, Value: raw}},
	})
	if err == nil {
		c.version++
	}
	return err
}

func (s *Store) read(ctx context.Context, key string) (*row, int64, error) {
	raw, err := s.tables.Get(ctx, table, key)
	if err != nil {
		return nil, 0, err
	}
	r, err := decodeRow(raw.Value)
	return r, raw.Version, err
}

// replay returns the stored answer of a row, reading a large body from the object
// store.
func (s *Store) replay(ctx context.Context, r *row) (claimDecision, *Answer, *apierr.Error) {
	answer := &Answer{Status: r.Status, Header: r.Header, Body: r.Body}
	if r.Object == "" {
		return decisionReplay, answer, nil
	}
	body, err := s.objects.Get(ctx, r.Object)
	if errors.Is(err, store.ErrNotFound) {
		return decisionReject, nil, apierr.New(apierr.OutcomeUnknown, "the stored answer is missing from the object store").WithRan(apierr.HasRun)
	}
	if err != nil {
		// The answer exists and can be read later, so the key must not be claimed.
		return decisionWait, nil, nil
	}
	answer.Body = body
	return decisionReplay, answer, nil
}

// isFreed reports whether an operation belongs to a claim of this host on the same key whose request did not run.
func (c *Claim) isFreed(operation string) bool {
	return c.store.isAbandoned(operation) || c.store.memory.isFree(c.key, operation)
}

func (s *Store) isAbandoned(operation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandoned[operation]
}

// newBackoff returns the delays between attempts: exponential, with jitter.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return b
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
