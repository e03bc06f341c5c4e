package outcome

import (
	"bytes"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/store"
)

// The store is restored from a copy without the claim, or with an earlier state of it. Guards against a request that runs a
// second time: on the host of the claim at any time, and on other hosts once the claim has been written again.
func TestRestore_RequestRunsOnce(t *testing.T) {
	small := Answer{Status: 201, Body: []byte("receipt 1")}
	large := Answer{Status: 200, Body: bytes.Repeat([]byte("x"), MaxInlineBytes+1)}
	type check func(t *testing.T, s *Store)
	replayed := func(a Answer) check { return func(t *testing.T, s *Store) { requireReplayed(t, s, a) } }
	refused := func(kind apierr.Kind) check {
		return func(t *testing.T, s *Store) { requireRefused(t, s, "kit", kind) }
	}
	cases := map[string]struct {
		finish func(t *testing.T, c *Claim)
		want   check
	}{
		"running":      {func(*testing.T, *Claim) {}, refused(apierr.IdempotencyInProgress)},
		"done":         {func(t *testing.T, c *Claim) { require.True(t, c.Complete(t.Context(), small)) }, replayed(small)},
		"large answer": {func(t *testing.T, c *Claim) { require.True(t, c.Complete(t.Context(), large)) }, replayed(large)},
		"may have run": {func(_ *testing.T, c *Claim) { c.Release(apierr.MayHaveRun); c.store.Wait() }, refused(apierr.OutcomeUnknown)},
		"not run": {func(_ *testing.T, c *Claim) { c.Release(apierr.NotRun); c.store.Wait() },
			func(t *testing.T, s *Store) { mustBegin(t, s).Release(apierr.NotRun); s.Wait() }},
	}
	for name, tc := range cases {
		for _, copied := range []string{"no row", "running"} {
			for _, objectsLost := range []bool{false, true} {
				t.Run(fmt.Sprint(name, "/", copied, "/", objectsLost), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						p := newFakePlatform()
						a, b := p.newStore(), p.newStore()
						rows := p.copyRows()
						c := mustBegin(t, a)
						if copied == "running" {
							rows = p.copyRows()
						}
						tc.finish(t, c)
						p.restore(rows)
						if objectsLost {
							maps.DeleteFunc(p.objects, func(string, []byte) bool { return true })
						}
						tc.want(t, a)
						require.True(t, a.NeedsWriteAgain())
						_, err := a.WriteAgain(t.Context())
						require.NoError(t, err)
						require.False(t, a.NeedsWriteAgain())
						tc.want(t, b)
						tc.want(t, a)
					})
				})
			}
		}
	}
}

// A request runs while the store is restored, and ends before or after its claim is written again. Guards against an answer
// that is not stored in the new era.
func TestRestore_AnswerStoredAfterwards(t *testing.T) {
	for _, again := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newFakePlatform()
			a, b := p.newStore(), p.newStore()
			c := mustBegin(t, a)
			p.restore(map[string]store.Row{})
			if again {
				_, err := a.WriteAgain(t.Context())
				require.NoError(t, err)
			}
			answer := Answer{Status: 201, Body: []byte("receipt")}
			require.True(t, c.Complete(t.Context(), answer))
			requireReplayed(t, b, answer)
		})
	}
}

// Another host claims the key before the claim is written again. Guards against a rewrite that replaces a running claim, and
// against a result that hides that the request may have run twice.
func TestRestore_KeyTakenByOtherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		a, b := p.newStore(), p.newStore()
		first := Answer{Status: 201, Body: []byte("receipt 1")}
		require.True(t, mustBegin(t, a).Complete(t.Context(), first))
		p.restore(map[string]store.Row{})
		other := mustBegin(t, b)
		result, err := a.WriteAgain(t.Context())
		require.NoError(t, err)
		require.Equal(t, Rewritten{Taken: 1}, result)
		second := Answer{Status: 201, Body: []byte("receipt 2")}
		require.True(t, other.Complete(t.Context(), second))
		requireReplayed(t, a, first)
		requireReplayed(t, b, second)
	})
}

// Guards against a memory that grows without bound, and against one that is lost after a
// restore before the claims have been written again.
func TestMemory_ForgetsStoredClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		a := p.newStore()
		require.True(t, mustBegin(t, a).Complete(t.Context(), Answer{Status: 201}))
		sweep := func() int {
			_, err := a.Sweep(t.Context(), "")
			require.NoError(t, err)
			return len(a.memory.claims)
		}
		require.Equal(t, 1, sweep())
		time.Sleep(2 * MemoryTime)
		p.restore(map[string]store.Row{})
		require.Equal(t, 1, sweep(), "not written again yet")
		result, err := a.WriteAgain(t.Context())
		require.NoError(t, err)
		require.Equal(t, Rewritten{Written: 1}, result)
		require.Zero(t, sweep())
		require.Zero(t, a.memory.bytes)
		require.Empty(t, a.memory.queue)
	})
}

// Guards against claims and bodies beyond the bounds, and against an answer that is lost to callers because the memory
// does not have its body.
func TestMemory_Bounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		a := p.newStore()
		a.memory.bytes = maxMemoryBytes
		answer := Answer{Status: 201, Body: []byte("receipt")}
		require.True(t, mustBegin(t, a).Complete(t.Context(), answer))
		requireReplayed(t, a, answer)
		p.restore(map[string]store.Row{})
		requireRefused(t, a, "kit", apierr.OutcomeUnknown)
		_, err := a.WriteAgain(t.Context())
		require.NoError(t, err)
		requireRefused(t, p.newStore(), "kit", apierr.OutcomeUnknown)
	})
	m := newMemory()
	now := time.Now()
	for i := range 3 * maxMemoryClaims {
		m.set(fmt.Sprint(i), row{}, make([]byte, 1<<10), now)
		m.set("same", row{}, nil, now)
		require.LessOrEqual(t, m.bytes, maxMemoryBytes)
	}
	require.Len(t, m.claims, maxMemoryClaims)
	require.LessOrEqual(t, len(m.queue), 4*maxMemoryClaims)
}

// Guards against remembered claims that take 100 MB on hosts with less memory.
func TestLimitMemory(t *testing.T) {
	s := New(nil, nil)
	s.LimitMemory(1 << 20)
	for i := range 4096 {
		s.memory.set(fmt.Sprint(i), row{}, make([]byte, 1<<10), time.Now())
		require.LessOrEqual(t, s.memory.bytes+claimBytes*len(s.memory.claims), 1<<20)
	}
	require.Len(t, s.memory.claims, 512)
	require.NotNil(t, s.memory.get("4095"))
	s.LimitMemory(1 << 40)
	require.Equal(t, []int{maxMemoryClaims, maxMemoryBytes}, []int{s.memory.maxClaims, s.memory.maxBytes})
}
