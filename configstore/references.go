package configstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// CheckReferences returns a check that the configuration with the changed
// records has no missing reference that it does not have without them. It
// reads the whole configuration once, and what has changed at each later try.
func CheckReferences(t store.TableService, records []record.Envelope) Check {
	reader := NewReader(t)
	return func(ctx context.Context, revision int64) error {
		if _, _, err := reader.Poll(ctx); err != nil {
			return err
		}
		current := reader.config
		if current.Revision != revision {
			return fmt.Errorf("%w: the head moved during the check", store.ErrConflict)
		}
		next, problems := current.Apply(revision+1, records)
		if len(problems) == 0 {
			problems = added(current.Check(), next.Check())
		}
		if len(problems) > 0 {
			return &ReferenceError{problems}
		}
		return nil
	}
}

// added returns the problems of after that before does not have.
func added(before, after []error) []error {
	known := map[string]bool{}
	for _, p := range before {
		known[p.Error()] = true
	}
	var fresh []error
	for _, p := range after {
		if !known[p.Error()] {
			fresh = append(fresh, p)
		}
	}
	return fresh
}

// Verify reports what would keep the records from being written now. It writes
// nothing.
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

// CheckNew returns a check that there is no record of that name, a removed one
// apart.
func CheckNew(t store.TableService, ref record.Ref) Check {
	return func(ctx context.Context, _ int64) error {
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

// CombineChecks returns a check that holds where every one of the checks does.
func CombineChecks(checks ...Check) Check {
	return func(ctx context.Context, revision int64) error {
		for _, check := range checks {
			if err := check(ctx, revision); err != nil {
				return err
			}
		}
		return nil
	}
}
