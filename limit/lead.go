package limit

import (
	"math/rand/v2"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/wire"
)

// Durations of the Lead limiter.
const (
	// fenceTTL is how long evidence that a view is the latest stays valid.
	fenceTTL = 10 * time.Second
	// peerTTL is how long after the last evidence from the table service the
	// members' answers still count as evidence.
	peerTTL = 12 * time.Hour
	// voidAfter is the time after which a leader without new evidence has
	// stopped, allowing for clocks that drift apart by up to a tenth.
	voidAfter = fenceTTL + fenceTTL/10
	// headInterval is how often a member reads the head row.
	headInterval = 2 * time.Second
	// roundInterval is how often other hosts are probed for their view while this
	// host needs to know which of them have joined it.
	roundInterval = 2 * time.Second
	// outageInterval is the same during an outage of the table service, when a
	// majority of the members is probed.
	outageInterval = 4 * time.Second
	// joinInterval is how often a host that is not a member tries to join.
	joinInterval = 300 * time.Millisecond
	// aloneAfter is how long a host that is not a member waits for members to add
	// it to a view before it writes itself into one.
	aloneAfter = 3 * time.Second
	// goneAfter is how long a member has to be missing from the host list before
	// it is left out of the next view.
	goneAfter = 5 * time.Second
	// minorityGoneAfter is the additional wait of a host that finds most members
	// missing, since that host may itself be the one that is cut off.
	minorityGoneAfter = time.Minute
	// rankDelay is how much longer each member waits than the one before it in the
	// list before it writes a view without a missing member. Mostly, only a single
	// host writes.
	rankDelay = 2 * time.Second
	// handoverGrace is how long a handover of a live host may take. If it has not
	// arrived by then, the previous leader's evidence has to expire first.
	handoverGrace = 500 * time.Millisecond
	// grantTTL is how long a grant counts on its leader. The requesting host gives
	// up after answerWait, counted from when it sent the request; a tenth is added
	// for clock drift.
	grantTTL = answerWait + answerWait/10
	// resendInterval is how often an unacknowledged handover is sent again.
	resendInterval = 200 * time.Millisecond
	// heldInterval is how often holdings of in-flight budgets are reported.
	heldInterval = time.Second
	// slotQuiet is how long a new leader of an in-flight budget waits, so that
	// work started by former members has ended.
	slotQuiet = 3 * time.Second
	// answerWait is how long one attempt waits for its answer. A leader that does
	// not yet know what its predecessor has spent does not answer, so the request
	// is retried.
	answerWait = 100 * time.Millisecond
	// unknownRetry is the RetryAfter of refusals for which no better value is known.
	unknownRetry = time.Second
)

// Options configures a Lead limiter.
type Options struct {
	// Host is this host's name.
	Host string
	// Incarnation identifies this run of the host's process.
	Incarnation uint64
	// Rand adds jitter to intervals, so that the hosts' attempts spread over time.
	Rand *rand.Rand
}

// Lead is a limiter in which one host at a time, the organisation's leader,
// keeps the bucket of an organisation. The other hosts send it a request for each
// reservation. The hosts that may be leaders are listed in a view, which is
// agreed on in one row of the table service.
type Lead struct {
	self wire.LimitMember
	rand *rand.Rand
	now  time.Time
	// started is the time of the first call. Stamps count from it.
	started time.Time

	rates map[string]*record.Rate
	hosts hostList
	view  *view // nil until one is known
	fence fence
	store storeCalls

	// accounts and slots hold the state of the organisations that this host leads,
	// by organisation.
	accounts map[string]*account
	slots    map[string]*slots
	// held is this host's holdings of in-flight budgets, by organisation.
	held map[string]*ownHolding
	// handedOver is when each member of the previous view handed over the
	// organisations that it led.
	handedOver map[wire.LimitMember]time.Time
	// handovers holds this host's unacknowledged handovers, by receiving host.
	handovers map[string]*wire.LimitHandover

	lastID   uint64
	asks     map[uint64]*ask
	queued   []*remoteAsk
	returns  map[string]uint64           // last sequence number sent, by leader's host
	returned map[wire.LimitMember]uint64 // last sequence number received
	// stamps holds the latest stamp received from each leader.
	stamps  map[wire.LimitMember]stamp
	leaving bool
	// joinAlone is when this host writes itself into a view.
	joinAlone time.Time
	// newcomers holds the incarnations of hosts that have sent a probe and are not
	// members of the view, by host name.
	newcomers map[string]uint64

	nextRound  time.Time
	nextResend time.Time
	nextHeld   time.Time
	nextJoin   time.Time

	out []Decision
}

// ownHolding is the part of an in-flight budget that this host holds.
type ownHolding struct {
	held int64
	// idleReports counts the periodic reports since held last changed.
	idleReports int
}

// NewLead returns a limiter without a view and without rates.
func NewLead(o Options) *Lead {
	l := &Lead{
		self:       wire.LimitMember{Host: o.Host, Incarnation: o.Incarnation},
		rand:       o.Rand,
		rates:      map[string]*record.Rate{},
		hosts:      newHostList(),
		store:      newStoreCalls(),
		accounts:   map[string]*account{},
		slots:      map[string]*slots{},
		held:       map[string]*ownHolding{},
		handedOver: map[wire.LimitMember]time.Time{},
		handovers:  map[string]*wire.LimitHandover{},
		asks:       map[uint64]*ask{},
		returns:    map[string]uint64{},
		returned:   map[wire.LimitMember]uint64{},
		stamps:     map[wire.LimitMember]stamp{},
		newcomers:  map[string]uint64{},
	}
	l.fence.reset(time.Time{})
	return l
}

// at advances the limiter's clock to now and returns it. The clock never goes
// back.
func (l *Lead) at(now time.Time) time.Time {
	if l.started.IsZero() {
		l.started = now
	}
	if now.After(l.now) {
		l.now = now
	}
	return l.now
}

// take returns the decisions made since the last call.
func (l *Lead) take() []Decision {
	out := l.out
	l.out = nil
	return out
}

func (l *Lead) send(to string, m wire.Message) {
	l.out = append(l.out, Send{wire.Outgoing{To: to, Message: m}})
}

// Configure implements Limiter.
func (l *Lead) Configure(now time.Time, rates map[string]*record.Rate) []Decision {
	now = l.at(now)
	l.rates = rates
	for org, a := range l.accounts {
		if r, ok := rates[org]; ok && !inFlightOnly(r) {
			a.configure(now, r)
		} else {
			delete(l.accounts, org)
		}
	}
	for org, s := range l.slots {
		if r, ok := rates[org]; ok && inFlightOnly(r) {
			s.burst = r.BurstTokens
		} else {
			delete(l.slots, org)
		}
	}
	for org, r := range rates {
		if _, known := l.held[org]; inFlightOnly(r) && !known {
			l.held[org] = &ownHolding{idleReports: maxIdleReports}
		}
	}
	return l.take()
}

// inFlightOnly reports whether a budget has no rate, only an in-flight limit:
// what has been taken must be released.
func inFlightOnly(r *record.Rate) bool { return r.TokensPerSecond <= 0 }

// Reserve implements Limiter.
func (l *Lead) Reserve(now time.Time, org string, tokens int64) (Verdict, []Decision) {
	now = l.at(now)
	rate, ok := l.rates[org]
	if !ok {
		return Verdict{OverBurst: true}, nil
	}
	if tokens > rate.BurstTokens {
		return Verdict{OverBurst: true, Limit: rate.BurstTokens}, nil
	}
	a := &ask{org: org, tokens: tokens, deadline: now.Add(answerWait), giveUp: now.Add(MaxWait)}
	v := l.route(now, a)
	if v.Wait {
		l.lastID++
		a.id, a.ticket = l.lastID, Ticket(l.lastID)
		l.asks[a.id] = a
		l.askLead(a)
		v.Ticket = a.ticket
	}
	return v, l.take()
}

// Settle implements Limiter. Returned tokens are sent to the organisation's
// leader once; if the message is lost, the tokens stay spent.
func (l *Lead) Settle(now time.Time, org string, reserved, used int64) []Decision {
	now = l.at(now)
	rate, ok := l.rates[org]
	switch {
	case !ok || reserved == used:
		return nil
	case inFlightOnly(rate):
		l.release(org, reserved-used)
	default:
		l.giveBack(now, org, reserved-used)
	}
	return l.take()
}

func (l *Lead) giveBack(now time.Time, org string, tokens int64) {
	lead, ok := l.leadOf(org)
	if !ok {
		return
	}
	if lead == l.self {
		if a, ready := l.account(now, org); ready {
			a.credit(now, now, float64(tokens))
		}
		l.serveQueued(now)
		return
	}
	l.returns[lead.Host]++
	l.send(lead.Host, &wire.LimitReturn{
		Sequence: l.returns[lead.Host], Incarnation: l.self.Incarnation, Epoch: l.view.epoch,
		Organisation: org, Tokens: tokens, Stamp: l.stamps[lead].millis(now),
	})
}

// leadOf returns the member that leads an organisation.
func (l *Lead) leadOf(org string) (wire.LimitMember, bool) {
	if l.view == nil {
		return wire.LimitMember{}, false
	}
	return l.view.members.lead(org)
}

// Leave implements Limiter. The next view does not include this host.
func (l *Lead) Leave(now time.Time) []Decision {
	l.at(now)
	l.leaving = true
	return l.take()
}

// Receive implements Limiter.
func (l *Lead) Receive(now time.Time, from string, m wire.Message) []Decision {
	now = l.at(now)
	switch m := m.(type) {
	case *wire.LimitProbe:
		l.onProbe(from, m)
	case *wire.LimitProbeAnswer:
		l.onProbeAnswer(now, from, m)
	case *wire.LimitView:
		l.adopt(now, m)
	case *wire.LimitAsk:
		l.onAsk(now, from, m)
	case *wire.LimitAnswer:
		l.onAnswer(m)
	case *wire.LimitSpent:
		l.onSpent(now, from, m)
	case *wire.LimitReturn:
		l.onReturn(now, from, m)
	case *wire.LimitHeld:
		l.onHeld(from, m)
	case *wire.LimitHandover:
		l.onHandover(now, from, m)
	case *wire.LimitHandoverAck:
		l.onHandoverAck(from, m)
	}
	return l.take()
}

// Tick implements Limiter. Its cost does not grow with the number of
// organisations.
func (l *Lead) Tick(now time.Time) []Decision {
	now = l.at(now)
	l.tickStore(now)
	l.tickRound(now)
	l.tickPropose(now)
	l.tickResend(now)
	l.tickHeld(now)
	l.tickAsks(now)
	return l.take()
}
