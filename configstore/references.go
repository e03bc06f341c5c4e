package configstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// CheckReferences returns a check that applying the records adds no problem that
// record.Config.Check reports, such as a reference to a missing record. The check loads
// the whole configuration on its first call and only the changes since then on later
// calls.
func CheckReferences(t store.TableService, records []record.Envelope) Check {
	reader := NewReader(t)
	return func(ctx context.Context, revision store.Position) error {
		if _, _, err := reader.Poll(ctx); err != nil {
			return err
		}
		current := reader.config
		if current.Revision != revision {
			return fmt.Errorf("%w: the head changed during the reference check", store.ErrConflict)
		}
		next, problems := current.Apply(nextRevision(revision, store.CurrentEra(t)), records)
		if len(problems) == 0 {
			problems = newProblems(current.Check(), next.Check())
		}
		if len(problems) > 0 {
			return &ReferenceError{problems}
		}
		return nil
	}
}

// newProblems returns the problems in after that are not in before.
func newProblems(before, after []error) []error {
	existing := map[string]bool{}
	for _, p := range before {
		existing[p.Error()] = true
	}
	var introduced []error
	for _, p := range after {
		if !existing[p.Error()] {
			introduced = append(introduced, p)
		}
	}
	return introduced
}

// Verify returns the error with which writing the records would be rejected now, or
// nil. It writes nothing.
func Verify(ctx context.Context, t store.TableService, records []record.Envelope) error {
	h, _, err := readHead(ctx, t)
	if err != nil {
		return err
	}
	if err := checkRevisions(ctx, t, records); err != nil {
		return err
	}
	return CheckReferences(t, records)(ctx, h.Revision)
}

// CheckNew returns a check that the record ref does not exist. A deleted record counts
// as absent.
func CheckNew(t store.TableService, ref record.Ref) Check {
	return func(ctx context.Context, _ store.Position) error {
		e, err := Get(ctx, t, ref)
		switch {
		case errors.Is(err, store.ErrNotFound), err == nil && e.Deleted:
			return nil
		case err != nil:
			return err
		}
		return &ConflictError{Ref: ref, Expected: 0, Found: e.Revision}
	}
}

// CombineChecks returns a check that runs the checks in order and returns the first error.
func CombineChecks(checks ...Check) Check {
	return func(ctx context.Context, revision store.Position) error {
		for _, check := range checks {
			if err := check(ctx, revision); err != nil {
				return err
			}
		}
		return nil
	}
}
