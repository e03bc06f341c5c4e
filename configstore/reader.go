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
	var update *configUpdate
	err := inOneEra(r.tables, func() (err error) {
		update, err = r.poll(ctx)
		return err
	})
	if err != nil || update == nil {
		return nil, nil, err
	}
	r.config = update.config
	return update.config, update.problems, nil
}

// poll reads what has changed, nil if nothing has.
func (r *Reader) poll(ctx context.Context) (*configUpdate, error) {
	h, _, err := readHead(ctx, r.tables)
	if err != nil || h.Revision <= r.config.Revision {
		return nil, err
	}
	update := &configUpdate{tables: r.tables, config: r.config, newest: h.Revision}
	if store.EraOf(h.Revision) != store.EraOf(r.config.Revision) {
		// The restored store lacks changes of the older era that this reader may have.
		update.config = record.NewConfig()
	}
	if update.config.Revision == 0 || h.Revision-update.config.Revision > maxIncrementalChanges {
		if err := update.loadRecords(ctx); err != nil {
			return nil, err
		}
	}
	return update, update.applyChanges(ctx)
}

// maxEraAttempts is the maximum number of attempts to read in one era. The first responses
// of a client raise its era once, and each restore does so again.
const maxEraAttempts = 3

// inOneEra calls read until all of its responses are of one era of the store.
func inOneEra(t store.TableService, read func() error) error {
	for range maxEraAttempts {
		era := store.CurrentEra(t)
		if err := read(); err != nil || store.CurrentEra(t) == era {
			return err
		}
	}
	return fmt.Errorf("%w: restored during each of %d reads", store.ErrUnavailable, maxEraAttempts)
}

// News is what has been written after a revision.
type News struct {
	// Head is the newest revision. Era is the era of the store in which it was read.
	Head store.Position
	Era  int64
	// Changes are the changes after the revision, oldest first, possibly only the first of them.
	Changes []Change
}

// ReadNews reads the head and up to limit changes after a revision, all in one era.
func ReadNews(ctx context.Context, t store.TableService, after store.Position, limit int) (News, error) {
	var news News
	err := inOneEra(t, func() (err error) {
		news = News{}
		if news.Head, err = ReadHead(ctx, t); err == nil && news.Head > after {
			news.Changes, err = ReadChanges(ctx, t, after, limit)
		}
		news.Era = store.CurrentEra(t)
		return err
	})
	return news, err
}

// configUpdate advances a configuration to the head.
type configUpdate struct {
	tables   store.TableService
	config   *record.Config
	newest   store.Position
	problems []error
}

func (u *configUpdate) apply(revision store.Position, records []record.Envelope) {
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
