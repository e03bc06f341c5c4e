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
	// configBound is when an accepted change is in force everywhere.
	configBound = 3 * time.Second
	// keyBound is when a withdrawn key has stopped working everywhere.
	keyBound = 5 * time.Second
	// leavingBound is when a leaving upstream gets no more new work.
	leavingBound = configBound + 2*time.Second
)

// Options choose a soak.
type Options struct {
	// Shape is the deployment.
	Shape Shape
	// BinDir is the directory that holds jasminelockd and jasminelock-standin.
	BinDir string
	// WorkDir is an empty directory for settings and logs.
	WorkDir string
	// Duration is how long load and faults go on.
	Duration time.Duration
	// RequestsPerSecond is the mean number of requests a second.
	RequestsPerSecond float64
	// MeanFaultInterval is the mean time between faults. 0 means no faults but those of
	// Only.
	MeanFaultInterval time.Duration
	// OnlyFaults names faults to run once each, one after another, in the place of a
	// schedule.
	OnlyFaults []string
	Seed uint64
	// Log is told what is done.
	Log io.Writer
}

// soak is one run.
type soak struct {
	o       Options
	d       *deployment
	load    *load
	control *http.Client
	watch   *configWatch

	// One of these is held while its kind of fault lasts, so that two of the
	// same kind do not undo one another.
	storeLock, poisonLock, partitionLock sync.Mutex

	// mu guards all below.
	mu        sync.Mutex
	busy      map[string]bool
	disturbed []disturbance
	open      map[string]int // index into disturbed, by subject
	drains    []drained
	withdrawn map[string]time.Time
	inUse     map[string]keyInUse
	secrets   []string
	keys      int
	conflicts int
	bothWon   int
	poisons   int
	crashes   []int
	left      []leftUpstream
	ran       map[string]int
}

// disturbance is a time in which something was not whole.
type disturbance struct {
	subject  string // a host's address for callers, "store" or "links"
	from, to time.Time
}

// drained is a graceful shutdown.
type drained struct {
	host     string
	from, to time.Time
	ended    bool
}

// leftUpstream is a time in which an upstream must get no new work.
type leftUpstream struct {
	name     string
	from, to time.Time
}

// keyInUse is a key that callers use.
type keyInUse struct{ name, secret string }

// warmUp is how long the deployment may take until every host has the
// configuration.
const warmUp = 60 * time.Second

// Run starts a deployment, soaks it and returns what was found.
func Run(ctx context.Context, o Options) (*Summary, error) {
	d, err := startDeployment(o.Shape, o.BinDir, o.WorkDir)
	defer func() { d.stop() }()
	if err != nil {
		return nil, err
	}
	s := &soak{
		o: o, d: d, load: newLoad(d, o.Seed), control: &http.Client{Timeout: connectTimeout}, busy: map[string]bool{},
		open: map[string]int{}, withdrawn: map[string]time.Time{}, inUse: map[string]keyInUse{}, ran: map[string]int{},
	}
	s.watch = newConfigWatch(s)
	if err := s.prepare(ctx); err != nil {
		return nil, err
	}
	s.soakFor(ctx)
	return s.summary()
}

// prepare writes the records and waits until every host serves.
func (s *soak) prepare(ctx context.Context) error {
	records := s.d.records()
	for _, org := range s.d.shape.Organisations {
		k := keyInUse{name: org + "-0", secret: record.NewSecret()}
		records = append(records, keyRecord(org, k.name, k.secret, false))
		s.useKey(org, k)
	}
	revision, err := s.d.apply(ctx, records...)
	if err != nil {
		return err
	}
	for _, u := range s.d.upstreams[:s.d.shape.Engines] {
		s.put(http.MethodPut, u.url+"/faults", poisonFaults())
	}
	end := time.Now().Add(warmUp)
	for time.Now().Before(end) {
		if s.watch.allAt(revision) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("soak: not every host has revision %d after %s", revision, warmUp)
}

func (s *soak) soakFor(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Duration)
	defer cancel()
	watching, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	var watcher sync.WaitGroup
	watcher.Go(func() { s.watch.run(watching) })
	var group sync.WaitGroup
	group.Go(func() { s.load.run(ctx, s.o.RequestsPerSecond) })
	group.Go(func() { s.schedule(ctx) })
	group.Wait()
	stopWatching()
	watcher.Wait()
}

// faultTail is the last part of a soak, in which no fault is begun.
const faultTail = 15 * time.Second

// schedule brings faults about, singly and together, as the seed says.
func (s *soak) schedule(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.o.Seed, 2))
	var group sync.WaitGroup
	defer group.Wait()
	if len(s.o.OnlyFaults) > 0 {
		for _, name := range s.o.OnlyFaults {
			if f, ok := named(name); ok {
				s.bring(ctx, f, rng)
			}
		}
		return
	}
	if s.o.MeanFaultInterval == 0 {
		return
	}
	all := faults()
	end := time.Now().Add(s.o.Duration - faultTail)
	for {
		gap := time.Duration(rng.ExpFloat64() * float64(s.o.MeanFaultInterval))
		f := all[rng.IntN(len(all))]
		own := rand.New(rand.NewPCG(rng.Uint64(), 3))
		if time.Now().Add(gap).After(end) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
			group.Go(func() { s.bring(ctx, f, own) })
		}
	}
}

func (s *soak) bring(ctx context.Context, f fault, rng *rand.Rand) {
	s.note("fault", f.name)
	s.mu.Lock()
	s.ran[f.name]++
	s.mu.Unlock()
	f.run(ctx, s, rng)
}

// note tells what is done.
func (s *soak) note(what, detail string) {
	_, _ = fmt.Fprintf(s.o.Log, "%s %s: %s\n", time.Now().UTC().Format("15:04:05.000"), what, detail)
}

// disturb notes that a host is not whole until it has settled.
func (s *soak) disturb(h *host, how string) {
	s.note(how, h.name)
	s.begin(h.callers)
}

func (s *soak) begin(subject string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, running := s.open[subject]; running {
		return
	}
	s.open[subject] = len(s.disturbed)
	s.disturbed = append(s.disturbed, disturbance{subject: subject, from: time.Now()})
}

// settleTime is how long a host that was away may take to be whole again.
const settleTime = 8 * time.Second

// settled notes that a host is whole again after the time that it may take.
func (s *soak) settled(h *host) {
	time.Sleep(settleTime)
	s.finish(h.callers)
}

func (s *soak) finish(subject string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, running := s.open[subject]; running {
		s.disturbed[i].to = time.Now()
		delete(s.open, subject)
	}
}

// restart starts a host again, blank, with the same name and addresses.
func (s *soak) restart(h *host) {
	if err := h.process.start(); err != nil {
		s.note("host not started", err.Error())
	}
	s.settled(h)
}

func (s *soak) storeDisturbed(begins bool) { s.switched("store", begins) }
func (s *soak) linksDisturbed(begins bool) { s.switched("links", begins) }

func (s *soak) switched(subject string, begins bool) {
	if begins {
		s.begin(subject)
		return
	}
	s.finish(subject)
}

// wasDisturbed reports whether the subject was not whole at any time in the
// interval.
func (s *soak) wasDisturbed(subject string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disturbed {
		if d.subject == subject && d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return true
		}
	}
	return false
}

// useKey makes an organisation's callers use the key.
func (s *soak) useKey(org string, k keyInUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[org] = k
	s.secrets = append(s.secrets, k.secret)
	s.load.setSecret(org, k.secret)
}

func (s *soak) current(org string) keyInUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse[org]
}

// logs returns the paths of every process's log.
func (s *soak) logs() ([]string, error) {
	return filepath.Glob(filepath.Join(s.o.WorkDir, "*.log"))
}
