package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/standin/replica"
)

// crashKind is the kind of the requests that crash every replica that starts to run them. They
// are sent repeatedly, to any host.
const crashKind = "crash"

// partKind is the kind of the requests with a part of a prompt that crashes every engine that begins to answer on it. No
// two of them are alike.
const partKind = "part"

// crashPart is that part, sharedPart one that all requests for engines have.
const (
	crashPart  = "harmful"
	sharedPart = "system"
)

// crashPaths are the paths of the crashing requests: one of an engine, one of a plain service.
var crashPaths = []string{"/resume/crash", "/status/crash"}

const (
	// meanCrashInterval is the mean time between two crashing requests.
	meanCrashInterval = 400 * time.Millisecond
	// crashListedTime is how long a replica stays in the table of upstreams after a crash,
	// crashDownTime how long it is down.
	crashListedTime = 1200 * time.Millisecond
	crashDownTime   = 2 * time.Second
	// propagationTime is how long hosts may take to learn of the third crash.
	// crashesBeforeVerdict is how many replicas a request may crash before the hosts are expected
	// to hold it back, maxLateCrashes how many more it may crash after propagationTime. These are
	// the operators' bounds.
	propagationTime      = 3 * time.Second
	crashesBeforeVerdict = 3
	maxLateCrashes       = 3
	// meanPartInterval is the mean time between two requests with crashPart, partCrashesBeforeVerdict the number of
	// replicas that they may crash before the hosts are expected to hold them back.
	meanPartInterval         = 500 * time.Millisecond
	partCrashesBeforeVerdict = 5
)

// allHosts is the host of a disruption of the store, which affects all hosts.
const allHosts = ""

// hostDisruption is a period in which a host is killed, frozen or disconnected, so that it need
// not have what the other hosts know.
type hostDisruption struct {
	host     string
	from, to time.Time
	// planned is set for a graceful stop.
	planned bool
}

// beginDisruption records that a host is disrupted until the returned function is called.
func (rec *entryRecorder) beginDisruption(host string) (end func()) {
	return rec.beginPlanned(host, false)
}

func (rec *entryRecorder) beginPlanned(host string, planned bool) (end func()) {
	from := time.Now()
	rec.mu.Lock()
	n := len(rec.disruptions)
	rec.disruptions = append(rec.disruptions, hostDisruption{host: host, from: from, planned: planned})
	rec.mu.Unlock()
	return func() {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		rec.disruptions[n].to = time.Now()
	}
}

// wasUndisrupted reports whether no disruption affected the host within propagationTime before
// the given time. rec.mu must be held.
func (rec *entryRecorder) wasUndisrupted(host string, at time.Time) bool {
	return !slices.ContainsFunc(rec.disruptions, func(d hostDisruption) bool {
		affected := d.host == host || d.host == allHosts
		return affected && d.from.Before(at) && (d.to.IsZero() || d.to.After(at.Add(-propagationTime)))
	})
}

// arrival is one crashing request that a replica started to run.
type arrival struct {
	at   time.Time
	host string
}

// checkCrashing checks how often hosts that were not disrupted sent on a crashing request after
// they had to know of it. rec.mu must be held.
func (s *EntrySummary) checkCrashing(rec *entryRecorder, replicas []*entryReplica) {
	hostByCall := map[string]string{}
	for _, c := range rec.calls {
		hostByCall[c.id] = c.host
	}
	arrivals := map[string][]arrival{}
	var withPart []arrival
	for _, r := range replicas {
		for _, seen := range r.Requests() {
			a := arrival{seen.ReceivedAt, hostByCall[seen.AttemptID()]}
			switch {
			case !seen.Executed:
			case seen.Body == replica.CrashBody:
				arrivals[seen.URI] = append(arrivals[seen.URI], a)
			case slices.Contains(replica.PartsOf(seen.Header), crashPart):
				withPart = append(withPart, a)
			}
		}
	}
	for path, all := range arrivals {
		var crashes []time.Time
		for _, a := range all {
			crashes = append(crashes, a.at)
		}
		s.checkLate(rec, "request "+path, all, crashes, crashesBeforeVerdict)
	}
	s.PartCrashes = len(withPart)
	s.checkLate(rec, "part "+crashPart, withPart, partCrashes(replicas), partCrashesBeforeVerdict)
}

// partCrashes returns the times at which replicas went down under crashPart. Requests that ran on a replica at the same
// time crash it once.
func partCrashes(replicas []*entryReplica) []time.Time {
	var out []time.Time
	for _, r := range replicas {
		var last time.Time
		for _, at := range r.PartCrashes() {
			if last.IsZero() || at.Sub(last) >= crashDownTime {
				out, last = append(out, at), at
			}
		}
	}
	return out
}

// checkLate checks how often what crashes replicas reached them once it had crashed as many as are allowed. rec.mu must
// be held.
func (s *EntrySummary) checkLate(rec *entryRecorder, what string, all []arrival, crashes []time.Time, allowed int) {
	s.Crashes += len(all)
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for _, a := range all {
		if len(crashes) >= allowed && a.at.After(crashes[allowed-1].Add(propagationTime)) && rec.wasUndisrupted(a.host, a.at) {
			late++
		}
	}
	if late > maxLateCrashes {
		s.addViolation("crashing %s crashed %d replicas, %d of them after the hosts had to know of it", what, len(all), late)
	}
}

// isSound reports whether a request crashes no replica.
func (c *call) isSound() bool { return c.kind != crashKind && c.kind != partKind }

// checkSoundNotRefused checks that a sound request was not refused for the crashes of replicas that it ran on.
func (s *EntrySummary) checkSoundNotRefused(c *call) {
	if strings.Contains(c.body, "crashes_upstreams") {
		s.addViolation("sound request %s of kind %s was refused: %s", c.id, c.kind, c.body)
	}
}

// sendRequestsWithCrashPart sends requests with crashPart until the context ends.
func (s *entrySoak) sendRequestsWithCrashPart(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.options.Seed, 6))
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(r.ExpFloat64()*float64(meanPartInterval)))
		s.mu.Lock()
		key := s.key
		s.mu.Unlock()
		id := "p" + strconv.Itoa(n)
		c := call{id: id, kind: partKind, key: key, path: "/resume/" + id}
		h := s.hosts[r.IntN(len(s.hosts))]
		group.Go(func() { s.send(h, c) })
	}
	group.Wait()
}

// sendCrashingRequests sends the crashing requests until the context ends.
func (s *entrySoak) sendCrashingRequests(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.options.Seed, 4))
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(r.ExpFloat64()*float64(meanCrashInterval)))
		s.mu.Lock()
		key := s.key
		s.mu.Unlock()
		c := call{id: "c" + strconv.Itoa(n), kind: crashKind, key: key, path: crashPaths[r.IntN(len(crashPaths))]}
		h := s.hosts[r.IntN(len(s.hosts))]
		group.Go(func() { s.send(h, c) })
	}
	group.Wait()
}

// installCrashHandler makes the replica go down on a crashing request and come back as a new
// incarnation after crashDownTime.
func (s *entrySoak) installCrashHandler(e *entryReplica) {
	endings := replica.CrashEndings()
	e.SetCrashParts(endings[s.options.Seed%uint64(len(endings))], crashPart)
	e.OnCrash(func() {
		if !e.down.CompareAndSwap(false, true) {
			return // it is down already
		}
		go func() {
			defer e.down.Store(false)
			e.link.SetCut(true)
			e.Restart()
			time.Sleep(crashListedTime)
			s.tables.RemoveUpstream(e.id)
			time.Sleep(crashDownTime - crashListedTime)
			e.link.SetCut(false)
			e.incarnation.Add(1)
			s.publishReplica(e, false)
		}()
	})
}
