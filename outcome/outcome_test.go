package outcome

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/store"
)

const callTimeout = time.Minute

func order(body string) Request {
	return Request{Organisation: "o", Key: "k", Fingerprint: []byte(body), Deadline: time.Now().Add(callTimeout)}
}

// begin claims and requires that the claim is given.
func begin(t *testing.T, s *Store) *Claim {
	t.Helper()
	c, answer, err := s.Begin(t.Context(), order("kit"))
	require.Nil(t, err)
	require.Nil(t, answer)
	require.NotNil(t, c)
	return c
}

func requireRefused(t *testing.T, s *Store, body string, kind apierr.Kind) {
	t.Helper()
	c, answer, err := s.Begin(t.Context(), order(body))
	require.Nil(t, c)
	require.Nil(t, answer)
	require.NotNil(t, err)
	require.Equal(t, kind, err.Kind, "%v", err)
}

func requireReplayed(t *testing.T, s *Store, want Answer) {
	t.Helper()
	c, answer, err := s.Begin(t.Context(), order("kit"))
	require.Nil(t, err)
	require.Nil(t, c)
	require.Equal(t, want.Status, answer.Status)
	require.Equal(t, want.Body, answer.Body)
}

func TestDuplicates(t *testing.T) {
	small := Answer{Status: 201, Body: []byte("receipt 1")}
	for name, run := range map[string]func(t *testing.T, m *memory, a, b *Store){
		"after the end": func(t *testing.T, _ *memory, a, b *Store) {
			require.True(t, begin(t, a).Complete(t.Context(), small))
			requireReplayed(t, b, small)
			requireReplayed(t, a, small)
		},
		"large answer": func(t *testing.T, m *memory, a, b *Store) {
			large := Answer{Status: 200, Body: bytes.Repeat([]byte("x"), MaxInlineBytes+1)}
			require.True(t, begin(t, a).Complete(t.Context(), large))
			require.Len(t, m.objects, 1)
			requireReplayed(t, b, large)
		},
		"other body": func(t *testing.T, _ *memory, a, b *Store) {
			c := begin(t, a)
			requireRefused(t, b, "other", apierr.IdempotencyMismatch)
			c.Complete(t.Context(), small)
			requireRefused(t, b, "other", apierr.IdempotencyMismatch)
		},
		"while the first runs": func(t *testing.T, _ *memory, a, b *Store) {
			c := begin(t, a)
			go func() {
				time.Sleep(DuplicateWaitTimeout / 2)
				c.Complete(t.Context(), small)
			}()
			requireReplayed(t, b, small)
		},
		"while the first runs on": func(t *testing.T, _ *memory, a, b *Store) {
			begin(t, a)
			requireRefused(t, b, "kit", apierr.IdempotencyInProgress)
		},
		"after the holder died": func(t *testing.T, _ *memory, a, b *Store) {
			begin(t, a)
			time.Sleep(callTimeout + MaxClockSkew + time.Second)
			requireRefused(t, b, "kit", apierr.OutcomeUnknown)
		},
		"after it did not run": func(t *testing.T, _ *memory, a, b *Store) {
			begin(t, a).Release(apierr.NotRun)
			begin(t, b)
		},
		"after it may have run": func(t *testing.T, _ *memory, a, b *Store) {
			begin(t, a).Release(apierr.MayHaveRun)
			requireRefused(t, b, "kit", apierr.OutcomeUnknown)
		},
		"of another organisation": func(t *testing.T, _ *memory, a, b *Store) {
			begin(t, a)
			other := order("kit")
			other.Organisation = "p"
			c, _, err := b.Begin(t.Context(), other)
			require.Nil(t, err)
			require.NotNil(t, c)
		},
		"after its lifetime": func(t *testing.T, m *memory, a, b *Store) {
			large := Answer{Status: 200, Body: bytes.Repeat([]byte("x"), MaxInlineBytes+1)}
			require.True(t, begin(t, a).Complete(t.Context(), large))
			_, err := b.Sweep(t.Context(), "")
			require.NoError(t, err)
			require.Len(t, m.rows, 1, "swept too early")
			time.Sleep(KeyLifetime + MaxClockSkew + time.Second)
			_, err = b.Sweep(t.Context(), "")
			require.NoError(t, err)
			require.Empty(t, m.rows)
			require.Empty(t, m.objects)
			begin(t, b)
		},
		"of a row that this version cannot read": func(t *testing.T, m *memory, _, b *Store) {
			m.rows[rowKey("o", "k")] = store.Row{Value: []byte("?"), Version: 1}
			requireRefused(t, b, "kit", apierr.OutcomeUnknown)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemory()
				a, b := m.store(), m.store()
				run(t, m, a, b)
				a.Wait()
				b.Wait()
			})
		})
	}
}

func TestStoreFaults(t *testing.T) {
	small := Answer{Status: 201, Body: []byte("receipt 1")}
	for name, run := range map[string]func(t *testing.T, m *memory, a, b *Store){
		"the insert's answer is lost": func(t *testing.T, m *memory, a, b *Store) {
			m.setFault(first(1, lost, true))
			c := begin(t, a)
			require.True(t, c.Complete(t.Context(), small))
			requireReplayed(t, b, small)
		},
		"the insert takes effect late": func(t *testing.T, m *memory, a, b *Store) {
			m.setFault(first(1, late, true))
			require.True(t, begin(t, a).Complete(t.Context(), small))
			time.Sleep(2 * lateBy)
			requireReplayed(t, b, small)
		},
		"down before the insert": func(t *testing.T, m *memory, a, b *Store) {
			m.setFault(func(bool) fault { return down })
			start := time.Now()
			requireRefused(t, a, "kit", apierr.OutcomeStoreDown)
			require.LessOrEqual(t, time.Since(start), ClaimTimeout+longestPause*2) // virtual time
			m.setFault(nil)
			begin(t, b)
		},
		"given up while every write takes effect late": func(t *testing.T, m *memory, a, b *Store) {
			m.setFault(func(write bool) fault {
				if write {
					return late
				}
				return down
			})
			requireRefused(t, a, "kit", apierr.OutcomeStoreDown)
			m.setFault(nil)
			time.Sleep(2 * lateBy)
			a.Wait()
			time.Sleep(2 * lateBy)
			begin(t, b)
		},
		"given up and asked again on the same host": func(t *testing.T, m *memory, a, _ *Store) {
			m.setFault(func(write bool) fault {
				if write {
					return lost
				}
				return down
			})
			requireRefused(t, a, "kit", apierr.OutcomeStoreDown)
			m.setFault(nil)
			begin(t, a)
		},
		"the outcome's answer is lost": func(t *testing.T, m *memory, a, b *Store) {
			c := begin(t, a)
			m.setFault(first(1, lost, true))
			require.True(t, c.Complete(t.Context(), small))
			requireReplayed(t, b, small)
		},
		"down at the end": func(t *testing.T, m *memory, a, b *Store) {
			c := begin(t, a)
			m.setFault(func(bool) fault { return down })
			start := time.Now()
			require.False(t, c.Complete(t.Context(), small), "the answer is not held back")
			require.Equal(t, CompleteTimeout, time.Since(start))
			m.setFault(nil)
			a.Wait()
			requireReplayed(t, b, small)
		},
		"down at the end for longer than an end is tried": func(t *testing.T, m *memory, a, b *Store) {
			c := begin(t, a)
			m.setFault(func(bool) fault { return down })
			require.False(t, c.Complete(t.Context(), small))
			a.Wait()
			m.setFault(nil)
			requireRefused(t, b, "kit", apierr.OutcomeUnknown)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemory()
				a, b := m.store(), m.store()
				run(t, m, a, b)
				m.setFault(nil)
				a.Wait()
				b.Wait()
				time.Sleep(2 * lateBy)
			})
		})
	}
}

// TestWritesOfAKeyedRequest states what a keyed request costs.
func TestWritesOfAKeyedRequest(t *testing.T) {
	m := newMemory()
	s := m.store()
	require.True(t, begin(t, s).Complete(t.Context(), Answer{Status: 200, Body: []byte("x")}))
	require.Equal(t, 2, m.commits)
	require.Zero(t, m.reads)
}

func FuzzDecodeRow(f *testing.F) {
	r := row{Schema: schema, State: stateDone, Operation: "op", Fingerprint: []byte("x"), Status: 200, Body: []byte("body")}
	raw, err := r.encode()
	require.NoError(f, err)
	f.Add(raw)
	f.Add([]byte{})
	f.Add(raw[:len(raw)/2])
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := decodeRow(raw)
		if err != nil {
			return
		}
		again, err := r.encode()
		require.NoError(t, err)
		second, err := decodeRow(again)
		require.NoError(t, err)
		require.Equal(t, r.State, second.State)
		require.Equal(t, r.Fingerprint, second.Fingerprint)
	})
}
