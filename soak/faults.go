package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/record"
)

// fault is one thing that goes wrong, and its end.
type fault struct {
	name string
	// run brings the fault about and returns once it is over.
	run func(ctx context.Context, s *soakRun, rng *rand.Rand)
}

// How long the faults last.
const (
	pauseTime      = 12 * time.Second // longer than any lease that hosts keep alive by heartbeats
	replaceDelay   = 2 * time.Second
	storeFaultTime = 10 * time.Second
	storeDelay     = 300 * time.Millisecond
	greedyTime     = 10 * time.Second
	greedyFactor   = 5.0
	partitionTime  = 8 * time.Second
	leavingTime    = 10 * time.Second
	poisonText     = "poison-pill"
	poisonAttempts = 6
	failingLoads   = 3
	lostAnswers    = 3
	drainTimeout   = 90 * time.Second
)

// faults returns every kind of fault.
func faults() []fault {
	return []fault{
		{"host killed and replaced", killHost},
		{"host paused", pauseHost},
		{"host drained and replaced", drainHost},
		{"engine restarted empty", restartEngine},
		{"loads failing", failLoads},
		{"store down", storeFault(platformFaults{Down: true})},
		{"store slow", storeFault(platformFaults{Delay: storeDelay})},
		{"store loses answers", storeFault(platformFaults{LoseAnswers: lostAnswers})},
		{"key withdrawn", withdrawKey},
		{"operators in conflict", conflictingWrites},
		{"poison request", sendPoisonRequests},
		{"organisation at several times its rate", exceedRate},
		{"partition between hosts", partitionHosts},
		{"upstream leaving", leaveUpstream},
	}
}

// faultByName returns the fault of that name.
func faultByName(name string) (fault, bool) {
	for _, f := range faults() {
		if f.name == name {
			return f, true
		}
	}
	return fault{}, false
}

// borrowHost takes a host that no other fault is working on.
func (s *soakRun) reserveHost(rng *rand.Rand) (*host, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := rng.IntN(len(s.deployment.hosts))
	for i := range s.deployment.hosts {
		h := s.deployment.hosts[(start+i)%len(s.deployment.hosts)]
		if len(s.hostsInFault) < maxHostsInFault && !s.hostsInFault[h.name] {
			s.hostsInFault[h.name] = true
			return h, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				delete(s.hostsInFault, h.name)
			}
		}
	}
	return nil, func() {}
}

// maxHostsInFault bounds how many hosts are down or paused at once.
const maxHostsInFault = 2

func killHost(ctx context.Context, s *soakRun, rng *rand.Rand) {
	h, done := s.reserveHost(rng)
	if h == nil {
		return
	}
	defer done()
	s.beginHostDisruption(h, "killed")
	h.process.kill()
	sleep(ctx, replaceDelay)
	s.restart(h)
}

func pauseHost(ctx context.Context, s *soakRun, rng *rand.Rand) {
	h, done := s.reserveHost(rng)
	if h == nil {
		return
	}
	defer done()
	s.beginHostDisruption(h, "paused")
	h.process.signal(syscall.SIGSTOP)
	sleep(ctx, pauseTime)
	h.process.signal(syscall.SIGCONT)
	s.endHostDisruption(h)
}

func drainHost(_ context.Context, s *soakRun, rng *rand.Rand) {
	h, done := s.reserveHost(rng)
	if h == nil {
		return
	}
	defer done()
	s.logEvent("drain", h.name)
	from := time.Now()
	h.process.signal(syscall.SIGTERM)
	exited := h.process.wait(drainTimeout)
	s.mu.Lock()
	s.drains = append(s.drains, drain{host: h.callerURL, from: from, to: time.Now(), exited: exited})
	s.mu.Unlock()
	if !exited {
		h.process.kill()
	}
	s.beginHostDisruption(h, "replaced")
	s.restart(h)
}

func restartEngine(_ context.Context, s *soakRun, rng *rand.Rand) {
	u := s.randomEngine(rng)
	s.logEvent("restart", u.name)
	s.callStandin(http.MethodPost, u.url+"/restart", nil)
}

func (s *soakRun) randomEngine(rng *rand.Rand) *upstreamProcess {
	return s.deployment.upstreams[rng.IntN(s.deployment.shape.Engines)]
}

// poisonFaults makes an engine crash on the poison request.
func poisonFaults() engineFaults { return engineFaults{Poison: poisonText} }

func failLoads(_ context.Context, s *soakRun, rng *rand.Rand) {
	u := s.randomEngine(rng)
	s.logEvent("fail loads", u.name)
	s.callStandin(http.MethodPut, u.url+"/faults", engineFaults{FailLoads: failingLoads, Poison: poisonText})
}

func storeFault(f platformFaults) func(context.Context, *soakRun, *rand.Rand) {
	return func(ctx context.Context, s *soakRun, _ *rand.Rand) {
		s.storeFaultMu.Lock()
		defer s.storeFaultMu.Unlock()
		s.setStoreDisrupted(true)
		s.callStandin(http.MethodPut, s.deployment.platformURL+"/faults", f)
		sleep(ctx, storeFaultTime)
		s.callStandin(http.MethodPut, s.deployment.platformURL+"/faults", platformFaults{})
		s.setStoreDisrupted(false)
	}
}

// withdrawKey withdraws an organisation's key while its callers are connected.
// Callers get the new key at once, and the old one is tried on every host.
func withdrawKey(ctx context.Context, s *soakRun, rng *rand.Rand) {
	org := s.deployment.shape.Organisations[rng.IntN(len(s.deployment.shape.Organisations))]
	s.mu.Lock()
	s.keyCount++
	number := s.keyCount
	s.mu.Unlock()
	oldKey := s.activeKey(org)
	newKey := callerKey{name: fmt.Sprintf("%s-%d", org, number), secret: record.NewSecret()}
	if _, err := s.deployment.apply(ctx, keyRecord(org, newKey.name, newKey.secret, false)); err != nil {
		s.logEvent("key not created", err.Error())
		return
	}
	sleep(ctx, configDeadline)
	s.setCallerKey(org, newKey)
	if _, err := s.deployment.apply(ctx, keyRecord(org, oldKey.name, oldKey.secret, true)); err != nil {
		s.logEvent("key not withdrawn", err.Error())
		return
	}
	at := time.Now()
	s.mu.Lock()
	s.withdrawnAt[oldKey.secret] = at
	s.mu.Unlock()
	sleep(ctx, keyDeadline)
	s.load.tryWithdrawnKey(org, oldKey.secret)
}

// conflictingWrites lets two operators change the same record from the same revision.
// One of them must lose.
func conflictingWrites(ctx context.Context, s *soakRun, _ *rand.Rand) {
	org := s.deployment.shape.Organisations[0]
	ref := record.Ref{Kind: record.KindOrganisation, Name: org}
	current, err := configstore.Get(ctx, s.deployment.tables, ref)
	if err != nil {
		return
	}
	results := make(chan error, 2)
	for i := range cap(results) {
		go func() {
			e := envelope(record.KindOrganisation, org, spec{"display_name": fmt.Sprintf("operator %d", i)})
			e.Revision = current.Revision
			_, err := s.deployment.apply(ctx, e)
			results <- err
		}()
	}
	accepted, rejected := 0, 0
	for range cap(results) {
		var c *configstore.ConflictError
		switch err := <-results; {
		case err == nil:
			accepted++
		case errors.As(err, &c):
			rejected++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conflictCount++
	if accepted > 1 {
		s.bothAcceptedCount++
	}
}

// sendPoisonRequests sends a request that crashes its engine, again and again and through
// several hosts, and then starts the crashed engines.
func sendPoisonRequests(_ context.Context, s *soakRun, rng *rand.Rand) {
	s.poisonFaultMu.Lock()
	defer s.poisonFaultMu.Unlock()
	org := s.deployment.shape.Organisations[rng.IntN(len(s.deployment.shape.Organisations))]
	s.mu.Lock()
	s.poisonCount++
	text := fmt.Sprintf("%s %d", poisonText, s.poisonCount)
	s.mu.Unlock()
	for range poisonAttempts {
		s.load.sendPoison(org, text, rng.IntN(len(s.deployment.hosts)))
	}
	crashed := 0
	for _, u := range s.deployment.upstreams[:s.deployment.shape.Engines] {
		var c engineCounts
		if s.getJSON(u.url+"/counts", &c) && c.Crashed {
			crashed++
			s.callStandin(http.MethodPost, u.url+"/restart", nil)
		}
	}
	s.mu.Lock()
	s.crashedEngines = append(s.crashedEngines, crashed)
	s.mu.Unlock()
}

func exceedRate(ctx context.Context, s *soakRun, _ *rand.Rand) {
	s.logEvent("greedy", s.deployment.shape.Organisations[0])
	s.load.setRateFactor(greedyFactor)
	sleep(ctx, greedyTime)
	s.load.setRateFactor(1)
}

// partitionHosts cuts the links between all hosts, or those into one of them.
func partitionHosts(ctx context.Context, s *soakRun, rng *rand.Rand) {
	targets := s.deployment.hosts
	if rng.IntN(2) == 0 {
		i := rng.IntN(len(targets))
		targets = targets[i : i+1]
	}
	s.partitionFaultMu.Lock()
	defer s.partitionFaultMu.Unlock()
	s.setLinksDisrupted(true)
	for _, h := range targets {
		s.callStandin(http.MethodPut, h.linkURL+"/cut", linkCut{true})
	}
	sleep(ctx, partitionTime)
	for _, h := range targets {
		s.callStandin(http.MethodPut, h.linkURL+"/cut", linkCut{false})
	}
	s.setLinksDisrupted(false)
}

// linkCut switches a link.
type linkCut struct {
	Cut bool `json:"cut"`
}

// leaveUpstream marks an engine as leaving and later takes it back.
func leaveUpstream(ctx context.Context, s *soakRun, rng *rand.Rand) {
	u := s.randomEngine(rng)
	if _, err := s.deployment.apply(ctx, s.deployment.upstreamRecord(u, true)); err != nil {
		return
	}
	from := time.Now()
	sleep(ctx, leavingTime)
	to := time.Now()
	s.mu.Lock()
	s.leavingPeriods = append(s.leavingPeriods, leavingPeriod{u.name, from.Add(leavingDeadline), to})
	s.mu.Unlock()
	if _, err := s.deployment.apply(context.WithoutCancel(ctx), s.deployment.upstreamRecord(u, false)); err != nil {
		s.logEvent("upstream not taken back", err.Error())
	}
}

// sleep waits for d, also where the context has ended: a fault is always ended.
func sleep(_ context.Context, d time.Duration) { time.Sleep(d) }

// put calls a stand-in's switch.
func (s *soakRun) callStandin(method, address string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // bodies are plain structs
	}
	req, err := http.NewRequestWithContext(context.Background(), method, address, bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	resp, err := s.controlClient.Do(req)
	if err != nil {
		s.logEvent("switch "+address, err.Error())
		return
	}
	_ = resp.Body.Close()
}

// get reads a stand-in's JSON answer.
func (s *soakRun) getJSON(address string, out any) bool {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, address, nil)
	if err != nil {
		panic(err)
	}
	resp, err := s.controlClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out) == nil
}

// tryWithdrawn uses a withdrawn key on every host.
func (l *load) tryWithdrawnKey(org, secret string) {
	for _, h := range l.deployment.hosts {
		l.mu.Lock()
		o, _ := l.drawRequest()
		l.mu.Unlock()
		o.org, o.secret, o.kind = org, secret, stockCheck
		l.sendOnce(o, h.callerURL)
	}
}

// poison sends a request that crashes its engine through one host.
func (l *load) sendPoison(org, text string, h int) {
	l.mu.Lock()
	o, _ := l.drawRequest()
	l.mu.Unlock()
	o.org, o.secret, o.kind, o.marker = org, l.currentSecret(org), completion, text
	for n, name := range l.deployment.shape.Organisations {
		if name == org {
			o.adapter = adapterName(n)
		}
	}
	l.sendOnce(o, l.deployment.hosts[h].callerURL)
}

// once makes a request at one host and keeps what was told.
func (l *load) sendOnce(o *outcome, host string) {
	o.sentAt = time.Now()
	o.host = host
	resp, err := l.do(o, host) //nolint:bodyclose // closed by read
	if err != nil {
		o.connErr = err
	} else {
		o.readAnswer(resp)
	}
	o.endedAt = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

func (l *load) currentSecret(org string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.secrets[org]
}
