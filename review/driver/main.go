//go:build review

// Command driver plays the cases of the review: it starts entry hosts as processes, and is itself their platform, their
// replicas and their callers. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// world is a small deployment.
type world struct {
	record  *record
	trouble bool
	dir     string
	store   *store
	engines []*engine
	// links are the relays before the engines.
	links   []*relay
	hosts   []*host
	calls   sync.WaitGroup
	storeAt string
	// lastID numbers the requests.
	mu     sync.Mutex
	lastID int
	all    []*call
}

// zones are the availability zones.
var zones = []string{"bp-a", "bp-b", "bp-c"}

// Keys and organisations of the callers.
const (
	engineService = "wording"
	plainService  = "booking"
	// large is the number of large organisations, plainTokens what a request to the plain service counts for.
	large       = 5
	plainTokens = 200
)

func largeKey(i int) string { return fmt.Sprintf("i9n73hh2b9wu3fexd9d%d", i) }
func smallKey(i int) string { return fmt.Sprintf("n2ctnfzs989anu6w%04d", i) }

// cases maps the names of the cases to functions that return whether the rule was broken.
var cases = map[string]func(w *world) (bool, error){
	"stopped-while-waiting": stoppedWhileWaiting,
	"silent-links":          silentLinks,
	"silent-after-handover": silentAfterHandover,
	"silent-streams":        silentStreams,
	"many-organisations":    manyOrganisations,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD-FILE")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "jasminelock-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w := &world{record: r, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	r.line("case %s, disruption %t", name, w.trouble)
	defer w.stop()
	broken, err := cases[name](w)
	switch {
	case err != nil:
		r.line("could not run: %s", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		r.line("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	r.line("the rule held")
	fmt.Println("the rule held")
	return 0
}

func (w *world) stop() {
	for _, h := range w.hosts {
		h.stop()
	}
}

// serve serves a stand-in on a loopback address.
func serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}).Serve(l) }()
	return l.Addr().String(), nil
}

// config returns a configuration like that of a small site, with five large organisations and some small ones. A small
// one uses about half of its rate if it sends five requests a second to the plain service.
func (w *world) config(version, small int) any {
	organisation := func(name, key string, rate float64) map[string]any {
		return map[string]any{
			"name": name, "api_keys": []string{key}, "priority": 1, "unit": "token_stream", "plain_tokens": plainTokens,
			"rate_per_s": rate, "burst": rate,
		}
	}
	var organisations []any
	for i := range large {
		organisations = append(organisations, organisation(fmt.Sprintf("hule93%d", i), largeKey(i), 71007))
	}
	for i := range small {
		organisations = append(organisations, organisation(fmt.Sprintf("franchisee-budapest-%04d", i), smallKey(i), 1800))
	}
	route := func(name, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout,
			"target_latency_ms": target, "priority": 1, "service": service, "max_attempts": attempts, "public": false,
			"sticky": kind == "streaming", "resumable": kind == "streaming" && attempts > 1, "gap_aim_ms": 400,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("menu-draft", "streaming", engineService, 4000, 800, 1),
			route("special-draft", "streaming", engineService, 12000, 1000, 2),
			route("layout-plan", "streaming", engineService, 15000, 800, 1),
			route("job-status", "safe", plainService, 1000, 100, 2),
		},
		"services": []any{map[string]any{
			"name": engineService, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity": 149132, "weights_mb": 35200.0, "adapter_slots": engineSlots, "loads_per_s": 2.1,
				"models": []any{map[string]any{"name": modelName, "weights_mb": 34300.0, "load_s": 1.5, "adapters": 3000, "adapter_mb": 40.0}},
			},
		}, map[string]any{
			"name": plainService, "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false,
		}},
		"limits":           map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		p("organisations"): organisations,
	}
}

// startStore starts the store, with the configuration of a small site.
func (w *world) startStore() error {
	w.store = newStore(w.record)
	var err error
	if w.storeAt, err = serve(w.store); err != nil {
		return err
	}
	w.store.put("op", "config", w.config(7, 0))
	return nil
}

// addEngine starts an engine behind a relay and writes its row.
func (w *world) addEngine(id string, pause time.Duration, adapters ...string) error {
	e := newEngine(id, pause, w.record, adapters...)
	address, err := serve(e)
	if err != nil {
		return err
	}
	link, err := newRelay(address)
	if err != nil {
		return err
	}
	w.store.put("servers", id, e.row(engineService, link.address(), zones[len(w.engines)%len(zones)]))
	w.engines, w.links = append(w.engines, e), append(w.links, link)
	return nil
}

// startHosts starts hosts and waits until they are ready and one of them leads.
func (w *world) startHosts(count int) error {
	for i := range count {
		h, err := startHost(w.dir, "edge-"+strconv.Itoa(i+1), zones[i%len(zones)], w.storeAt)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	for i := range w.hosts {
		for try := 0; ; try++ {
			err := w.hosts[i].awaitReady()
			if err == nil {
				break
			}
			if try == 4 || !errors.Is(err, errNotStarted) {
				return err
			}
			w.record.line("%s; it is started again with other ports", err)
			h, err := startHost(w.dir, w.hosts[i].name, zones[i%len(zones)], w.storeAt)
			if err != nil {
				return err
			}
			w.hosts[i] = h
		}
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.leader() != nil {
			time.Sleep(2 * time.Second)
			if l := w.leader(); l != nil {
				w.record.line("%d hosts are ready; %s leads", count, l.name)
				return nil
			}
		}
	}
	return fmt.Errorf("no host leads")
}

// leader returns the only host that leads, nil if there is none.
func (w *world) leader() *host {
	var found *host
	for _, h := range w.hosts {
		if h.leads() {
			if found != nil {
				return nil
			}
			found = h
		}
	}
	return found
}

// follower returns a host that does not lead.
func (w *world) follower() *host {
	for _, h := range w.hosts {
		if h != w.leader() {
			return h
		}
	}
	return nil
}

// newCall returns a request for a stream of so many events on an adapter.
func (w *world) newCall(h *host, route, adapter string, events int, budget time.Duration) *call {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	c := &call{
		id: fmt.Sprintf("c%05d", w.lastID), host: h.name, address: h.callers, method: http.MethodPost, key: largeKey(0),
		path: fmt.Sprintf("/%s/%d", route, w.lastID), adapter: adapter, output: events * tokensPerEvent, budget: budget,
	}
	w.all = append(w.all, c)
	return c
}

// start sends a request and does not wait for its answer.
func (w *world) start(c *call) *call {
	w.calls.Go(func() { c.send(w.record, false) })
	return c
}

// runsOf returns the runs of a request at all engines.
func (w *world) runsOf(c *call) []run {
	var out []run
	for _, e := range w.engines {
		out = append(out, e.runsOf(c.id)...)
	}
	return out
}
