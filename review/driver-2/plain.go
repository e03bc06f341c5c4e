//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainServer is a replica of a plain service, as the pages describe it.
type plainServer struct {
	id, service, zone, address string
	slots, queue               int
	work                       time.Duration
	store                      *tableStore
	born                       int64

	mu      sync.Mutex
	free    chan struct{}
	waiting int
	running int
	beat    int64
	// ran holds when each request began to run, by its attempt id; tenants holds the tenant that was sent with it.
	ran     map[string][]time.Time
	tenants map[string]string
	// jobs counts how often each body was run.
	jobs map[string]int
	// fails is the share of the requests that the server has run and then answers with 503, as a server does that could not
	// reach what is behind it.
	fails float64
}

func startPlainServer(store *tableStore, id, service, zone string, slots, queue int, work time.Duration) (*plainServer, error) {
	p := &plainServer{
		id: id, service: service, zone: zone, slots: slots, queue: queue, work: work, store: store, born: time.Now().UnixMilli(),
		free: make(chan struct{}, slots), ran: map[string][]time.Time{}, tenants: map[string]string{}, jobs: map[string]int{},
	}
	for range slots {
		p.free <- struct{}{}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = l.Addr().String()
	go func() { _ = http.Serve(l, p) }()
	go func() {
		for {
			p.mu.Lock()
			p.beat++
			entry := map[string]any{
				"service": p.service, "address": p.address, "zone": p.zone, "version": "1", "slots": p.slots, "state": "ready",
				"cold_remaining_ms": 0, "seq": p.beat, "born": p.born,
			}
			p.mu.Unlock()
			p.store.put("servers", p.id, entry)
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return p, nil
}

func (p *plainServer) head(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set(names["attempt"], r.Header.Get(names["attempt"]))
	w.Header().Set("Jasminelock-Replica-Load", fmt.Sprintf("%d,%d,%d", p.running, p.waiting, p.slots))
}

func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Jasminelock-Expect-Instance"); want != "" && want != p.id {
		w.Header().Set("Jasminelock-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(names["attempt"])
	p.mu.Lock()
	full := p.waiting >= p.queue
	if !full {
		p.waiting++
	}
	p.mu.Unlock()
	if full {
		p.head(w, r)
		w.Header().Set("Jasminelock-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-p.free:
	case <-r.Context().Done():
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
		return
	}
	p.mu.Lock()
	p.waiting--
	p.running++
	p.ran[id] = append(p.ran[id], time.Now())
	p.tenants[id] = r.Header.Get(names["organisation"])
	p.jobs[string(body)]++
	fails := rand.Float64() < p.fails
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.running--
		p.mu.Unlock()
		p.free <- struct{}{}
	}()
	time.Sleep(p.work)
	p.head(w, r)
	w.Header().Set("Jasminelock-Response-Signature", p.id+"."+id)
	if fails {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintf(w, "answer of %s to %s", p.id, id)
}
