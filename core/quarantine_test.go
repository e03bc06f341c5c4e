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

// crashFleet is several hosts and upstreams in virtual time. One caller sends a
// request that crashes each upstream which runs it, again and again, through
// one host after another.
type crashFleet struct {
	now       time.Time
	hosts     []*Core
	upstreams []*crashUpstream
	nextID    sched.RequestID
	// bodies holds what each request is.
	bodies map[sched.RequestID]Fingerprint
	// deaf hosts hear nothing of one another, as a mutant.
	deaf    bool
	crashes int
	ended   map[Fingerprint][]*apierr.Error
}

type crashUpstream struct {
	name        string
	incarnation int
	downUntil   time.Time
	running     []crashRun
}

type crashRun struct {
	host int
	id   sched.RequestID
	ends time.Time
}

var poisonBody = Fingerprint{0xff}

const (
	crashStep     = 10 * time.Millisecond
	crashRunTime  = 300 * time.Millisecond
	crashAfter    = 100 * time.Millisecond
	crashDownTime = time.Second
	// crashWarmUp is how long the others run before the caller comes.
	crashWarmUp = time.Second
)

func newCrashFleet(hosts, upstreams int) *crashFleet {
	f := &crashFleet{now: time.Unix(1000, 0), bodies: map[sched.RequestID]Fingerprint{}, ended: map[Fingerprint][]*apierr.Error{}}
	e := func(kind record.Kind, name, spec string) record.Envelope {
		return record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: []byte(spec)}
	}
	records := []record.Envelope{e(record.KindRoute, "r", `{"prefix":"/r","pool":"p","timeout":"1m","open":true,"repeatable":true}`)}
	for i := range upstreams {
		u := &crashUpstream{name: fmt.Sprintf("u%d", i), incarnation: 1}
		f.upstreams = append(f.upstreams, u)
		records = append(records, e(record.KindUpstream, u.name, `{"class":"service","url":"http://127.0.0.1:1","zone":"a","pool":"p","max_batch":64}`))
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
		f.tell(i, ConfigUpdated{Config: config})
		f.tell(i, HostsUpdated{Hosts: list})
	}
	f.report()
	return f
}

func (f *crashFleet) tell(host int, ev Event) {
	for _, d := range f.hosts[host].Handle(f.now, ev) {
		switch d := d.(type) {
		case Dispatch:
			f.run(host, d)
		case Finish:
			body := f.bodies[d.ID]
			f.ended[body] = append(f.ended[body], d.Err)
		case Send:
			to := slices.IndexFunc(f.hosts, func(c *Core) bool { return c.crashes.host == d.To })
			if !f.deaf {
				f.tell(to, PeerMessageReceived{Message: d.Message})
			}
		}
	}
}

func (f *crashFleet) run(host int, d Dispatch) {
	i := slices.IndexFunc(f.upstreams, func(u *crashUpstream) bool { return u.name == d.Upstream.Name })
	ends := f.now.Add(crashRunTime)
	if f.bodies[d.ID] == poisonBody {
		ends = f.now.Add(crashAfter)
	}
	f.upstreams[i].running = append(f.upstreams[i].running, crashRun{host, d.ID, ends})
}

// submit sends a request through a host.
func (f *crashFleet) submit(host int, body Fingerprint) {
	f.nextID++
	f.bodies[f.nextID] = body
	f.tell(host, RequestArrived{Request: Request{ID: f.nextID, Path: "/r", Fingerprint: body, Deadline: f.now.Add(time.Minute)}})
}

// report lets every host read every upstream's report.
func (f *crashFleet) report() {
	for host := range f.hosts {
		for _, u := range f.upstreams {
			if f.now.Before(u.downUntil) {
				f.tell(host, UpstreamUnreachable{Upstream: u.name})
			} else {
				f.tell(host, LoadReported{Upstream: u.name, Report: upstream.Report{Incarnation: fmt.Sprint(u.incarnation)}})
			}
		}
	}
}

// step lets a little time pass.
func (f *crashFleet) step() {
	f.now = f.now.Add(crashStep)
	for _, u := range f.upstreams {
		f.work(u)
	}
	if f.now.UnixMilli()%upstream.ReportInterval.Milliseconds() == 0 {
		f.report()
	}
	if f.now.UnixMilli()%TickInterval.Milliseconds() == 0 {
		for host := range f.hosts {
			f.tell(host, Tick{})
		}
	}
}

// work ends what has ended on an upstream, or crashes it.
func (f *crashFleet) work(u *crashUpstream) {
	down := f.now.Before(u.downUntil)
	crash := false
	var done, still []crashRun
	for _, r := range u.running {
		over := !f.now.Before(r.ends)
		crash = crash || over && f.bodies[r.id] == poisonBody
		if over && f.bodies[r.id] != poisonBody {
			done = append(done, r)
		} else {
			still = append(still, r)
		}
	}
	u.running = still
	for _, r := range done {
		f.tell(r.host, AttemptEnded{ID: r.id, Outcome: request.Completed, UsedTokens: unknownUsage})
	}
	if !crash && !down {
		return
	}
	if crash && !down {
		f.crashes++
		u.incarnation++
		u.downUntil = f.now.Add(crashDownTime)
	}
	lost := u.running
	u.running = nil
	for _, r := range lost {
		outcome := request.Lost
		if down {
			outcome = request.NotExecuted
		}
		f.tell(r.host, AttemptEnded{ID: r.id, Outcome: outcome, ConnectionLost: outcome == request.Lost, UsedTokens: unknownUsage})
	}
}

// attack runs the caller for a while and returns how many others there were and
// how many of them were taken for the cause.
func (f *crashFleet) attack(length time.Duration, seed uint64) (bystanders, blamed int) {
	random := rand.New(rand.NewPCG(seed, seed))
	sent := 0
	from, until := f.now.Add(crashWarmUp), f.now.Add(length)
	for f.now.Before(until) {
		if !f.now.Before(from) && len(f.ended[poisonBody]) == sent { // the caller asks again, at once
			f.submit(sent%len(f.hosts), poisonBody)
			sent++
		}
		if random.IntN(5) == 0 {
			bystanders++
			f.submit(random.IntN(len(f.hosts)), Fingerprint{1, byte(bystanders), byte(bystanders >> 8)})
		}
		f.step()
	}
	for body, ends := range f.ended {
		for _, err := range ends {
			if body != poisonBody && err != nil && err.Kind == apierr.RequestQuarantined {
				blamed++
			}
		}
	}
	return bystanders, blamed
}

const attackLength = 20 * time.Second

func TestAPoisonRequestCostsABoundedNumberOfUpstreams(t *testing.T) {
	for seed := range uint64(30) {
		f := newCrashFleet(4, 12)
		bystanders, blamed := f.attack(attackLength, seed)
		require.LessOrEqual(t, f.crashes, quarantine.MaxCrashes, "seed %d", seed)
		require.NotZero(t, f.crashes)
		require.NotZero(t, bystanders)
		require.Zero(t, blamed, "seed %d: of %d bystanders", seed, bystanders)
		last := f.ended[poisonBody][len(f.ended[poisonBody])-1]
		require.Equal(t, apierr.RequestQuarantined, last.Kind)
		require.NotZero(t, last.RetryAfter)
	}
}

func TestOneHostIsSureAfterTwoCrashes(t *testing.T) {
	for seed := range uint64(30) {
		f := newCrashFleet(1, 3) // so few that suspects would meet on an upstream
		_, blamed := f.attack(attackLength, seed)
		require.LessOrEqual(t, f.crashes, quarantine.SoleSuspectCrashes, "seed %d", seed)
		require.Zero(t, blamed, "seed %d", seed)
	}
}

func TestTheBoundFailsWhereHostsDoNotTellOneAnother(t *testing.T) {
	f := newCrashFleet(4, 12)
	f.deaf = true
	f.attack(attackLength, 1)
	require.Greater(t, f.crashes, quarantine.MaxCrashes)
}

func TestAnUpstreamThatDiesByItselfBlamesNobodyForLong(t *testing.T) {
	f := newCrashFleet(2, 4)
	for i := range 20 {
		f.submit(i%2, Fingerprint{1, byte(i)})
	}
	f.step()
	u := f.upstreams[0]
	u.incarnation++
	u.downUntil = f.now.Add(crashDownTime)
	lost := u.running
	u.running = nil
	require.NotEmpty(t, lost)
	for _, r := range lost {
		f.tell(r.host, AttemptEnded{ID: r.id, Outcome: request.Lost, ConnectionLost: true, UsedTokens: unknownUsage})
	}
	for until := f.now.Add(attackLength); f.now.Before(until); {
		f.step()
	}
	for body, ends := range f.ended {
		require.Equal(t, []*apierr.Error{nil}, ends, "%v", body)
	}
	require.Len(t, f.ended, 20)
	for _, h := range f.hosts {
		require.Zero(t, h.crashes.tracker.Len(), "a suspicion stays")
	}
}
