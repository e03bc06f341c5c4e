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

// fault is one kind of fault.
type fault struct {
	name string
	// run starts the fault and returns once it is over.
	run func(ctx context.Context, s *soakRun, rng *rand.Rand)
}

// Lengths, sizes and counts of the faults.
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

// faults returns all kinds of fault.
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

// faultByName returns the fault with the given name, and false if there is none.
func faultByName(name string) (fault, bool) {
	for _, f := range faults() {
		if f.name == name {
			return f, true
		}
	}
	return fault{}, false
}

// reserveHost returns a host that no other fault uses, starting its search at a random one, and a
// function that releases it. The host is nil if no host is free or maxHostsInFault are in use.
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

// maxHostsInFault is the largest number of hosts that are killed, paused or drained at once.
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

// poisonFaults returns the faults that make an engine crash on a poison request.
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

// withdrawKey withdraws an organisation's key while its callers are connected. Callers switch to a
// new key once it is in force and before the old one is withdrawn. After keyDeadline the old key
// is tried on every host.
func withdrawKey(ctx context.Context, s *soakRun, rng *rand.Rand) {
	org := s.deployment.shape.Organisations[rng.IntN(len(s.deployment.shape.Organisations))]
	s.mu.Lock()
	s.keyCount++
	number := s.keyCount
	s.mu.Unlock()
	oldKey := s.activeKey(org)
	newKey := callerKey{name: fmt.Sprintf("%s-%d", org, number), secret: record.NewSecret()}
	if _, err := s.deployment.apply(ctx, keyRecord(org, newKey.name, newKey.secret, false)); err != nil {
		s.logEvent("new key not created; the old key stays", err.Error())
		return
	}
	sleep(ctx, configDeadline)
	s.setCallerKey(org, newKey)
	if _, err := s.deployment.apply(ctx, keyRecord(org, oldKey.name, oldKey.secret, true)); err != nil {
		s.logEvent("old key not withdrawn", err.Error())
		return
	}
	at := time.Now()
	s.mu.Lock()
	s.withdrawnAt[oldKey.secret] = at
	s.mu.Unlock()
	sleep(ctx, keyDeadline)
	s.load.tryWithdrawnKey(org, oldKey.secret)
}

// conflictingWrites makes two operators change the same record from the same revision. The store
// must reject one of the two changes.
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

// sendPoisonRequests sends a request that crashes its engine poisonAttempts times, each time
// through a random host, and then counts and restarts the crashed engines.
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

// exceedRate makes the first organisation send several times its usual load.
func exceedRate(ctx context.Context, s *soakRun, _ *rand.Rand) {
	s.logEvent("greedy", s.deployment.shape.Organisations[0])
	s.load.setRateFactor(greedyFactor)
	sleep(ctx, greedyTime)
	s.load.setRateFactor(1)
}

// partitionHosts cuts the links between all hosts, or the links to one random host.
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

// linkCut is the body of a request that cuts a link or restores it.
type linkCut struct {
	Cut bool `json:"cut"`
}

// leaveUpstream marks an engine as leaving and removes the mark after leavingTime.
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
		s.logEvent("upstream still marked as leaving", err.Error())
	}
}

// sleep waits for d even if the context has ended, so that a fault always lasts its full time and
// is ended afterwards.
func sleep(_ context.Context, d time.Duration) { time.Sleep(d) }

// callStandin sends a control request with a JSON body to a stand-in. A request that fails is
// logged, and its status is ignored.
func (s *soakRun) callStandin(method, address string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // all bodies can be encoded as JSON
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

// getJSON decodes the JSON answer to a GET request into out, and reports whether it could.
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

// tryWithdrawnKey sends a request with a withdrawn key to every host.
func (l *load) tryWithdrawnKey(org, secret string) {
	for _, h := range l.deployment.hosts {
		l.mu.Lock()
		o, _ := l.drawRequest()
		l.mu.Unlock()
		o.org, o.secret, o.kind = org, secret, stockCheck
		l.sendOnce(o, h.callerURL)
	}
}

// sendPoison sends a request that crashes its engine through the host with index h.
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

// sendOnce sends a request to one host, without a retry, and records its outcome.
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

// currentSecret returns the secret of the key that the organisation's callers use.
func (l *load) currentSecret(org string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.secrets[org]
}
