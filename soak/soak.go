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

// Deadlines from the users' conditions, which the soak checks.
const (
	// configDeadline is how long an accepted change may take to be in force on every host.
	configDeadline = 3 * time.Second
	// keyDeadline is how long a withdrawn key may still work on any host.
	keyDeadline = 5 * time.Second
	// leavingDeadline is how long an upstream that is marked as leaving may still get new requests.
	leavingDeadline = configDeadline + 2*time.Second
)

// Options configures one soak of a jasminelockd deployment.
type Options struct {
	// Shape is the size of the deployment.
	Shape Shape
	// BinDir is the directory that holds jasminelockd and jasminelock-standin.
	BinDir string
	// WorkDir is an empty directory for settings files and logs.
	WorkDir string
	// Duration is how long load is sent and faults are started.
	Duration time.Duration
	// RequestsPerSecond is the mean number of requests a second.
	RequestsPerSecond float64
	// MeanFaultInterval is the mean time between faults. 0 disables the random schedule, so
	// that only the faults named in Options.OnlyFaults run.
	MeanFaultInterval time.Duration
	// OnlyFaults lists the names of faults to run once each, in this order, instead of the
	// random schedule.
	OnlyFaults []string
	// Seed seeds the load and the schedule of faults.
	Seed uint64
	// Log receives one line for each fault, its steps and the steps that failed.
	Log io.Writer
}

// soakRun is the state of one soak.
type soakRun struct {
	options       Options
	deployment    *deployment
	load          *load
	controlClient *http.Client
	watcher       *configWatcher

	// Each mutex is held for the length of one kind of fault, because the end of one
	// fault would otherwise also end a second fault of its kind.
	storeFaultMu, poisonFaultMu, partitionFaultMu sync.Mutex

	// mu guards the fields below.
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

// disruption is a period in which a host, the store or the links between hosts were
// impaired by a fault.
type disruption struct {
	subject  string    // a host's URL for callers, "store" or "links"
	from, to time.Time // to is zero while the disruption lasts
}

// drain is a graceful shutdown of a host.
type drain struct {
	host     string
	from, to time.Time
	exited   bool // whether the process exited within drainTimeout
}

// leavingPeriod is a period in which an upstream must get no new requests.
type leavingPeriod struct {
	upstream string
	from, to time.Time
}

// callerKey is an API key of an organisation's callers.
type callerKey struct{ name, secret string }

// warmUpTimeout is how long the hosts may take until all are ready and have the first
// configuration.
const warmUpTimeout = 60 * time.Second

// Run starts a deployment, runs load and faults on it and returns the result of every
// condition. It returns an error if the deployment does not start or its stand-ins cannot
// be read; a broken condition is no error.
func Run(ctx context.Context, o Options) (*Summary, error) {
	d, err := startDeployment(o.Shape, o.BinDir, o.WorkDir)
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

// prepare writes the records and waits until every host is ready and has them. It returns
// an error after warmUpTimeout.
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
	return fmt.Errorf("soak: not every host is ready with revision %d after %s", revision, warmUpTimeout)
}

// runLoadAndFaults sends load and runs faults for Options.Duration, and polls the hosts'
// configuration until both have ended.
func (s *soakRun) runLoadAndFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Duration)
	defer cancel()
	watchCtx, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	var watchGroup sync.WaitGroup
	watchGroup.Go(func() { s.watcher.run(watchCtx) })
	var group sync.WaitGroup
	group.Go(func() { s.load.run(ctx, s.options.RequestsPerSecond) })
	group.Go(func() { s.scheduleFaults(ctx) })
	group.Wait()
	stopWatching()
	watchGroup.Wait()
}

// faultFreeTail is the last part of a soak, in which no fault is started.
const faultFreeTail = 15 * time.Second

// scheduleFaults runs the faults of Options.OnlyFaults in order, or random faults drawn from the
// seed. Random faults may overlap.
func (s *soakRun) scheduleFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.options.Seed, 2))
	var group sync.WaitGroup
	defer group.Wait()
	if len(s.options.OnlyFaults) > 0 {
		for _, name := range s.options.OnlyFaults {
			if f, ok := faultByName(name); ok {
				s.runFault(ctx, f, rng)
			}
		}
		return
	}
	if s.options.MeanFaultInterval == 0 {
		return
	}
	all := faults()
	lastStart := time.Now().Add(s.options.Duration - faultFreeTail)
	for {
		gap := time.Duration(rng.ExpFloat64() * float64(s.options.MeanFaultInterval))
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

// runFault logs and counts a fault, and returns once it is over.
func (s *soakRun) runFault(ctx context.Context, f fault, rng *rand.Rand) {
	s.logEvent("fault", f.name)
	s.mu.Lock()
	s.faultCounts[f.name]++
	s.mu.Unlock()
	f.run(ctx, s, rng)
}

// logEvent writes one line to Options.Log, with the time in UTC.
func (s *soakRun) logEvent(event, detail string) {
	_, _ = fmt.Fprintf(s.options.Log, "%s %s: %s\n", time.Now().UTC().Format("15:04:05.000"), event, detail)
}

// beginHostDisruption logs the event and records that the host is disrupted until
// endHostDisruption.
func (s *soakRun) beginHostDisruption(h *host, event string) {
	s.logEvent(event, h.name)
	s.beginDisruption(h.callerURL)
}

// beginDisruption records that the subject is disrupted from now on. It does nothing if a
// disruption of the subject is open.
func (s *soakRun) beginDisruption(subject string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, running := s.openDisruptions[subject]; running {
		return
	}
	s.openDisruptions[subject] = len(s.disruptions)
	s.disruptions = append(s.disruptions, disruption{subject: subject, from: time.Now()})
}

// recoveryTime is how long a host may take to serve normally after a fault has ended.
const recoveryTime = 8 * time.Second

// endHostDisruption waits for recoveryTime and then records the end of the disruption.
func (s *soakRun) endHostDisruption(h *host) {
	time.Sleep(recoveryTime)
	s.endDisruption(h.callerURL)
}

// endDisruption records the end of the subject's open disruption, if there is one.
func (s *soakRun) endDisruption(subject string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, running := s.openDisruptions[subject]; running {
		s.disruptions[i].to = time.Now()
		delete(s.openDisruptions, subject)
	}
}

// restart starts a host's process again with the same name and addresses, without any state
// of the previous process, and ends the host's disruption after recoveryTime.
func (s *soakRun) restart(h *host) {
	if err := h.process.start(); err != nil {
		s.logEvent("host not started again", err.Error())
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

// wasDisrupted reports whether a disruption of the subject overlaps the interval.
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

// setCallerKey makes an organisation's callers use the key from now on.
func (s *soakRun) setCallerKey(org string, k callerKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeKeys[org] = k
	s.issuedSecrets = append(s.issuedSecrets, k.secret)
	s.load.setSecret(org, k.secret)
}

// activeKey returns the key that an organisation's callers use.
func (s *soakRun) activeKey(org string) callerKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeKeys[org]
}

// logPaths returns the paths of the logs of all processes.
func (s *soakRun) logPaths() ([]string, error) {
	return filepath.Glob(filepath.Join(s.options.WorkDir, "*.log"))
}
