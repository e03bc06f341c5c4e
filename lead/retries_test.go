package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
)

// The operators' bound on requests that are sent again, as the hosts of newFleet are
// told it, and the window in which it holds.
const (
	retryRatio  = 0.2
	retrySlack  = 50
	retryWindow = 10 * time.Second
)

// retrying is callers whose requests are sent again as often as the fleet allows.
type retrying struct {
	f              *fleet
	service        string
	firsts, repeat []time.Time
}

// ask asks a host for an upstream and has the attempt turned away unrun.
func (r *retrying) ask(h *testHost, avoid []string) bool {
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

// press has a first attempt come, and one that is to be sent again from every host.
func (r *retrying) press() {
	for i := range 7 {
		h := r.f.hosts[fmt.Sprintf("h%d", i)]
		if h == nil {
			continue
		}
		if i == 0 && r.ask(h, nil) {
			r.firsts = append(r.firsts, time.Now())
		}
		if r.ask(h, []string{"e0"}) {
			r.repeat = append(r.repeat, time.Now())
		}
	}
}

// within counts the times in the window that ends with the last one.
func within(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < retryWindow {
			n++
		}
	}
	return n
}

// judge looks at each window that ends with a repeat.
func (r *retrying) judge() {
	worst := 0.0
	for _, end := range r.repeat {
		worst = max(worst, float64(within(r.repeat, end))-retryRatio*float64(within(r.firsts, end))-retrySlack)
	}
	assert.LessOrEqual(r.f.t, worst, 0.0, "repeats beyond the fleet's bound; %d in all for %d requests", len(r.repeat), len(r.firsts))
	assert.NotEmpty(r.f.t, r.repeat)
}

// Pattern: callers press for repeats while leads are killed one after another, or all
// hosts are. What the lead before has used is not handed out again.
func TestRepeatsOverLeadsAreBounded(t *testing.T) {
	for n := range 4 {
		all, service := n%2 == 1, []string{"s", "plain"}[n/2]
		crashingFleet(t, service, func(c *crashingRequest) {
			r := &retrying{f: c.f, service: service}
			for range 16 {
				for end := time.Now().Add(1800 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					r.press()
				}
				killed := c.f.leads()
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
			r.judge()
		})
	}
}

// Pattern: repeats pile up without a lead, and again under the next one.
func TestRepeatsAfterAnOutageAreBounded(t *testing.T) {
	crashingFleet(t, "s", func(c *crashingRequest) {
		r := &retrying{f: c.f, service: "s"}
		for range 4 {
			c.f.cutStore(true)
			c.f.kill(c.f.leads()[0])
			for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				r.press()
			}
			c.f.cutStore(false)
			time.Sleep(time.Second)
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				r.press()
			}
			for i := range 7 {
				if name := fmt.Sprintf("h%d", i); c.f.hosts[name] == nil {
					c.f.add(name, 0.4)
				}
			}
			require.NotEmpty(t, c.f.leads())
		}
		r.judge()
	})
}
