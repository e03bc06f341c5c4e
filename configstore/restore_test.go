package configstore

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/record"
	platformstandin "github.com/jasminelock/jasminelock/standin/platform"
	"github.com/jasminelock/jasminelock/store"
)

// restorable is a platform that can be restored from a copy, and a client of it.
type restorable struct {
	*store.Client
	t        *testing.T
	platform *platformstandin.Platform
	url      string
}

func newRestorable(t *testing.T) *restorable {
	t.Helper()
	p := platformstandin.New()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return &restorable{store.NewClient(server.URL, time.Minute), t, p, server.URL}
}

// write writes one organisation and returns the revision.
func (r *restorable) write(name string) store.Position {
	r.t.Helper()
	revision, err := Write(r.t.Context(), r, Change{Operation: name, Records: []record.Envelope{organisation(name, "")}})
	require.NoError(r.t, err)
	return revision
}

// Guards against revisions that are issued twice, a reader that ignores the restored store for as long as its head is lower
// than before, and a reader that keeps records which the restored store lacks once the operator has written again.
func TestRestore_RevisionsRise(t *testing.T) {
	r := newRestorable(t)
	follower := NewReader(r)
	r.write("kept")
	copied := r.platform.Copy()
	r.write("lost-1")
	last := r.write("lost-2")
	config, _, err := follower.Poll(t.Context())
	require.NoError(t, err)
	require.Equal(t, store.Position(3), config.Revision)
	for era := int64(1); era <= 2; era++ {
		r.platform.Restore(copied)
		config, _, err = follower.Poll(t.Context())
		require.NoError(t, err)
		require.Nil(t, config, "the reader keeps what it knows until the operator has written")
		revision := r.write("after")
		require.Equal(t, store.NewPosition(era, 2), revision)
		require.Greater(t, revision, last)
		last = revision
		config, _, err = follower.Poll(t.Context())
		require.NoError(t, err)
		require.Equal(t, revision, config.Revision)
		for name, want := range map[string]bool{"kept": true, "after": true, "lost-1": false, "lost-2": false} {
			_, ok := config.Organisation(name)
			require.Equal(t, want, ok, name)
		}
		fresh, _, err := NewReader(r).Poll(t.Context())
		require.NoError(t, err)
		require.Equal(t, revision, fresh.Revision)
	}
}

// Guards against a history that ends at the last restore.
func TestRestore_History(t *testing.T) {
	r := newRestorable(t)
	r.write("a")
	r.write("b")
	for _, name := range []string{"c", "d"} {
		r.platform.Restore(r.platform.Copy())
		r.write(name)
	}
	r.write("e")
	for limit, want := range map[int][]string{1: {"e"}, 2: {"d", "e"}, 3: {"c", "d", "e"}, 4: {"b", "c", "d", "e"}, 9: {"a", "b", "c", "d", "e"}} {
		changes, err := History(t.Context(), r, limit)
		require.NoError(t, err)
		var names []string
		for _, c := range changes {
			names = append(names, c.Operation)
		}
		require.Equal(t, want, names, "limit %d", limit)
	}
}

// A writer reads the head and commits after a restore, when the head's row has got the same version again. Guards against a
// change that is written on top of another head than its writer has read.
func TestRestore_HeadVersionIssuedAgain(t *testing.T) {
	r := newRestorable(t)
	r.write("a")
	copied := r.platform.Copy()
	r.write("lost")
	attempts := 0
	check := func(ctx context.Context, _ store.Position) error {
		if attempts++; attempts == 1 {
			r.platform.Restore(copied)
			other := store.NewClient(r.url, time.Minute)
			_, err := Write(ctx, other, Change{Operation: "other", Records: []record.Envelope{organisation("other", "")}})
			require.NoError(t, err)
		}
		return nil
	}
	revision, err := newTestWriter(r, check).Write(t.Context(), Change{Operation: "mine", Records: []record.Envelope{organisation("mine", "")}})
	require.NoError(t, err)
	require.Equal(t, 2, attempts)
	require.Equal(t, store.NewPosition(1, 3), revision)
}
