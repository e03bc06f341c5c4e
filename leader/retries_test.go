package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
)

// The operator's bound on retries, as set for the hosts of newFleet, and the window in which it holds.
const (
	retryRatio  = 0.2
	retrySlack  = 50
	retryWindow = 10 * time.Second
)

// retryLoad is a load of callers whose requests are retried as often as the fleet allows.
type retryLoad struct {
	f                      *fleet
	service                string
	firstAttempts, retries []time.Time
}

// attempt submits a request at a host, ends a granted attempt at once, and reports whether it was granted.
func (r *retryLoad) attempt(h *testHost, avoid []string) bool {
	now := time.Now()
	t := h.broker.NewTicket()
	defer h.broker.Withdraw(t)
	request := assign.Request{
		Service: r.service, Avoid: avoid, Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(4 * time.Second),
	}
	if r.service == "s" {
		request.Adapter, request.PromptTokens = catalog.AdapterRef{Model: "m", Adapter: adapterName}, 10
	}
	h.broker.RequestAssignment(t, request)
	select {
	case d := <-t.Decisions():
		_, granted := d.(assign.Grant)
		if granted {
			h.broker.AttemptEnded(t, assign.AttemptEnded{Outcome: assign.CallerLeft})
		}
		return granted
	case <-time.After(20 * time.Millisecond):
		return false
	}
}

// submitAll submits a first attempt at one host and a retry at every host.
func (r *retryLoad) submitAll() {
	for i := range 7 {
		h := r.f.hosts[fmt.Sprintf("h%d", i)]
		if h == nil {
			continue
		}
		if i == 0 && r.attempt(h, nil) {
			r.firstAttempts = append(r.firstAttempts, time.Now())
		}
		if r.attempt(h, []string{"e0"}) {
			r.retries = append(r.retries, time.Now())
		}
	}
}

// countWithin counts the times in the window that ends at end.
func countWithin(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < retryWindow {
			n++
		}
	}
	return n
}

// checkBound checks each window that ends with a retry.
func (r *retryLoad) checkBound() {
	worst := 0.0
	for _, end := range r.retries {
		worst = max(worst, float64(countWithin(r.retries, end))-retryRatio*float64(countWithin(r.firstAttempts, end))-retrySlack)
	}
	assert.LessOrEqual(r.f.t, worst, 0.0, "retries beyond the fleet's bound; %d in total for %d requests",
		len(r.retries), len(r.firstAttempts))
	assert.NotEmpty(r.f.t, r.retries)
}

// Callers retry at full load while leaders, or all hosts, are killed one after another. Guards against granting
// again the retries that were granted under an earlier leader.
func TestRetries_BoundedAcrossLeaders(t *testing.T) {
	for n := range 4 {
		all, service := n%2 == 1, []string{"s", "plain"}[n/2]
		withCrashingRequest(t, service, func(c *crashingRequest) {
			r := &retryLoad{f: c.f, service: service}
			for range 16 {
				for end := time.Now().Add(1800 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					r.submitAll()
				}
				killed := c.f.leaders()
				if all {
					killed = nil
					for name := range c.f.hosts {
						killed = append(killed, name)
					}
				}
				for _, name := range killed {
					c.f.kill(name)
				}
				for _, name := range killed {
					c.f.add(name, 0.4)
				}
			}
			r.checkBound()
		})
	}
}

// Retries are submitted at full load without a leader, and again under the next one.
func TestRetries_BoundedAfterOutage(t *testing.T) {
	withCrashingRequest(t, "s", func(c *crashingRequest) {
		r := &retryLoad{f: c.f, service: "s"}
		for range 4 {
			c.f.cutStore(true)
			c.f.kill(c.f.leaders()[0])
			for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				r.submitAll()
			}
			c.f.cutStore(false)
			time.Sleep(time.Second)
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				r.submitAll()
			}
			for i := range 7 {
				if name := fmt.Sprintf("h%d", i); c.f.hosts[name] == nil {
					c.f.add(name, 0.4)
				}
			}
			require.NotEmpty(t, c.f.leaders())
		}
		r.checkBound()
	})
}
