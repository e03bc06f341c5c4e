package store_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin"
	platformstandin "github.com/jasminelock/jasminelock/standin/platform"
	"github.com/jasminelock/jasminelock/store"
)

// Guards against a stand-in that states an era before a restore, keeps writes made since the copy or does not issue
// versions again, since tests of restores would then pass for the wrong reason.
func TestPlatform_Restore(t *testing.T) {
	p := platformstandin.New()
	server, err := standin.Serve("127.0.0.1:0", p)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	c := store.NewClient(server.URL, timeout)
	require.NoError(t, c.Commit(t.Context(), putTxn("a", "1", 0)))
	require.NoError(t, c.Put(t.Context(), "o", []byte("1"), true))
	copied := p.Copy()
	require.NoError(t, c.Commit(t.Context(), putTxn("a", "2", 1)))
	require.NoError(t, c.Commit(t.Context(), putTxn("b", "2", 0)))
	require.NoError(t, c.Put(t.Context(), "o", []byte("2"), false))
	require.Zero(t, c.Era())
	for era := int64(1); era <= 2; era++ {
		p.Restore(copied)
		row, err := c.Get(t.Context(), "t", "a")
		require.NoError(t, err)
		require.Equal(t, store.Row{Key: "a", Value: []byte("1"), Version: 1}, row)
		require.Equal(t, era, c.Era())
		require.Equal(t, era, c.Restores())
		_, err = c.Get(t.Context(), "t", "b")
		require.ErrorIs(t, err, store.ErrNotFound)
		require.NoError(t, c.Commit(t.Context(), putTxn("a", "3", 1)), "version 2 is issued again")
	}
	object, err := c.GetObject(t.Context(), "o")
	require.NoError(t, err)
	require.Equal(t, "2", string(object), "objects may be newer than rows")
	p.RestoreObjects(copied)
	object, err = c.GetObject(t.Context(), "o")
	require.NoError(t, err)
	require.Equal(t, "1", string(object))
	later := store.NewClient(server.URL, timeout)
	_, err = later.Get(t.Context(), "t", "a")
	require.NoError(t, err)
	require.Equal(t, int64(2), later.Era())
	require.Zero(t, later.Restores(), "the client has seen no other era")
}

// A response of the older era arrives after one of the newer era. Guards against a late response that is taken for the
// state of the restored store, also if it is "not found" or the reply to a write.
func TestClient_ResponseOfOlderEra(t *testing.T) {
	for name, status := range map[string]int{"found": http.StatusOK, "not found": http.StatusNotFound, "conflict": http.StatusConflict} {
		for _, late := range []string{"", "1", "invalid", "-1"} {
			t.Run(name+"/"+late, func(t *testing.T) {
				era := "2"
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if era != "" {
						w.Header().Set(store.HeaderEra, era)
					}
					w.WriteHeader(status)
					_, _ = w.Write([]byte("{}"))
				}))
				defer server.Close()
				c := store.NewClient(server.URL, timeout)
				_, err := c.Get(t.Context(), "t", "k")
				require.NotErrorIs(t, err, store.ErrUnavailable)
				require.Equal(t, int64(2), c.Era())
				era = late
				_, err = c.Get(t.Context(), "t", "k")
				require.ErrorIs(t, err, store.ErrUnavailable)
				require.ErrorIs(t, c.Commit(t.Context(), putTxn("k", "v", 0)), store.ErrUnavailable)
				require.Equal(t, int64(2), c.Era())
			})
		}
	}
}
