package throttle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The operators' bound: at most boundFactor times what the limit allows and boundSlack requests in any boundWindow.
const (
	boundFactor = 1.5
	boundSlack  = 5
	boundWindow = 4 * time.Second
)

// maxInWindow returns the largest number of times within boundWindow. The times are sorted.
func maxInWindow(times []time.Time) int {
	worst, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= boundWindow {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// Guards against a leader and hosts that it does not reach which exceed the bound together, at any limit.
func TestLimiter_LeaderBesideUncoordinatedHosts(t *testing.T) {
	for n, perSecond := range []float64{0, 0.05, 0.3, 1, 1.2, 1.9, 2.5, 7.3, 40, 333.3} {
		r := rand.New(rand.NewPCG(1, uint64(perSecond*100)))
		now := time.Unix(1_000_000, 0)
		l := Limit{PerSecond: perSecond, HeardAt: now}
		limiters := []*Limiter{NewLimiter(now, l, LeaderShare)}
		hosts := hostNames([]int{7, 390}[n%2])
		for _, h := range hosts {
			limiters = append(limiters, NewLimiter(now, l, Share("u", h, hosts)))
		}
		now = now.Add(time.Hour) // fills all buckets
		var sent []time.Time
		for end := now.Add(30 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
			// Some seconds without a request fill the buckets, all at once empty them.
			if now.Unix()%5 < 2 && len(sent) > 0 {
				continue
			}
			for _, i := range r.Perm(len(limiters)) {
				for !limiters[i].Exhausted(now) {
					limiters[i].Take(now)
					sent = append(sent, now)
				}
			}
		}
		require.LessOrEqual(t, float64(maxInWindow(sent)), boundFactor*perSecond*boundWindow.Seconds()+boundSlack, "%g a second", perSecond)
		require.NotEmpty(t, sent)
	}
}

func hostNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("host-%03d", i)
	}
	return names
}

// Guards against a limiter that admits less than the limit although requests wait.
func TestLimiter_AdmitsWholeLimit(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1.9, 12, 250} {
		now := time.Unix(1_000_000, 0)
		l := NewLimiter(now, Limit{PerSecond: perSecond, HeardAt: now}, LeaderShare)
		sent := 0
		const seconds = 40
		for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
			for !l.Exhausted(now) {
				l.Take(now)
				sent++
			}
		}
		require.InDelta(t, perSecond*seconds, sent, 1+0.01*perSecond*seconds, "%g a second", perSecond)
	}
}

// Guards against a change of the share or of the limit that hands out what had been saved up under the one before.
func TestLimiter_ChangesHandOutNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := NewLimiter(now, Limit{PerSecond: 10, HeardAt: now}, 0)
	require.True(t, l.Exhausted(now))
	now = now.Add(time.Hour)
	l.Update(now, Limit{PerSecond: 10, HeardAt: now}, LeaderShare)
	require.True(t, l.Exhausted(now), "nothing was saved up while the share was 0")
	require.Equal(t, 100*time.Millisecond, l.Wait(now, 1))
	now = now.Add(time.Hour)
	require.False(t, l.Exhausted(now))
	l.Update(now, Limit{PerSecond: 10, HeardAt: now}, 0)
	require.True(t, l.Exhausted(now), "a host that gets a leader stops at once")
	l.Update(now, Limit{PerSecond: 10, HeardAt: now}, LeaderShare)
	require.True(t, l.Exhausted(now))
}

// Guards against debts that are forgiven, and requests that were not sent but count.
func TestLimiter_DebtAndReturn(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := NewLimiter(now, Limit{PerSecond: 1, HeardAt: now}, LeaderShare)
	l.Take(now)
	require.Equal(t, 2*time.Second, l.Wait(now, 1))
	l.Return(now)
	require.Equal(t, time.Second, l.Wait(now, 1))
}

// Guards against a flood after a limit has been withdrawn.
func TestLimiter_RecoversByDegrees(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	l := NewLimiter(start, Limit{PerSecond: 0.5, HeardAt: start}, LeaderShare)
	l.Update(start, Limit{PerSecond: 0.5, HeardAt: start, WithdrawnAt: start}, LeaderShare)
	counts := make([]int, int(RecoveryTime/time.Second))
	for now := start; now.Before(start.Add(RecoveryTime)); now = now.Add(time.Millisecond) {
		for !l.Exhausted(now) {
			l.Take(now)
			counts[int(now.Sub(start)/time.Second)]++
		}
	}
	for i := range counts[1:] {
		require.Greater(t, counts[i+1], counts[i], "%v", counts)
		require.LessOrEqual(t, counts[i+1], 3*counts[i]+1, "%v", counts)
	}
	require.LessOrEqual(t, counts[0], 3)
}

// Guards against an upstream with a limit of 0 that is never tried again.
func TestLimiter_LimitOfZeroIsTriedAgain(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := NewLimiter(now, Limit{HeardAt: now}, LeaderShare)
	require.True(t, l.Exhausted(now.Add(time.Second)))
	require.False(t, l.Exhausted(now.Add(time.Minute)))
}

// Guards against shares that add up to more than a part of the limit, or to more than a few hosts.
func TestShare(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 390} {
		hosts := hostNames(n)
		users := map[string]int{}
		for u := range 40 {
			id := fmt.Sprintf("i-%d", u)
			total, using := 0.0, 0
			for _, h := range hosts {
				if share := Share(id, h, hosts); share > 0 {
					total += share
					using++
					users[h]++
				}
			}
			require.InDelta(t, uncoordinatedFraction, total, 1e-9)
			require.Equal(t, min(n, maxUncoordinatedHosts), using)
		}
		if n > maxUncoordinatedHosts {
			for h, used := range users {
				require.Less(t, used, 40, "host %s is not chosen for every upstream", h)
			}
			require.Greater(t, len(users), min(n, 40)/2)
		}
	}
	require.Zero(t, Share("u", "host-x", hostNames(2)), "an unknown host")
	require.Zero(t, Share("u", "host-x", nil))
	require.InDelta(t, uncoordinatedFraction/2, Share("u", "a", []string{"a", "b", "a"}), 1e-9)
}
