package core

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRetryBudget_BoundsAttemptsInOutage(t *testing.T) {
	// Every attempt fails: the retries are at most the reserve plus a fraction of the requests.
	b := newRetryBudget()
	const requests = 1000
	attempts := 0
	for range requests {
		b.credit("o")
		b.credit("u")
		attempts++
		for range MaxAttempts - 1 {
			if !b.spend("o", "u") {
				break
			}
			attempts++
		}
	}
	require.LessOrEqual(t, attempts, int(requests*(1+RetryFraction))+RetryReserve)
	require.Greater(t, attempts, requests)
}

func TestRetryBudget_IndependentOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newRetryBudget()
		for range rapid.IntRange(0, 200).Draw(t, "taken") {
			b.spend("greedy", rapid.SampledFrom([]string{"u1", "u2"}).Draw(t, "upstream"))
		}
		require.True(t, b.spend("modest", "u3"))
		require.GreaterOrEqual(t, b.balance("greedy"), 0.0)
	})
}

func TestBackoff_GrowsWithinBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for attempts := 1; attempts < 40; attempts++ {
		d := backoff(random, attempts)
		require.GreaterOrEqual(t, d, backoffBase/2)
		require.LessOrEqual(t, d, backoffMax)
	}
	require.Greater(t, backoff(random, 6), backoff(random, 1))
	require.NotEqual(t, backoff(random, 6), backoff(random, 6), "no jitter")
	require.Less(t, backoff(random, 1), 100*time.Millisecond)
}
