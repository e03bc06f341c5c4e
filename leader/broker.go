// Package leader elects one host of the fleet as the leader, which assigns requests to upstreams, and lets every
// host assign its own requests while there is no leader.
//
// The leader is elected through a lease in a row of the platform's table service. Every other host (a follower)
// holds a link to the leader and sends it heartbeats. The leader assigns requests to upstreams, accounts for the
// tokens that organisations use and sends orders to engines. Its state need not be durable: a new leader rebuilds
// it from the reports of the hosts and the engines.
package leader

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/quarantine"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/watch"
	"github.com/jasminelock/jasminelock/wire"
)

// Engines sends orders to engines and reads their reports.
type Engines interface {
	// SendOrder sends an order once; it does not retry.
	SendOrder(ctx context.Context, o assign.Order, holder string) assign.OrderResult
	// ReadReport reads an engine's report.
	ReadReport(ctx context.Context, u *catalog.Upstream) (*assign.Report, error)
}

// Links carries messages between hosts. Delivery is not guaranteed.
type Links interface {
	Send(to string, m wire.Message) error
	// Disconnect closes the links to a host that no longer answers.
	Disconnect(host string)
}

// Options configures a Broker.
type Options struct {
	Log hclog.Logger
	// Host is this host's name, Zone its availability zone.
	Host string
	Zone string
	// CallerAddress is the address at which callers connect to this host.
	CallerAddress string
	// PeerURL is the URL at which other hosts open links to this host.
	PeerURL string
	Tables  store.StampedTables
	// Source is this host's own watch of the platform's tables.
	Source Source
	// Cores is the processor time available to this host, in cores.
	Cores   float64
	Engines Engines
	Limits  assign.Limits
	// Scheduling is the order of waiting requests.
	Scheduling assign.Scheduling
	// LearnPace has the pace of upstreams learned where they do not state it.
	LearnPace bool
	// Fenced is set if engines reject orders with a fencing token older than the newest one they have seen.
	Fenced bool
	// HolderPause is how long a host that has sent orders to engines must not lead again once another host has
	// led.
	HolderPause time.Duration
	// MaxPropagation is the time within which a change of the platform's tables must be in force on every host.
	MaxPropagation time.Duration
	// Clock returns the time elapsed since a fixed moment in the past. Unlike time.Time, it must keep counting
	// while the machine is suspended.
	Clock  func() time.Duration
	Random *rand.Rand
}

// Source is a watch of the platform's tables that pauses its own reads while the leader relays changes. Its
// methods may call Broker.UpdateView.
type Source interface {
	// SetRelayed sets whether the leader relays changes to this host. It does not block.
	SetRelayed(on bool)
	// SetLowLatency sets whether this host leads or is strong enough to lead, so that it reads the tables with low
	// latency.
	SetLowLatency(on bool)
	// KnownVersions returns the store positions up to which the operator's table and the table of upstreams have been read.
	KnownVersions() (operator, upstreams int64)
	// SetKnownVersions confirms that all changes up to the given store positions have been relayed.
	SetKnownVersions(operator, upstreams int64)
	// ApplyRelayedConfig applies a relayed configuration, which may be empty, the adapter versions announced, and the
	// complete set of evacuated zones.
	ApplyRelayedConfig(packed []byte, versions catalog.Versions, evacuated watch.Evacuations)
	// ApplyRelayedUpstreams applies a relayed list of upstreams: all of them, or those that have changed or are gone.
	ApplyRelayedUpstreams(p watch.RelayedUpstreams)
	// ObserveEra records an era of the store that this host has learned of.
	ObserveEra(era int64)
	// LearnTables adds what another host knows of the time before the store was restored from a copy.
	LearnTables(p watch.PriorTables)
	// Departed returns the incarnations of upstreams that are known to be gone or draining. It must not be called with the
	// Broker locked.
	Departed() []watch.Incarnation
	// StoreAge returns the time since the store was last read.
	StoreAge() time.Duration
}

// Broker passes requests to the leader, or to this host's own Assigner where no leader is needed or known.
type Broker struct {
	options Options
	log     hclog.Logger
	links   Links
	// wake makes Run call runOnce at once.
	wake chan struct{}
	// claiming is set while a goroutine beside Run waits to claim the lease and claims it.
	claiming atomic.Bool
	claims   sync.WaitGroup
	// ctx ends with Run. It is set before the first request.
	ctx context.Context

	// mu guards all fields below. It is never held while waiting for the network or the store.
	mu sync.Mutex
	// local assigns requests of the services that need no leader, and all requests while there is no leader.
	// leading assigns requests for the fleet; it is nil unless this host is the leader.
	local      *assign.Assigner
	leading    *assign.Assigner
	view       *watch.View
	tickets    map[uint64]*Ticket
	lastNumber uint64
	leader     leaderState
	// lastClaimID identifies this host's latest claim; claimedLease is the lease that the claim was to replace.
	lastClaimID  uint64
	claimedLease *leaseView
	members      map[string]*member
	// maxMembers is the highest number of members since this host became the leader.
	maxMembers int
	// unreportedHosts are the hosts that have not yet reported their running requests to this host, the leader.
	unreportedHosts map[string]bool
	// hosts are the hosts that callers may be sent to, as last announced by the leader.
	hosts     []wire.CallerHost
	exhausted map[string]bool
	// unreportedUsage holds the tokens, by organisation, of requests that this host has admitted by itself and not
	// yet reported to the leader.
	unreportedUsage map[string]float64
	// ledger records which requests crash upstreams, as far as this host knows.
	ledger       *quarantine.Ledger
	suspects     suspectState
	suspectCache suspectCache
	// feedback is what upstreams have reported to this host with their answers.
	feedback   upstreamFeedback
	rateLimits rateLimits
	locations  map[catalog.AdapterRef]adapterLocation
	draining   bool
	startedAt  time.Time
	// noClaimUntil is the time until which this host does not claim the lease. lastHostCount is the number of
	// hosts before this host, as the leader, lost contact with all of them; 0 once there is a leader again.
	noClaimUntil  time.Time
	lastHostCount int
	// leaderlessSince is the time at which this host last lost its leader or started. It has a meaning only while
	// there is no leader.
	leaderlessSince time.Time
	// leaseRead is set once the lease's row has been read since the start.
	leaseRead bool
	// memberListVersion is the version of hosts. The leader increments it, starting from its fencing token, so
	// that the versions of two leaders differ.
	memberListVersion uint64
	// inSync is set while this host's view equals the leader's. mismatches counts the consecutive heartbeats whose
	// checksum differed.
	inSync     bool
	mismatches int
	// announcedTo maps the hosts to which this host announces that it leads to their peer URLs.
	announcedTo map[string]string
	// nextLeaseRead is when this host reads the lease again to find a leader, unless a new leader announces itself
	// before. deferral is how long this host leaves its claim to stronger hosts.
	nextLeaseRead time.Time
	deferral      claimDeferral
	// pastSums are the checksums of the leader's earlier views, the latest last.
	pastSums []pastSum
	// announced is the member list that was last sent to hosts. memberListDue is set while the timer for sending
	// its changes runs.
	announced     memberList
	memberListDue bool
	relay         relayState
	era           storeEra
	// heldOrders are the orders that are held back while the lease is being claimed again.
	heldOrders []assign.Order

	localTimer   wakeTimer
	leadingTimer wakeTimer
}

// leaderState is what this host knows of the leader, and of its own leadership.
type leaderState struct {
	// host is the leader's name, "" if there is no leader. It may be this host.
	host  string
	fence int64
	// heardAt is when the last message of the leader arrived.
	heardAt time.Time
	// row is the lease as last seen.
	row leaseView
	// renewalOverdue is set while the leader cannot renew its lease.
	renewalOverdue bool
	// yielding is set if the leader lets a stronger host take over.
	yielding bool
	// readsFirstByteLoad is set if the leader reads the load that is sent with the first byte of an answer.
	readsFirstByteLoad bool
	// termFence is the fencing token with which this host began to lead. It differs from fence if the lease was claimed
	// again since. reclaiming is set while this leader has to claim its lease again in a new era of the store.
	termFence  int64
	reclaiming bool
	// steppingAside is set if this host, the leader, is about to release the lease.
	steppingAside bool
	// ledSince is when this host began to follow the present leader, which may be itself.
	ledSince time.Time
	// renewalSentAt is when this host sent the call that last claimed or renewed its lease, by Options.Clock.
	renewalSentAt time.Duration
	// ledUntil is when this host last stopped leading, by Options.Clock; 0 if it has never led.
	ledUntil time.Duration
	// hasLostLeader is set once this host has lost a leader that it followed.
	hasLostLeader bool
	// lostAt is when this host last lost a leader and began to wait for the announcement of the next one.
	lostAt time.Time
	// startupDone is set once this host has followed a leader, or has stopped waiting for one after its start.
	startupDone bool
}

// New returns a broker. Attach must be called before Run.
func New(o Options) *Broker {
	b := &Broker{
		options: o, log: o.Log, tickets: map[uint64]*Ticket{}, lastNumber: uint64(o.Random.Uint32()) << 32,
		wake: make(chan struct{}, 1), members: map[string]*member{}, exhausted: map[string]bool{},
		unreportedUsage: map[string]float64{}, ledger: quarantine.NewLedger(), suspects: newSuspectState(), feedback: newUpstreamFeedback(),
		rateLimits: newRateLimits(),
		locations:  map[catalog.AdapterRef]adapterLocation{}, startedAt: time.Now(), leaderlessSince: time.Now(),
		view: &watch.View{Versions: catalog.Versions{}},
	}
	b.local = assign.New(assign.Options{Share: startupShare, Limits: o.Limits, Scheduling: o.Scheduling, LearnPace: o.LearnPace, Random: o.Random})
	b.localTimer.fire = func() { b.update(b.tickLocal) }
	b.leadingTimer.fire = func() { b.update(b.tickLeading) }
	return b
}

// startupShare is the share of the fleet's limits that a host uses before it knows the number of hosts.
const startupShare = 1.0 / 16

// Attach sets the broker's links.
func (b *Broker) Attach(l Links) { b.links = l }

// RequestAssignment submits a request for an assignment. The ticket's ID replaces the request's.
func (b *Broker) RequestAssignment(t *Ticket, r assign.Request) {
	b.update(func(now time.Time) {
		r.ID, r.Zone = t.request.ID, b.options.Zone
		t.request, t.decided, t.upstream, t.firstByteReceived = r, false, "", false
		t.load, t.loadPassedOn = nil, false
		b.submit(now, t)
	})
}

// submit passes a ticket's request to the leader or to this host's own Assigner.
func (b *Broker) submit(now time.Time, t *Ticket) {
	if d, refused := b.refuseOrTry(now, &t.request); refused {
		b.deliver(t, d)
		return
	}
	t.submittedAt = b.options.Clock()
	needsLeader := b.needsLeader(t.request.Service)
	t.atLeader = needsLeader && b.leader.host != ""
	switch {
	case !t.atLeader && b.startingUp(now) && (needsLeader || !b.leaseRead):
		// The request is submitted once there is a leader, or once the lease has been read, which lists the
		// requests that crash upstreams.
	case !t.atLeader:
		b.assignLocally(now, t)
	case b.leading != nil:
		b.handleLeading(now, assign.RequestSubmitted{Request: t.request})
	default:
		b.sendToLeader(requestMessage(now, &t.request))
	}
}

// startupWait is how long a host that has just started waits for a leader before it assigns requests by itself.
const startupWait = 3 * time.Second

// startingUp reports whether this host has just started and may still find a leader. A leader knows the usage from
// before this host's start.
func (b *Broker) startingUp(now time.Time) bool {
	return !b.leader.startupDone && now.Sub(b.startedAt) < startupWait
}

// assignLocally submits a request to this host's own Assigner. While there is a leader, the leader accounts for
// the tokens that organisations use.
func (b *Broker) assignLocally(now time.Time, t *Ticket) {
	r := t.request
	if (b.leader.host != "" || b.startingUp(now)) && !r.Charged {
		if b.exhausted[r.Organisation] {
			b.deliver(t, assign.Refuse{ID: r.ID, Kind: rateLimited, RetryAfter: exhaustedRetryAfter, Rule: "rate_exhausted"})
			return
		}
		b.unreportedUsage[r.Organisation] += float64(r.Cost)
		b.local.RecordUsage(now, r.Arrived, r.Organisation, float64(r.Cost))
		r.Charged = true
	}
	b.handleLocal(now, assign.RequestSubmitted{Request: r})
}

// needsLeader reports whether the leader assigns the requests of a service.
func (b *Broker) needsLeader(service string) bool {
	if b.view.Config == nil {
		return false
	}
	if s := b.view.Config.Service(service); s != nil && s.Engine != nil {
		return true
	}
	return b.rateLimits.managed && b.rateLimits.services[service]
}

// Withdraw closes a ticket whose request waits or has ended.
func (b *Broker) Withdraw(t *Ticket) {
	b.update(func(now time.Time) {
		delete(b.tickets, t.request.ID.Number)
		if t.decided {
			return
		}
		t.decided = true
		b.forwardEvent(now, t, assign.RequestWithdrawn{ID: t.request.ID}, &wire.WithdrawRequest{Number: t.request.ID.Number})
	})
}

// AttemptEnded records how an attempt ended. The ticket's ID replaces the event's.
func (b *Broker) AttemptEnded(t *Ticket, ev assign.AttemptEnded) {
	b.update(func(now time.Time) {
		ev.ID = t.request.ID
		b.feedback.setBackOff(now, t.upstream, ev.Feedback.BackOff)
		b.recordAttempt(now, t, &ev)
		ev = b.endOfAttempt(now, t, ev)
		t.upstream = ""
		b.forwardEvent(now, t, ev, endedMessage(&ev))
	})
}

// forwardEvent passes an event of a request to the Assigner that the request was submitted to: the local one, this
// host's own as the leader, or the leader's by the message m.
func (b *Broker) forwardEvent(now time.Time, t *Ticket, ev assign.Event, m wire.Message) {
	switch {
	case !t.atLeader:
		b.handleLocal(now, ev)
	case b.leading != nil:
		b.handleLeading(now, ev)
	case b.leader.host != "":
		b.sendToLeader(m)
	}
}

// deliver sends a decision to the ticket's channel, unless the ticket already has one.
func (b *Broker) deliver(t *Ticket, d assign.Decision) {
	if t.decided {
		return
	}
	t.decided = true
	if g, ok := d.(assign.Grant); ok {
		t.upstream, t.upstreamStartedAt, t.grantedAt = g.Upstream, g.StartedAt, time.Now()
		t.held, t.rateLimited = g.Held, g.RateLimit.Limited
		b.recordLocation(time.Now(), t.request.Adapter, &g)
		if t.atLeader && !t.request.Charged {
			// reportUsage reports this usage to the next leader.
			b.local.RecordUsage(time.Now(), t.request.Arrived, t.request.Organisation, float64(t.request.Cost))
		}
	}
	t.decisions <- d
}

// UpdateView applies a new view of the platform's tables.
func (b *Broker) UpdateView(v *watch.View) {
	b.update(func(now time.Time) {
		before := b.view
		b.view = v
		b.observeEra(store.EraOf(max(v.Evacuated.StoreVersion, v.UpstreamsVersion)))
		b.recordUpstreamEnds(now, before)
		b.applyView(now, b.handleLocal)
		b.updateLimitedServices(now)
		if b.leading != nil {
			b.applyView(now, b.handleLeading)
			b.relayChanges(now, before)
		}
	})
}

func (b *Broker) applyView(now time.Time, handle func(time.Time, assign.Event)) {
	if b.view.Config != nil {
		handle(now, assign.ConfigUpdated{Config: b.view.Config})
	}
	handle(now, assign.VersionsUpdated{Versions: b.view.Versions})
	handle(now, assign.EvacuationsUpdated{Zones: b.view.Evacuated.Zones})
	handle(now, assign.UpstreamsUpdated{Upstreams: b.view.Upstreams})
	for u := range b.feedback.leaving {
		handle(now, assign.UpstreamLeaving{Upstream: u.id, StartedAt: u.startedAt})
	}
}

// update runs f with the lock held and re-arms the wake-up timers of the Assigners.
func (b *Broker) update(f func(now time.Time)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	f(now)
	b.localTimer.set(now, b.local)
	if b.leading != nil {
		b.leadingTimer.set(now, b.leading)
	}
}

func (b *Broker) tickLocal(now time.Time) { b.handleLocal(now, assign.Tick{}) }

func (b *Broker) tickLeading(now time.Time) {
	if b.leading != nil {
		b.handleLeading(now, assign.Tick{})
	}
}

// handleLocal passes an event to this host's own Assigner.
func (b *Broker) handleLocal(now time.Time, ev assign.Event) {
	for _, d := range b.local.Handle(now, ev) {
		b.deliverLocal(d)
	}
}

// deliverLocal delivers a decision to the ticket of this host that it is for.
func (b *Broker) deliverLocal(d assign.Decision) {
	switch d := d.(type) {
	case assign.Grant:
		if t, ok := b.tickets[d.ID.Number]; ok {
			b.deliver(t, d)
		}
	case assign.Refuse:
		if t, ok := b.tickets[d.ID.Number]; ok {
			b.deliver(t, d)
		}
	}
}
