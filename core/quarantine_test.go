package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/blackboard"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/quarantine"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/upstream"
)

// crashFleet is several hosts and upstreams in virtual time. One caller repeatedly sends a request
// that crashes every upstream which runs it, through one host after another.
type crashFleet struct {
	now          time.Time
	hosts        []*Core
	upstreams    []*crashUpstream
	nextID       sched.RequestID
	fingerprints map[sched.RequestID]Fingerprint
	// isolated drops all messages between hosts, as a mutant.
	isolated bool
	crashes  int
	ended    map[Fingerprint][]*apierr.Error
}

type crashUpstream struct {
	name        string
	incarnation int
	downUntil   time.Time
	attempts    []crashAttempt
}

type crashAttempt struct {
	host int
	id   sched.RequestID
	ends time.Time
}

var poisonFingerprint = Fingerprint{0xff}

const (
	timeStep    = 10 * time.Millisecond
	attemptTime = 300 * time.Millisecond
	timeToCrash = 100 * time.Millisecond
	restartTime = time.Second
	// warmUpTime is how long the other callers run before the first poison request.
	warmUpTime = time.Second
)

func newCrashFleet(hosts, upstreams int) *crashFleet {
	f := &crashFleet{now: time.Unix(1000, 0), fingerprints: map[sched.RequestID]Fingerprint{}, ended: map[Fingerprint][]*apierr.Error{}}
	envelope := func(kind record.Kind, name, spec string) record.Envelope {
		return record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: []byte(spec)}
	}
	records := []record.Envelope{envelope(record.KindRoute, "r", `{"prefix":"/r","pool":"p","timeout":"1m","open":true,"repeatable":true}`)}
	for i := range upstreams {
		u := &crashUpstream{name: fmt.Sprintf("u%d", i), incarnation: 1}
		f.upstreams = append(f.upstreams, u)
		records = append(records, envelope(record.KindUpstream, u.name, `{"class":"service","url":"http://127.0.0.1:1","zone":"a","pool":"p","max_batch":64}`))
	}
	config, problems := record.NewConfig().Apply(1, records)
	if len(problems) > 0 {
		panic(problems[0])
	}
	var list []store.Host
	for i := range hosts {
		list = append(list, store.Host{Name: fmt.Sprintf("h%d", i)})
	}
	for i := range hosts {
		f.hosts = append(f.hosts, New(Options{
			Board: blackboard.New(), Limiter: limit.NewStatic(1), Scheduler: sched.NewLeastLoaded(),
			Random: rand.New(rand.NewPCG(uint64(i), 1)), Host: list[i].Name,
		}))
		f.handle(i, ConfigUpdated{Config: config})
		f.handle(i, HostsUpdated{Hosts: list})
	}
	f.report()
	return f
}

func (f *crashFleet) handle(host int, ev Event) {
	for _, d := range f.hosts[host].Handle(f.now, ev) {
		switch d := d.(type) {
		case Dispatch:
			f.startAttempt(host, d)
		case Finish:
			fingerprint := f.fingerprints[d.ID]
			f.ended[fingerprint] = append(f.ended[fingerprint], d.Err)
		case Send:
			receiver := slices.IndexFunc(f.hosts, func(c *Core) bool { return c.crashes.host == d.To })
			if !f.isolated {
				f.handle(receiver, PeerMessageReceived{Message: d.Message})
			}
		}
	}
}

func (f *crashFleet) startAttempt(host int, d Dispatch) {
	i := slices.IndexFunc(f.upstreams, func(u *crashUpstream) bool { return u.name == d.Upstream.Name })
	ends := f.now.Add(attemptTime)
	if f.fingerprints[d.ID] == poisonFingerprint {
		ends = f.now.Add(timeToCrash)
	}
	f.upstreams[i].attempts = append(f.upstreams[i].attempts, crashAttempt{host, d.ID, ends})
}

// submit sends a request through the given host.
func (f *crashFleet) submit(host int, fingerprint Fingerprint) {
	f.nextID++
	f.fingerprints[f.nextID] = fingerprint
	f.handle(host, RequestArrived{Request: Request{ID: f.nextID, Path: "/r", Fingerprint: fingerprint, Deadline: f.now.Add(time.Minute)}})
}

// report delivers the state of every upstream to every host.
func (f *crashFleet) report() {
	for host := range f.hosts {
		for _, u := range f.upstreams {
			if f.now.Before(u.downUntil) {
				f.handle(host, UpstreamUnreachable{Upstream: u.name})
			} else {
				f.handle(host, LoadReported{Upstream: u.name, Report: upstream.Report{Incarnation: fmt.Sprint(u.incarnation)}})
			}
		}
	}
}

// step advances the clock by timeStep.
func (f *crashFleet) step() {
	f.now = f.now.Add(timeStep)
	for _, u := range f.upstreams {
		f.endAttempts(u)
	}
	if f.now.UnixMilli()%upstream.ReportInterval.Milliseconds() == 0 {
		f.report()
	}
	if f.now.UnixMilli()%TickInterval.Milliseconds() == 0 {
		for host := range f.hosts {
			f.handle(host, Tick{})
		}
	}
}

// endAttempts ends the attempts that have run for their full time, and crashes the upstream if one of
// them is the poison request.
func (f *crashFleet) endAttempts(u *crashUpstream) {
	down := f.now.Before(u.downUntil)
	crash := false
	var completed, unfinished []crashAttempt
	for _, r := range u.attempts {
		ended := !f.now.Before(r.ends)
		crash = crash || ended && f.fingerprints[r.id] == poisonFingerprint
		if ended && f.fingerprints[r.id] != poisonFingerprint {
			completed = append(completed, r)
		} else {
			unfinished = append(unfinished, r)
		}
	}
	u.attempts = unfinished
	for _, r := range completed {
		f.handle(r.host, AttemptEnded{ID: r.id, Outcome: request.Completed, UsedTokens: unknownUsage})
	}
	if !crash && !down {
		return
	}
	if crash && !down {
		f.crashes++
		u.incarnation++
		u.downUntil = f.now.Add(restartTime)
	}
	lost := u.attempts
	u.attempts = nil
	for _, r := range lost {
		outcome := request.Lost
		if down {
			outcome = request.NotExecuted
		}
		f.handle(r.host, AttemptEnded{ID: r.id, Outcome: outcome, ConnectionLost: outcome == request.Lost, UsedTokens: unknownUsage})
	}
}

// attack runs the fleet for the given time and returns how many other requests were sent and how many
// of them were wrongly quarantined.
func (f *crashFleet) attack(duration time.Duration, seed uint64) (others, quarantined int) {
	random := rand.New(rand.NewPCG(seed, seed))
	sent := 0
	attackStart, end := f.now.Add(warmUpTime), f.now.Add(duration)
	for f.now.Before(end) {
		if !f.now.Before(attackStart) && len(f.ended[poisonFingerprint]) == sent { // the caller repeats its request at once
			f.submit(sent%len(f.hosts), poisonFingerprint)
			sent++
		}
		if random.IntN(5) == 0 {
			others++
			f.submit(random.IntN(len(f.hosts)), Fingerprint{1, byte(others), byte(others >> 8)})
		}
		f.step()
	}
	for fingerprint, ends := range f.ended {
		for _, err := range ends {
			if fingerprint != poisonFingerprint && err != nil && err.Kind == apierr.RequestQuarantined {
				quarantined++
			}
		}
	}
	return others, quarantined
}

const attackTime = 20 * time.Second

func TestQuarantine_BoundsCrashes(t *testing.T) {
	for seed := range uint64(30) {
		f := newCrashFleet(4, 12)
		others, quarantined := f.attack(attackTime, seed)
		require.LessOrEqual(t, f.crashes, quarantine.MaxCrashes, "seed %d", seed)
		require.NotZero(t, f.crashes)
		require.NotZero(t, others)
		require.Zero(t, quarantined, "seed %d: of %d other requests", seed, others)
		last := f.ended[poisonFingerprint][len(f.ended[poisonFingerprint])-1]
		require.Equal(t, apierr.RequestQuarantined, last.Kind)
		require.NotZero(t, last.RetryAfter)
	}
}

func TestQuarantine_SingleHost(t *testing.T) {
	for seed := range uint64(30) {
		f := newCrashFleet(1, 3) // with so few upstreams, suspects would run on the same one
		_, quarantined := f.attack(attackTime, seed)
		require.LessOrEqual(t, f.crashes, quarantine.SoleSuspectCrashes, "seed %d", seed)
		require.Zero(t, quarantined, "seed %d", seed)
	}
}

func TestQuarantine_UnboundedWithoutAnnouncements(t *testing.T) {
	f := newCrashFleet(4, 12)
	f.isolated = true
	f.attack(attackTime, 1)
	require.Greater(t, f.crashes, quarantine.MaxCrashes)
}

func TestQuarantine_UnrelatedCrashForgotten(t *testing.T) {
	f := newCrashFleet(2, 4)
	for i := range 20 {
		f.submit(i%2, Fingerprint{1, byte(i)})
	}
	f.step()
	u := f.upstreams[0]
	u.incarnation++
	u.downUntil = f.now.Add(restartTime)
	lost := u.attempts
	u.attempts = nil
	require.NotEmpty(t, lost)
	for _, r := range lost {
		f.handle(r.host, AttemptEnded{ID: r.id, Outcome: request.Lost, ConnectionLost: true, UsedTokens: unknownUsage})
	}
	for until := f.now.Add(attackTime); f.now.Before(until); {
		f.step()
	}
	for fingerprint, ends := range f.ended {
		require.Equal(t, []*apierr.Error{nil}, ends, "%v", fingerprint)
	}
	require.Len(t, f.ended, 20)
	for _, h := range f.hosts {
		require.Zero(t, h.crashes.tracker.Len(), "suspicion not forgotten")
	}
}
