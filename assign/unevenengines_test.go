package assign

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/jasminelock/jasminelock/catalog"
)

// Figures of the simulated engines, in the middle of the ranges that users' deployments state.
const (
	unevenStep           = 8800 * time.Microsecond
	unevenStepPerRequest = 23 * time.Microsecond
	unevenStepPer1000    = 30 * time.Microsecond
	unevenPrefillToken   = 45 * time.Microsecond
	unevenChunk          = 2048
	unevenBatch          = 64
	unevenCache          = 130_000
	// unevenTurn is the time for which an engine is unevenSlowdown times slower.
	unevenTurn     = 600 * time.Millisecond
	unevenSlowdown = 2.5
	// unevenDelay is the time that a response takes to the host and its report to the Assigner.
	unevenDelay = 2 * time.Millisecond
	// unevenRatio is the bound on the 95th percentile of the time to first token, relative to the oracle's.
	unevenRatio = 1.2
)

// unevenSpeeds are the speeds of the kinds of machines, as time per unit of work.
var unevenSpeeds = []float64{0.7, 0.7, 1.7}

// unevenRequest is a simulated request with its true cost.
type unevenRequest struct {
	request Request
	output  int
	// prefillLeft and generated are the progress of the request on its engine.
	prefillLeft, generated int
	firstToken             time.Duration
}

// unevenEngine generates one token for each stream and prefills at most one chunk of prompts in each step. A prompt waits
// while the batch or the KV cache has no room for it.
type unevenEngine struct {
	id      string
	index   int
	speed   float64
	waiting []*unevenRequest
	streams []*unevenRequest
	// chunk is the number of tokens that the present step prefills.
	chunk   int
	stepEnd time.Time
	busy    bool
}

// copy returns a copy of the engine with copies of its requests.
func (e *unevenEngine) copy() *unevenEngine {
	copied := *e
	copied.waiting, copied.streams = nil, nil
	for _, r := range e.waiting {
		other := *r
		copied.waiting = append(copied.waiting, &other)
	}
	for _, r := range e.streams {
		other := *r
		copied.streams = append(copied.streams, &other)
	}
	return &copied
}

// context returns the number of tokens in the KV cache of the streams.
func (e *unevenEngine) context() int {
	context := 0
	for _, r := range e.streams {
		context += r.request.PromptTokens + r.generated
	}
	return context
}

// startStep starts a step and returns its duration at usual pace, 0 if there is no work.
func (e *unevenEngine) startStep() time.Duration {
	if len(e.waiting)+len(e.streams) == 0 {
		return 0
	}
	context, running := e.context(), len(e.streams)
	took := unevenStep + time.Duration(float64(context)/1000*float64(unevenStepPer1000))
	e.chunk = 0
	for _, r := range e.waiting {
		context += r.request.PromptTokens
		running++
		if running > unevenBatch || context > unevenCache || e.chunk == unevenChunk {
			break
		}
		e.chunk += min(r.prefillLeft, unevenChunk-e.chunk)
	}
	return took + time.Duration(running)*unevenStepPerRequest + time.Duration(e.chunk)*unevenPrefillToken
}

// endStep ends a step and returns the requests whose first token it generated and those that it ended.
func (e *unevenEngine) endStep() (started, ended []*unevenRequest) {
	e.streams = slices.DeleteFunc(e.streams, func(r *unevenRequest) bool {
		r.generated++
		if r.generated >= r.output {
			ended = append(ended, r)
		}
		return r.generated >= r.output
	})
	for e.chunk > 0 {
		r := e.waiting[0]
		done := min(e.chunk, r.prefillLeft)
		r.prefillLeft -= done
		e.chunk -= done
		if r.prefillLeft > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		r.generated = 1
		started = append(started, r)
		e.streams = append(e.streams, r)
	}
	return started, ended
}

// unevenFleet simulates engines of uneven speed in virtual time.
type unevenFleet struct {
	random  *rand.Rand
	start   time.Time
	now     time.Time
	engines []*unevenEngine
	byID    map[string]*unevenEngine
	// slow holds, for each turn, the engines that are slower during that turn.
	slow   []map[int]bool
	events unevenEvents
	order  int
	// reportAge is the age of the pace that engines state. reported returns false for a report that states no pace.
	reportAge time.Duration
	reported  func() bool
	// perSecond is the rate of requests, duration the time for which they arrive.
	perSecond float64
	duration  time.Duration
	// adapter returns the adapter of the next request. orders holds, by engine ID, the state that adapter orders change, nil
	// if no adapters are used.
	adapter func() string
	orders  map[string]*simEngine

	seed       uint64
	scheduling Scheduling
	records    map[string]*catalog.Upstream
	assigner   *Assigner
	requests   map[RequestID]*unevenRequest
	arrived    []*unevenRequest
	refused    int
}

type unevenEvent struct {
	at    time.Time
	order int
	do    func()
}

type unevenEvents []unevenEvent

func (h unevenEvents) Len() int { return len(h) }
func (h unevenEvents) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].order, h[j].order)) < 0
}
func (h unevenEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *unevenEvents) Push(x any)   { *h = append(*h, x.(unevenEvent)) }
func (h *unevenEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (f *unevenFleet) schedule(at time.Time, do func()) {
	f.order++
	heap.Push(&f.events, unevenEvent{at, f.order, do})
}

const (
	unevenEngines  = 12
	unevenDuration = 60 * time.Second
)

func newUnevenFleet(seed uint64, perSecond float64, scheduling Scheduling) *unevenFleet {
	return newUnevenFleetOf(unevenEngines, unevenDuration, seed, perSecond, scheduling)
}

// newUnevenFleetOf returns a fleet of a number of engines that gets requests for a time.
func newUnevenFleetOf(engines int, duration time.Duration, seed uint64, perSecond float64, scheduling Scheduling) *unevenFleet {
	f := &unevenFleet{
		duration: duration, perSecond: perSecond, seed: seed, scheduling: scheduling,
		random: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1_000_000, 0), now: time.Unix(1_000_000, 0),
		byID: map[string]*unevenEngine{}, requests: map[RequestID]*unevenRequest{}, reported: func() bool { return true },
		adapter: func() string { return "" },
	}
	records := map[string]*catalog.Upstream{}
	for i := range engines {
		e := &unevenEngine{id: "e" + strconv.Itoa(i), index: i, speed: unevenSpeeds[i%len(unevenSpeeds)]}
		f.engines = append(f.engines, e)
		f.byID[e.id] = e
		records[e.id] = &catalog.Upstream{
			ID: e.id, StartedAt: 1, Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: unevenBatch,
			Loaded: []catalog.LoadedModel{{Model: simModel}},
		}
	}
	for range int(2*duration/unevenTurn) + 2 {
		turn := map[int]bool{}
		for _, i := range f.random.Perm(engines)[:engines/6] {
			turn[i] = true
		}
		f.slow = append(f.slow, turn)
	}
	f.records = records
	f.startLeader(1)
	return f
}

// startLeader starts an Assigner without state, like that of a new leader.
func (f *unevenFleet) startLeader(fence int64) {
	f.assigner = New(Options{
		SendsOrders: true, Fence: fence, Share: 1, Random: rand.New(rand.NewPCG(f.seed, uint64(fence)+7)), Limits: simLimits, Scheduling: f.scheduling, LearnPace: f.scheduling == ByUrgency,
	})
	f.handle(ConfigUpdated{catalog.NewConfig(catalog.ConfigParts{Version: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{
		BatchSize: unevenBatch, CacheTokens: unevenCache, AdapterSlots: 6, WeightsMB: 100,
		Models: []catalog.Model{{Name: simModel, WeightsMB: 50, AdapterCount: 100}},
	}}}})})
	f.handle(UpstreamsUpdated{f.records})
}

// pace returns the pace of an engine at a time.
func (f *unevenFleet) pace(e *unevenEngine, at time.Time) float64 {
	turn := min(max(int(at.Sub(f.start)/unevenTurn), 0), len(f.slow)-1)
	if f.slow[turn][e.index] {
		return e.speed * unevenSlowdown
	}
	return e.speed
}

// begin starts the next step of an engine that has work.
func (f *unevenFleet) begin(e *unevenEngine) {
	if e.busy {
		return
	}
	if took := e.startStep(); took > 0 {
		e.busy, e.stepEnd = true, f.now.Add(fractionOf(took, f.pace(e, f.now)))
		f.schedule(e.stepEnd, func() { f.endStep(e) })
	}
}

func (f *unevenFleet) endStep(e *unevenEngine) {
	e.busy = false
	started, ended := e.endStep()
	for _, r := range started {
		r.firstToken = f.now.Sub(r.request.Arrived)
		f.report(LoadStated{ID: r.request.ID, Load: f.load(e)})
		f.report(FirstByteReceived{r.request.ID})
	}
	for _, r := range ended {
		f.useAdapter(e, r, -1)
		f.report(AttemptEnded{ID: r.request.ID, Outcome: Completed, Succeeded: true, Feedback: UpstreamFeedback{OutputTokens: r.output}})
	}
	f.begin(e)
}

// report passes an event of a request to the Assigner.
func (f *unevenFleet) report(ev Event) {
	f.schedule(f.now.Add(unevenDelay), func() { f.handle(ev) })
}

// load returns the load that an engine states.
func (f *unevenFleet) load(e *unevenEngine) Load {
	l := Load{Running: len(e.streams), Waiting: len(e.waiting)}
	if f.reported() {
		l.Pace = f.pace(e, f.now.Add(-f.reportAge))
	}
	return l
}

func (f *unevenFleet) handle(ev Event) {
	for _, d := range f.assigner.Handle(f.now, ev) {
		switch d := d.(type) {
		case Grant:
			f.send(f.byID[d.Upstream], f.requests[d.ID])
		case Refuse:
			f.refused++
		case Order:
			f.carryOut(d)
		case ReadReport:
			f.schedule(f.now.Add(3*time.Millisecond), func() {
				f.handle(ReportReceived{Upstream: d.Upstream.ID, StartedAt: 1, Report: f.engineReport(d.Upstream.ID)})
			})
		}
	}
}

func (f *unevenFleet) send(e *unevenEngine, r *unevenRequest) {
	if !f.useAdapter(e, r, 1) {
		f.report(AttemptEnded{ID: r.request.ID, Outcome: NotLoaded})
		return
	}
	e.waiting = append(e.waiting, r)
	f.begin(e)
}

// logNormal returns a sample of a distribution with the given median and the log-spread of the acceptance test.
func (f *unevenFleet) logNormal(median float64, most int) int {
	const spread = 1.5
	return min(max(int(median*math.Exp(spread*f.random.NormFloat64())), 1), most)
}

// run submits requests at random times for the duration, assigns each of them with choose, and returns when no event is
// left.
func (f *unevenFleet) run(choose func(r *unevenRequest)) {
	number := uint64(0)
	var arrive func()
	arrive = func() {
		number++
		r := &unevenRequest{output: max(f.logNormal(60, 1500), 2)}
		prompt := f.logNormal(700, 16_000)
		r.prefillLeft = prompt
		r.request = Request{
			ID: RequestID{"h", number}, Service: "s", Organisation: "free", Adapter: catalog.AdapterRef{Model: simModel, Adapter: f.adapter()},
			PromptTokens: prompt, OutputTokens: 1500, Zone: "z",
			ExpectedOutput: max(int(float64(r.output)*math.Exp(0.5*f.random.NormFloat64())), 1),
			Arrived:        f.now, Target: f.now.Add(900 * time.Millisecond), Deadline: f.now.Add(20 * time.Second),
		}
		f.requests[r.request.ID] = r
		f.arrived = append(f.arrived, r)
		choose(r)
		if f.now.Sub(f.start) < f.duration {
			f.schedule(f.now.Add(time.Duration(f.random.ExpFloat64()/f.perSecond*float64(time.Second))), arrive)
		}
	}
	f.schedule(f.start.Add(100*time.Millisecond), arrive)
	for len(f.events) > 0 {
		ev := f.events[0]
		if at, ok := f.assigner.NextWakeup(f.now); ok && at.Before(ev.at) {
			f.now = later(f.now.Add(time.Millisecond), at)
			if f.now.Before(ev.at) {
				f.handle(Tick{})
				continue
			}
		}
		heap.Pop(&f.events)
		f.now = ev.at
		ev.do()
	}
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// firstTokenTimes returns the times to first token of the requests that arrived after the first five seconds, 0 for a request
// without a first token.
func (f *unevenFleet) firstTokenTimes() []time.Duration {
	var times []time.Duration
	for _, r := range f.arrived {
		if r.request.Arrived.Sub(f.start) >= 5*time.Second {
			times = append(times, r.firstToken)
		}
	}
	return times
}

func percentile95(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)*95/100]
}

// firstTokenOn returns when an engine would generate the first token of a request that is sent to it now, given its
// true state, the true output of its requests and the true pace until then.
func (f *unevenFleet) firstTokenOn(e *unevenEngine, r *unevenRequest) time.Time {
	copied, sent := e.copy(), *r
	copied.waiting = append(copied.waiting, &sent)
	at := f.now
	if e.busy {
		at = e.stepEnd
		copied.endStep()
	}
	for sent.generated == 0 {
		at = at.Add(fractionOf(copied.startStep(), f.pace(e, at)))
		copied.endStep()
	}
	return at
}

// oracle assigns a request to the engine that generates its first token first.
func (f *unevenFleet) oracle(r *unevenRequest) {
	var best *unevenEngine
	var bestAt time.Time
	for _, e := range f.engines {
		if at := f.firstTokenOn(e, r); best == nil || at.Before(bestAt) {
			best, bestAt = e, at
		}
	}
	f.send(best, r)
}

func (f *unevenFleet) submit(r *unevenRequest) { f.handle(RequestSubmitted{r.request}) }
