//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	greyLength = 20 * time.Second
	// greyFrom and greyFor are when a server begins to fail, and for how long; greyShare is the share of its requests.
	greyFrom  = 6 * time.Second
	greyFor   = 6500 * time.Millisecond
	greyShare = 0.45
)

// playGrey has one server of three fail a part of the requests that it has run. A request that isn't idempotent and has run must not
// be answered with a status that promises the opposite: its client sends it again, as the pages say, and the job is booked twice.
func playGrey(rec *recorder, dir string, trouble bool) int {
	machines, servers, ok := startBooking(rec, dir, &hotDay{})
	defer func() {
		for _, m := range machines {
			m.kill()
		}
	}()
	if !ok {
		return exitNotRun
	}
	stop := make(chan struct{})
	d := &directory{machines: machines, host: "jobs.example"}
	go d.run(stop)
	time.Sleep(3 * time.Second)
	if trouble {
		fail := func(share float64) {
			servers[0].mu.Lock()
			defer servers[0].mu.Unlock()
			servers[0].fails = share
			rec.line("%s fails %.2f of its requests", servers[0].id, share)
		}
		time.AfterFunc(greyFrom, func() { fail(greyShare) })
		time.AfterFunc(greyFrom+greyFor, func() { fail(0) })
	}
	var mu sync.Mutex
	var jobs atomic.Int64
	statuses, ids := map[int]int{}, map[string]int{}
	end := time.Now().Add(greyLength)
	var users sync.WaitGroup
	for range 12 {
		users.Go(func() {
			answered := 0
			u := &user{directory: d, failed: map[string]time.Time{}, done: func(a *attempt, r *request) {
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
				ids[a.id], answered = a.status, a.status
				rec.line("client %s %s: status %d, not executed %q, signature %q", a.id, r.path, a.status, a.header.Get("Jasminelock-Not-Executed"),
					a.header.Get("Jasminelock-Response-Signature"))
			}}
			for time.Now().Before(end) {
				job := &request{method: http.MethodPost, host: "jobs.example", path: "/book/1", key: "key-owner", body: fmt.Appendf(nil, `{"job":%d}`, jobs.Add(1)), deadline: time.Second}
				answered = 0
				u.do(job)
				if answered == http.StatusServiceUnavailable || answered == http.StatusTooManyRequests {
					u.disconnect()
					u.do(job) // "They retry unsafe requests only after a promise", these clients once, each time on a new connection
				}
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(400*time.Millisecond)))
			}
		})
	}
	users.Wait()
	close(stop)
	promised, twice, booked := 0, 0, map[string]int{}
	for _, p := range servers {
		p.mu.Lock()
		for id, times := range p.ran {
			switch ids[id] {
			case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
				promised++
				rec.line("%s ran %s %d times; the client was answered %d", p.id, id, len(times), ids[id])
			}
		}
		for job, n := range p.jobs {
			booked[job] += n
		}
		p.mu.Unlock()
	}
	for job, n := range booked {
		if n > 1 {
			twice++
			rec.line("job %s was booked %d times", job, n)
		}
	}
	rec.say("answers by status: %v; requests that have run and were answered with a promise that they have not: %d; jobs booked twice: %d", statuses, promised, twice)
	switch {
	case statuses[200] < 100:
		return exitNotRun
	case promised > 0:
		rec.say("rule REFUSED broken")
		return exitBroken
	}
	return exitHeld
}
