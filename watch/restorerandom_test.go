package watch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// Random writes, outages and restores; lost rows are written again at once. Guards against a final view that lacks a live
// upstream or differs from the operator's last orders, and against one that lists an upstream that this host has known to be
// gone, by an entry that it has read before.
func TestRestore_Random(t *testing.T) {
	for seed := range uint64(100) {
		require.Empty(t, randomRestores(t, seed, false), "seed %d", seed)
	}
}

// Checks that the random test detects a watcher that ignores eras.
func TestRestore_RandomDetectsIgnoredEra(t *testing.T) {
	found := 0
	for seed := range uint64(100) {
		if randomRestores(t, seed, true) != "" {
			found++
		}
	}
	require.Greater(t, found, 10)
}

// entryVersionOf returns the version of the last entry of an upstream that the watcher has read.
func entryVersionOf(w *Watcher, u *catalog.Upstream) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known.versionOf(u)
}

// randomRestores returns what is wrong after random events, "" if nothing is.
func randomRestores(t *testing.T, seed uint64, hideEra bool) (wrong string) {
	runRestorable(t, hideEra, func(feed *restorableFeed, w *Watcher) {
		r := rand.New(rand.NewPCG(seed, 1))
		evacuated, alive, seen, gone := map[string]bool{}, map[string]int64{}, map[Incarnation]bool{}, map[Incarnation]bool{}
		config, copied := int64(0), 0
		zone := func() string { return "z" + strconv.Itoa(r.IntN(3)) }
		// ambiguous holds the zones of which two orders have the same version in two eras: a host cannot distinguish them
		// and keeps what it knows for evacuationHold. read holds, for each entry that the watcher has read before it knew
		// its upstream to be gone, one more than the era of that read. An entry that was written while the store did not
		// answer is not in it.
		type row struct {
			key     string
			version int64
			removed bool
		}
		written, ambiguous, read := map[row]bool{}, map[string]bool{}, map[row]int64{}
		write := func(z string) {
			feed.put("op", "evacuate/"+z, 1, !evacuated[z])
			order := row{z, feed.lastVersion(), !evacuated[z]}
			ambiguous[z] = ambiguous[z] || written[order]
			written[order] = true
		}
		register := func(id string) {
			u := testUpstream(id)
			u.StartedAt = alive[id]
			feed.put("up", id, u, alive[id] == 0)
		}
		for step := range 60 {
			feed.set(func() { feed.version += r.Int64N(50) }) // writes of other tables
			switch r.IntN(6) {
			case 0:
				z := zone()
				evacuated[z] = !evacuated[z]
				write(z)
			case 1:
				config++
				feed.put("op", "config", config, false)
			case 2:
				id := "u" + strconv.Itoa(r.IntN(4))
				if alive[id] != 0 && r.IntN(2) == 0 {
					delete(alive, id)
				} else {
					alive[id] = int64(step) + 1
				}
				register(id)
			case 3:
				copied = min(feed.copyNow(), max(copied, feed.copyNow()-r.IntN(12)))
			case 4:
				feed.set(func() { feed.down = !feed.down })
			case 5:
				if r.IntN(3) > 0 {
					break
				}
				feed.restore(min(copied, feed.copyNow()))
				for z := range evacuated {
					write(z)
				}
				feed.put("op", "config", config, false)
				for id := range alive {
					register(id)
				}
			}
			time.Sleep(time.Duration(r.IntN(900)) * time.Millisecond)
			listed := w.View().Upstreams
			for _, u := range listed {
				seen[incarnationOf(u)] = true
				if entry := (row{key: u.ID, version: entryVersionOf(w, u)}); read[entry] == 0 && !gone[incarnationOf(u)] {
					read[entry] = w.Era() + 1
				}
			}
			for key := range seen {
				if u := listed[key.ID]; alive[key.ID] != key.StartedAt && (u == nil || u.StartedAt != key.StartedAt) {
					gone[key] = true
				}
			}
		}
		feed.set(func() { feed.down = false })
		time.Sleep(settle + expiredEntryGrace)
		v := w.View()
		wasRead := func(u *catalog.Upstream) bool {
			era := read[row{key: u.ID, version: entryVersionOf(w, u)}]
			return era > 0 && era <= w.Era()
		}
		for z, on := range evacuated {
			if v.Evacuated.Zones[z] != on && !ambiguous[z] {
				wrong = "zone " + z
			}
		}
		if config > 0 && (v.Config == nil || v.Config.Version != config) {
			wrong = "configuration"
		}
		for n := range 4 {
			id := "u" + strconv.Itoa(n)
			u := v.Upstreams[id]
			switch {
			case u == nil && alive[id] != 0:
				wrong = "missing upstream " + id
			case u != nil && gone[incarnationOf(u)] && wasRead(u):
				wrong = "outdated upstream " + id
			}
		}
		time.Sleep(evacuationHold)
		for z, on := range evacuated {
			if w.View().Evacuated.Zones[z] != on {
				wrong = "zone " + z + " after the hold"
			}
		}
	})
	return wrong
}
