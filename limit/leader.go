package limit

import (
	"math/rand/v2"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/wire"
)

// Durations of a LeaderLimiter.
const (
	// fenceTTL is how long evidence that a view is the latest stays valid.
	fenceTTL = 10 * time.Second
	// peerTTL is how long after the last evidence from the table service the
	// members' answers still count as evidence.
	peerTTL = 12 * time.Hour
	// evidenceExpiry is the time after which a leader without new evidence has
	// stopped, allowing for clocks that drift apart by up to a tenth.
	evidenceExpiry = fenceTTL + fenceTTL/10
	// headReadInterval is how often a member reads the head row.
	headReadInterval = 2 * time.Second
	// roundInterval is how often other hosts are probed for their view while this
	// host needs to know which of them have joined it.
	roundInterval = 2 * time.Second
	// outageInterval is the same during an outage of the table service, when a
	// majority of the members is probed.
	outageInterval = 4 * time.Second
	// joinInterval is how often a host that is not a member tries to join.
	joinInterval = 300 * time.Millisecond
	// joinAloneAfter is how long a host that is not a member waits for members
	// to add it to a view before it writes itself into one.
	joinAloneAfter = 3 * time.Second
	// goneAfter is how long a member has to be missing from the host list before
	// it is left out of the next view.
	goneAfter = 5 * time.Second
	// minorityGoneAfter is the additional wait of a host that finds most members
	// missing, since that host may itself be the one that is cut off.
	minorityGoneAfter = time.Minute
	// rankDelay is how much longer each member waits than the one before it in
	// the list before it writes a view without a missing member. Mostly, only a
	// single host writes.
	rankDelay = 2 * time.Second
	// handoverGrace is how long a handover of a live host may take. If it has not
	// arrived by then, the previous leader's evidence has to expire first.
	handoverGrace = 500 * time.Millisecond
	// grantTTL is how long a grant counts on its leader. The requesting host
	// gives up after answerTimeout, counted from when it sent the request; a
	// tenth is added for clock drift.
	grantTTL = answerTimeout + answerTimeout/10
	// resendInterval is how often an unacknowledged handover is sent again.
	resendInterval = 200 * time.Millisecond
	// heldInterval is how often holdings of in-flight budgets are reported.
	heldInterval = time.Second
	// inFlightQuietPeriod is how long a new leader of an in-flight budget waits,
	// so that work started by former members has ended.
	inFlightQuietPeriod = 3 * time.Second
	// answerTimeout is how long one attempt waits for its answer. A leader that
	// does not yet know what its predecessor has spent does not answer, so the
	// request is retried.
	answerTimeout = 100 * time.Millisecond
	// defaultRetryAfter is the RetryAfter of refusals for which no better value
	// is known.
	defaultRetryAfter = time.Second
)

// LeaderOptions configures a LeaderLimiter.
type LeaderOptions struct {
	// Host is this host's name.
	Host string
	// Incarnation identifies this run of the host's process.
	Incarnation uint64
	// Rand adds jitter to intervals, so that the hosts' attempts spread over
	// time.
	Rand *rand.Rand
}

// LeaderLimiter is a limiter in which one host at a time, the organisation's leader,
// keeps the bucket of an organisation. The other hosts send it a request for each
// reservation. The hosts that may be leaders are listed in a view, which is
// agreed on in one row of the table service.
type LeaderLimiter struct {
	self wire.LimitMember
	rand *rand.Rand
	now  time.Time
	// startedAt is the time of the first call. Stamps count from it.
	startedAt time.Time

	rates map[string]*record.Rate
	hosts hostList
	view  *view // nil until one is known
	fence fence
	store storeCalls

	// accounts and budgets hold the state of the organisations that this host
	// leads, by organisation.
	accounts map[string]*account
	budgets  map[string]*inFlightBudget
	// holdings are the parts of in-flight budgets held by this host, by
	// organisation.
	holdings map[string]*ownHolding
	// handedOverAt is when this host received the handover of each member of the
	// previous view.
	handedOverAt map[wire.LimitMember]time.Time
	// pendingHandovers holds this host's unacknowledged handovers, by receiving
	// host.
	pendingHandovers map[string]*wire.LimitHandover

	lastID          uint64
	reservations    map[uint64]*reservation
	queuedRequests  []*remoteRequest
	sentReturns     map[string]uint64           // last sequence number sent, by leader's host
	receivedReturns map[wire.LimitMember]uint64 // last sequence number received
	// stamps holds the latest stamp received from each leader.
	stamps  map[wire.LimitMember]stamp
	leaving bool
	// joinAloneAt is when this host writes itself into a view.
	joinAloneAt time.Time
	// newcomers holds the incarnations of hosts that have sent a probe and are
	// not members of the view, by host name.
	newcomers map[string]uint64

	nextRound  time.Time
	nextResend time.Time
	nextHeld   time.Time
	nextJoin   time.Time

	decisions []Decision
}

// ownHolding is the part of an in-flight budget that this host holds.
type ownHolding struct {
	held int64
	// idleReports counts the periodic reports since held last changed.
	idleReports int
}

// NewLeaderLimiter returns a limiter without a view and without rates.
func NewLeaderLimiter(o LeaderOptions) *LeaderLimiter {
	l := &LeaderLimiter{
		self:             wire.LimitMember{Host: o.Host, Incarnation: o.Incarnation},
		rand:             o.Rand,
		rates:            map[string]*record.Rate{},
		hosts:            newHostList(),
		store:            newStoreCalls(),
		accounts:         map[string]*account{},
		budgets:          map[string]*inFlightBudget{},
		holdings:         map[string]*ownHolding{},
		handedOverAt:     map[wire.LimitMember]time.Time{},
		pendingHandovers: map[string]*wire.LimitHandover{},
		reservations:     map[uint64]*reservation{},
		sentReturns:      map[string]uint64{},
		receivedReturns:  map[wire.LimitMember]uint64{},
		stamps:           map[wire.LimitMember]stamp{},
		newcomers:        map[string]uint64{},
	}
	l.fence.reset(time.Time{})
	return l
}

// advanceTo advances the limiter's clock to now and returns it. The clock never
// goes back.
func (l *LeaderLimiter) advanceTo(now time.Time) time.Time {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	if now.After(l.now) {
		l.now = now
	}
	return l.now
}

// takeDecisions returns the decisions made since the last call.
func (l *LeaderLimiter) takeDecisions() []Decision {
	decisions := l.decisions
	l.decisions = nil
	return decisions
}

func (l *LeaderLimiter) send(to string, m wire.Message) {
	l.decisions = append(l.decisions, Send{wire.Outgoing{To: to, Message: m}})
}

// Configure implements Limiter.
func (l *LeaderLimiter) Configure(now time.Time, rates map[string]*record.Rate) []Decision {
	now = l.advanceTo(now)
	l.rates = rates
	for org, a := range l.accounts {
		if r, ok := rates[org]; ok && !hasNoRate(r) {
			a.setRate(now, r)
		} else {
			delete(l.accounts, org)
		}
	}
	for org, budget := range l.budgets {
		if r, ok := rates[org]; ok && hasNoRate(r) {
			budget.burst = r.BurstTokens
		} else {
			delete(l.budgets, org)
		}
	}
	for org, r := range rates {
		if _, known := l.holdings[org]; hasNoRate(r) && !known {
			l.holdings[org] = &ownHolding{idleReports: maxIdleReports}
		}
	}
	return l.takeDecisions()
}

// hasNoRate reports whether a budget has no rate, only an in-flight limit:
// what has been taken must be released.
func hasNoRate(r *record.Rate) bool { return r.TokensPerSecond <= 0 }

// Reserve implements Limiter.
func (l *LeaderLimiter) Reserve(now time.Time, org string, tokens int64) (Verdict, []Decision) {
	now = l.advanceTo(now)
	rate, ok := l.rates[org]
	if !ok {
		return Verdict{OverBurst: true}, nil
	}
	if tokens > rate.BurstTokens {
		return Verdict{OverBurst: true, Limit: rate.BurstTokens}, nil
	}
	res := &reservation{org: org, tokens: tokens, deadline: now.Add(answerTimeout), abandonAt: now.Add(MaxWait)}
	v := l.route(now, res)
	if v.Pending {
		l.lastID++
		res.id, res.ticket = l.lastID, Ticket(l.lastID)
		l.reservations[res.id] = res
		l.sendToLeader(res)
		v.Ticket = res.ticket
	}
	return v, l.takeDecisions()
}

// Settle implements Limiter. Returned tokens are sent to the organisation's
// leader once; if the message is lost, the tokens stay spent.
func (l *LeaderLimiter) Settle(now time.Time, org string, reserved, used int64) []Decision {
	now = l.advanceTo(now)
	rate, ok := l.rates[org]
	switch {
	case !ok || reserved == used:
		return nil
	case hasNoRate(rate):
		l.releaseHeld(org, reserved-used)
	default:
		l.returnTokens(now, org, reserved-used)
	}
	return l.takeDecisions()
}

func (l *LeaderLimiter) returnTokens(now time.Time, org string, tokens int64) {
	leader, ok := l.leaderOf(org)
	if !ok {
		return
	}
	if leader == l.self {
		if a, ready := l.account(now, org); ready {
			a.credit(now, now, float64(tokens))
		}
		l.retryQueued(now)
		return
	}
	l.sentReturns[leader.Host]++
	l.send(leader.Host, &wire.LimitReturn{
		Sequence: l.sentReturns[leader.Host], Incarnation: l.self.Incarnation, Epoch: l.view.epoch,
		Organisation: org, Tokens: tokens, Stamp: l.stamps[leader].minMillis(now),
	})
}

// leaderOf returns the member that leads an organisation.
func (l *LeaderLimiter) leaderOf(org string) (wire.LimitMember, bool) {
	if l.view == nil {
		return wire.LimitMember{}, false
	}
	return l.view.members.leader(org)
}

// Leave implements Limiter. The next view does not include this host.
func (l *LeaderLimiter) Leave(now time.Time) []Decision {
	l.advanceTo(now)
	l.leaving = true
	return l.takeDecisions()
}

// Receive implements Limiter.
func (l *LeaderLimiter) Receive(now time.Time, from string, m wire.Message) []Decision {
	now = l.advanceTo(now)
	switch m := m.(type) {
	case *wire.LimitProbe:
		l.onProbe(from, m)
	case *wire.LimitProbeAnswer:
		l.onProbeAnswer(now, from, m)
	case *wire.LimitView:
		l.adoptView(now, m)
	case *wire.LimitRequest:
		l.onRequest(now, from, m)
	case *wire.LimitAnswer:
		l.onAnswer(m)
	case *wire.LimitGrantSettled:
		l.onGrantSettled(now, from, m)
	case *wire.LimitReturn:
		l.onReturn(now, from, m)
	case *wire.LimitHeld:
		l.onHeld(from, m)
	case *wire.LimitHandover:
		l.onHandover(now, from, m)
	case *wire.LimitHandoverAck:
		l.onHandoverAck(from, m)
	}
	return l.takeDecisions()
}

// Tick implements Limiter. Its cost does not grow with the number of
// organisations.
func (l *LeaderLimiter) Tick(now time.Time) []Decision {
	now = l.advanceTo(now)
	l.tickStore(now)
	l.tickProbes(now)
	l.tickPropose(now)
	l.tickHandovers(now)
	l.tickHeld(now)
	l.tickReservations(now)
	return l.takeDecisions()
}
