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
	run func(ctx context.Context, s *soak, rng *rand.Rand)
}

// How long the faults last.
const (
	pauseFor      = 12 * time.Second // longer than any lease that hosts keep alive by heartbeats
	replaceAfter  = 2 * time.Second
	outageFor     = 10 * time.Second
	slowBy        = 300 * time.Millisecond
	greedyFor     = 10 * time.Second
	greedyFactor  = 5.0
	partitionFor  = 8 * time.Second
	leavingFor    = 10 * time.Second
	poisonText    = "poison-pill"
	poisonTries   = 6
	failedLoads   = 3
	lostAnswers   = 3
	drainDeadline = 90 * time.Second
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
		{"store slow", storeFault(platformFaults{Delay: slowBy})},
		{"store loses answers", storeFault(platformFaults{LoseAnswers: lostAnswers})},
		{"key withdrawn", withdrawKey},
		{"operators in conflict", conflict},
		{"poison request", poison},
		{"organisation at several times its rate", greedy},
		{"partition between hosts", partition},
		{"upstream leaving", leaveUpstream},
	}
}

// named returns the fault of that name.
func named(name string) (fault, bool) {
	for _, f := range faults() {
		if f.name == name {
			return f, true
		}
	}
	return fault{}, false
}

// borrowHost takes a host that no other fault is working on.
func (s *soak) borrowHost(rng *rand.Rand) (*host, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := rng.IntN(len(s.d.hosts))
	for i := range s.d.hosts {
		h := s.d.hosts[(start+i)%len(s.d.hosts)]
		if len(s.busy) < maxBusyHosts && !s.busy[h.name] {
			s.busy[h.name] = true
			return h, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				delete(s.busy, h.name)
			}
		}
	}
	return nil, func() {}
}

// maxBusyHosts bounds how many hosts are down or paused at once.
const maxBusyHosts = 2

func killHost(ctx context.Context, s *soak, rng *rand.Rand) {
	h, done := s.borrowHost(rng)
	if h == nil {
		return
	}
	defer done()
	s.disturb(h, "killed")
	h.process.kill()
	sleep(ctx, replaceAfter)
	s.restart(h)
}

func pauseHost(ctx context.Context, s *soak, rng *rand.Rand) {
	h, done := s.borrowHost(rng)
	if h == nil {
		return
	}
	defer done()
	s.disturb(h, "paused")
	h.process.signal(syscall.SIGSTOP)
	sleep(ctx, pauseFor)
	h.process.signal(syscall.SIGCONT)
	s.settled(h)
}

func drainHost(_ context.Context, s *soak, rng *rand.Rand) {
	h, done := s.borrowHost(rng)
	if h == nil {
		return
	}
	defer done()
	s.note("drain", h.name)
	from := time.Now()
	h.process.signal(syscall.SIGTERM)
	ended := h.process.wait(drainDeadline)
	s.mu.Lock()
	s.drains = append(s.drains, drained{host: h.callers, from: from, to: time.Now(), ended: ended})
	s.mu.Unlock()
	if !ended {
		h.process.kill()
	}
	s.disturb(h, "replaced")
	s.restart(h)
}

func restartEngine(_ context.Context, s *soak, rng *rand.Rand) {
	u := s.engine(rng)
	s.note("restart", u.name)
	s.put(http.MethodPost, u.url+"/restart", nil)
}

func (s *soak) engine(rng *rand.Rand) *upstreamProcess {
	return s.d.upstreams[rng.IntN(s.d.shape.Engines)]
}

// poisonFaults makes an engine crash on the poison request.
func poisonFaults() engineFaults { return engineFaults{Poison: poisonText} }

func failLoads(_ context.Context, s *soak, rng *rand.Rand) {
	u := s.engine(rng)
	s.note("fail loads", u.name)
	s.put(http.MethodPut, u.url+"/faults", engineFaults{FailLoads: failedLoads, Poison: poisonText})
}

func storeFault(f platformFaults) func(context.Context, *soak, *rand.Rand) {
	return func(ctx context.Context, s *soak, _ *rand.Rand) {
		s.storeLock.Lock()
		defer s.storeLock.Unlock()
		s.storeDisturbed(true)
		s.put(http.MethodPut, s.d.url+"/faults", f)
		sleep(ctx, outageFor)
		s.put(http.MethodPut, s.d.url+"/faults", platformFaults{})
		s.storeDisturbed(false)
	}
}

// withdrawKey withdraws an organisation's key while its callers are connected.
// Callers get the new key at once, and the old one is tried on every host.
func withdrawKey(ctx context.Context, s *soak, rng *rand.Rand) {
	org := s.d.shape.Organisations[rng.IntN(len(s.d.shape.Organisations))]
	s.mu.Lock()
	s.keys++
	number := s.keys
	s.mu.Unlock()
	old := s.current(org)
	fresh := keyInUse{name: fmt.Sprintf("%s-%d", org, number), secret: record.NewSecret()}
	if _, err := s.d.apply(ctx, keyRecord(org, fresh.name, fresh.secret, false)); err != nil {
		s.note("key not created", err.Error())
		return
	}
	sleep(ctx, configBound)
	s.useKey(org, fresh)
	if _, err := s.d.apply(ctx, keyRecord(org, old.name, old.secret, true)); err != nil {
		s.note("key not withdrawn", err.Error())
		return
	}
	at := time.Now()
	s.mu.Lock()
	s.withdrawn[old.secret] = at
	s.mu.Unlock()
	sleep(ctx, keyBound)
	s.load.tryWithdrawn(org, old.secret)
}

// conflict lets two operators change the same record from the same revision.
// One of them must lose.
func conflict(ctx context.Context, s *soak, _ *rand.Rand) {
	org := s.d.shape.Organisations[0]
	ref := record.Ref{Kind: record.KindOrganisation, Name: org}
	current, err := configstore.Get(ctx, s.d.tables, ref)
	if err != nil {
		return
	}
	results := make(chan error, 2)
	for i := range cap(results) {
		go func() {
			e := envelope(record.KindOrganisation, org, spec{"display_name": fmt.Sprintf("operator %d", i)})
			e.Revision = current.Revision
			_, err := s.d.apply(ctx, e)
			results <- err
		}()
	}
	won, lost := 0, 0
	for range cap(results) {
		var c *configstore.ConflictError
		switch err := <-results; {
		case err == nil:
			won++
		case errors.As(err, &c):
			lost++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conflicts++
	if won > 1 {
		s.bothWon++
	}
}

// poison sends a request that crashes its engine, again and again and through
// several hosts, and then starts the crashed engines.
func poison(_ context.Context, s *soak, rng *rand.Rand) {
	s.poisonLock.Lock()
	defer s.poisonLock.Unlock()
	org := s.d.shape.Organisations[rng.IntN(len(s.d.shape.Organisations))]
	s.mu.Lock()
	s.poisons++
	text := fmt.Sprintf("%s %d", poisonText, s.poisons)
	s.mu.Unlock()
	for range poisonTries {
		s.load.poison(org, text, rng.IntN(len(s.d.hosts)))
	}
	crashed := 0
	for _, u := range s.d.upstreams[:s.d.shape.Engines] {
		var c engineCounts
		if s.get(u.url+"/counts", &c) && c.Crashed {
			crashed++
			s.put(http.MethodPost, u.url+"/restart", nil)
		}
	}
	s.mu.Lock()
	s.crashes = append(s.crashes, crashed)
	s.mu.Unlock()
}

func greedy(ctx context.Context, s *soak, _ *rand.Rand) {
	s.note("greedy", s.d.shape.Organisations[0])
	s.load.setFactor(greedyFactor)
	sleep(ctx, greedyFor)
	s.load.setFactor(1)
}

// partition cuts the links between all hosts, or those into one of them.
func partition(ctx context.Context, s *soak, rng *rand.Rand) {
	cut := s.d.hosts
	if rng.IntN(2) == 0 {
		i := rng.IntN(len(cut))
		cut = cut[i : i+1]
	}
	s.partitionLock.Lock()
	defer s.partitionLock.Unlock()
	s.linksDisturbed(true)
	for _, h := range cut {
		s.put(http.MethodPut, h.link+"/cut", cutBody{true})
	}
	sleep(ctx, partitionFor)
	for _, h := range cut {
		s.put(http.MethodPut, h.link+"/cut", cutBody{false})
	}
	s.linksDisturbed(false)
}

// cutBody switches a link.
type cutBody struct {
	Cut bool `json:"cut"`
}

// leaveUpstream marks an engine as leaving and later takes it back.
func leaveUpstream(ctx context.Context, s *soak, rng *rand.Rand) {
	u := s.engine(rng)
	if _, err := s.d.apply(ctx, s.d.upstreamRecord(u, true)); err != nil {
		return
	}
	from := time.Now()
	sleep(ctx, leavingFor)
	to := time.Now()
	s.mu.Lock()
	s.left = append(s.left, leftUpstream{u.name, from.Add(leavingBound), to})
	s.mu.Unlock()
	if _, err := s.d.apply(context.WithoutCancel(ctx), s.d.upstreamRecord(u, false)); err != nil {
		s.note("upstream not taken back", err.Error())
	}
}

// sleep waits for d, also where the context has ended: a fault is always ended.
func sleep(_ context.Context, d time.Duration) { time.Sleep(d) }

// put calls a stand-in's switch.
func (s *soak) put(method, address string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // bodies are plain structs
	}
	req, err := http.NewRequestWithContext(context.Background(), method, address, bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	resp, err := s.control.Do(req)
	if err != nil {
		s.note("switch "+address, err.Error())
		return
	}
	_ = resp.Body.Close()
}

// get reads a stand-in's JSON answer.
func (s *soak) get(address string, out any) bool {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, address, nil)
	if err != nil {
		panic(err)
	}
	resp, err := s.control.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out) == nil
}

// tryWithdrawn uses a withdrawn key on every host.
func (l *load) tryWithdrawn(org, secret string) {
	for _, h := range l.d.hosts {
		l.mu.Lock()
		o, _ := l.draw()
		l.mu.Unlock()
		o.org, o.secret, o.kind = org, secret, stockCheck
		l.once(o, h.callers)
	}
}

// poison sends a request that crashes its engine through one host.
func (l *load) poison(org, text string, h int) {
	l.mu.Lock()
	o, _ := l.draw()
	l.mu.Unlock()
	o.org, o.secret, o.kind, o.marker = org, l.secret(org), completion, text
	for n, name := range l.d.shape.Organisations {
		if name == org {
			o.adapter = adapterName(n)
		}
	}
	l.once(o, l.d.hosts[h].callers)
}

// once makes a request at one host and keeps what was told.
func (l *load) once(o *outcome, host string) {
	o.sent = time.Now()
	o.host = host
	resp, err := l.call(o, host) //nolint:bodyclose // closed by read
	if err != nil {
		o.broken = err
	} else {
		o.read(resp)
	}
	o.ended = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

func (l *load) secret(org string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.secrets[org]
}
