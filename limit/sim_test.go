package limit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/wire"
)

// Times of the simulated fleet.
const (
	simTick     = 50 * time.Millisecond
	simLinkTime = 700 * time.Microsecond
	simListLag  = 3 * time.Second
	simStore    = 5 * time.Millisecond
)

// faults are the odds and sizes of what goes wrong in a simulated fleet.
type faults struct {
	loss, duplicate, reorder float64 // odds for each message
	lostAnswer               float64 // odds that a write's answer is lost
	linkTime, storeTime      time.Duration
}

// newLimiter makes the limiter of one run of a host.
type newLimiter func(host string, incarnation uint64) Limiter

// sim runs limiters in virtual time: one event after the other, from one seed.
type sim struct {
	now      time.Time
	rand     *rand.Rand
	events   eventHeap
	sequence int
	faults   faults
	make     newLimiter

	hosts []*simHost
	rows  map[string]store.Row
	down  bool // the table service and the host list
	cut   map[[2]int]bool
	rates map[string]*record.Rate
	// revision grows with each change of rates.
	revision int

	check  *checker
	writes int
	reads  int
}

// simHost is one host's name, with the run of its process if there is one.
type simHost struct {
	index       int
	name        string
	limiter     Limiter
	run         uint64 // grows with each start; events of earlier runs are dropped
	alive       bool
	pausedUntil time.Time
	// held keeps what is decided until the pause that follows has ended.
	held            bool
	listedAt        time.Time
	cutOff          bool // from the platform
	sent, sentBytes int
	rates           map[string]*record.Rate
	revision        int
	waiting         map[Ticket]func(Verdict)
}

type simEvent struct {
	at       time.Time
	sequence int
	do       func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSim(seed uint64, hosts int, f faults, rates map[string]*record.Rate, limiter newLimiter) *sim {
	s := &sim{
		now: time.Unix(1_000_000, 0), rand: rand.New(rand.NewPCG(seed, 7)), faults: f, make: limiter,
		rows: map[string]store.Row{}, cut: map[[2]int]bool{}, rates: rates, check: newChecker(),
	}
	if s.faults.linkTime == 0 {
		s.faults.linkTime = simLinkTime
	}
	if s.faults.storeTime == 0 {
		s.faults.storeTime = simStore
	}
	for i := range hosts {
		h := &simHost{index: i, name: simName(i)}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	return s
}

// leadLimiter makes the limiter that daemons use.
func leadLimiter(host string, incarnation uint64) Limiter {
	return NewLeaderLimiter(LeaderOptions{Host: host, Incarnation: incarnation, Rand: rand.New(rand.NewPCG(incarnation, 1))})
}

func (s *sim) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), sequence: s.sequence, do: do})
}

// run lets virtual time pass.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// start begins a blank run of a host.
func (s *sim) start(h *simHost) {
	h.run++
	h.alive = true
	h.pausedUntil = time.Time{}
	h.held = false
	h.cutOff = false
	h.waiting = map[Ticket]func(Verdict){}
	h.limiter = s.make(h.name, uint64(h.index+1)<<32|h.run)
	h.revision = s.revision
	s.configure(h, s.rates)
	s.every(h, simTick, func(now time.Time) []Decision { return h.limiter.Tick(now) })
	s.every(h, time.Second, func(now time.Time) []Decision {
		if s.down || h.cutOff {
			return nil
		}
		h.listedAt = s.now
		return h.limiter.UpdateHosts(now, s.list())
	})
}

func (s *sim) kill(h *simHost) {
	h.alive = false
	h.waiting = nil
	h.rates = nil
	s.ratesChanged()
}

// pause stops a host for a while, in the middle of a request for org: the
// clock has been read, what is decided is carried out after the pause. All that
// comes meanwhile is handled afterwards.
func (s *sim) pause(h *simHost, org string, d time.Duration) {
	if !h.alive || s.now.Before(h.pausedUntil) {
		return
	}
	h.held = true
	s.request(h, org, 1, 0, d+time.Second, nil)
	h.held = false
	h.pausedUntil = s.now.Add(d)
}

// list is the platform's host list. It lags.
func (s *sim) list() []string {
	var names []string
	for _, h := range s.hosts {
		if s.now.Sub(h.listedAt) < simListLag {
			names = append(names, h.name)
		}
	}
	return names
}

// every calls do at each interval while the present run of the host lives.
func (s *sim) every(h *simHost, interval time.Duration, do func(time.Time) []Decision) {
	run := h.run
	var next func()
	next = func() {
		if h.run != run || !h.alive {
			return
		}
		s.on(h, do)
		s.after(interval, next)
	}
	s.after(time.Duration(s.rand.Int64N(int64(interval))), next)
}

// on lets a host handle an event, at once or when its pause ends.
func (s *sim) on(h *simHost, do func(time.Time) []Decision) {
	if !h.alive {
		return
	}
	if s.now.Before(h.pausedUntil) {
		run := h.run
		s.after(h.pausedUntil.Sub(s.now), func() {
			if h.run == run {
				s.on(h, do)
			}
		})
		return
	}
	reading := s.now
	decisions := do(reading)
	if !h.held {
		s.carryOut(h, reading, decisions)
		return
	}
	run := h.run
	s.after(0, func() {
		s.on(h, func(time.Time) []Decision {
			if h.run != run {
				return nil
			}
			return decisions
		})
	})
}

func (s *sim) carryOut(h *simHost, reading time.Time, decisions []Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case Send:
			s.deliver(h, d)
		case Read:
			s.read(h, d)
		case Commit:
			s.commit(h, d)
		case Resolved:
			if done, ok := h.waiting[d.Ticket]; ok {
				delete(h.waiting, d.Ticket)
				s.check.reading = reading
				done(d.Verdict)
			}
		}
	}
}

func (s *sim) deliver(from *simHost, d Send) {
	raw, err := wire.Encode(d.Message)
	if err != nil {
		panic(err)
	}
	from.sent++
	from.sentBytes += len(raw)
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == d.To })
	copies := 1
	if s.rand.Float64() < s.faults.duplicate {
		copies = 2
	}
	for range copies {
		if s.rand.Float64() < s.faults.loss || s.cut[[2]int{from.index, i}] {
			continue
		}
		delay := s.faults.linkTime + time.Duration(s.rand.Int64N(int64(100*time.Microsecond)))
		if s.rand.Float64() < s.faults.reorder {
			delay += s.anyDelay()
		}
		to := s.hosts[i]
		s.after(delay, func() {
			m, err := wire.Decode(raw)
			if err != nil {
				panic(err)
			}
			s.on(to, func(now time.Time) []Decision { return to.limiter.Receive(now, from.name, m) })
		})
	}
}

// anyDelay is between 1 ms and 4 s, each doubling equally likely.
func (s *sim) anyDelay() time.Duration {
	const doublings = 12
	return time.Duration(math.Exp2(s.rand.Float64()*doublings) * float64(time.Millisecond))
}

// answer brings an answer of the table service to the run that asked.
func (s *sim) answer(h *simHost, e StoreResult, lost bool) {
	run := h.run
	delay := s.faults.storeTime
	if lost {
		e.Err, delay = store.ErrUnavailable, 2*time.Second
	}
	s.after(delay, func() {
		if h.run == run {
			s.on(h, func(now time.Time) []Decision { return h.limiter.HandleStoreResult(now, e) })
		}
	})
}

func (s *sim) read(h *simHost, d Read) {
	s.reads++
	s.after(s.faults.storeTime, func() {
		row, ok := s.rows[d.Key]
		e := StoreResult{ID: d.ID, Row: row}
		if !ok {
			e.Err = store.ErrNotFound
		}
		s.answer(h, e, s.down || h.cutOff)
	})
}

func (s *sim) commit(h *simHost, d Commit) {
	s.after(s.faults.storeTime, func() {
		e := StoreResult{ID: d.ID}
		if s.down || h.cutOff {
			s.answer(h, e, true)
			return
		}
		for _, c := range d.Txn.Conditions {
			if s.rows[c.Key].Version != c.Version {
				e.Err = store.ErrConflict
			}
		}
		if e.Err == nil {
			s.writes++
			for _, w := range d.Txn.Writes {
				s.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: s.rows[w.Key].Version + 1}
			}
		}
		s.answer(h, e, s.rand.Float64() < s.faults.lostAnswer)
	})
}

// publish gives all hosts a new configuration, each within 3 s.
func (s *sim) publish(rates map[string]*record.Rate) {
	s.rates = rates
	s.revision++
	revision := s.revision
	for _, h := range s.hosts {
		run := h.run
		s.after(time.Duration(s.rand.Int64N(int64(3*time.Second))), func() {
			if h.run == run && h.alive && h.revision < revision {
				h.revision = revision
				s.configure(h, rates)
			}
		})
	}
}

func (s *sim) configure(h *simHost, rates map[string]*record.Rate) {
	h.rates = rates
	s.ratesChanged()
	s.on(h, func(now time.Time) []Decision { return h.limiter.Configure(now, rates) })
}

// ratesChanged tells the checker the largest rates in force on any host.
func (s *sim) ratesChanged() {
	for org := range s.rates {
		var most record.Rate
		for _, h := range s.hosts {
			if r, ok := h.rates[org]; ok {
				most.TokensPerSecond = max(most.TokensPerSecond, r.TokensPerSecond)
				most.BurstTokens = max(most.BurstTokens, r.BurstTokens)
			}
		}
		s.check.rateInForce(s.now, org, most)
	}
}

// request asks a host for tokens. After runs for, used of them stay spent; a
// negative used is not settled.
func (s *sim) request(h *simHost, org string, tokens, used int64, runs time.Duration, done func(Verdict)) {
	run := h.run
	ideal := s.check.arrive(org, tokens, used, s.now)
	if ideal && used >= 0 {
		s.after(runs, func() { s.check.idealRefund(org, tokens-used, s.now) })
	}
	decide := func(v Verdict) {
		if done != nil {
			done(v)
		}
		if !v.OK {
			s.check.refuse(org, ideal, s.now)
			return
		}
		s.check.admit(org, tokens, used)
		s.after(runs, func() {
			if used < 0 {
				return
			}
			if h.run == run && h.alive {
				s.on(h, func(now time.Time) []Decision {
					s.check.refund(org, tokens-used, now)
					return h.limiter.Settle(now, org, tokens, used)
				})
			}
		})
	}
	s.on(h, func(now time.Time) []Decision {
		s.check.reading = now
		v, decisions := h.limiter.Reserve(now, org, tokens)
		if v.Pending {
			h.waiting[v.Ticket] = decide
			return decisions
		}
		decide(v)
		return decisions
	})
}

func simName(i int) string { return fmt.Sprintf("host-%d", i+1) }
