// Package outcome records idempotency keys and the outcomes of their requests
// in the platform's table service, so that a request which may not be repeated
// runs once and a duplicate on any host is given the same answer.
//
// A key is claimed by a conditional insert before the request is dispatched.
// The claim then ends in one of three ways: Complete stores the answer, Release
// frees the key of a request that did not run, and otherwise the outcome is
// marked unknown. A claim whose holder has died is unknown once its deadline
// has passed: nobody can know whether the request ran.
package outcome

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/store"
)

// Bounds of a claim's life.
const (
	// ClaimTimeout bounds how long a request waits for its key to be recorded.
	ClaimTimeout = 3 * time.Second
	// DuplicateWaitTimeout bounds how long a duplicate waits for the first request.
	DuplicateWaitTimeout = 5 * time.Second
	// CompleteTimeout bounds how long an answer waits for being stored. After
	// it the answer is given, and storing goes on.
	CompleteTimeout = 2 * time.Second
	// FinishTimeout bounds how long the end of a claim is tried to be written.
	FinishTimeout = 5 * time.Minute
	// KeyLifetime is how long a key is remembered, from its claim.
	KeyLifetime = 24 * time.Hour
	// MaxClockSkew is the largest difference between two hosts' clocks.
	MaxClockSkew = 5 * time.Second
	// MaxInlineBytes is the largest body that is kept in the row itself.
	MaxInlineBytes = 16 << 10
	// MaxPendingFinishes bounds how many claims' ends are being written at once.
	MaxPendingFinishes = 1024
)

const (
	table          = "outcomes"
	retryAfterDown = 2 * time.Second
	retryAfterBusy = time.Second
	firstPause     = 50 * time.Millisecond
	longestPause   = time.Second
)

// Request names what is to run once.
type Request struct {
	Organisation string
	Key          string
	// Fingerprint tells the request from another one under the same key.
	Fingerprint []byte
	// Deadline is when the request has ended at the latest.
	Deadline time.Time
}

// Answer is an answer that is stored and replayed.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Store keeps outcomes in the platform's services.
type Store struct {
	tables  store.TableService
	objects store.ObjectStore

	// group counts the claims whose end is being written.
	group    sync.WaitGroup
	settling chan struct{}

	// mu guards abandoned, the operations that were given up before dispatch
	// and whose rows have not been freed yet.
	mu        sync.Mutex
	abandoned map[string]bool
}

// New returns a store.
func New(tables store.TableService, objects store.ObjectStore) *Store {
	return &Store{
		tables: tables, objects: objects,
		settling: make(chan struct{}, MaxPendingFinishes), abandoned: map[string]bool{},
	}
}

// Wait returns when the end of every claim has been written or given up.
func (s *Store) Wait() { s.group.Wait() }

// Claim is the right to run a request once. Exactly one of Complete and Release
// ends it.
type Claim struct {
	store *Store
	key   string
	row   row
	// version is the row's version as last known, 0 for no row.
	version int64
}

// Begin claims the request's key. It returns a claim, or the stored answer of
// an earlier request, or the error that answers the request.
func (s *Store) Begin(ctx context.Context, r Request) (*Claim, *Answer, *apierr.Error) {
	now := time.Now()
	c := &Claim{store: s, key: rowKey(r.Organisation, r.Key), row: row{
		Schema: schema, State: stateRunning, Operation: rand.Text(), Fingerprint: r.Fingerprint,
		Deadline: r.Deadline, Expires: now.Add(KeyLifetime),
	}}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	claimBy, pauses := now.Add(ClaimTimeout), newPauses()
	waitUntil := now.Add(DuplicateWaitTimeout)
	for {
		step, answer, apiErr := s.tryBegin(ctx, c)
		now = time.Now()
		switch {
		case step == verdictOwned:
			return c, nil, nil
		case step == verdictReplay || step == verdictRefuse:
			return nil, answer, apiErr
		case step == verdictWait && (now.After(waitUntil) || ctx.Err() != nil):
			return nil, nil, apierr.New(apierr.IdempotencyInProgress, "").WithRan(apierr.MayHaveRun).WithRetryAfter(retryAfterBusy)
		case step == verdictDown && (now.After(claimBy) || ctx.Err() != nil):
			s.abandon(c)
			return nil, nil, apierr.New(apierr.OutcomeStoreDown, "").WithRetryAfter(retryAfterDown)
		}
		pause(ctx, pauses.NextBackOff())
	}
}

// verdictDown says that the table service did not tell how the claim stands.
const verdictDown verdict = 255

// tryBegin tries once to write the claim's row.
func (s *Store) tryBegin(ctx context.Context, c *Claim) (verdict, *Answer, *apierr.Error) {
	err := c.write(ctx, c.row)
	if err == nil {
		return verdictOwned, nil, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return verdictDown, nil, nil
	}
	found, version, err := s.read(ctx, c.key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		c.version = 0 // it expired meanwhile
		return verdictDown, nil, nil
	case errors.Is(err, errRow):
		return verdictRefuse, nil, unknownOutcome()
	case err != nil:
		return verdictDown, nil, nil
	}
	step, apiErr := judge(time.Now(), found, &c.row, s.isAbandoned)
	switch step {
	case verdictOwned:
		c.version = version
	case verdictTake:
		c.version = version
		if c.write(ctx, c.row) == nil {
			return verdictOwned, nil, nil
		}
		return verdictDown, nil, nil
	case verdictReplay:
		return s.replay(ctx, found)
	}
	return step, nil, apiErr
}

// write writes the claim's row, if it still has the version last known.
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

// replay returns the stored answer of a row.
func (s *Store) replay(ctx context.Context, r *row) (verdict, *Answer, *apierr.Error) {
	answer := &Answer{Status: r.Status, Header: r.Header, Body: r.Body}
	if r.Object == "" {
		return verdictReplay, answer, nil
	}
	body, err := s.objects.Get(ctx, r.Object)
	if errors.Is(err, store.ErrNotFound) {
		return verdictRefuse, nil, apierr.New(apierr.OutcomeUnknown, "the stored answer is lost").WithRan(apierr.HasRun)
	}
	if err != nil {
		// The answer exists and will be readable again: the key is not free.
		return verdictWait, nil, nil
	}
	answer.Body = body
	return verdictReplay, answer, nil
}

func (s *Store) isAbandoned(operation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandoned[operation]
}

// newPauses returns the waits between tries, with jitter.
func newPauses() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstPause
	b.MaxInterval = longestPause
	return b
}

// pause waits for d or for the context's end.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
