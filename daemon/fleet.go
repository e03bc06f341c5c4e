package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/fleet"
	"github.com/jasminelock/jasminelock/spread"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// rosterInterval is how often the roster is published for its loads alone.
const rosterInterval = time.Second

// fleetController drives this host's part of the roster and of the spread of
// the configuration.
type fleetController struct {
	daemon *Daemon
	// reads takes reads of the table service. One is open at a time.
	reads chan spread.ReadStore

	// mu is the fleet controller's lock of the lock order in package blackboard.
	// It guards all below.
	mu          sync.Mutex
	node        *fleet.Node
	version     uint64
	publishedAt time.Time
	leaving     bool
	left        bool
	stale       bool
	// until is what the core was told last, told whether it was told anything.
	until time.Time
	told  bool
}

func newFleetController(d *Daemon, self wire.HostEntry) *fleetController {
	return &fleetController{
		daemon: d,
		reads:  make(chan spread.ReadStore, 1),
		node: fleet.New(time.Now(), fleet.Options{
			Self: self, ReadInterval: time.Duration(d.settings.Platform.PollInterval),
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
	}
}

// run lets time pass until the context ends.
func (f *fleetController) run(ctx context.Context) {
	every(ctx, fleet.TickInterval, func() { f.tick() })
}

func (f *fleetController) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.node.SetLoad(f.daemon.runtime.InFlight())
	f.node.SetState(f.state(now))
	f.carryOut(f.node.Tick(now))
	f.publish(now)
}

// state is where this host is in its life.
func (f *fleetController) state(now time.Time) wire.HostState {
	switch {
	case f.left:
		return wire.HostGone
	case f.leaving:
		return wire.HostLeaving
	case f.node.Revision() > 0 && now.Before(f.freshUntil()) && f.daemon.admits():
		return wire.HostLive
	}
	return wire.HostJoining
}

// admits reports whether the limiter can admit requests.
func (d *Daemon) admits() bool {
	admits := false
	d.runtime.View(func(c *core.Core) { admits = c.Admits() })
	return admits
}

// freshUntil returns until when the configuration may be taken to be in force.
// A host without links to the others cannot tell an outage of the table service
// from being cut off.
func (f *fleetController) freshUntil() time.Time {
	if f.daemon.links == nil && f.daemon.settings.Fleet.Hosts > 1 {
		return f.node.ConfirmedAt().Add(spread.ConfirmationLifetime)
	}
	return f.node.FreshUntil()
}

// receive takes a message of another host.
func (f *fleetController) receive(from string, m wire.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.carryOut(f.node.Receive(time.Now(), from, m))
	f.publish(time.Now())
}

// hostList takes the platform's host list, asked for at sentAt.
func (f *fleetController) hostList(sentAt time.Time, hosts []store.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node.SetHostList(sentAt, hosts)
}

// storeRead takes the table service's answer.
func (f *fleetController) storeRead(a spread.StoreAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.carryOut(f.node.HandleStoreAnswer(time.Now(), a))
	f.publish(time.Now())
}

// address returns where a host accepts links.
func (f *fleetController) address(host string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Address(host)
}

// leavingWait bounds how long a host that has left waits until the others have
// been told.
const leavingWait = time.Second

// leave tells the others at once that this host is leaving.
func (f *fleetController) leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.tick()
}

// leaveForGood tells the others that this host has left.
func (f *fleetController) leaveForGood() {
	f.mu.Lock()
	f.left = true
	f.mu.Unlock()
	f.tick()
	if f.daemon.links == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leavingWait)
	defer cancel()
	f.daemon.links.Flush(ctx)
}

// carryOut is called with mu held. It does not wait for anything.
func (f *fleetController) carryOut(decisions []spread.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case spread.Send:
			f.daemon.send(d.Outgoing)
		case spread.ReadStore:
			select {
			case f.reads <- d:
			default: // the one before has not ended; this one is given up in time
			}
		case spread.ApplyConfig:
			f.inForce(d)
		}
	}
}

func (f *fleetController) inForce(d spread.ApplyConfig) {
	for _, p := range d.Problems {
		f.daemon.log.Error("record left out", "error", p)
	}
	f.daemon.log.Info("configuration", "revision", d.Config.Revision)
	f.daemon.runtime.Handle(core.ConfigConfirmed{Until: f.freshUntil()})
	f.daemon.runtime.Handle(core.ConfigUpdated{Config: d.Config})
}

// publish tells the core and the blackboard what has changed. It is called
// with mu held.
func (f *fleetController) publish(now time.Time) {
	f.confirm(now)
	if f.daemon.links == nil || !f.node.Joined(now) {
		return
	}
	changed := f.version != f.node.MemberListVersion()
	if !changed && now.Sub(f.publishedAt) < rosterInterval {
		return
	}
	f.version, f.publishedAt = f.node.MemberListVersion(), now
	members := f.node.Members()
	f.daemon.board.Members.Publish(members)
	if !changed {
		return
	}
	live := make([]string, 0, len(members))
	for _, m := range members {
		live = append(live, m.Name)
	}
	f.daemon.runtime.Handle(core.MembersUpdated{Live: live})
}

func (f *fleetController) confirm(now time.Time) {
	if until := f.freshUntil(); !f.told || !until.Equal(f.until) {
		f.told, f.until = true, until
		f.daemon.freshUntil.Store(&until)
		f.daemon.runtime.Handle(core.ConfigConfirmed{Until: until})
	}
	stale := f.node.Revision() > 0 && !now.Before(f.until)
	if stale == f.stale {
		return
	}
	f.stale = stale
	if stale {
		f.daemon.log.Warn("configuration not confirmed: requests with a key are refused", "revision", f.node.Revision())
		return
	}
	f.daemon.log.Info("configuration confirmed again", "revision", f.node.Revision())
}
