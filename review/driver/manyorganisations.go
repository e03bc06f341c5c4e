//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// leaseTime is lease_ms of the users' sheet.
const leaseTime = 3 * time.Second

// manyOrganisations adds organisations to the configuration, as operators do, whose callers then send requests. Without
// the change, the large organisations send as many. No host, link, replica or store is disturbed.
func manyOrganisations(w *world) (bool, error) {
	const added, perOrganisation, length = 160, 195 * time.Millisecond, 35 * time.Second
	if err := w.startStore(); err != nil {
		return false, err
	}
	for i, zone := range zones {
		if err := w.addPlain(fmt.Sprintf("p-%d", i+1), zone); err != nil {
			return false, err
		}
		if err := w.addEngine(fmt.Sprintf("i-%d", i+1), 50*time.Millisecond, "a1", "a2", "a3"); err != nil {
			return false, err
		}
	}
	if err := w.startHosts(2); err != nil {
		return false, err
	}
	if w.trouble {
		w.record.line("the operator adds %d organisations to the first %d", added, large)
		w.store.put("op", "config", w.config(8, added))
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	counts := &statusCounts{counts: map[int]int{}}
	for i := range added {
		key := largeKey(i % large)
		if w.trouble {
			key = smallKey(i)
		}
		w.calls.Go(func() { w.poll(counts, i, key, perOrganisation, began.Add(length)) })
	}
	for k := 0; time.Since(began) < length; k++ {
		c := w.newCall(w.hosts[k%len(w.hosts)], "menu-draft", fmt.Sprintf("a%d", k%40+1), 6, 4*time.Second)
		w.start(c)
		time.Sleep(50 * time.Millisecond)
	}
	w.calls.Wait()
	w.record.line("answers to requests for the plain service, by status: %v", counts.counts)
	for _, h := range w.hosts {
		for _, line := range h.log.lines("this host leads", "fence") {
			var fields struct {
				At    time.Time `json:"@timestamp"`
				Fence int64     `json:"fence"`
			}
			if err := json.Unmarshal([]byte(line), &fields); err == nil {
				w.record.line("%s has begun to lead at %.3f with fence %d", h.name, w.record.at(fields.At), fields.Fence)
			}
		}
	}
	return w.turns() > 0, nil
}

// statusCounts counts answers.
type statusCounts struct {
	mu     sync.Mutex
	counts map[int]int
}

// poll sends requests of one organisation to the plain service at a fixed interval until the end.
func (w *world) poll(counts *statusCounts, caller int, key string, interval time.Duration, end time.Time) {
	time.Sleep(time.Duration(caller) * interval / 160)
	for k := caller; time.Now().Before(end); k++ {
		c := w.newCall(w.hosts[k%len(w.hosts)], "job-status", "", 0, time.Second)
		c.method, c.key = http.MethodGet, key
		w.calls.Go(func() {
			c.send(w.record, true)
			counts.mu.Lock()
			defer counts.mu.Unlock()
			counts.counts[c.status]++
		})
		time.Sleep(interval)
	}
}

// turns counts the times at which an engine got an order of a holder after one of another holder, and the first holder
// had given it one less than leaseTime before. Orders that the engine refused for their fence are left out: they were on
// their way while the other host took over.
func (w *world) turns() int {
	n := 0
	for _, e := range w.engines {
		e.mu.Lock()
		last, previous := map[string]order{}, ""
		for _, o := range e.orders {
			if o.status == http.StatusPreconditionFailed {
				continue
			}
			if before, ok := last[o.holder]; ok && previous != o.holder && o.at.Sub(before.at) < leaseTime {
				n++
				w.record.line("turn at %s: at %.3f an order of %s with fence %d (answer %d), %.3f s after its last one with fence %d; %s with fence %d in between",
					e.id, w.record.at(o.at), o.holder, o.fence, o.status, o.at.Sub(before.at).Seconds(), before.fence, previous, last[previous].fence)
			}
			last[o.holder], previous = o, o.holder
		}
		e.mu.Unlock()
	}
	w.record.line("%d turns of holders within %s", n, leaseTime)
	return n
}
