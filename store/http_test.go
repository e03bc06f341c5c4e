package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin"
	platformstandin "github.com/jasminelock/jasminelock/standin/platform"
	"github.com/jasminelock/jasminelock/store"
)

// timeout is long enough that calls fail only because of injected faults.
const timeout = time.Minute

func startPlatform(t *testing.T) (*platformstandin.Platform, *store.Client) {
	t.Helper()
	p := platformstandin.New()
	server, err := standin.Serve("127.0.0.1:0", p)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return p, store.NewClient(server.URL+"/", timeout)
}

func putTxn(key, value string, version int64) store.Txn {
	return store.Txn{
		Conditions: []store.Condition{{Table: "t", Key: key, Version: version}},
		Writes:     []store.Write{{Table: "t", Key: key, Value: []byte(value)}},
	}
}

func TestClient_TableService(t *testing.T) {
	_, c := startPlatform(t)
	_, err := c.Get(t.Context(), "t", "a/1")
	require.ErrorIs(t, err, store.ErrNotFound)
	for _, key := range []string{"a/2", "a/1", "b"} {
		require.NoError(t, c.Commit(t.Context(), putTxn(key, "v", 0)))
	}
	require.ErrorIs(t, c.Commit(t.Context(), putTxn("b", "w", 0)), store.ErrConflict)
	require.NoError(t, c.Commit(t.Context(), putTxn("b", "w", 1)))
	row, err := c.Get(t.Context(), "t", "b")
	require.NoError(t, err)
	require.Equal(t, store.Row{Key: "b", Value: []byte("w"), Version: 2}, row)
	rows, err := c.List(t.Context(), "t", "a/", "a/1", 10)
	require.NoError(t, err)
	require.Equal(t, []store.Row{{Key: "a/2", Value: []byte("v"), Version: 1}}, rows)
	remove := store.Txn{Writes: []store.Write{{Table: "t", Key: "b", Delete: true}}}
	require.NoError(t, c.Commit(t.Context(), remove))
	_, err = c.Get(t.Context(), "t", "b")
	require.ErrorIs(t, err, store.ErrNotFound)
}

func TestClient_ObjectAndWeightStores(t *testing.T) {
	p, c := startPlatform(t)
	objects := c.Objects()
	require.NoError(t, objects.Put(t.Context(), "a/b", []byte("1"), true))
	require.ErrorIs(t, objects.Put(t.Context(), "a/b", []byte("2"), true), store.ErrConflict)
	require.NoError(t, objects.Put(t.Context(), "a/b", []byte("3"), false))
	data, err := objects.Get(t.Context(), "a/b")
	require.NoError(t, err)
	require.Equal(t, "3", string(data))
	require.NoError(t, objects.Delete(t.Context(), "a/b"))
	require.NoError(t, objects.Delete(t.Context(), "a/b"))
	_, err = objects.Get(t.Context(), "a/b")
	require.ErrorIs(t, err, store.ErrNotFound)
	p.AddWeight(store.WeightInfo{Source: "w/1", Bytes: 7})
	info, err := c.Stat(t.Context(), "w/1")
	require.NoError(t, err)
	require.Equal(t, int64(7), info.Bytes)
}

func TestClient_HostList(t *testing.T) {
	p, c := startPlatform(t)
	require.NoError(t, c.Announce(t.Context(), store.Host{Name: "a1", Zone: "a"}, time.Hour))
	require.NoError(t, c.Announce(t.Context(), store.Host{Name: "gone"}, time.Nanosecond))
	hosts, err := c.Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, []store.Host{{Name: "a1", Zone: "a"}}, hosts)
	p.SetFaults(platformstandin.Faults{HostListLag: time.Hour})
	hosts, err = c.Hosts(t.Context())
	require.NoError(t, err)
	require.Empty(t, hosts, "the host list lags behind the announcement")
	p.SetFaults(platformstandin.Faults{})
	require.NoError(t, c.Withdraw(t.Context(), "a1"))
	hosts, err = c.Hosts(t.Context())
	require.NoError(t, err)
	require.Empty(t, hosts)
}

// A lost answer and a service that is down both give ErrUnavailable, with the outcome
// of the write unknown: it took effect in the first case and did not in the second.
func TestClient_Unavailable(t *testing.T) {
	p, c := startPlatform(t)
	var unavailable []string
	c.ObserveErrors(func(service string) { unavailable = append(unavailable, service) })
	p.SetFaults(platformstandin.Faults{LoseAnswers: 1})
	require.ErrorIs(t, c.Commit(t.Context(), putTxn("a", "v", 0)), store.ErrUnavailable)
	require.ErrorIs(t, c.Commit(t.Context(), putTxn("a", "v", 0)), store.ErrConflict, "the commit whose answer was lost has taken effect")
	p.SetFaults(platformstandin.Faults{Down: true})
	require.ErrorIs(t, c.Commit(t.Context(), putTxn("b", "v", 0)), store.ErrUnavailable)
	_, err := c.Hosts(t.Context())
	require.ErrorIs(t, err, store.ErrUnavailable)
	p.SetFaults(platformstandin.Faults{})
	_, err = c.Get(t.Context(), "t", "b")
	require.ErrorIs(t, err, store.ErrNotFound)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Get(cancelled, "t", "b")
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Equal(t, []string{"tables", "tables", "hosts", "tables"}, unavailable)
}
