package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jasminelock/jasminelock/standin/link"
	"github.com/jasminelock/jasminelock/standin/replica"
	"github.com/jasminelock/jasminelock/standin/tables"
)

// Lengths and counts of faults.
const (
	// minFaultTime and maxFaultTime bound the random length of a fault.
	minFaultTime = time.Second
	maxFaultTime = 4 * time.Second
	// restartDelay is how long a host is down between its exit and its next start.
	restartDelay = 400 * time.Millisecond
	// repeatedRestarts is the number of restarts of the fault "host restarts again and again".
	repeatedRestarts = 4
	// termTimeout is how long a host may take to exit after SIGTERM or SIGKILL.
	termTimeout = 9 * time.Second
)

// entryFault is one kind of fault. run starts the fault and ends it before it returns.
type entryFault struct {
	name string
	run  func(ctx context.Context, s *entrySoak, r *rand.Rand)
}

// entryFaults lists the faults that runFaults draws from.
var entryFaults = []entryFault{
	{"host killed", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		s.restart(ctx, s.randomHost(r), syscall.SIGKILL)
	}},
	{"host stopped gracefully", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		s.restart(ctx, s.randomHost(r), syscall.SIGTERM)
	}},
	{"host stopped, signals repeated", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		s.stopWithSignals(ctx, r, s.randomHost(r))
	}},
	{"host stopped under waiting requests", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		s.stopUnderWaitingRequests(ctx, r)
	}},
	{"host frozen", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		h := s.randomHost(r)
		defer s.recorder.beginDisruption(h.name)()
		s.logf("host %s freezes", h.name)
		h.signal(syscall.SIGSTOP)
		sleep(ctx, randomFaultTime(r))
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
		h := s.randomHost(r)
		defer s.recorder.beginDisruption(h.name)()
		h.storeLink.SetCut(true)
		sleep(ctx, randomFaultTime(r))
		h.storeLink.SetCut(false)
	}},
	{"host's store silent", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		h := s.randomHost(r)
		defer s.recorder.beginDisruption(h.name)()
		h.storeLink.SetStalled(true)
		sleep(ctx, randomFaultTime(r))
		h.storeLink.SetStalled(false)
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
		defer s.recorder.beginDisruption(allHosts)()
		s.tables.SetFaults(tables.Faults{Down: true})
		sleep(ctx, randomFaultTime(r))
		s.tables.SetFaults(tables.Faults{})
	}},
	{"store loses answers", func(_ context.Context, s *entrySoak, _ *rand.Rand) {
		s.tables.SetFaults(tables.Faults{LoseCommits: 3})
	}},
	{"store forgets its history", func(_ context.Context, s *entrySoak, _ *rand.Rand) { s.tables.DropLog() }},
	{"store restored from a copy", func(ctx context.Context, s *entrySoak, r *rand.Rand) { s.restoreStore(ctx, r) }},
	{"zone evacuated", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		zone := zoneName(r.IntN(zoneCount))
		if !s.evacuating.CompareAndSwap(false, true) {
			return // a zone is evacuated already
		}
		defer s.evacuating.Store(false)
		s.tables.Evacuate(zone, true)
		from := time.Now()
		sleep(ctx, evacuationTime)
		s.recorder.recordEvacuation(zone, from, time.Now())
		s.tables.Evacuate(zone, false)
	}},
	{"replica restarts empty", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		e := s.randomReplica(r)
		e.link.SetCut(true)
		e.Restart()
		s.tables.RemoveUpstream(e.id)
		sleep(ctx, minFaultTime)
		e.link.SetCut(false)
		e.incarnation.Add(1)
		s.publishReplica(e, false)
	}},
	{"replica starts slowly", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		e := s.randomReplica(r)
		if !e.down.CompareAndSwap(false, true) {
			return // it is down already
		}
		defer e.down.Store(false)
		e.link.SetCut(true)
		e.Restart()
		s.tables.RemoveUpstream(e.id)
		sleep(ctx, minFaultTime)
		e.link.SetCut(false)
		e.incarnation.Add(1)
		from := time.Now()
		e.slowStartUntil.Store(from.Add(slowStartTime).UnixNano())
		s.publishReplica(e, false)
		sleep(ctx, slowStartTime)
		s.recorder.recordSlowStart(e.id, from, time.Now())
		s.publishReplica(e, false)
	}},
	{"host restarts again and again", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		h := s.randomHost(r)
		for range repeatedRestarts {
			s.restart(ctx, h, syscall.SIGKILL)
			sleep(ctx, restartDelay)
		}
	}},
	{"replica leaves for a while", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		e := s.randomReplica(r)
		s.publishReplica(e, true)
		sleep(ctx, randomFaultTime(r))
		s.publishReplica(e, false)
	}},
	{"replica silent", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		e := s.randomReplica(r)
		e.link.SetStalled(true)
		sleep(ctx, randomFaultTime(r))
		e.link.SetStalled(false)
	}},
	{"replica fails requests", func(ctx context.Context, s *entrySoak, r *rand.Rand) {
		e := s.randomReplica(r)
		e.SetFaults(replicaFaults(len(e.Requests())))
		sleep(ctx, randomFaultTime(r))
		e.SetFaults(replica.Faults{})
	}},
	{"key replaced", func(_ context.Context, s *entrySoak, _ *rand.Rand) { s.replaceKey() }},
}

// failStatuses are the statuses with which replicas fail requests that they have run. Some would promise callers that they have not.
var failStatuses = []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// replicaFaults returns the faults of a replica that fails requests. They depend on the number of requests that it has had, not on a
// draw, so that a seed draws the same faults of the deployment as before there were several kinds.
func replicaFaults(requests int) replica.Faults {
	if status := failStatuses[requests%len(failStatuses)]; status != http.StatusInternalServerError {
		return replica.Faults{Fail: 10, FailStatus: status} // no others before them, after which hosts avoid the replica
	}
	return replica.Faults{Full: 3, Fail: 3, DropConnections: 3, CutStreams: 3, CutAfterEvents: 2, LoseOrders: 3}
}

// linkDelay is the delay that slow links add to every byte. A heartbeat and its answer still
// arrive within the time after which a host counts as gone.
const linkDelay = 250 * time.Millisecond

// linkFault disrupts the links from the other hosts to a random host for a random time.
func (s *entrySoak) linkFault(ctx context.Context, r *rand.Rand, set func(l *link.Link, on bool)) {
	h := s.randomHost(r)
	s.logf("fault disrupts the links to host %s", h.name)
	defer s.recorder.beginDisruption(h.name)()
	set(h.peerLink, true)
	sleep(ctx, randomFaultTime(r))
	set(h.peerLink, false)
}

func randomFaultTime(r *rand.Rand) time.Duration {
	return minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime-minFaultTime)))
}

// runFaults starts random faults, which may overlap, for EntryOptions.Duration.
func (s *entrySoak) runFaults(ctx context.Context, r *rand.Rand, running *sync.WaitGroup) {
	for end := time.Now().Add(s.options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration((0.5+r.Float64())*float64(s.options.MeanFaultInterval)))
		f := entryFaults[r.IntN(len(entryFaults))]
		own := rand.New(rand.NewPCG(r.Uint64(), 1))
		s.logf("fault: %s", f.name)
		s.recorder.recordFault(f.name)
		running.Go(func() { f.run(ctx, s, own) })
	}
}

func (s *entrySoak) randomHost(r *rand.Rand) *entryHost { return s.hosts[r.IntN(len(s.hosts))] }
func (s *entrySoak) randomReplica(r *rand.Rand) *entryReplica {
	return s.replicas[r.IntN(len(s.replicas))]
}

// restart sends a host, which may be frozen, a signal that ends it, and starts it again.
func (s *entrySoak) restart(ctx context.Context, h *entryHost, sig syscall.Signal) {
	h.signal(syscall.SIGCONT)
	s.endAndStart(ctx, h, sig)
}

// endAndStart sends a host a signal that ends it, and starts it again after restartDelay. It waits for the process that got the
// signal, which another fault may have just started; otherwise nothing would start the host again. It records a violation if the
// host does not exit within termTimeout or does not start.
func (s *entrySoak) endAndStart(ctx context.Context, h *entryHost, sig syscall.Signal) {
	s.logf("host %s gets signal %s", h.name, sig)
	planned := sig != syscall.SIGKILL
	defer s.recorder.beginPlanned(h.name, planned)()
	from := time.Now()
	if !exitedWithin(h.end(sig), termTimeout) {
		s.recorder.recordLateExit(h.name, from, sig)
		h.kill()
	}
	if planned {
		s.recorder.recordStop(plannedStop{host: h.name, from: from, to: time.Now()})
	}
	sleep(ctx, restartDelay)
	if err := h.start(); err != nil {
		s.recorder.recordViolation("host %s did not start again: %s", h.name, err)
	}
}

// replaceKey withdraws the valid key and puts a new one into the configuration.
func (s *entrySoak) replaceKey() {
	s.mu.Lock()
	old := s.key
	s.key = "key-" + strconv.Itoa(s.version)
	s.mu.Unlock()
	s.recorder.recordWithdrawal(old, time.Now())
	s.putConfig()
}
