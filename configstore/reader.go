package configstore

import (
	"context"
	"fmt"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// maxIncrementalChanges is how many changes a reader applies one after another. One that
// is further behind reads the records instead: a host that starts must not
// need all changes since the first.
const maxIncrementalChanges = 1000

// Reader follows the configuration.
type Reader struct {
	tables store.TableService
	config *record.Config
}

// NewReader returns a reader that has seen nothing.
func NewReader(t store.TableService) *Reader {
	return &Reader{tables: t, config: record.NewConfig()}
}

// Poll returns the newest configuration, or nil where nothing has changed.
// Problems are records that were left out since they are not valid.
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

// configUpdate brings a configuration up to the head.
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

// records reads every record. What is read may be newer than the head that was
// read before: the changes since then are applied afterwards, and only the
// result, at the head as it is by then, leaves the reader.
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

// changes applies the changes up to the newest revision.
func (u *configUpdate) applyChanges(ctx context.Context) error {
	for u.config.Revision < u.newest {
		changes, err := ReadChanges(ctx, u.tables, u.config.Revision, pageRows)
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return fmt.Errorf("configstore: no change after revision %d below head %d", u.config.Revision, u.newest)
		}
		var records []record.Envelope
		for _, change := range changes {
			records = append(records, change.Records...)
		}
		u.apply(changes[len(changes)-1].Revision, records)
	}
	return nil
}
