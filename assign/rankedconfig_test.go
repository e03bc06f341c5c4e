package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// The configuration changes while requests wait. Guards against ranks that stay as they were.
func TestRanked_RankFollowsConfiguration(t *testing.T) {
	w := newRankedSimulation(t, 1, 1, "a")
	far := func(org string) func(r *Request) {
		return func(r *Request) {
			r.Organisation, r.Priority, r.Target, r.Deadline = org, 1, w.now.Add(5*time.Second), w.now.Add(20*time.Second)
		}
	}
	for n := range uint64(60) {
		w.submit(n+1, "a", far("x"))
	}
	id := w.submit(100, "a", far("x"))
	y := w.submit(101, "a", far("y"))
	w.config = w.configWithPriority("x", 0)
	w.handle(ConfigUpdated{w.config})
	e := w.assigner.requests[id]
	require.Zero(t, e.waiting.CurrentRank())
	other := w.assigner.requests[y]
	require.Equal(t, 1, other.request.Priority)
	require.Equal(t, other.request.Rank(), other.waiting.CurrentRank())
	w.run(2 * time.Second)
	require.NotContains(t, w.granted, y, "requests of the organisation that is now more urgent go first")
}

// An organisation loses the priority that went before those of its routes. Guards against waiting requests that keep it.
func TestRanked_RemovedPriorityFollowsRoute(t *testing.T) {
	w := newRankedSimulation(t, 1, 1, "a")
	w.config = w.configWithPriority("x", 0)
	w.handle(ConfigUpdated{w.config})
	for i := range uint64(40) {
		w.submit(i+1, "a", func(r *Request) { r.Organisation, r.Deadline = "x", w.now.Add(30*time.Second) })
	}
	id := w.submit(100, "a", func(r *Request) {
		r.Organisation, r.Priority, r.RoutePriority, r.Deadline = "x", 0, 2, w.now.Add(30*time.Second)
	})
	require.NotNil(t, w.assigner.requests[id].waiting)
	w.config = catalog.NewConfig(catalog.ConfigParts{
		Version: 10, Services: []catalog.Service{*w.config.Service("s")}, Organisations: []catalog.Organisation{{Name: "x"}},
	})
	w.handle(ConfigUpdated{w.config})
	e := w.assigner.requests[id]
	require.Equal(t, 2, e.request.Priority)
	require.Equal(t, e.request.Rank(), e.waiting.CurrentRank())
}

// configWithPriority returns the configuration with a priority for an organisation.
func (w *simulation) configWithPriority(organisation string, priority int) *catalog.Config {
	return catalog.NewConfig(catalog.ConfigParts{
		Version: 9, Services: []catalog.Service{*w.config.Service("s")},
		Organisations: []catalog.Organisation{{Name: organisation, Priority: priority, HasPriority: true}},
	})
}
