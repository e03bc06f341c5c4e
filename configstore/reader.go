package configstore

import (
	"context"
	"fmt"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// maxIncrementalChanges is the maximum number of changes that a reader applies one after
// another. A reader that is further behind loads all records instead, so that a
// starting host does not need every change since the first.
const maxIncrementalChanges = 1000

// Reader tracks the configuration by polling the table service.
type Reader struct {
	tables store.TableService
	config *record.Config
}

// NewReader returns a reader that starts with an empty configuration.
func NewReader(t store.TableService) *Reader {
	return &Reader{tables: t, config: record.NewConfig()}
}

// Poll returns the newest configuration, or nil if it has not changed since the last
// call. The errors in the slice are about records that were left out as invalid.
func (r *Reader) Poll(ctx context.Context) (*record.Config, []error, error) {
	h, _, err := readHead(ctx, r.tables)
	if err != nil || h.Revision <= r.config.Revision {
		return nil, nil, err
	}
	update := configUpdate{tables: r.tables, config: r.config, newest: h.Revision}
	if h.Revision-r.config.Revision > maxIncrementalChanges || r.config.Revision == 0 {
		if err := update.loadRecords(ctx); err != nil {
			return nil, nil, err
		}
	}
	if err := update.applyChanges(ctx); err != nil {
		return nil, nil, err
	}
	r.config = update.config
	return update.config, update.problems, nil
}

// configUpdate advances a configuration to the head.
type configUpdate struct {
	tables   store.TableService
	config   *record.Config
	newest   int64
	problems []error
}

func (u *configUpdate) apply(revision int64, records []record.Envelope) {
	next, problems := u.config.Apply(revision, records)
	u.config = next
	u.problems = append(u.problems, problems...)
}

// loadRecords reads every record. Records read may be newer than the head read before
// them, so the head is read again: applyChanges then applies the changes since the
// first head, and only the configuration at the second head leaves the reader.
func (u *configUpdate) loadRecords(ctx context.Context) error {
	start, newestSeen := u.newest, u.newest
	err := List(ctx, u.tables, "", func(page []record.Envelope) error {
		for _, e := range page {
			newestSeen = max(newestSeen, e.Revision)
		}
		u.apply(start, page)
		return nil
	})
	if err != nil {
		return err
	}
	h, _, err := readHead(ctx, u.tables)
	if err != nil {
		return err
	}
	if h.Revision < newestSeen {
		return fmt.Errorf("configstore: head %d is older than a record of revision %d", h.Revision, newestSeen)
	}
	u.newest = h.Revision
	return nil
}

// applyChanges applies the changes up to the newest revision.
func (u *configUpdate) applyChanges(ctx context.Context) error {
	for u.config.Revision < u.newest {
		changes, err := ReadChanges(ctx, u.tables, u.config.Revision, pageRows)
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return fmt.Errorf("configstore: no change stored after revision %d although the head is at %d", u.config.Revision, u.newest)
		}
		var records []record.Envelope
		for _, change := range changes {
			records = append(records, change.Records...)
		}
		u.apply(changes[len(changes)-1].Revision, records)
	}
	return nil
}
