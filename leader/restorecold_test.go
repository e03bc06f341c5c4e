package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
)

// coldAdapterTime is the time after the return of a restored store within which an adapter that no engine holds is assigned.
const coldAdapterTime = 3 * time.Second

// The leader is lost while the store is away, and the store comes back from a copy in which it held the lease. Guards against a
// fleet that orders no loads for long.
func TestRestore_ColdAdapterServed(t *testing.T) {
	for name, unfenced := range map[string]bool{"fenced": false, "unfenced": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				e := &fencedEngine{unfencedEngine: unfencedEngine{fleet: f, held: map[string]bool{}}}
				f.engine, f.unfenced = e, unfenced
				if unfenced {
					f.engine = &e.unfencedEngine
				}
				for _, name := range []string{"h1", "h2", "h3", "h4"} {
					f.add(name, 0.4)
				}
				time.Sleep(2 * time.Second)
				leader := f.leaders()[0]
				f.cutStore(true)
				time.Sleep(time.Second)
				other := f.otherThan(leader)
				f.kill(leader)
				f.restore(storeCopy{copiedLeases(t, other.name)["held"], 2})
				f.cutStore(false)
				returned := time.Now()
				for assigned := false; !assigned; {
					now := time.Now()
					ticket := other.broker.NewTicket()
					other.broker.RequestAssignment(ticket, assign.Request{
						Service: "s", Organisation: "free", Adapter: catalog.AdapterRef{Model: "m", Adapter: "cold"}, PromptTokens: 100,
						Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(10 * time.Second),
					})
					_, refused := (<-ticket.Decisions()).(assign.Refuse)
					assigned = !refused
				}
				require.LessOrEqual(t, time.Since(returned), coldAdapterTime)
				f.end()
			})
		})
	}
}
