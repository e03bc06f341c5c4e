//go:build review

package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The deployment of the case: a small one with the bounds and contracts of the first site of the pages under demands/.
const (
	handoverMachines = 7
	handoverEngines  = 3
	handoverPlaces   = 5
	handoverLength   = 90 * time.Second
	handoverUsers    = 130
	// handoverGap is the time between two machines that are stopped.
	handoverGap = 2600 * time.Millisecond
	contact     = 4 * time.Second
)

var handoverBounds = bounds{
	retryRatio: 0.2, retrySlack: 182, rateWindow: "8s", rateOver: 0.1, rateSlack: 17000, grace: "8s", holderPause: "3s", configWithin: "3s",
	drainWithin: "3s", answerLife: "5s", memoryMB: 536, descriptors: 8192, cores: 0.8,
	features: []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "fleet", "stream", "engine", names["organisations"], "quota", "pressure", "platform"},
}

type kindOfRequest struct {
	name, path          string
	share               float64
	prompt, output      int
	deadline            time.Duration
	promptMax, replyMax int
}

var handoverKinds = []kindOfRequest{
	{"case-summary-priority", "/priority/", 0.45, 1800, 24, 5 * time.Second, 6870, 90},
	{"case-summary-routine", "/routine/", 0.25, 1800, 24, 6 * time.Second, 6870, 90},
	{"caller-pattern-notes", "/notes/", 0.30, 1110, 171, 15 * time.Second, 3790, 480},
}

func handoverConfig() map[string]any {
	route := func(i int, k kindOfRequest, aim int) map[string]any {
		return map[string]any{
			"name": k.name, "host": "notes.example", "path_prefix": k.path, "kind": "streaming", "service": "ringkas-llm",
			"timeout_ms": k.deadline.Milliseconds(), "target_latency_ms": aim, "gap_aim_ms": 500, "max_attempts": 1, "priority": i, "sticky": true,
		}
	}
	return map[string]any{
		"version": 3,
		"routes":  []any{route(0, handoverKinds[0], 1000), route(1, handoverKinds[1], 1000), route(2, handoverKinds[2], 2000)},
		"services": []any{map[string]any{"name": "ringkas-llm", "engine": map[string]any{
			"slots": 96, "kv_capacity": 121670, "adapter_slots": handoverPlaces, "loads_per_s": 17, "weights_mb": 16500, "stride": 3,
			"models": []any{map[string]any{"name": "m0", "weights_mb": 16100, "load_s": 0.6, "adapters": 10000, "adapter_mb": 14}},
		}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		names["organisations"]: []any{
			map[string]any{"name": "t1", "api_keys": []string{"key-one"}, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 0, "burst": 0},
			map[string]any{"name": "t2", "api_keys": []string{"key-two"}, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 0, "burst": 0},
		},
	}
}

// tokens draws a size around a mean, as the sheets spread them.
func tokens(mean, most int) int {
	n := float64(mean) * math.Exp(rand.NormFloat64()*0.8) * 0.75
	return int(min(max(n, 60), float64(most)))
}

// playHandover stops the leading machine again and again, as planned work, under load. No process may end by itself.
func playHandover(rec *recorder, dir string, trouble bool) int {
	store := newTableStore()
	store.put("op", "config", handoverConfig())
	var engines []*engine
	for i := range handoverEngines {
		e, err := startEngine(rec, store, engineSettings{
			id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), service: "ringkas-llm", zone: fmt.Sprintf("z%d", i%3), model: "m0", slots: 96,
			adapterSlots: handoverPlaces, kvTotal: 121670, tokensPerMS: 19.2, eventEvery: 29 * time.Millisecond,
			coldLoad: 288 * time.Millisecond, warmLoad: 29 * time.Millisecond, reportLag: 300 * time.Millisecond,
		})
		if err != nil {
			rec.say("engine not started: %v", err)
			return exitNotRun
		}
		engines = append(engines, e)
	}
	var mu sync.Mutex
	var leader *machine
	var machines []*machine
	for i := range handoverMachines {
		address, err := store.listen(fmt.Sprintf("edge-%d", i+1))
		if err != nil {
			rec.say("store not started: %v", err)
			return exitNotRun
		}
		m := newMachine(rec, dir, fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("z%d", i%3), address, handoverBounds)
		m.onLine = func(m *machine, line string) {
			now, _ := leads(line)
			if now {
				mu.Lock()
				leader = m
				mu.Unlock()
				rec.line("machine %s leads", m.name)
			}
		}
		machines = append(machines, m)
		if err := m.start(); err != nil {
			rec.say("machine not started: %v", err)
			return exitNotRun
		}
		defer m.kill()
	}
	if !waitReady(machines, 15*time.Second) {
		rec.say("the machines did not become ready")
		return exitNotRun
	}
	stop := make(chan struct{})
	d := &directory{machines: machines, host: "notes.example"}
	go d.run(stop)
	time.Sleep(1500 * time.Millisecond)
	tally := newTally(rec, machines, engines)
	var users sync.WaitGroup
	end := time.Now().Add(handoverLength)
	for range handoverUsers {
		users.Go(func() {
			u := &user{directory: d, failed: map[string]time.Time{}, done: tally.done}
			key := []string{"key-one", "key-two"}[rand.IntN(2)]
			for time.Now().Before(end) {
				u.do(drawRequest(key))
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(1300*time.Millisecond)))
			}
		})
	}
	stops := 0
	for time.Now().Before(end.Add(-4 * time.Second)) {
		time.Sleep(handoverGap)
		if tally.ownEnds() > 0 {
			break
		}
		mu.Lock()
		m := leader
		mu.Unlock()
		if !trouble || m == nil || !m.running() || !m.ready() {
			continue
		}
		stops++
		m.signal(syscall.SIGTERM, true)
		go m.restartAfter(500 * time.Millisecond)
	}
	if tally.ownEnds() > 0 {
		time.Sleep(6 * time.Second) // for the requests that are under way
	} else {
		users.Wait()
	}
	close(stop)
	for _, e := range engines {
		if e.overfilled {
			rec.say("rule LIMIT broken as well: %s", e.id)
		}
	}
	return tally.judge(stops)
}

func drawRequest(key string) *request {
	x := rand.Float64()
	k := handoverKinds[0]
	for _, k = range handoverKinds {
		if x -= k.share; x < 0 {
			break
		}
	}
	adapter := int(40*rand.Float64()*rand.Float64()) + 1
	return &request{
		method: http.MethodPost, host: "notes.example", path: k.path + "x", key: key, model: fmt.Sprintf("m0/a%d", adapter),
		usage: fmt.Sprintf("%d,%d", tokens(k.prompt, k.promptMax), tokens(k.output, k.replyMax)), body: []byte("{}"), deadline: k.deadline,
	}
}

// tally counts how the requests ended.
type tally struct {
	rec      *recorder
	machines []*machine
	engines  []*engine
	byFront  map[string]*machine

	mu       sync.Mutex
	statuses map[int]int
	cut      map[*machine][]*attempt
}

func newTally(rec *recorder, machines []*machine, engines []*engine) *tally {
	t := &tally{rec: rec, machines: machines, engines: engines, byFront: map[string]*machine{}, statuses: map[int]int{}, cut: map[*machine][]*attempt{}}
	for _, m := range machines {
		t.byFront[m.front] = m
	}
	return t
}

func (t *tally) done(a *attempt, r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[a.status]++
	t.rec.line("client %s %s %s at %s: status %d whole %t after %d ms", a.id, r.path, r.model, t.byFront[a.address].name, a.status, a.whole,
		a.endedAt.Sub(a.sentAt).Milliseconds())
	if !a.whole && a.endedAt.Sub(a.sentAt) < r.deadline {
		m := t.byFront[a.address]
		t.cut[m] = append(t.cut[m], a)
	}
}

// ownEnds counts the processes that ended by themselves, undisturbed.
func (t *tally) ownEnds() (n int) {
	for _, m := range t.machines {
		n += m.ownEnds()
	}
	return n
}

// judge reports the end of the case.
func (t *tally) judge(stops int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rec.say("machines stopped: %d; answers by status: %v", stops, t.statuses)
	if t.statuses[200] < 200 {
		t.rec.say("too few requests were served for a judgement")
		return exitNotRun
	}
	for _, m := range t.machines {
		inTouch, passedOn := 0, 0
		for _, a := range t.cut[m] {
			if m.disturbed(a.sentAt.Add(-contact), a.endedAt) {
				continue
			}
			inTouch++
			for _, e := range t.engines {
				e.mu.Lock()
				if e.ran[a.id] > 0 {
					passedOn++
				}
				e.mu.Unlock()
			}
		}
		if inTouch > 0 {
			t.rec.say("machine %s, in touch: %d requests ended without a whole answer, %d of them had run", m.name, inTouch, passedOn)
		}
	}
	all, own := 0, t.ownEnds()
	for _, m := range t.machines {
		all += m.crashCount()
	}
	t.rec.say("%d processes ended by themselves, %d of them later than 1 s after any disruption of their machine", all, own)
	if own > 0 {
		return exitBroken
	}
	return exitHeld
}
