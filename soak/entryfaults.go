package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jasminelock/jasminelock/standin/link"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

// Lengths of faults.
const (
	faultLeast = time.Second
	faultMost  = 4 * time.Second
	// restartAfter is how long a killed host is away.
	restartAfter = 400 * time.Millisecond
	// quickRestarts is how often a host that restarts again and again does so.
	quickRestarts = 4
	// termGrace is how long a host may take to end after SIGTERM.
	termGrace = 9 * time.Second
)

// entryFault brings a fault about, and ends it before it returns.
type entryFault struct {
	name string
	run  func(ctx context.Context, s *entrySoak, r *rand.Rand)
}

// entryFaults are the faults that are drawn.
var entryFaults = []entryFault{
	{"host killed", func(ctx context.Context, s *entrySoak, r *rand.Rand) { s.restart(ctx, s.someHost(r), syscall.SIGKILL) }},
	{"host stopped gracefully", func(ctx context.Context, s *entrySoak, r *rand.Rand) { s.restart(ctx, s.someHost(r), syscall.SIGTERM) }},
	{"host frozen", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		h := s.someHost(r)
		defer s.judge.disturb(h.name)()
		h.signal(syscall.SIGSTOP)
		sleep(ctx, faultTime(r))
		h.signal(syscall.SIGCONT)
	}},
	{"all hosts killed", func(ctx context.Context, s *entrySoak, _ *rand.Rand) {
		var all sync.WaitGroup
		for _, h := range s.hosts {
			all.Go(func() { s.restart(ctx, h, syscall.SIGKILL) })
		}
		all.Wait()
	}},
	{"host cut off the store", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		h := s.someHost(r)
		defer s.judge.disturb(h.name)()
		h.store.SetCut(true)
		sleep(ctx, faultTime(r))
		h.store.SetCut(false)
	}},
	{"host's store silent", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		h := s.someHost(r)
		defer s.judge.disturb(h.name)()
		h.store.SetStalled(true)
		sleep(ctx, faultTime(r))
		h.store.SetStalled(false)
	}},
	{"links to a host cut", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		s.linkFault(ctx, r, func(l *link.Link, on bool) { l.SetCut(on) })
	}},
	{"links to a host silent", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		s.linkFault(ctx, r, func(l *link.Link, on bool) { l.SetStalled(on) })
	}},
	{"links to a host silent one way", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		s.linkFault(ctx, r, func(l *link.Link, on bool) { l.SetTargetStalled(on) })
	}},
	{"links to a host slow", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		s.linkFault(ctx, r, func(l *link.Link, on bool) {
			l.SetDelay(0)
			if on {
				l.SetDelay(linkDelay)
			}
		})
	}},
	{"store down", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		defer s.judge.disturb(everyHost)()
		s.tables.SetFaults(tables.Faults{Down: true})
		sleep(ctx, faultTime(r))
		s.tables.SetFaults(tables.Faults{})
	}},
	{"store loses answers", func(_ context.Context, s *entrySoak, _ *rand.Rand) { s.tables.SetFaults(tables.Faults{LoseCommits: 3}) }},
	{"store forgets its history", func(_ context.Context, s *entrySoak, _ *rand.Rand) { s.tables.DropLog() }},
	{"zone evacuated", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		zone := zoneName(r.IntN(zones))
		if !s.evacuating.CompareAndSwap(false, true) {
			return // the other one is evacuated
		}
		defer s.evacuating.Store(false)
		s.tables.Evacuate(zone, true)
		from := time.Now()
		sleep(ctx, evacuationTime)
		s.judge.evacuated(zone, from, time.Now())
		s.tables.Evacuate(zone, false)
	}},
	{"replica restarts empty", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		e := s.someReplica(r)
		e.link.SetCut(true)
		e.Restart()
		s.tables.RemoveUpstream(e.id)
		sleep(ctx, faultLeast)
		e.link.SetCut(false)
		e.born.Add(1)
		s.list(e, false)
	}},
	{"replica starts slowly", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		e := s.someReplica(r)
		if !e.down.CompareAndSwap(false, true) {
			return // it is away
		}
		defer e.down.Store(false)
		e.link.SetCut(true)
		e.Restart()
		s.tables.RemoveUpstream(e.id)
		sleep(ctx, faultLeast)
		e.link.SetCut(false)
		e.born.Add(1)
		from := time.Now()
		e.slowUntil.Store(from.Add(slowTime).UnixNano())
		s.list(e, false)
		sleep(ctx, slowTime)
		s.judge.slow(e.id, from, time.Now())
		s.list(e, false)
	}},
	{"host restarts again and again", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		h := s.someHost(r)
		for range quickRestarts {
			s.restart(ctx, h, syscall.SIGKILL)
			sleep(ctx, restartAfter)
		}
	}},
	{"replica leaves for a while", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		e := s.someReplica(r)
		s.list(e, true)
		sleep(ctx, faultTime(r))
		s.list(e, false)
	}},
	{"replica silent", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		e := s.someReplica(r)
		e.link.SetStalled(true)
		sleep(ctx, faultTime(r))
		e.link.SetStalled(false)
	}},
	{"replica fails requests", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		e := s.someReplica(r)
		e.SetFaults(replica.Faults{Full: 3, Fail: 3, DropConnections: 3, CutStreams: 3, CutAfterEvents: 2, LoseOrders: 3})
		sleep(ctx, faultTime(r))
		e.SetFaults(replica.Faults{})
	}},
	{"key replaced", func(_ context.Context, s *entrySoak, _ *rand.Rand) { s.replaceKey() }},
}

// linkDelay is what bytes take longer on slow links. A beat and its answer still come in
// the time after which a host is taken to be gone.
const linkDelay = 250 * time.Millisecond

// linkFault disturbs the links that other hosts have opened to some host for a while.
func (s *entrySoak) linkFault(ctx context.Context, r *rand.Rand, set func(l *link.Link, on bool)) {
	h := s.someHost(r)
	s.logf("links to %s", h.name)
	defer s.judge.disturb(h.name)()
	set(h.peers, true)
	sleep(ctx, faultTime(r))
	set(h.peers, false)
}

func faultTime(r *rand.Rand) time.Duration {
	return faultLeast + time.Duration(r.Int64N(int64(faultMost-faultLeast)))
}

// runFaults draws faults, which may overlap, for the soak's time.
func (s *entrySoak) runFaults(ctx context.Context, r *rand.Rand, running *sync.WaitGroup) {
	for end := time.Now().Add(s.options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration((0.5+r.Float64())*float64(s.options.MeanFaultInterval)))
		f := entryFaults[r.IntN(len(entryFaults))]
		own := rand.New(rand.NewPCG(r.Uint64(), 1))
		s.logf("fault: %s", f.name)
		s.judge.fault(f.name)
		running.Go(func() { f.run(ctx, s, own) })
	}
}

func (s *entrySoak) someHost(r *rand.Rand) *entryHost { return s.hosts[r.IntN(len(s.hosts))] }
func (s *entrySoak) someReplica(r *rand.Rand) *entryReplica {
	return s.replicas[r.IntN(len(s.replicas))]
}

// restart ends a host with a signal and starts it again.
func (s *entrySoak) restart(ctx context.Context, h *entryHost, sig syscall.Signal) {
	s.logf("%s gets %s", h.name, sig)
	defer s.judge.disturb(h.name)()
	h.signal(syscall.SIGCONT)
	h.signal(sig)
	if !h.wait(termGrace) {
		s.judge.broken("%s did not end within %s of %s", h.name, termGrace, sig)
		h.kill()
	}
	sleep(ctx, restartAfter)
	if err := h.start(); err != nil {
		s.judge.broken("%s did not start: %s", h.name, err)
	}
}

// replaceKey withdraws the key in force and gives another one.
func (s *entrySoak) replaceKey() {
	s.mu.Lock()
	old := s.key
	s.key = "key-" + strconv.Itoa(s.version)
	s.mu.Unlock()
	s.judge.withdrawn(old, time.Now())
	s.putConfig()
}
