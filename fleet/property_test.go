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

// TestMain sets a fixed seed and number of checks, unless the command line sets them,
// so that the tests are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "1", "rapid.checks": checksPerGroup}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Bounds of the invariants that are checked.
const (
	// propagationBound is the time in which a change reaches every undisturbed host.
	propagationBound = 3 * time.Second
	// keyWithdrawalBound is the time after which no host accepts a withdrawn key.
	keyWithdrawalBound = spread.ConfirmationLifetime
	// removalBound is the time after which a stopped host is on no member list.
	removalBound = 15 * time.Second
	// settleTime is how long a host must have been undisturbed before invariants that
	// depend on the member list hold for it.
	settleTime = 15 * time.Second
	// checkInterval is the interval at which all hosts are checked.
	checkInterval = 250 * time.Millisecond
)

var secret = record.HashSecret("secret")

// fault is a temporary failure of a host, the network or the table service.
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

// plan describes one simulation run: a fleet, its network, its faults and the
// configuration changes.
type plan struct {
	seed               uint64
	hosts, zones       int
	loss, duplicates   float64
	delay, hostListLag time.Duration
	faults             []fault
	// changes are the times of the configuration changes, which alternately withdraw
	// and grant the key.
	changes []time.Duration
}

const (
	warmUpPeriod   = 15 * time.Second
	faultPeriod    = 40 * time.Second
	recoveryPeriod = 20 * time.Second
)

func drawPlan(t *rapid.T) plan {
	seconds := func(label string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low*10, high*10).Draw(t, label)) * 100 * time.Millisecond
	}
	p := plan{
		seed:        rapid.Uint64().Draw(t, "seed"),
		zones:       rapid.IntRange(2, 3).Draw(t, "zones"),
		loss:        rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "loss"),
		duplicates:  rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicates"),
		delay:       rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 200 * time.Millisecond}).Draw(t, "delay"),
		hostListLag: seconds("listLag", 0, 10),
	}
	p.hosts = p.zones * rapid.IntRange(2, 3).Draw(t, "hostsPerZone")
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		p.faults = append(p.faults, fault{
			kind:   faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
			target: rapid.IntRange(0, p.hosts-1).Draw(t, "target"),
			at:     warmUpPeriod + seconds("at", 0, 30),
			length: seconds("length", 1, 35),
		})
	}
	at := warmUpPeriod
	for at < warmUpPeriod+faultPeriod {
		p.changes = append(p.changes, at)
		at += seconds("pause", 1, 20)
	}
	return p
}

// world returns the simulation of the plan, with its faults, changes and checks
// scheduled.
func (p plan) world(m mutant) *world {
	w := newWorld(p.seed, p.hosts, p.zones)
	w.mutant = m
	w.loss, w.duplicates, w.delay, w.hostListLag = p.loss, p.duplicates, p.delay, p.hostListLag
	w.setKey(false)
	for _, f := range p.faults {
		w.after(f.at, func() { w.injectFault(f) })
	}
	for i, at := range p.changes {
		w.after(at, func() { w.setKey(i%2 == 0) })
	}
	w.checkAllHosts()
	return w
}

func (p plan) run(m mutant) error {
	return p.world(m).run(warmUpPeriod + faultPeriod + recoveryPeriod)
}

// setKey grants or withdraws the key, unless the table service is down.
func (w *world) setKey(withdrawn bool) {
	if w.storeDown {
		return
	}
	w.acceptChange("key", "acme-1", fmt.Sprintf(`{"organisation":"acme","hash":%q,"withdrawn":%t}`, secret, withdrawn))
	switch {
	case !withdrawn:
		w.withdrawnAt = time.Time{}
	case w.withdrawnAt.IsZero():
		w.withdrawnAt = w.now
	}
	w.lastChangeAt = w.now
	revision, accepted := int64(len(w.changes)), w.now
	w.after(propagationBound, func() { w.checkPropagation(revision, accepted) })
}

// readableAfterChange is how long the table service must be readable after it has
// accepted a change, so that some host has read the change. A change that no host
// could read before an outage is put in force only after the outage.
const readableAfterChange = time.Second

// restartKeyBound restarts the time limit for hosts to reject a withdrawn key.
func (w *world) restartKeyBound() {
	if !w.withdrawnAt.IsZero() {
		w.withdrawnAt = w.now
	}
}

// maxHostsDown bounds the number of hosts that are down or paused at the same time.
const maxHostsDown = 2

// injectFault starts a fault and schedules its end. Only one fault that partitions
// hosts is active at a time: a partition isolates one zone or one host.
func (w *world) injectFault(f fault) {
	h := w.hosts[f.target]
	switch f.kind {
	case faultRestart, faultPause:
		w.injectHostFault(f, h)
	default:
		if w.activeFaults > 0 && f.kind != faultStoreDown {
			return
		}
		w.activeFaults++
		undo := w.injectNetworkFault(f.kind, h)
		unread := f.kind == faultStoreDown && w.now.Sub(w.lastChangeAt) < readableAfterChange
		w.lastChangeUnread = w.lastChangeUnread || unread
		w.after(f.length, func() {
			undo()
			if unread {
				w.lastChangeUnread = false
				w.restartKeyBound()
			}
			w.activeFaults--
			w.networkUndisturbedSince = w.now
		})
	}
}

func (w *world) injectHostFault(f fault, h *simHost) {
	down := 0
	for _, other := range w.hosts {
		if !other.up || other.paused {
			down++
		}
	}
	if !h.up || h.paused || down >= maxHostsDown {
		return
	}
	if f.kind == faultPause {
		h.paused = true
		w.after(f.length, func() { w.resume(h) })
		return
	}
	h.up = false
	h.undisturbedSince = w.now
	w.after(f.length, func() { w.startHost(h) })
}

// injectNetworkFault starts a fault of the network or the table service and returns
// the function that ends it.
func (w *world) injectNetworkFault(kind faultKind, target *simHost) (undo func()) {
	affected := slices.DeleteFunc(slices.Clone(w.hosts), func(h *simHost) bool {
		byZone := kind == faultIsolateZone || kind == faultZoneWithoutStore
		return h != target && (!byZone || h.zone != target.zone)
	})
	set := func(on bool) {
		for _, h := range affected {
			switch kind {
			case faultIsolateHost, faultIsolateZone:
				h.isolated, h.storeUnreachable = on, on
			case faultHostWithoutStore, faultZoneWithoutStore:
				h.storeUnreachable = on
			}
		}
		if kind == faultStoreDown {
			w.storeDown = on
		}
	}
	set(true)
	return func() { set(false) }
}

// checkAllHosts checks every running host and schedules the next check.
func (w *world) checkAllHosts() {
	for _, h := range w.hosts {
		if w.violation == nil && h.up && !h.paused {
			w.violation = w.checkHost(h)
		}
	}
	w.after(checkInterval, w.checkAllHosts)
}

func (w *world) checkHost(h *simHost) error {
	if h.config.Revision < h.highestRevision {
		return fmt.Errorf("%s decreased its revision from %d to %d", h.name, h.highestRevision, h.config.Revision)
	}
	h.highestRevision = h.config.Revision
	_, valid := h.config.Authorised(secret)
	accepts := valid && (w.mutant.ignoreFreshness || w.now.Before(h.node.FreshUntil()))
	if accepts && !w.lastChangeUnread && !w.withdrawnAt.IsZero() && w.now.Sub(w.withdrawnAt) > keyWithdrawalBound {
		return fmt.Errorf("%s accepts a key withdrawn %v ago", h.name, w.now.Sub(w.withdrawnAt))
	}
	if w.isUndisturbed(h, settleTime) {
		return w.checkMembers(h)
	}
	return nil
}

// isUndisturbed reports whether no fault is active and none has affected the host
// for the given duration.
func (w *world) isUndisturbed(h *simHost, duration time.Duration) bool {
	return h.up && !h.paused && w.activeFaults == 0 &&
		w.now.Sub(h.undisturbedSince) >= duration && w.now.Sub(w.networkUndisturbedSince) >= duration
}

func (w *world) checkMembers(h *simHost) error {
	listed := map[string]bool{}
	for _, m := range h.node.Members() {
		listed[m.Name] = true
	}
	for _, other := range w.hosts {
		switch {
		case w.isUndisturbed(other, settleTime) && !listed[other.name]:
			return fmt.Errorf("%s does not list %s, which is running", h.name, other.name)
		case !other.up && w.now.Sub(other.undisturbedSince) >= removalBound && listed[other.name]:
			return fmt.Errorf("%s lists %s, which stopped %v ago", h.name, other.name, w.now.Sub(other.undisturbedSince))
		}
	}
	return nil
}

// checkPropagation runs propagationBound after a change was accepted. It checks that
// every undisturbed host has the change in force.
func (w *world) checkPropagation(revision int64, accepted time.Time) {
	for _, h := range w.hosts {
		undisturbed := w.isUndisturbed(h, settleTime+propagationBound)
		if undisturbed && h.config.Revision < revision && w.violation == nil {
			w.violation = fmt.Errorf("%s has revision %d in force, %d was accepted %v ago",
				h.name, h.config.Revision, revision, w.now.Sub(accepted))
		}
	}
}

// planGroups is the number of groups of plans that run in parallel.
const planGroups = 8

func TestInvariants_UnderFaults(t *testing.T) {
	for group := range planGroups {
		t.Run(fmt.Sprint(group), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				// All groups start from one seed; this draw makes their plans differ.
				rapid.SliceOfN(rapid.Byte(), group, group).Draw(rt, "part")
				p := drawPlan(rt)
				if err := p.run(mutant{}); err != nil {
					rt.Fatal(err)
				}
			})
		})
	}
}

// dropTypes returns a function that drops the messages of the given types.
func dropTypes(types ...wire.Type) func(*simHost, wire.Outgoing) *wire.Outgoing {
	return func(_ *simHost, m wire.Outgoing) *wire.Outgoing {
		if slices.Contains(types, m.Message.WireType()) {
			return nil
		}
		return &m
	}
}

// dropRefutations drops the entries with which a host refutes a claim that it is gone.
func dropRefutations(_ *simHost, m wire.Outgoing) *wire.Outgoing {
	update, ok := m.Message.(*wire.MemberListUpdate)
	if !ok {
		return &m
	}
	kept := slices.DeleteFunc(slices.Clone(update.Entries), func(e wire.HostEntry) bool {
		return e.State != wire.HostGone && e.Incarnation%incarnationStep != 0
	})
	return &wire.Outgoing{To: m.To, Message: &wire.MemberListUpdate{Entries: kept}}
}

// TestInvariantChecks_DetectMutants runs each mutant until a check detects it. It
// guards against checks that pass although a mechanism is broken.
func TestInvariantChecks_DetectMutants(t *testing.T) {
	tests := []struct {
		name   string
		mutant mutant
		want   string
	}{
		{"any change is put in force", mutant{acceptAnything: true}, "decreased its revision"},
		{"stale configuration is used", mutant{ignoreFreshness: true}, "withdrawn"},
		{"changes are not relayed", mutant{replaceMessage: dropTypes(wire.TypeConfigChange)}, "was accepted"},
		{"no host reads the table service", mutant{noReads: true}, "was accepted"},
		{"suspicions are not relayed", mutant{replaceMessage: dropTypes(wire.TypeSuspicion)}, "which stopped"},
		{"claims are not refuted", mutant{replaceMessage: dropRefutations}, "which is running"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			require.ErrorContains(t, firstViolation(t, test.mutant), test.want)
		})
	}
}

// firstViolation runs plans with increasing seeds until one violates an invariant. It
// returns the violation, or nil if there is none.
func firstViolation(t *testing.T, m mutant) error {
	t.Helper()
	const plans = 300
	for seed := range plans {
		if err := rapid.Custom(drawPlan).Example(seed).run(m); err != nil {
			return err
		}
	}
	return nil
}
