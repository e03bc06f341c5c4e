package fleet

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/spread"
	"github.com/jasminelock/jasminelock/wire"
)

// TestMain fixes the seed and the number of runs, unless the command line says
// otherwise, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "1", "rapid.checks": checksPerPart}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// The promises that are checked.
const (
	spreadBound = 3 * time.Second
	keyBound    = spread.ConfirmationLifetime
	leaveBound  = 15 * time.Second
	// settleTime is how long a host must have been undisturbed before a promise
	// that needs the roster holds for it.
	settleTime = 15 * time.Second
	// checkInterval is how often the state is checked.
	checkInterval = 250 * time.Millisecond
)

var secret = record.HashSecret("secret")

// fault is something that goes wrong for a while.
type fault struct {
	kind   faultKind
	target int
	at     time.Duration
	length time.Duration
}

type faultKind int

const (
	faultRestart faultKind = iota
	faultPause
	faultIsolateHost
	faultIsolateZone
	faultHostWithoutStore
	faultZoneWithoutStore
	faultStoreDown
	faultKinds
)

// plan is one run: a fleet, its network, its faults and the changes made.
type plan struct {
	seed             uint64
	hosts, zones     int
	loss, duplicates float64
	delay, listLag   time.Duration
	faults           []fault
	// changes are the times at which the operator makes a change. Every second
	// one withdraws the key, the others grant it.
	changes []time.Duration
}

const (
	warmUp    = 15 * time.Second
	troubled  = 40 * time.Second
	recovered = 20 * time.Second
)

func drawPlan(t *rapid.T) plan {
	seconds := func(label string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low*10, high*10).Draw(t, label)) * 100 * time.Millisecond
	}
	p := plan{
		seed:       rapid.Uint64().Draw(t, "seed"),
		zones:      rapid.IntRange(2, 3).Draw(t, "zones"),
		loss:       rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "loss"),
		duplicates: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicates"),
		delay:      rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 200 * time.Millisecond}).Draw(t, "delay"),
		listLag:    seconds("listLag", 0, 10),
	}
	p.hosts = p.zones * rapid.IntRange(2, 3).Draw(t, "hostsPerZone")
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		p.faults = append(p.faults, fault{
			kind:   faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
			target: rapid.IntRange(0, p.hosts-1).Draw(t, "target"),
			at:     warmUp + seconds("at", 0, 30),
			length: seconds("length", 1, 35),
		})
	}
	at := warmUp
	for at < warmUp+troubled {
		p.changes = append(p.changes, at)
		at += seconds("pause", 1, 20)
	}
	return p
}

// world returns the plan's world with the checks in place.
func (p plan) world(m mutant) *world {
	w := newWorld(p.seed, p.hosts, p.zones)
	w.mutant = m
	w.loss, w.duplicates, w.delay, w.listLag = p.loss, p.duplicates, p.delay, p.listLag
	w.setKey(false)
	for _, f := range p.faults {
		w.after(f.at, func() { w.strike(f) })
	}
	for i, at := range p.changes {
		w.after(at, func() { w.setKey(i%2 == 0) })
	}
	w.check()
	return w
}

func (p plan) run(m mutant) error {
	return p.world(m).run(warmUp + troubled + recovered)
}

// setKey grants or withdraws the key, unless the table service is down.
func (w *world) setKey(withdrawn bool) {
	if w.storeDown {
		return
	}
	w.write("key", "acme-1", fmt.Sprintf(`{"organisation":"acme","hash":%q,"withdrawn":%t}`, secret, withdrawn))
	switch {
	case !withdrawn:
		w.withdrawnAt = time.Time{}
	case w.withdrawnAt.IsZero():
		w.withdrawnAt = w.now
	}
	w.changedAt = w.now
	revision, accepted := int64(len(w.changes)), w.now
	w.after(spreadBound, func() { w.checkSpread(revision, accepted) })
}

// readableFor is how long the table service must be readable after it has
// accepted a change. A change that no host could read before an outage is in
// force only after it.
const readableFor = time.Second

// startBoundAnew counts the time that a key has been withdrawn from now.
func (w *world) startBoundAnew() {
	if !w.withdrawnAt.IsZero() {
		w.withdrawnAt = w.now
	}
}

// maxDown bounds the hosts that are down or paused at once.
const maxDown = 2

// strike starts a fault and has it end. Of the faults that cut hosts off, one
// acts at a time: partitions run along zones or part one host from the rest.
func (w *world) strike(f fault) {
	h := w.hosts[f.target]
	switch f.kind {
	case faultRestart, faultPause:
		w.strikeHost(f, h)
	default:
		if w.disturbances > 0 && f.kind != faultStoreDown {
			return
		}
		w.disturbances++
		undo := w.strikeNetwork(f.kind, h)
		unread := f.kind == faultStoreDown && w.now.Sub(w.changedAt) < readableFor
		w.unread = w.unread || unread
		w.after(f.length, func() {
			undo()
			if unread {
				w.unread = false
				w.startBoundAnew()
			}
			w.disturbances--
			w.quietSince = w.now
		})
	}
}

func (w *world) strikeHost(f fault, h *simHost) {
	down := 0
	for _, other := range w.hosts {
		if !other.up || other.paused {
			down++
		}
	}
	if !h.up || h.paused || down >= maxDown {
		return
	}
	if f.kind == faultPause {
		h.paused = true
		w.after(f.length, func() { w.resume(h) })
		return
	}
	h.up = false
	h.calmSince = w.now
	w.after(f.length, func() { w.startHost(h) })
}

// strikeNetwork starts a fault and returns what ends it.
func (w *world) strikeNetwork(kind faultKind, target *simHost) (undo func()) {
	affected := slices.DeleteFunc(slices.Clone(w.hosts), func(h *simHost) bool {
		byZone := kind == faultIsolateZone || kind == faultZoneWithoutStore
		return h != target && (!byZone || h.zone != target.zone)
	})
	set := func(on bool) {
		for _, h := range affected {
			switch kind {
			case faultIsolateHost, faultIsolateZone:
				h.isolated, h.noStore = on, on
			case faultHostWithoutStore, faultZoneWithoutStore:
				h.noStore = on
			}
		}
		if kind == faultStoreDown {
			w.storeDown = on
		}
	}
	set(true)
	return func() { set(false) }
}

// check looks at every host, again and again.
func (w *world) check() {
	for _, h := range w.hosts {
		if w.broken == nil && h.up && !h.paused {
			w.broken = w.checkHost(h)
		}
	}
	w.after(checkInterval, w.check)
}

func (w *world) checkHost(h *simHost) error {
	if h.config.Revision < h.highest {
		return fmt.Errorf("%s went back from revision %d to %d", h.name, h.highest, h.config.Revision)
	}
	h.highest = h.config.Revision
	_, good := h.config.Authorised(secret)
	starts := good && (w.mutant.ignoreFreshness || w.now.Before(h.node.FreshUntil()))
	if starts && !w.unread && !w.withdrawnAt.IsZero() && w.now.Sub(w.withdrawnAt) > keyBound {
		return fmt.Errorf("%s starts work for a key withdrawn %v ago", h.name, w.now.Sub(w.withdrawnAt))
	}
	if w.calm(h, settleTime) {
		return w.checkRoster(h)
	}
	return nil
}

// calm reports whether nothing has disturbed the host for a while.
func (w *world) calm(h *simHost, since time.Duration) bool {
	return h.up && !h.paused && w.disturbances == 0 && w.now.Sub(h.calmSince) >= since && w.now.Sub(w.quietSince) >= since
}

func (w *world) checkRoster(h *simHost) error {
	listed := map[string]bool{}
	for _, m := range h.node.Members() {
		listed[m.Name] = true
	}
	for _, other := range w.hosts {
		switch {
		case w.calm(other, settleTime) && !listed[other.name]:
			return fmt.Errorf("%s has left %s out, which lives", h.name, other.name)
		case !other.up && w.now.Sub(other.calmSince) >= leaveBound && listed[other.name]:
			return fmt.Errorf("%s lists %s, which is dead for %v", h.name, other.name, w.now.Sub(other.calmSince))
		}
	}
	return nil
}

// checkSpread runs spreadBound after a change was accepted.
func (w *world) checkSpread(revision int64, accepted time.Time) {
	for _, h := range w.hosts {
		undisturbed := w.calm(h, settleTime+spreadBound)
		if undisturbed && h.config.Revision < revision && w.broken == nil {
			w.broken = fmt.Errorf("%s has revision %d in force, %d was accepted %v ago",
				h.name, h.config.Revision, revision, w.now.Sub(accepted))
		}
	}
}

// parts run side by side.
const parts = 8

func TestPromisesHoldUnderFaults(t *testing.T) {
	for part := range parts {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				// All parts start from one seed; this sets their plans apart.
				rapid.SliceOfN(rapid.Byte(), part, part).Draw(rt, "part")
				p := drawPlan(rt)
				if err := p.run(mutant{}); err != nil {
					rt.Fatal(err)
				}
			})
		})
	}
}

// without drops the messages of some types.
func without(types ...wire.Type) func(*simHost, wire.Outgoing) *wire.Outgoing {
	return func(_ *simHost, m wire.Outgoing) *wire.Outgoing {
		if slices.Contains(types, m.Message.WireType()) {
			return nil
		}
		return &m
	}
}

// neverRefute drops entries by which a host refutes that it is gone.
func neverRefute(_ *simHost, m wire.Outgoing) *wire.Outgoing {
	update, ok := m.Message.(*wire.MemberListUpdate)
	if !ok {
		return &m
	}
	kept := slices.DeleteFunc(slices.Clone(update.Entries), func(e wire.HostEntry) bool {
		return e.State != wire.HostGone && e.Incarnation%incarnationStep != 0
	})
	return &wire.Outgoing{To: m.To, Message: &wire.MemberListUpdate{Entries: kept}}
}

// TestChecksCatchBrokenMechanisms runs each mutant until a check finds it.
func TestChecksCatchBrokenMechanisms(t *testing.T) {
	tests := []struct {
		name   string
		mutant mutant
		want   string
	}{
		{"any change is put in force", mutant{acceptAnything: true}, "went back"},
		{"stale configuration is worked with", mutant{ignoreFreshness: true}, "withdrawn"},
		{"changes are not passed on", mutant{message: without(wire.TypeConfigChange)}, "was accepted"},
		{"nobody reads the table service", mutant{noReads: true}, "was accepted"},
		{"suspicions are not passed on", mutant{message: without(wire.TypeSuspicion)}, "which is dead"},
		{"nothing is refuted", mutant{message: neverRefute}, "which lives"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			require.ErrorContains(t, firstBreach(t, test.mutant), test.want)
		})
	}
}

// firstBreach runs plans of rising seeds until one breaks a promise.
func firstBreach(t *testing.T, m mutant) error {
	t.Helper()
	const plans = 300
	for seed := range plans {
		if err := rapid.Custom(drawPlan).Example(seed).run(m); err != nil {
			return err
		}
	}
	return nil
}
