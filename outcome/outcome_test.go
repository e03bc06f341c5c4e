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

const requestTimeout = time.Minute

func newRequest(body string) Request {
	return Request{Organisation: "o", Key: "k", Fingerprint: []byte(body), Deadline: time.Now().Add(requestTimeout)}
}

// mustBegin begins the default request and requires that it obtains the claim.
func mustBegin(t *testing.T, s *Store) *Claim {
	t.Helper()
	c, answer, err := s.Begin(t.Context(), newRequest("kit"))
	require.Nil(t, err)
	require.Nil(t, answer)
	require.NotNil(t, c)
	return c
}

func requireRefused(t *testing.T, s *Store, body string, kind apierr.Kind) {
	t.Helper()
	c, answer, err := s.Begin(t.Context(), newRequest(body))
	require.Nil(t, c)
	require.Nil(t, answer)
	require.NotNil(t, err)
	require.Equal(t, kind, err.Kind, "%v", err)
}

func requireReplayed(t *testing.T, s *Store, want Answer) {
	t.Helper()
	c, answer, err := s.Begin(t.Context(), newRequest("kit"))
	require.Nil(t, err)
	require.Nil(t, c)
	require.Equal(t, want.Status, answer.Status)
	require.Equal(t, want.Body, answer.Body)
}

func TestDuplicates(t *testing.T) {
	small := Answer{Status: 201, Body: []byte("receipt 1")}
	for name, run := range map[string]func(t *testing.T, p *fakePlatform, a, b *Store){
		"after completion": func(t *testing.T, _ *fakePlatform, a, b *Store) {
			require.True(t, mustBegin(t, a).Complete(t.Context(), small))
			requireReplayed(t, b, small)
			requireReplayed(t, a, small)
		},
		"large answer": func(t *testing.T, p *fakePlatform, a, b *Store) {
			large := Answer{Status: 200, Body: bytes.Repeat([]byte("x"), MaxInlineBytes+1)}
			require.True(t, mustBegin(t, a).Complete(t.Context(), large))
			require.Len(t, p.objects, 1)
			requireReplayed(t, b, large)
		},
		"different body": func(t *testing.T, _ *fakePlatform, a, b *Store) {
			c := mustBegin(t, a)
			requireRefused(t, b, "other", apierr.IdempotencyMismatch)
			c.Complete(t.Context(), small)
			requireRefused(t, b, "other", apierr.IdempotencyMismatch)
		},
		"while the first request runs": func(t *testing.T, _ *fakePlatform, a, b *Store) {
			c := mustBegin(t, a)
			go func() {
				time.Sleep(DuplicateWaitTimeout / 2)
				c.Complete(t.Context(), small)
			}()
			requireReplayed(t, b, small)
		},
		"first request runs beyond the wait": func(t *testing.T, _ *fakePlatform, a, b *Store) {
			mustBegin(t, a)
			requireRefused(t, b, "kit", apierr.IdempotencyInProgress)
		},
		"after a crash of the holder": func(t *testing.T, _ *fakePlatform, a, b *Store) {
			mustBegin(t, a)
			time.Sleep(requestTimeout + MaxClockSkew + time.Second)
			requireRefused(t, b, "kit", apierr.OutcomeUnknown)
		},
		"after release as not run": func(t *testing.T, _ *fakePlatform, a, b *Store) {
			mustBegin(t, a).Release(apierr.NotRun)
			mustBegin(t, b)
		},
		"after release as may have run": func(t *testing.T, _ *fakePlatform, a, b *Store) {
			mustBegin(t, a).Release(apierr.MayHaveRun)
			requireRefused(t, b, "kit", apierr.OutcomeUnknown)
		},
		"different organisation": func(t *testing.T, _ *fakePlatform, a, b *Store) {
			mustBegin(t, a)
			other := newRequest("kit")
			other.Organisation = "p"
			c, _, err := b.Begin(t.Context(), other)
			require.Nil(t, err)
			require.NotNil(t, c)
		},
		"after key expiry": func(t *testing.T, p *fakePlatform, a, b *Store) {
			large := Answer{Status: 200, Body: bytes.Repeat([]byte("x"), MaxInlineBytes+1)}
			require.True(t, mustBegin(t, a).Complete(t.Context(), large))
			_, err := b.Sweep(t.Context(), "")
			require.NoError(t, err)
			require.Len(t, p.rows, 1, "swept too early")
			time.Sleep(KeyLifetime + MaxClockSkew + time.Second)
			_, err = b.Sweep(t.Context(), "")
			require.NoError(t, err)
			require.Empty(t, p.rows)
			require.Empty(t, p.objects)
			mustBegin(t, b)
		},
		"undecodable row": func(t *testing.T, p *fakePlatform, _, b *Store) {
			p.rows[rowKey("o", "k")] = store.Row{Value: []byte("?"), Version: 1}
			requireRefused(t, b, "kit", apierr.OutcomeUnknown)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform()
				a, b := p.newStore(), p.newStore()
				run(t, p, a, b)
				a.Wait()
				b.Wait()
			})
		})
	}
}

func TestStoreFaults(t *testing.T) {
	small := Answer{Status: 201, Body: []byte("receipt 1")}
	for name, run := range map[string]func(t *testing.T, p *fakePlatform, a, b *Store){
		"insert reply lost": func(t *testing.T, p *fakePlatform, a, b *Store) {
			p.setFault(firstCalls(1, replyLost, true))
			c := mustBegin(t, a)
			require.True(t, c.Complete(t.Context(), small))
			requireReplayed(t, b, small)
		},
		"insert applied late": func(t *testing.T, p *fakePlatform, a, b *Store) {
			p.setFault(firstCalls(1, appliedLate, true))
			require.True(t, mustBegin(t, a).Complete(t.Context(), small))
			time.Sleep(2 * lateApplyDelay)
			requireReplayed(t, b, small)
		},
		"unavailable before the insert": func(t *testing.T, p *fakePlatform, a, b *Store) {
			p.setFault(func(bool) fault { return unavailable })
			start := time.Now()
			requireRefused(t, a, "kit", apierr.OutcomeStoreDown)
			require.LessOrEqual(t, time.Since(start), ClaimTimeout+maxBackoff*2) // virtual time
			p.setFault(nil)
			mustBegin(t, b)
		},
		"abandoned while every write is applied late": func(t *testing.T, p *fakePlatform, a, b *Store) {
			p.setFault(func(write bool) fault {
				if write {
					return appliedLate
				}
				return unavailable
			})
			requireRefused(t, a, "kit", apierr.OutcomeStoreDown)
			p.setFault(nil)
			time.Sleep(2 * lateApplyDelay)
			a.Wait()
			time.Sleep(2 * lateApplyDelay)
			mustBegin(t, b)
		},
		"abandoned and repeated on the same host": func(t *testing.T, p *fakePlatform, a, _ *Store) {
			p.setFault(func(write bool) fault {
				if write {
					return replyLost
				}
				return unavailable
			})
			requireRefused(t, a, "kit", apierr.OutcomeStoreDown)
			p.setFault(nil)
			mustBegin(t, a)
		},
		"completion reply lost": func(t *testing.T, p *fakePlatform, a, b *Store) {
			c := mustBegin(t, a)
			p.setFault(firstCalls(1, replyLost, true))
			require.True(t, c.Complete(t.Context(), small))
			requireReplayed(t, b, small)
		},
		"unavailable at completion": func(t *testing.T, p *fakePlatform, a, b *Store) {
			c := mustBegin(t, a)
			p.setFault(func(bool) fault { return unavailable })
			start := time.Now()
			require.False(t, c.Complete(t.Context(), small), "the answer is not held back")
			require.Equal(t, CompleteTimeout, time.Since(start))
			p.setFault(nil)
			a.Wait()
			requireReplayed(t, b, small)
		},
		"unavailable beyond the completion retries": func(t *testing.T, p *fakePlatform, a, b *Store) {
			c := mustBegin(t, a)
			p.setFault(func(bool) fault { return unavailable })
			require.False(t, c.Complete(t.Context(), small))
			a.Wait()
			p.setFault(nil)
			requireRefused(t, b, "kit", apierr.OutcomeUnknown)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform()
				a, b := p.newStore(), p.newStore()
				run(t, p, a, b)
				p.setFault(nil)
				a.Wait()
				b.Wait()
				time.Sleep(2 * lateApplyDelay)
			})
		})
	}
}

// TestKeyedRequest_StoreWrites guards against additional calls of the table service: a
// keyed request without faults takes two commits and no read.
func TestKeyedRequest_StoreWrites(t *testing.T) {
	p := newFakePlatform()
	s := p.newStore()
	require.True(t, mustBegin(t, s).Complete(t.Context(), Answer{Status: 200, Body: []byte("x")}))
	require.Equal(t, 2, p.commits)
	require.Zero(t, p.reads)
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
