// Package lead has one host of the fleet, the lead, decide which upstream runs
// each request, and lets every host go on by itself while there is none.
//
// Which host is the lead is agreed through a row of the platform's table
// service. Hosts hold a link to the lead. It gives upstreams to requests, counts
// what organisations use and gives orders to engines; nothing that it knows has
// to last, since a new lead learns it from the hosts and the engines.
package lead

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

// Engines gives orders to engines and reads their reports.
type Engines interface {
	// SendOrder gives an order. It is not sent again.
	SendOrder(ctx context.Context, o assign.Order, holder string) assign.OrderResult
	// ReadReport reads an engine's report.
	ReadReport(ctx context.Context, u *catalog.Upstream) (*assign.Report, error)
}

// Links carries messages between hosts. Delivery is not promised.
type Links interface {
	Send(to string, m wire.Message) error
	// Drop ends the links to a host that no longer answers.
	Drop(host string)
}

// Options are what a Broker is made of.
type Options struct {
	Log hclog.Logger
	// Host is this host's name, Zone its availability zone.
	Host string
	Zone string
	// CallerAddress is where callers connect to this host.
	CallerAddress string
	// PeerURL is where other hosts link to this one.
	PeerURL string
	Tables  store.StampedTables
	// Source is this host's own watch of the platform's tables.
	Source Source
	// Cores is this host's processor time, in cores.
	Cores   float64
	Engines Engines
	Limits  assign.Limits
	// Fenced says that engines refuse orders with an older fencing token.
	Fenced bool
	// HolderPause is how long a host that gave engines orders leaves them to others
	// once another host has led.
	HolderPause time.Duration
	// MaxPropagation is how soon what the platform's tables say must be in force everywhere.
	MaxPropagation time.Duration
	// Clock returns the time since some moment in the past. It goes on while the
	// machine is suspended, which time.Time need not.
	Clock  func() time.Duration
	Random *rand.Rand
}

// Source is a watch of the platform's tables that rests while the lead passes
// changes on. Its methods may call the broker's SeeView.
type Source interface {
	// SetRelayed says whether changes are passed on. It does not wait.
	SetRelayed(on bool)
	// SetLowLatency says whether this host leads or may lead.
	SetLowLatency(on bool)
	// KnownVersions returns the store's versions up to which the tables of the operator and of
	// the upstreams are known.
	KnownVersions() (operator, upstreams int64)
	// SetKnownVersions says up to which versions all changes have been passed on.
	SetKnownVersions(operator, upstreams int64)
	// ApplyRelayedConfig takes a configuration, which may be empty, announced versions, and all
	// evacuated zones.
	ApplyRelayedConfig(packed []byte, versions catalog.Versions, evacuated watch.Evacuations)
	// ApplyRelayedUpstreams takes all upstreams, or those that have changed or are gone.
	ApplyRelayedUpstreams(p watch.RelayedUpstreams)
	// StoreAge returns how long ago the store was last read.
	StoreAge() time.Duration
}

// Broker hands requests to the lead, or to this host's own Assigner.
type Broker struct {
	options Options
	log     hclog.Logger
	links   Links
	// wake has Run take its next turn at once.
	wake chan struct{}
	// claiming says that the lease is about to be claimed beside Run.
	claiming atomic.Bool
	claims   sync.WaitGroup
	// ctx ends with Run. It is set before any request comes.
	ctx context.Context

	// mu guards all below. It is never held during traffic.
	mu sync.Mutex
	// local decides for the services that need no lead, and for all while there
	// is none. leading decides for the fleet where this host is the lead.
	local   *assign.Assigner
	leading *assign.Assigner
	view    *watch.View
	tickets map[uint64]*Ticket
	number  uint64
	lead    leadState
	// lastClaim is the number of this host's last claim, claimedFrom the lease that
	// it was to replace.
	lastClaim   uint64
	claimedFrom *leaseView
	members     map[string]*member
	// heardOf is the most members since this host leads.
	heardOf int
	// untold are the hosts that this one, as the lead, has yet to hear what they
	// run of.
	untold map[string]bool
	// hosts are those that callers may be sent to, as the lead said last.
	hosts     []wire.CallerHost
	exhausted map[string]bool
	// spent holds the requests that this host has admitted by itself and not told
	// the lead of.
	spent map[string]float64
	// ledger holds which requests crash upstreams, as far as this host knows.
	ledger   *quarantine.Ledger
	beatList beatList
	// upstreams is what upstreams have said to this host.
	upstreams toldByUpstreams
	homes     map[catalog.AdapterRef]home
	draining  bool
	startedAt time.Time
	// asideUntil is until when this host leaves the lease to others. hostsBefore is how
	// many hosts there were before it heard of none, 0 once there is a lead again.
	asideUntil  time.Time
	hostsBefore int
	// aloneSince is since when this host has had no lead, where it has none.
	aloneSince time.Time
	// looked says that the lease's row has been read since the start.
	looked bool
	// roster is the version of hosts. The lead counts it up, starting from its
	// fence, so that versions of two leads differ.
	roster uint64
	// inStep says that this host knows what the lead does. unlike counts the beats
	// in a row that said otherwise.
	inStep bool
	unlike int
	// announcedTo holds where the hosts accept links that this one tells of itself as
	// the lead.
	announcedTo map[string]string
	// lookAt is when this host looks for a lead again, which may tell of itself
	// before. patience is what it leaves to stronger hosts of a claim.
	lookAt   time.Time
	patience patience
	// sums are checksums of what the lead knew before, the latest last.
	sums []pastSum
	// told is the list of hosts as hosts were told it last, rosterDue that they
	// are about to be told of a change.
	told      toldRoster
	rosterDue bool
	relay     relayState

	localAlarm   alarm
	leadingAlarm alarm
}

// leadState is what is known of the lead.
type leadState struct {
	// host is the lead's name, "" where there is none. It may be this host.
	host  string
	fence int64
	// heardAt is when the lead was last heard of.
	heardAt time.Time
	// row is the lease as last seen.
	row leaseView
	// weak says that the lead cannot renew its lease.
	weak bool
	// yields says that the lead lets a stronger host take over.
	yields bool
	// aside says that this host, the lead, is about to give the lease back.
	aside bool
	// ledSince is when this host became the lead.
	ledSince time.Time
	// heldFrom is when the call was sent that renewed or claimed the lease of this
	// host last, by its Clock.
	heldFrom time.Duration
	// ledUntil is when this host last stopped leading, by its Clock; 0 for never.
	ledUntil time.Duration
	// lost says that this host has followed a lead and has lost it.
	lost bool
	// lostAt is when a lead was lost last.
	lostAt time.Time
	// everHeard says that there has been a lead since this host's start.
	everHeard bool
}

// Ticket follows one request.
type Ticket struct {
	request assign.Request
	// decisions has room for all that can come before it is read.
	decisions chan assign.Decision
	// toLead says that the lead was asked, not this host's own Assigner.
	toLead   bool
	settled  bool
	upstream string
	born     int64
	started  bool
}

// Decisions gives the assign.Grant or assign.Refuse that each Ask is answered with.
func (t *Ticket) Decisions() <-chan assign.Decision { return t.decisions }

// New returns a broker. Attach must be called before Run.
func New(o Options) *Broker {
	b := &Broker{
		options: o, log: o.Log, tickets: map[uint64]*Ticket{}, number: uint64(o.Random.Uint32()) << 32,
		wake: make(chan struct{}, 1), members: map[string]*member{}, exhausted: map[string]bool{}, spent: map[string]float64{}, ledger: quarantine.NewLedger(), upstreams: newToldByUpstreams(), homes: map[catalog.AdapterRef]home{}, startedAt: time.Now(), aloneSince: time.Now(),
		view: &watch.View{Versions: catalog.Versions{}},
	}
	b.local = assign.New(assign.Options{Share: blankShare, Limits: o.Limits, Random: o.Random})
	b.localAlarm.fire = func() { b.step(b.tickLocal) }
	b.leadingAlarm.fire = func() { b.step(b.tickLeading) }
	return b
}

// blankShare is the part of the fleet's limits that a host hands out which has
// not heard how many hosts there are.
const blankShare = 1.0 / 16

// Attach gives the broker its links.
func (b *Broker) Attach(l Links) { b.links = l }

// NewTicket returns a ticket for a request that is to be asked for.
func (b *Broker) NewTicket() *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.number++
	t := &Ticket{decisions: make(chan assign.Decision, 8)}
	t.request.ID = assign.RequestID{Host: b.options.Host, Number: b.number}
	b.tickets[b.number] = t
	return t
}

// RequestAssignment asks for an upstream. The ticket's id goes before the request's.
func (b *Broker) RequestAssignment(t *Ticket, r assign.Request) {
	b.step(func(now time.Time) {
		r.ID, r.Zone = t.request.ID, b.options.Zone
		t.request, t.settled, t.upstream, t.started = r, false, "", false
		b.send(now, t)
	})
}

// send hands a ticket's request to whoever decides now.
func (b *Broker) send(now time.Time, t *Ticket) {
	if d, refused := b.refusal(now, &t.request); refused {
		b.settle(t, d)
		return
	}
	needsLead := b.needsLead(t.request.Service)
	t.toLead = needsLead && b.lead.host != ""
	switch {
	case !t.toLead && b.blank(now) && (needsLead || !b.looked):
		// It is asked for as soon as there is a lead, or the lease has told which
		// requests crash upstreams.
	case !t.toLead:
		b.askLocally(now, t)
	case b.leading != nil:
		b.handleLeading(now, assign.RequestSubmitted{Request: t.request})
	default:
		b.sendLead(askMessage(now, &t.request))
	}
}

// blankWait is how long a host that has just started waits for a lead before it
// decides by itself.
const blankWait = 3 * time.Second

// blank reports whether this host has just started and may still find a lead,
// which knows what was used before.
func (b *Broker) blank(now time.Time) bool {
	return !b.lead.everHeard && now.Sub(b.startedAt) < blankWait
}

// askLocally asks this host's own Assigner. While there is a lead, it is the
// lead that counts what organisations use.
func (b *Broker) askLocally(now time.Time, t *Ticket) {
	r := t.request
	if (b.lead.host != "" || b.blank(now)) && !r.Charged {
		if b.exhausted[r.Organisation] {
			b.settle(t, assign.Refuse{ID: r.ID, Kind: rateLimited, RetryAfter: exhaustedReturn, Rule: "rate_exhausted"})
			return
		}
		b.spent[r.Organisation] += float64(r.Cost)
		b.local.RecordUsage(now, r.Arrived, r.Organisation, float64(r.Cost))
		r.Charged = true
	}
	b.handleLocal(now, assign.RequestSubmitted{Request: r})
}

// needsLead reports whether a service is decided on by the lead.
func (b *Broker) needsLead(service string) bool {
	if b.view.Config == nil {
		return false
	}
	s := b.view.Config.Service(service)
	return s != nil && s.Engine != nil
}

// Withdraw ends a ticket whose request waits or has ended.
func (b *Broker) Withdraw(t *Ticket) {
	b.step(func(now time.Time) {
		delete(b.tickets, t.request.ID.Number)
		if t.settled {
			return
		}
		t.settled = true
		b.tell(now, t, assign.RequestWithdrawn{ID: t.request.ID}, &wire.WithdrawRequest{Number: t.request.ID.Number})
	})
}

// FirstByteReceived says that the first part of an answer has arrived.
func (b *Broker) FirstByteReceived(t *Ticket) {
	b.step(func(now time.Time) {
		t.started = true
		b.tell(now, t, assign.FirstByteReceived{ID: t.request.ID}, &wire.FirstByteReceived{Number: t.request.ID.Number})
	})
}

// AttemptEnded says how an attempt ended. The ticket's id goes before the event's.
func (b *Broker) AttemptEnded(t *Ticket, ev assign.AttemptEnded) {
	b.step(func(now time.Time) {
		ev.ID = t.request.ID
		b.upstreams.backOff(now, t.upstream, ev.Feedback.BackOff)
		b.noteAttempt(now, t, &ev)
		t.upstream = ""
		b.tell(now, t, ev, endedMessage(&ev))
	})
}

// tell brings an event of a request to whoever decided on it.
func (b *Broker) tell(now time.Time, t *Ticket, ev assign.Event, m wire.Message) {
	switch {
	case !t.toLead:
		b.handleLocal(now, ev)
	case b.leading != nil:
		b.handleLeading(now, ev)
	case b.lead.host != "":
		b.sendLead(m)
	}
}

// settle gives a ticket its decision.
func (b *Broker) settle(t *Ticket, d assign.Decision) {
	if t.settled {
		return
	}
	t.settled = true
	if g, ok := d.(assign.Grant); ok {
		t.upstream, t.born = g.Upstream, g.StartedAt
		b.noteHome(time.Now(), t.request.Adapter, &g)
		if t.toLead && !t.request.Charged {
			// A new lead asks what was used before it.
			b.local.RecordUsage(time.Now(), t.request.Arrived, t.request.Organisation, float64(t.request.Cost))
		}
	}
	t.decisions <- d
}

// UpdateView takes what the platform's tables say.
func (b *Broker) UpdateView(v *watch.View) {
	b.step(func(now time.Time) {
		before := b.view
		b.view = v
		b.noteEnds(now, before)
		b.seeView(now, b.handleLocal)
		if b.leading != nil {
			b.seeView(now, b.handleLeading)
			b.passOn(now, before)
		}
	})
}

func (b *Broker) seeView(now time.Time, handle func(time.Time, assign.Event)) {
	if b.view.Config != nil {
		handle(now, assign.ConfigUpdated{Config: b.view.Config})
	}
	handle(now, assign.VersionsUpdated{Versions: b.view.Versions})
	handle(now, assign.EvacuationsUpdated{Zones: b.view.Evacuated.Zones})
	handle(now, assign.UpstreamsUpdated{Upstreams: b.view.Upstreams})
	for u := range b.upstreams.leaving {
		handle(now, assign.UpstreamLeaving{Upstream: u.id, StartedAt: u.born})
	}
}

// step runs f with the lock held and sets the alarms for what waits for time.
func (b *Broker) step(f func(now time.Time)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	f(now)
	b.localAlarm.set(now, b.local)
	if b.leading != nil {
		b.leadingAlarm.set(now, b.leading)
	}
}

func (b *Broker) tickLocal(now time.Time) { b.handleLocal(now, assign.Tick{}) }

func (b *Broker) tickLeading(now time.Time) {
	if b.leading != nil {
		b.handleLeading(now, assign.Tick{})
	}
}

// handleLocal brings an event to this host's own Assigner.
func (b *Broker) handleLocal(now time.Time, ev assign.Event) {
	for _, d := range b.local.Handle(now, ev) {
		b.settleOwn(d)
	}
}

// settleOwn gives a decision to this host's ticket.
func (b *Broker) settleOwn(d assign.Decision) {
	switch d := d.(type) {
	case assign.Grant:
		if t, ok := b.tickets[d.ID.Number]; ok {
			b.settle(t, d)
		}
	case assign.Refuse:
		if t, ok := b.tickets[d.ID.Number]; ok {
			b.settle(t, d)
		}
	}
}
