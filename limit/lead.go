package limit

import (
	"math/rand/v2"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/wire"
)

// Times of the Lead limiter.
const (
	// fenceTTL is how long evidence that a view is the latest counts.
	fenceTTL = 10 * time.Second
	// peerTTL is how long after the last evidence of the table service the
	// members' answers still count.
	peerTTL = 12 * time.Hour
	// voidAfter is when a lead that no longer gets evidence has stopped, clocks
	// running apart by up to a tenth.
	voidAfter = fenceTTL + fenceTTL/10
	// headInterval is how often a member reads the head row.
	headInterval = 2 * time.Second
	// roundInterval is how often other hosts are asked for their view, where
	// the table service does not answer or a view is not settled.
	roundInterval = 2 * time.Second
	// outageInterval is the same while the table service is silent, when a
	// majority is asked.
	outageInterval = 4 * time.Second
	// joinInterval is how often a host that is no member tries to become one.
	joinInterval = 300 * time.Millisecond
	// aloneAfter is how long a host that is no member leaves it to members to make
	// it one.
	aloneAfter = 3 * time.Second
	// goneAfter is how long a member is missing from the host list before it is
	// left out of the next view.
	goneAfter = 5 * time.Second
	// minorityGoneAfter is the same for a host that finds most members missing:
	// it may be the one that is cut off.
	minorityGoneAfter = time.Minute
	// rankDelay is how much longer each further member waits before it leaves
	// out a gone one, so that mostly a single host writes.
	rankDelay = 2 * time.Second
	// handoverGrace is how long a handover of a live host may take. Where it has
	// not come by then, only time helps.
	handoverGrace = 500 * time.Millisecond
	// grantTTL is how long a grant counts on its lead. An asker gives up after
	// answerWait, counted from when it asked.
	grantTTL = answerWait + answerWait/10
	// resendInterval is how often what has not been acknowledged is sent again.
	resendInterval = 200 * time.Millisecond
	// heldInterval is how often holdings of budgets in flight are reported.
	heldInterval = time.Second
	// slotQuiet is how long a new lead of a budget in flight waits, so that what
	// hosts started that are no members any more has ended.
	slotQuiet = 3 * time.Second
	// answerWait is how long one ask waits for its answer. A lead that is about
	// to learn what was spent before it does not answer: it is asked again.
	answerWait = 100 * time.Millisecond
	// unknownRetry is told to callers where nothing better is known.
	unknownRetry = time.Second
)

// LeaderOptions make a Lead limiter.
type LeaderOptions struct {
	// Host is this host's name.
	Host string
	// Incarnation tells this run of the host's process from every other one.
	Incarnation uint64
	// Rand spreads the hosts' attempts over time.
	Rand *rand.Rand
}

// LeaderLimiter is a limiter in which one host at a time, the lead, keeps the bucket of
// an organisation. The other hosts ask it for each reservation. Which hosts
// may lead is a view, agreed in one row of the table service.
type LeaderLimiter struct {
	self wire.LimitMember
	rand *rand.Rand
	now  time.Time
	// started is the first clock reading.
	started time.Time

	rates map[string]*record.Rate
	hosts hostList
	view  *view // nil until one is known
	fence fence
	store storeCalls

	// accounts and slots are the organisations that this host leads.
	accounts map[string]*account
	slots    map[string]*slots
	// held is what this host holds of budgets in flight.
	held map[string]*ownHolding
	// handedOver says when members have passed on what they led before.
	handedOver map[wire.LimitMember]time.Time
	// handovers are this host's own that have not been acknowledged.
	handovers map[string]*wire.LimitHandover

	lastID   uint64
	asks     map[uint64]*ask
	queued   []*remoteAsk
	returns  map[string]uint64 // last sequence sent, by lead's host
	returned map[wire.LimitMember]uint64
	// stamps are the latest stamps of leads.
	stamps  map[wire.LimitMember]stamp
	leaving bool
	// joinAlone is when this host writes itself into a view.
	joinAlone time.Time
	// newcomers are hosts that have asked and are in no view.
	newcomers map[string]uint64

	nextRound  time.Time
	nextResend time.Time
	nextHeld   time.Time
	nextJoin   time.Time

	out []Decision
}

// ownHolding is what this host holds of a budget in flight.
type ownHolding struct {
	held int64
	// idleReports counts the reports since held became 0.
	idleReports int
}

// NewLeaderLimiter returns a limiter that knows no view and no rate.
func NewLeaderLimiter(o LeaderOptions) *LeaderLimiter {
	l := &LeaderLimiter{
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

// at takes a clock reading. Time never goes back.
func (l *LeaderLimiter) at(now time.Time) time.Time {
	if l.started.IsZero() {
		l.started = now
	}
	if now.After(l.now) {
		l.now = now
	}
	return l.now
}

// take returns the decisions made since the last call.
func (l *LeaderLimiter) take() []Decision {
	out := l.out
	l.out = nil
	return out
}

func (l *LeaderLimiter) send(to string, m wire.Message) {
	l.out = append(l.out, Send{wire.Outgoing{To: to, Message: m}})
}

// Configure implements Limiter.
func (l *LeaderLimiter) Configure(now time.Time, rates map[string]*record.Rate) []Decision {
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

// inFlightOnly says that a budget has no rate: what was taken has to be given
// back.
func inFlightOnly(r *record.Rate) bool { return r.TokensPerSecond <= 0 }

// Reserve implements Limiter.
func (l *LeaderLimiter) Reserve(now time.Time, org string, tokens int64) (Verdict, []Decision) {
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
	if v.Pending {
		l.lastID++
		a.id, a.ticket = l.lastID, Ticket(l.lastID)
		l.asks[a.id] = a
		l.askLead(a)
		v.Ticket = a.ticket
	}
	return v, l.take()
}

// Settle implements Limiter. What is given back goes to the organisation's
// lead, once; what does not arrive stays spent.
func (l *LeaderLimiter) Settle(now time.Time, org string, reserved, used int64) []Decision {
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

func (l *LeaderLimiter) giveBack(now time.Time, org string, tokens int64) {
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
func (l *LeaderLimiter) leadOf(org string) (wire.LimitMember, bool) {
	if l.view == nil {
		return wire.LimitMember{}, false
	}
	return l.view.members.lead(org)
}

// Leave implements Limiter. The next view is without this host.
func (l *LeaderLimiter) Leave(now time.Time) []Decision {
	l.at(now)
	l.leaving = true
	return l.take()
}

// Receive implements Limiter.
func (l *LeaderLimiter) Receive(now time.Time, from string, m wire.Message) []Decision {
	now = l.at(now)
	switch m := m.(type) {
	case *wire.LimitProbe:
		l.onProbe(from, m)
	case *wire.LimitProbeAnswer:
		l.onProbeAnswer(now, from, m)
	case *wire.LimitView:
		l.adopt(now, m)
	case *wire.LimitRequest:
		l.onAsk(now, from, m)
	case *wire.LimitAnswer:
		l.onAnswer(m)
	case *wire.LimitGrantSettled:
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

// Tick implements Limiter. Its cost does not grow with the organisations.
func (l *LeaderLimiter) Tick(now time.Time) []Decision {
	now = l.at(now)
	l.tickStore(now)
	l.tickRound(now)
	l.tickPropose(now)
	l.tickResend(now)
	l.tickHeld(now)
	l.tickAsks(now)
	return l.take()
}
