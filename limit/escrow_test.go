package limit

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/wire"
)

// escrow is a mechanism for comparison with LeaderLimiter: each host keeps a share of
// every organisation's rate, burst and tokens, and requests parts of the other
// hosts' shares when its own does not suffice. The donor subtracts before it
// sends. Nothing recovers the share of a killed host: it is lost.
type escrow struct {
	name         string
	peers        []string
	rates        map[string]*record.Rate
	shares       map[string]*share
	reservations map[uint64]*reservation
	lastID       uint64
	rand         *rand.Rand
}

type share struct {
	bucket
	lastDemand time.Time
}

// idleShare is the time without demand after which a host gives away most of its
// share on request.
const idleShare = 2 * time.Second

func escrowLimiter(hosts int) limiterFunc {
	return func(host string, incarnation uint64) Limiter {
		e := &escrow{
			name: host, shares: map[string]*share{}, reservations: map[uint64]*reservation{},
			rand: rand.New(rand.NewPCG(incarnation, 3)),
		}
		for i := range hosts {
			if name := simName(i); name != host {
				e.peers = append(e.peers, name)
			}
		}
		return e
	}
}

func (e *escrow) Configure(now time.Time, rates map[string]*record.Rate) []Decision {
	n := float64(len(e.peers) + 1)
	e.rates = rates
	for org, r := range rates {
		if e.shares[org] == nil {
			burst := float64(r.BurstTokens) / n
			e.shares[org] = &share{bucket: bucket{rate: r.TokensPerSecond / n, burst: burst, tokens: burst, updatedAt: now}}
		}
	}
	return nil
}

func (e *escrow) Reserve(now time.Time, org string, tokens int64) (Verdict, []Decision) {
	s := e.shares[org]
	s.refill(now)
	s.lastDemand = now
	if s.tokens >= float64(tokens) {
		s.tokens -= float64(tokens)
		return Verdict{OK: true}, nil
	}
	e.lastID++
	e.reservations[e.lastID] = &reservation{id: e.lastID, ticket: Ticket(e.lastID), org: org, tokens: tokens, deadline: now.Add(MaxWait)}
	var out []Decision
	for _, p := range e.peers {
		out = append(out, Send{wire.Outgoing{To: p, Message: &wire.LimitRequest{ID: e.lastID, Organisation: org, Tokens: tokens}}})
	}
	return Verdict{Pending: true, Ticket: Ticket(e.lastID)}, out
}

func (e *escrow) Settle(now time.Time, org string, reserved, used int64) []Decision {
	s := e.shares[org]
	s.refill(now)
	s.tokens = math.Min(s.burst, s.tokens+float64(reserved-used))
	return nil
}

func (e *escrow) Receive(now time.Time, from string, m wire.Message) []Decision {
	switch m := m.(type) {
	case *wire.LimitRequest:
		return e.donate(now, from, m)
	case *wire.LimitHandover:
		return e.addToShare(now, m)
	}
	return nil
}

// donate transfers part of a share to another host: tokens with the burst that
// they fill, and the rate and the empty burst that this host does not need.
func (e *escrow) donate(now time.Time, to string, m *wire.LimitRequest) []Decision {
	s := e.shares[m.Organisation]
	s.refill(now)
	part := 0.25
	if now.Sub(s.lastDemand) > idleShare {
		part = 0.9
	}
	tokens := math.Min(s.tokens*part, float64(m.Tokens))
	burst := math.Max(tokens, (s.burst-s.tokens)*part)
	rate := s.rate * part
	if part < 0.5 && s.tokens < s.burst/2 {
		rate = 0
	}
	s.tokens, s.burst, s.rate = s.tokens-tokens, s.burst-burst, s.rate-rate
	return []Decision{Send{wire.Outgoing{To: to, Message: &wire.LimitHandover{Accounts: []wire.LimitAccount{
		{Organisation: m.Organisation, Tokens: tokens, Granted: burst},
		{Organisation: m.Organisation, Tokens: rate},
	}}}}}
}

func (e *escrow) addToShare(now time.Time, m *wire.LimitHandover) []Decision {
	s := e.shares[m.Accounts[0].Organisation]
	s.refill(now)
	s.burst += m.Accounts[0].Granted
	s.tokens += m.Accounts[0].Tokens
	s.rate += m.Accounts[1].Tokens
	return e.serve(now)
}

func (e *escrow) serve(now time.Time) []Decision {
	var out []Decision
	byTicket := func(res, b *reservation) int { return cmp.Compare(res.ticket, b.ticket) }
	for _, res := range slices.SortedFunc(maps.Values(e.reservations), byTicket) {
		s := e.shares[res.org]
		ok := s.tokens >= float64(res.tokens)
		if !ok && now.Before(res.deadline) {
			continue
		}
		if ok {
			s.tokens -= float64(res.tokens)
		}
		delete(e.reservations, res.id)
		out = append(out, Resolved{Ticket: res.ticket, Verdict: Verdict{OK: ok, RetryAfter: defaultRetryAfter}})
	}
	return out
}

func (e *escrow) Tick(now time.Time) []Decision {
	if len(e.reservations) == 0 {
		return nil
	}
	for _, s := range e.shares {
		s.refill(now)
	}
	return e.serve(now)
}

func (e *escrow) UpdateHosts(time.Time, []string) []Decision          { return nil }
func (e *escrow) HandleStoreResult(time.Time, StoreResult) []Decision { return nil }
func (e *escrow) Leave(time.Time) []Decision                          { return nil }
