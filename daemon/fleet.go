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

// memberListInterval is the time after which the member list is published even if only the loads in it can
// have changed.
const memberListInterval = time.Second

// fleetController drives this host's part of the membership protocol and of the distribution of the
// configuration.
type fleetController struct {
	daemon *Daemon
	// reads holds the next read of the table service for watchConfig, which performs one at a time.
	reads chan spread.ReadStore

	// mu is the fleet controller's lock in the lock order of package blackboard. It guards the fields
	// below.
	mu               sync.Mutex
	node             *fleet.Node
	publishedVersion uint64
	publishedAt      time.Time
	leaving          bool
	hasLeft          bool
	configStale      bool
	// confirmedUntil is the confirmation that the core received last. It is valid only if confirmationSent
	// is set.
	confirmedUntil   time.Time
	confirmationSent bool
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

// run calls tick at every fleet.TickInterval until the context ends.
func (f *fleetController) run(ctx context.Context) {
	every(ctx, fleet.TickInterval, func() { f.tick() })
}

// tick updates this host's load and state, handles what has become due and publishes the result.
func (f *fleetController) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.node.SetLoad(f.daemon.runtime.InFlight())
	f.node.SetState(f.state(now))
	f.execute(f.node.Tick(now))
	f.publish(now)
}

// state returns the state that this host announces. It is live once it has a configuration that is
// confirmed to be in force and its limiter admits requests. It is called with mu held.
func (f *fleetController) state(now time.Time) wire.HostState {
	switch {
	case f.hasLeft:
		return wire.HostGone
	case f.leaving:
		return wire.HostLeaving
	case f.node.Revision() > 0 && now.Before(f.freshUntil()) && f.daemon.limiterAdmits():
		return wire.HostLive
	}
	return wire.HostJoining
}

// limiterAdmits reports whether the limiter is able to admit requests.
func (d *Daemon) limiterAdmits() bool {
	admits := false
	d.runtime.View(func(c *core.Core) { admits = c.Admits() })
	return admits
}

// freshUntil returns the time at which the configuration stops counting as confirmed to be in force.
// A host without links to the others cannot distinguish an outage of the table service from being
// disconnected from it, so for such a host the configuration counts only for
// spread.ConfirmationLifetime after it was last confirmed. It is called with mu held.
func (f *fleetController) freshUntil() time.Time {
	if f.daemon.links == nil && f.daemon.settings.Fleet.Hosts > 1 {
		return f.node.ConfirmedAt().Add(spread.ConfirmationLifetime)
	}
	return f.node.FreshUntil()
}

// receive handles a message from another host.
func (f *fleetController) receive(from string, m wire.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.execute(f.node.Receive(time.Now(), from, m))
	f.publish(time.Now())
}

// handleHostList handles the platform's host list, requested at sentAt.
func (f *fleetController) handleHostList(sentAt time.Time, hosts []store.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node.SetHostList(sentAt, hosts)
}

// handleStoreRead handles the result of a read of the table service.
func (f *fleetController) handleStoreRead(a spread.StoreAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.execute(f.node.HandleStoreAnswer(time.Now(), a))
	f.publish(time.Now())
}

// address returns the URL at which a host accepts links, and whether the host is known.
func (f *fleetController) address(host string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Address(host)
}

// leaveFlushTimeout is the maximum time that a host waits at its end until the message that it has left has
// been sent to the other hosts.
const leaveFlushTimeout = time.Second

// announceLeaving announces to the other hosts, without waiting for the next tick, that this host is leaving.
func (f *fleetController) announceLeaving() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.tick()
}

// announceLeft announces to the other hosts that this host has left, and waits up to leaveFlushTimeout until
// the message has been sent.
func (f *fleetController) announceLeft() {
	f.mu.Lock()
	f.hasLeft = true
	f.mu.Unlock()
	f.tick()
	if f.daemon.links == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveFlushTimeout)
	defer cancel()
	f.daemon.links.Flush(ctx)
}

// execute executes the decisions of the node. It is called with mu held and never blocks.
func (f *fleetController) execute(decisions []spread.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case spread.Send:
			f.daemon.send(d.Outgoing)
		case spread.ReadStore:
			select {
			case f.reads <- d:
			default: // the previous read has not ended; the node abandons this one at its timeout
			}
		case spread.ApplyConfig:
			f.applyConfig(d)
		}
	}
}

// applyConfig passes a new configuration to the core. It is called with mu held.
func (f *fleetController) applyConfig(d spread.ApplyConfig) {
	for _, p := range d.Problems {
		f.daemon.log.Error("invalid record left out of the configuration", "error", p)
	}
	f.daemon.log.Info("configuration", "revision", d.Config.Revision)
	f.daemon.runtime.Handle(core.ConfigConfirmed{Until: f.freshUntil()})
	f.daemon.runtime.Handle(core.ConfigUpdated{Config: d.Config})
}

// publish passes a changed confirmation or member list to the core and the blackboard. It is called with
// mu held.
func (f *fleetController) publish(now time.Time) {
	f.publishConfirmation(now)
	if f.daemon.links == nil || !f.node.Joined(now) {
		return
	}
	changed := f.publishedVersion != f.node.MemberListVersion()
	if !changed && now.Sub(f.publishedAt) < memberListInterval {
		return
	}
	f.publishedVersion, f.publishedAt = f.node.MemberListVersion(), now
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

// publishConfirmation passes a changed confirmation of the configuration to the core, and logs when the configuration
// ceases to be confirmed and when it is confirmed again. It is called with mu held.
func (f *fleetController) publishConfirmation(now time.Time) {
	if until := f.freshUntil(); !f.confirmationSent || !until.Equal(f.confirmedUntil) {
		f.confirmationSent, f.confirmedUntil = true, until
		f.daemon.freshUntil.Store(&until)
		f.daemon.runtime.Handle(core.ConfigConfirmed{Until: until})
	}
	stale := f.node.Revision() > 0 && !now.Before(f.confirmedUntil)
	if stale == f.configStale {
		return
	}
	f.configStale = stale
	if stale {
		f.daemon.log.Warn("configuration no longer confirmed; requests with an API key are refused", "revision", f.node.Revision())
		return
	}
	f.daemon.log.Info("configuration confirmed again", "revision", f.node.Revision())
}
