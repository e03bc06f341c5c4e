package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/standin/replica"
)

// crashing is the kind of the requests that crash each replica which begins to run
// them. They come again and again, at any host.
const crashing = "crash"

// crashingPaths are where they go: to an engine, and to a plain service.
var crashingPaths = []string{"/resume/crash", "/status/crash"}

const (
	// crashEvery is the mean time between two of them.
	crashEvery = 400 * time.Millisecond
	// crashListed is how long a replica that has crashed stays listed, crashAway how
	// long it is away.
	crashListed = 1200 * time.Millisecond
	crashAway   = 2 * time.Second
	// contactTime is how long hosts have to learn of the third crash, crashesFree how
	// many replicas a request may crash before that, and crashesLate how often it may be
	// sent after it. These are the operators' bounds.
	contactTime = 3 * time.Second
	crashesFree = 3
	crashesLate = 3
)

// everyHost names all hosts, where the store is disturbed.
const everyHost = ""

// unrest is a time in which a host is not held to what the fleet knows.
type unrest struct {
	host     string
	from, to time.Time
}

// disturb notes that a host is disturbed until the returned function is called.
func (j *judge) disturb(host string) (end func()) {
	from := time.Now()
	j.mu.Lock()
	n := len(j.disturbed)
	j.disturbed = append(j.disturbed, unrest{host: host, from: from})
	j.mu.Unlock()
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.disturbed[n].to = time.Now()
	}
}

// inTouch reports whether a host has been undisturbed for the contact time.
func (j *judge) inTouch(host string, at time.Time) bool {
	return !slices.ContainsFunc(j.disturbed, func(d unrest) bool {
		own := d.host == host || d.host == everyHost
		return own && d.from.Before(at) && (d.to.IsZero() || d.to.After(at.Add(-contactTime)))
	})
}

// arrival is a crashing request that has reached a replica.
type arrival struct {
	at   time.Time
	host string
}

// checkCrashing judges how often crashing requests were sent on. The judge is locked.
func (s *EntrySummary) checkCrashing(j *judge, replicas []*entryReplica) {
	hosts := map[string]string{}
	for _, c := range j.calls {
		hosts[c.id] = c.host
	}
	arrivals := map[string][]arrival{}
	for _, r := range replicas {
		for _, seen := range r.Requests() {
			if seen.Body == replica.CrashBody && seen.Executed {
				arrivals[seen.URI] = append(arrivals[seen.URI], arrival{seen.ReceivedAt, hosts[seen.AttemptID()]})
			}
		}
	}
	for path, all := range arrivals {
		s.Crashes += len(all)
		slices.SortFunc(all, func(x, y arrival) int { return x.at.Compare(y.at) })
		late := 0
		for _, a := range all {
			if len(all) > crashesFree && a.at.After(all[crashesFree-1].at.Add(contactTime)) && j.inTouch(a.host, a.at) {
				late++
			}
		}
		if late > crashesLate {
			s.find("%s crashed %d replicas, %d of them after the fleet had to know it", path, len(all), late)
		}
	}
}

// crashLoad sends the crashing requests until the context ends.
func (s *entrySoak) crashLoad(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.options.Seed, 4))
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(r.ExpFloat64()*float64(crashEvery)))
		s.mu.Lock()
		key := s.key
		s.mu.Unlock()
		c := call{id: "c" + strconv.Itoa(n), kind: crashing, key: key, path: crashingPaths[r.IntN(len(crashingPaths))]}
		h := s.hosts[r.IntN(len(s.hosts))]
		group.Go(func() { s.send(h, c) })
	}
	group.Wait()
}

// crashes has a replica go down under each crashing request, and come back after.
func (s *entrySoak) crashes(e *entryReplica) {
	e.OnCrash(func() {
		if !e.down.CompareAndSwap(false, true) {
			return // it goes down already
		}
		go func() {
			defer e.down.Store(false)
			e.link.SetCut(true)
			e.Restart()
			time.Sleep(crashListed)
			s.tables.RemoveUpstream(e.id)
			time.Sleep(crashAway - crashListed)
			e.link.SetCut(false)
			e.born.Add(1)
			s.list(e, false)
		}()
	})
}
