//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The deployment of the cases: the bounds and the machines of the first small site. One tenant uses the booking application alone.
const (
	bookingMachines = 7
	// bookingClients is the number of clients that take turns, each with a connection of its own. More come if all are busy.
	bookingClients = 42
	// plainTokens is what a request counts.
	plainTokens = 200
	// usualShare is the part of a tenant's limit that it usually uses.
	usualShare = 1 / 1.8
	// The rule's figures.
	quotaWindow = 8 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 17_000
)

// hotDay is what the tenant does in a case: from hotFrom on it sends hotTimes its usual for hotFor.
type hotDay struct {
	length, hotFrom, hotFor time.Duration
	hotTimes                float64
	// rate and burst are the tenant's limit in tokens.
	rate, burst float64
}

// usual is the tenant's usual number of requests a second.
func (d *hotDay) usual() float64 { return d.rate * usualShare / plainTokens }

// hotTenantDay is the day of case 9: one tenant sends many times its usual.
var hotTenantDay = hotDay{length: 34 * time.Second, hotFrom: 12 * time.Second, hotFor: 6500 * time.Millisecond, hotTimes: 7.5, rate: 16_800, burst: 16_800}

var smallBounds = bounds{
	retryRatio: 0.2, retrySlack: 54, rateWindow: "8s", rateOver: quotaOver, rateSlack: quotaSlack, grace: "8s", holderPause: "3s", configWithin: "2s",
	drainWithin: "2s", answerLife: "5s", memoryMB: 284, descriptors: 4100, cores: 0.4,
	features: []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", names["organisations"], "quota", "platform"},
}

func bookingConfig(day *hotDay) map[string]any {
	route := func(name, path, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "jobs.example", "path_prefix": path, "kind": kind, "service": "booking-app", "timeout_ms": 1000,
			"target_latency_ms": 100, "max_attempts": attempts, "priority": 2,
		}
	}
	return map[string]any{
		"version":  3,
		"routes":   []any{route("job-book", "/book/", "unsafe", 1), route("job-status", "/status/", "safe", 2)},
		"services": []any{map[string]any{"name": "booking-app"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		names["organisations"]: []any{map[string]any{
			"name": "owner", "api_keys": []string{"key-owner"}, "unit": "token_stream", "plain_tokens": plainTokens, "rate_per_s": day.rate, "burst": day.burst,
		}},
	}
}

// startBooking starts the store, the booking application and the machines of a case.
func startBooking(rec *recorder, dir string, day *hotDay) (machines []*machine, servers []*plainServer, ok bool) {
	store := newTableStore()
	store.put("op", "config", bookingConfig(day))
	for i := range 3 {
		p, err := startPlainServer(store, fmt.Sprintf("i-%08x", 0x5a10c0de+i), "booking-app", fmt.Sprintf("z%d", i%3), 6, 24, 15*time.Millisecond)
		if err != nil {
			rec.say("server not started: %v", err)
			return nil, nil, false
		}
		servers = append(servers, p)
	}
	for i := range bookingMachines {
		name := fmt.Sprintf("edge-%d", i+1)
		address, err := store.listen(fmt.Sprintf("edge-%d", i+1))
		if err != nil {
			rec.say("store not started: %v", err)
			return machines, nil, false
		}
		m := newMachine(rec, dir, name, fmt.Sprintf("z%d", i%3), address, smallBounds)
		m.onLine = func(m *machine, line string) {
			if now, noMore := leads(line); now || noMore {
				rec.say("machine %s leads: %t", m.name, now)
			}
		}
		machines = append(machines, m)
		if err := m.start(); err != nil {
			rec.say("machine not started: %v", err)
			return machines, nil, false
		}
	}
	if !waitReady(machines, 15*time.Second) {
		rec.say("the machines did not become ready")
		return machines, nil, false
	}
	return machines, servers, true
}

// playHotTenant has one tenant send many times its usual to the plain service. The requests of the tenant that are sent and run in a
// window must stay within its limit, as the rule states it.
func playHotTenant(rec *recorder, dir string, trouble bool) int {
	day := &hotTenantDay
	machines, servers, ok := startBooking(rec, dir, day)
	defer func() {
		for _, m := range machines {
			m.kill()
		}
	}()
	if !ok {
		return exitNotRun
	}
	stop := make(chan struct{})
	var directories []*directory
	for _, zone := range []string{"z0", "z1", "z2"} {
		d := &directory{machines: machines, host: "jobs.example", zone: zone}
		go d.run(stop)
		directories = append(directories, d)
	}
	time.Sleep(4 * time.Second)
	begin := time.Now()
	var mu sync.Mutex
	statuses := map[int]int{}
	sentAt := map[string]time.Time{}
	idle := make(chan *user, 4096)
	byStatus := map[string]map[int]int{}
	done := func(a *attempt, r *request) {
		mu.Lock()
		defer mu.Unlock()
		statuses[a.status]++
		name := nameOf(machines, a.address)
		if byStatus[name] == nil {
			byStatus[name] = map[int]int{}
		}
		byStatus[name][a.status]++
		sentAt[a.id] = a.sentAt
		rec.line("client %s %s at %s: sent at %d ms, status %d", a.id, r.path, name, a.sentAt.Sub(rec.start).Milliseconds(), a.status)
	}
	for i := range bookingClients {
		idle <- &user{directory: directories[i%len(directories)], failed: map[string]time.Time{}, done: done, impatient: true}
	}
	var under sync.WaitGroup
	next := begin
	for time.Since(begin) < day.length {
		perSecond := day.usual()
		if since := time.Since(begin); trouble && since >= day.hotFrom && since < day.hotFrom+day.hotFor {
			perSecond *= day.hotTimes
		}
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		var u *user
		select {
		case u = <-idle:
		default:
			u = &user{directory: directories[rand.IntN(len(directories))], failed: map[string]time.Time{}, done: done, impatient: true}
		}
		r := &request{method: http.MethodGet, host: "jobs.example", path: "/status/1", key: "key-owner", deadline: time.Second}
		if rand.IntN(3) > 0 {
			r.method, r.path, r.body = http.MethodPost, "/book/1", []byte(`{"job":1}`)
		}
		under.Go(func() {
			u.do(r)
			idle <- u
		})
	}
	under.Wait()
	close(stop)
	rec.say("answers by status: %v; by machine: %v", statuses, byStatus)
	if statuses[200] < 100 {
		return exitNotRun
	}
	return judgeQuota(rec, servers, sentAt, day)
}

func nameOf(machines []*machine, front string) string {
	for _, m := range machines {
		if m.front == front {
			return m.name
		}
	}
	return front
}

// judgeQuota looks for the window with the most requests that were both sent and run in it.
func judgeQuota(rec *recorder, servers []*plainServer, sentAt map[string]time.Time, day *hotDay) int {
	type run struct{ sent, ran time.Time }
	var runs []run
	for _, p := range servers {
		p.mu.Lock()
		for id, times := range p.ran {
			sent, known := sentAt[id]
			if !known || p.tenants[id] != "owner" || len(times) != 1 {
				rec.say("request %s: known %t, organisation %q, ran %d times", id, known, p.tenants[id], len(times))
				p.mu.Unlock()
				return exitBroken
			}
			runs = append(runs, run{sent, times[0]})
			rec.line("%s ran %s at %d ms", p.id, id, times[0].Sub(rec.start).Milliseconds())
		}
		p.mu.Unlock()
	}
	slices.SortFunc(runs, func(a, b run) int { return a.sent.Compare(b.sent) })
	most, at := 0, time.Time{}
	for i := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.sent.Sub(runs[i].sent) > quotaWindow {
				break
			}
			if r.ran.Sub(runs[i].sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, runs[i].sent
		}
	}
	allowed := (day.rate*quotaWindow.Seconds()+day.burst)*(1+quotaOver) + quotaSlack
	rec.say("most in a window of %s: %d tokens from %d ms on; allowed %.0f", quotaWindow, most*plainTokens, at.Sub(rec.start).Milliseconds(), allowed)
	if float64(most*plainTokens) > allowed {
		rec.say("rule QUOTA broken")
		return exitBroken
	}
	return exitHeld
}
