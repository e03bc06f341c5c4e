package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/watch"
)

// evacuate has the operator evacuate zones, and no others.
func (f *fleet) evacuate(zones ...string) {
	f.mu.Lock()
	view := *f.view
	view.Evacuated = watch.Evacuations{Zones: map[string]bool{}, StoreVersion: view.Evacuated.StoreVersion + 1}
	for _, z := range zones {
		view.Evacuated.Zones[z] = true
	}
	f.view = &view
	f.mu.Unlock()
	f.changeList(func(map[string]*catalog.Upstream) {})
}

// zonesUsed returns the zones of the upstreams that requests at every host are given.
func (c *crashingRequest) zonesUsed() map[string]bool {
	used := map[string]bool{}
	for n := range 40 {
		h := c.f.hosts[fmt.Sprintf("h%d", n%7)]
		if h == nil {
			continue
		}
		now := time.Now()
		ticket := h.broker.NewTicket()
		r := assign.Request{Service: c.service, Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(4 * time.Second)}
		if c.service == "s" {
			r.Adapter, r.PromptTokens = catalog.AdapterRef{Model: "m", Adapter: adapterName}, 100
		}
		h.broker.RequestAssignment(ticket, r)
		select {
		case d := <-ticket.Decisions():
			if g, ok := d.(assign.Grant); ok {
				used[c.f.view.Upstreams[g.Upstream].Zone] = true
				h.broker.AttemptEnded(ticket, assign.AttemptEnded{Outcome: assign.Completed, Succeeded: true})
			}
		case <-time.After(2 * time.Second):
		}
		h.broker.Withdraw(ticket)
	}
	return used
}

// Pattern: a zone is evacuated while the lead is killed: before, during and after. No
// host and no lead sends anything there meanwhile, and all do again when it is over.
func TestAnEvacuationOutlivesItsLeads(t *testing.T) {
	for _, service := range []string{"s", "plain"} {
		crashingFleet(t, service, func(c *crashingRequest) {
			c.f.changeList(func(listed map[string]*catalog.Upstream) {
				for id, u := range listed {
					if id == "p0" || id == "e0" || id == "e1" || id == "e2" {
						moved := *u
						moved.Zone = "emptied"
						listed[id] = &moved
					}
				}
			})
			killLead := func() {
				lead := c.f.leads()[0]
				c.f.kill(lead)
				c.f.add(lead, 0.4)
			}
			for range 3 {
				c.f.evacuate("emptied")
				require.Equal(t, map[string]bool{"z": true}, c.zonesUsed())
				killLead()
				require.Equal(t, map[string]bool{"z": true}, c.zonesUsed())
				time.Sleep(3 * time.Second)
				require.Equal(t, map[string]bool{"z": true}, c.zonesUsed())
				c.f.evacuate("z")
				killLead()
				time.Sleep(3 * time.Second)
				require.Equal(t, map[string]bool{"emptied": true}, c.zonesUsed())
				c.f.evacuate()
				killLead()
				time.Sleep(3 * time.Second)
				require.NotEmpty(t, c.zonesUsed())
			}
		})
	}
}
