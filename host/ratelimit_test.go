package host

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin/caller"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

// The operators' bound on an upstream that states a rate limit: after contactTime, at most
// limitFactor times what the limit allows and limitSlack requests in any limitWindow, from all
// hosts together.
const (
	contactTime = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// maxInWindow returns the largest number of requests that a replica received within limitWindow,
// of those after the given time.
func (d *deployment) maxInWindow(id string, after time.Time) int {
	worst := 0
	requests := d.replicas[id].Requests()
	for i, first := range requests {
		n := 0
		for _, r := range requests[i:] {
			if first.ReceivedAt.After(after) && r.ReceivedAt.Sub(first.ReceivedAt) < limitWindow {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}

// sendEvenly sends requests to the hosts in turn at a steady rate and waits for the answers. It
// returns the number of answers by status.
func sendEvenly(hosts []*runningHost, perSecond int, d time.Duration, request func(h *runningHost, n int) response) map[int]int {
	var mu sync.Mutex
	statuses := map[int]int{}
	var all sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := range perSecond * int(d/time.Second) {
		<-ticker.C
		all.Go(func() {
			r := request(hosts[n%len(hosts)], n)
			mu.Lock()
			defer mu.Unlock()
			statuses[r.status]++
		})
	}
	all.Wait()
	return statuses
}

// Guards against hosts that send an upstream more requests than the rate limit that it states in
// its responses, counted over all hosts.
func TestStatedRateLimit(t *testing.T) {
	const (
		perSecond = 40
		limit     = 1.9
	)
	for _, kind := range []string{"plain", "engines"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			request := func(h *runningHost, n int) response {
				return h.request(http.MethodGet, "/status/"+strconv.Itoa(n), "", nil)
			}
			for _, id := range []string{"u1", "u2", "u3"} {
				o := replica.Options{ID: id}
				service := "app"
				if kind == "engines" {
					o, service = replica.Options{ID: id, Model: "m", AdapterSlots: 2, Events: 2, EventPause: 10 * time.Millisecond}, "engines"
				}
				d.addReplica(service, o)
			}
			if kind == "engines" {
				request = func(h *runningHost, n int) response {
					return h.send(caller.Call{
						Method: http.MethodPost, Path: "/chat/" + strconv.Itoa(n), Body: "prompt", ID: strconv.Itoa(n), Key: "key",
						Model: "m", Adapter: "a1", PromptTokens: 100, OutputTokens: 20,
					}, nil)
				}
			}
			var hosts []*runningHost
			for n := range 5 {
				hosts = append(hosts, d.addHost("h"+strconv.Itoa(n)))
			}
			sendEvenly(hosts, perSecond, time.Second, request)
			stated := time.Now()
			d.replicas["u1"].SetRateLimit(strconv.FormatFloat(limit, 'f', -1, 64))
			statuses := sendEvenly(hosts, perSecond, contactTime+6*time.Second, request)
			sent := d.maxInWindow("u1", stated.Add(contactTime))
			t.Logf("%d requests in %s, answers by status: %v", sent, limitWindow, statuses)
			require.LessOrEqual(t, float64(sent), limitFactor*limit*limitWindow.Seconds()+limitSlack)
			require.NotZero(t, statuses[http.StatusOK])
		})
	}
}

// Guards against a limit that only the host which heard it knows while there is no leader.
func TestStatedRateLimit_SpreadWithoutLeader(t *testing.T) {
	d := newDeployment(t)
	d.addReplica("app", replica.Options{ID: "u1"})
	var others []*runningHost
	for n := range 3 {
		others = append(others, d.addHost("h"+strconv.Itoa(n)))
	}
	for _, h := range others {
		require.Eventually(t, func() bool { return len(h.broker.Hosts()) == len(others) }, testTimeout, 10*time.Millisecond)
	}
	d.tables.SetFaults(tables.Faults{Down: true})
	leader := slices.IndexFunc(others, func(h *runningHost) bool { return h.broker.Stats().Leading == 1 })
	others[leader].cancel()
	others = slices.Delete(others, leader, leader+1)
	for _, h := range others {
		require.Eventually(t, func() bool { return h.broker.Stats().Fence == 0 }, testTimeout, 10*time.Millisecond)
	}
	d.replicas["u1"].SetRateLimit("1.9")
	require.Equal(t, http.StatusOK, others[0].request(http.MethodGet, "/status/", "", nil).status)
	for _, h := range others {
		require.Eventually(t, func() bool { return h.broker.Stats().RateLimits == 1 }, testTimeout, 10*time.Millisecond)
	}
	require.Equal(t, 1, d.requestCount("u1"))
}
