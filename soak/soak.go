package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/record"
)

// Bounds that are checked, from the users' conditions.
const (
	// configDeadline is when an accepted change is in force everywhere.
	configDeadline = 3 * time.Second
	// keyDeadline is when a withdrawn key has stopped working everywhere.
	keyDeadline = 5 * time.Second
	// leavingDeadline is when a leaving upstream gets no more new work.
	leavingDeadline = configDeadline + 2*time.Second
)

// Options choose a soak.
type Options struct {
	// Shape is the deployment.
	Shape Shape
	// Bin is the directory that holds jasminelockd and jasminelock-standin.
	Bin string
	// Dir is an empty directory for settings and logs.
	Dir string
	// Duration is how long load and faults go on.
	Duration time.Duration
	// Rate is the mean number of requests a second.
	Rate float64
	// FaultEvery is the mean time between faults. 0 means no faults but those of
	// Only.
	FaultEvery time.Duration
	// Only names faults to run once each, one after another, in the place of a
	// schedule.
	Only []string
	Seed uint64
	// Log is told what is done.
	Log io.Writer
}

// soakRun is one run.
type soakRun struct {
	options       Options
	deployment    *deployment
	load          *load
	controlClient *http.Client
	watcher       *configWatcher

	// One of these is held while its kind of fault lasts, so that two of the
	// same kind do not undo one another.
	storeFaultMu, poisonFaultMu, partitionFaultMu sync.Mutex

	// mu guards all below.
	mu                sync.Mutex
	hostsInFault      map[string]bool
	disruptions       []disruption
	openDisruptions   map[string]int // index into disruptions, by subject
	drains            []drain
	withdrawnAt       map[string]time.Time
	activeKeys        map[string]callerKey
	issuedSecrets     []string
	keyCount          int
	conflictCount     int
	bothAcceptedCount int
	poisonCount       int
	crashedEngines    []int
	leavingPeriods    []leavingPeriod
	faultCounts       map[string]int
}

// disruption is a time in which something was not whole.
type disruption struct {
	subject  string // a host's address for callers, "store" or "links"
	from, to time.Time
}

// drain is a graceful shutdown.
type drain struct {
	host     string
	from, to time.Time
	exited   bool
}

// leavingPeriod is a time in which an upstream must get no new work.
type leavingPeriod struct {
	upstream string
	from, to time.Time
}

// callerKey is a key that callers use.
type callerKey struct{ name, secret string }

// warmUpTimeout is how long the deployment may take until every host has the
// configuration.
const warmUpTimeout = 60 * time.Second

// Run starts a deployment, soaks it and returns what was found.
func Run(ctx context.Context, o Options) (*Summary, error) {
	d, err := startDeployment(o.Shape, o.Bin, o.Dir)
	defer func() { d.stop() }()
	if err != nil {
		return nil, err
	}
	s := &soakRun{
		options: o, deployment: d, load: newLoad(d, o.Seed), controlClient: &http.Client{Timeout: connectTimeout},
		hostsInFault: map[string]bool{}, openDisruptions: map[string]int{}, withdrawnAt: map[string]time.Time{},
		activeKeys: map[string]callerKey{}, faultCounts: map[string]int{},
	}
	s.watcher = newConfigWatcher(s)
	if err := s.prepare(ctx); err != nil {
		return nil, err
	}
	s.runLoadAndFaults(ctx)
	return s.summary()
}

// prepare writes the records and waits until every host serves.
func (s *soakRun) prepare(ctx context.Context) error {
	records := s.deployment.records()
	for _, org := range s.deployment.shape.Organisations {
		k := callerKey{name: org + "-0", secret: record.NewSecret()}
		records = append(records, keyRecord(org, k.name, k.secret, false))
		s.setCallerKey(org, k)
	}
	revision, err := s.deployment.apply(ctx, records...)
	if err != nil {
		return err
	}
	for _, u := range s.deployment.upstreams[:s.deployment.shape.Engines] {
		s.callStandin(http.MethodPut, u.url+"/faults", poisonFaults())
	}
	deadline := time.Now().Add(warmUpTimeout)
	for time.Now().Before(deadline) {
		if s.watcher.allHaveRevision(revision) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("soak: not every host has revision %d after %s", revision, warmUpTimeout)
}

func (s *soakRun) runLoadAndFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Duration)
	defer cancel()
	watchCtx, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	var watchGroup sync.WaitGroup
	watchGroup.Go(func() { s.watcher.run(watchCtx) })
	var group sync.WaitGroup
	group.Go(func() { s.load.run(ctx, s.options.Rate) })
	group.Go(func() { s.scheduleFaults(ctx) })
	group.Wait()
	stopWatching()
	watchGroup.Wait()
}

// faultFreeTail is the last part of a soak, in which no fault is begun.
const faultFreeTail = 15 * time.Second

// schedule brings faults about, singly and together, as the seed says.
func (s *soakRun) scheduleFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.options.Seed, 2))
	var group sync.WaitGroup
	defer group.Wait()
	if len(s.options.Only) > 0 {
		for _, name := range s.options.Only {
			if f, ok := faultByName(name); ok {
				s.runFault(ctx, f, rng)
			}
		}
		return
	}
	if s.options.FaultEvery == 0 {
		return
	}
	all := faults()
	lastStart := time.Now().Add(s.options.Duration - faultFreeTail)
	for {
		gap := time.Duration(rng.ExpFloat64() * float64(s.options.FaultEvery))
		f := all[rng.IntN(len(all))]
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 3))
		if time.Now().Add(gap).After(lastStart) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
			group.Go(func() { s.runFault(ctx, f, faultRNG) })
		}
	}
}

func (s *soakRun) runFault(ctx context.Context, f fault, rng *rand.Rand) {
	s.logEvent("fault", f.name)
	s.mu.Lock()
	s.faultCounts[f.name]++
	s.mu.Unlock()
	f.run(ctx, s, rng)
}

// note tells what is done.
func (s *soakRun) logEvent(event, detail string) {
	_, _ = fmt.Fprintf(s.options.Log, "%s %s: %s\n", time.Now().UTC().Format("15:04:05.000"), event, detail)
}

// disturb notes that a host is not whole until it has settled.
func (s *soakRun) beginHostDisruption(h *host, event string) {
	s.logEvent(event, h.name)
	s.beginDisruption(h.callerURL)
}

func (s *soakRun) beginDisruption(subject string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, running := s.openDisruptions[subject]; running {
		return
	}
	s.openDisruptions[subject] = len(s.disruptions)
	s.disruptions = append(s.disruptions, disruption{subject: subject, from: time.Now()})
}

// recoveryTime is how long a host that was away may take to be whole again.
const recoveryTime = 8 * time.Second

// settled notes that a host is whole again after the time that it may take.
func (s *soakRun) endHostDisruption(h *host) {
	time.Sleep(recoveryTime)
	s.endDisruption(h.callerURL)
}

func (s *soakRun) endDisruption(subject string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, running := s.openDisruptions[subject]; running {
		s.disruptions[i].to = time.Now()
		delete(s.openDisruptions, subject)
	}
}

// restart starts a host again, blank, with the same name and addresses.
func (s *soakRun) restart(h *host) {
	if err := h.process.start(); err != nil {
		s.logEvent("host not started", err.Error())
	}
	s.endHostDisruption(h)
}

func (s *soakRun) setStoreDisrupted(active bool) { s.setDisrupted("store", active) }
func (s *soakRun) setLinksDisrupted(active bool) { s.setDisrupted("links", active) }

func (s *soakRun) setDisrupted(subject string, active bool) {
	if active {
		s.beginDisruption(subject)
		return
	}
	s.endDisruption(subject)
}

// wasDisturbed reports whether the subject was not whole at any time in the
// interval.
func (s *soakRun) wasDisrupted(subject string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disruptions {
		if d.subject == subject && d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return true
		}
	}
	return false
}

// useKey makes an organisation's callers use the key.
func (s *soakRun) setCallerKey(org string, k callerKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeKeys[org] = k
	s.issuedSecrets = append(s.issuedSecrets, k.secret)
	s.load.setSecret(org, k.secret)
}

func (s *soakRun) activeKey(org string) callerKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeKeys[org]
}

// logs returns the paths of every process's log.
func (s *soakRun) logPaths() ([]string, error) {
	return filepath.Glob(filepath.Join(s.options.Dir, "*.log"))
}
