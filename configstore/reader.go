package configstore

import (
	"context"
	"fmt"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// maxCatchUp is how many changes a reader applies one after another. One that
// is further behind reads the records instead: a host that starts must not
// need all changes since the first.
const maxCatchUp = 1000

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
	c := catchUp{tables: r.tables, config: r.config, newest: h.Revision}
	if h.Revision-r.config.Revision > maxCatchUp || r.config.Revision == 0 {
		if err := c.records(ctx); err != nil {
			return nil, nil, err
		}
	}
	if err := c.changes(ctx); err != nil {
		return nil, nil, err
	}
	r.config = c.config
	return c.config, c.problems, nil
}

// catchUp brings a configuration up to the head.
type catchUp struct {
	tables   store.TableService
	config   *record.Config
	newest   int64
	problems []error
}

func (c *catchUp) apply(revision int64, records []record.Envelope) {
	next, problems := c.config.Apply(revision, records)
	c.config = next
	c.problems = append(c.problems, problems...)
}

// records reads every record. What is read may be newer than the head that was
// read before: the changes since then are applied afterwards, and only the
// result, at the head as it is by then, leaves the reader.
func (c *catchUp) records(ctx context.Context) error {
	start, seen := c.newest, c.newest
	err := List(ctx, c.tables, "", func(page []record.Envelope) error {
		for _, e := range page {
			seen = max(seen, e.Revision)
		}
		c.apply(start, page)
		return nil
	})
	if err != nil {
		return err
	}
	h, _, err := readHead(ctx, c.tables)
	if err != nil {
		return err
	}
	if h.Revision < seen {
		return fmt.Errorf("configstore: head %d is older than a record of revision %d", h.Revision, seen)
	}
	c.newest = h.Revision
	return nil
}

// changes applies the changes up to the newest revision.
func (c *catchUp) changes(ctx context.Context) error {
	for c.config.Revision < c.newest {
		changes, err := ReadChanges(ctx, c.tables, c.config.Revision, pageRows)
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return fmt.Errorf("configstore: no change after revision %d below head %d", c.config.Revision, c.newest)
		}
		var records []record.Envelope
		for _, change := range changes {
			records = append(records, change.Records...)
		}
		c.apply(changes[len(changes)-1].Revision, records)
	}
	return nil
}
