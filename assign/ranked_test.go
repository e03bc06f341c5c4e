package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// startRankedLeader starts an Assigner without state that orders requests by urgency.
func (w *simulation) startRankedLeader() {
	w.fence++
	w.assigner = New(Options{SendsOrders: true, Fence: w.fence, Share: 1, Random: w.random, Limits: simLimits, Scheduling: ByUrgency})
	w.handle(ConfigUpdated{w.config})
	w.handle(VersionsUpdated{w.versions})
	w.handle(UpstreamsUpdated{w.records})
}

// newRankedSimulation returns a simulation of a ranked service whose engines hold the given adapters.
func newRankedSimulation(t *testing.T, seed uint64, engines int, adapters ...string) *simulation {
	w := newSimulation(t, seed, engines, max(len(adapters), 3))
	for _, e := range w.engines {
		for _, name := range adapters {
			e.held[name] = 1
		}
	}
	w.startRankedLeader()
	w.run(50 * time.Millisecond)
	return w
}

// simPlainTime is the time that a plain upstream takes for a request.
const simPlainTime = 20 * time.Millisecond

// addSlowPlain adds upstreams of the plain service, each in a slow start that allows the given number of requests per second.
func (w *simulation) addSlowPlain(upstreams int, perSecond float64) {
	listed := map[string]*catalog.Upstream{}
	for id, u := range w.records {
		listed[id] = u
	}
	for i := range upstreams {
		id := "p" + strconv.Itoa(i)
		listed[id] = &catalog.Upstream{ID: id, StartedAt: 1, Service: "plain", Slots: 6, SlowStartRemaining: time.Hour}
	}
	w.records = listed
	w.config = catalog.NewConfig(catalog.ConfigParts{Version: 3, Services: []catalog.Service{
		*w.config.Service("s"),
		{Name: "plain", SlowStart: catalog.SlowStart{RequestsPerSecond: perSecond / slowStartFraction, Period: time.Hour}},
	}, Organisations: []catalog.Organisation{{Name: "free"}}})
	w.handle(ConfigUpdated{w.config})
	w.handle(UpstreamsUpdated{listed})
}

// submitRankedPlain submits a request to the plain service. Unlike submitPlain, it keeps the number of prompt tokens.
func (w *simulation) submitRankedPlain(number uint64, change ...func(*Request)) RequestID {
	id := w.submit(number, "", append(change, func(r *Request) { r.Service, r.Adapter = "plain", simNoAdapter })...)
	return id
}

// endRankedPlain schedules the ends of the granted plain requests that are not in ended, simPlainTime from now.
func (w *simulation) endRankedPlain(ended map[RequestID]bool) {
	for id := range w.granted {
		if w.adapters[id] == "" && !ended[id] {
			ended[id] = true
			a := w.assigner
			w.schedule(simPlainTime, func() {
				if a == w.assigner {
					w.handle(AttemptEnded{ID: id, Outcome: Completed})
				}
			})
		}
	}
}

// 400 routine requests have filled the queue when urgent ones arrive. Guards against urgent requests that are refused,
// or served late, because of requests that rank behind them.
func TestRanked_UrgentBehindRoutine(t *testing.T) {
	cases := map[string]func(w *simulation, n uint64, change func(*Request)) RequestID{
		"same adapter":    func(w *simulation, n uint64, f func(*Request)) RequestID { return w.submit(n, "a", f) },
		"another adapter": func(w *simulation, n uint64, f func(*Request)) RequestID { return w.submit(n, "b", f) },
		"plain service":   func(w *simulation, n uint64, f func(*Request)) RequestID { return w.submitRankedPlain(n, f) },
	}
	for name, submit := range cases {
		t.Run(name, func(t *testing.T) {
			w := newRankedSimulation(t, 1, 2, "a", "b")
			w.addSlowPlain(2, 12)
			ended := map[RequestID]bool{}
			run := func(d time.Duration) {
				for end := w.now.Add(d); w.now.Before(end); {
					w.run(time.Millisecond)
					w.endRankedPlain(ended)
				}
			}
			routine := func(r *Request) {
				r.Priority, r.Target, r.Deadline = 2, w.now.Add(5*time.Second), w.now.Add(15*time.Second)
			}
			for n := range uint64(400) {
				if name == "plain service" {
					w.submitRankedPlain(n+1, routine)
				} else {
					w.submit(n+1, "a", routine)
				}
			}
			require.Greater(t, w.assigner.Waiting(), 100)
			var urgent []RequestID
			for n := range uint64(20) {
				urgent = append(urgent, submit(w, 1000+n, func(r *Request) {
					r.Priority, r.Target, r.Deadline = 0, w.now.Add(time.Second), w.now.Add(5*time.Second)
				}))
				run(150 * time.Millisecond)
			}
			run(5 * time.Second)
			served, inTime := 0, 0
			for _, id := range urgent {
				if g, ok := w.granted[id]; ok {
					served++
					if g.Held <= time.Second {
						inTime++
					}
				}
			}
			t.Logf("urgent requests: %d of 20 served, %d within their target", served, inTime)
			require.GreaterOrEqual(t, served, 19)
			require.GreaterOrEqual(t, inTime, 19)
		})
	}
}

// orgLoad is the load of an organisation in a test of fair sharing.
type orgLoad struct {
	name      string
	perSecond float64
	// adapters is the number of adapters, 0 for one. promptTokens is the length of a prompt, 0 for 2000 tokens.
	adapters     int
	promptTokens int
	// weight is the weight of the organisation, 0 for none, which counts as 1.
	weight float64
}

// runShares submits the organisations' requests at random times. It returns, for each organisation, the work that it sent
// and the work that was assigned to upstreams, in requests of 2000 prompt tokens, and the number of its requests that were
// refused after they had been admitted.
func (w *simulation) runShares(seed uint64, loads []orgLoad, d time.Duration) (sent, served map[string]float64, late map[string]int) {
	sent, served, late = map[string]float64{}, map[string]float64{}, map[string]int{}
	// The arrivals do not depend on the Assigner's use of its random source.
	random := rand.New(rand.NewPCG(seed, 2))
	owner, work := map[RequestID]string{}, map[RequestID]float64{}
	next := make([]time.Time, len(loads))
	for i := range next {
		next[i] = w.now.Add(time.Duration(random.ExpFloat64() / loads[i].perSecond * float64(time.Second)))
	}
	number, submitted := uint64(10_000+len(w.submittedAt)), map[RequestID]bool{}
	for end := w.now.Add(d); w.now.Before(end); w.run(time.Millisecond) {
		for i, o := range loads {
			for !next[i].After(w.now) {
				next[i] = next[i].Add(time.Duration(random.ExpFloat64() / o.perSecond * float64(time.Second)))
				number++
				prompt := o.promptTokens
				if prompt == 0 {
					prompt = 2000
				}
				adapter := o.name + strconv.Itoa(random.IntN(max(o.adapters, 1)))
				id := w.submit(number, adapter, func(r *Request) { r.Organisation, r.PromptTokens, r.OutputTokens = o.name, prompt, 20 })
				owner[id], work[id] = o.name, float64(prompt)/2000
				sent[o.name] += work[id]
				_, refused := w.refused[id]
				submitted[id] = !refused
			}
		}
	}
	for id, g := range w.granted {
		if o, ok := owner[id]; ok && g.Held >= 0 {
			served[o] += work[id]
		}
	}
	for id := range w.refused {
		if submitted[id] {
			late[owner[id]]++
		}
	}
	return sent, served, late
}

// maxMin returns the weighted max-min fair shares of a capacity.
func maxMin(loads []orgLoad, sent map[string]float64, capacity float64) map[string]float64 {
	share := map[string]float64{}
	rest := slices.Clone(loads)
	for len(rest) > 0 {
		total := 0.0
		for _, o := range rest {
			total += o.weightOr1()
		}
		satisfied := slices.IndexFunc(rest, func(o orgLoad) bool { return sent[o.name] <= capacity*o.weightOr1()/total })
		if satisfied < 0 {
			for _, o := range rest {
				share[o.name] = capacity * o.weightOr1() / total
			}
			break
		}
		share[rest[satisfied].name] = sent[rest[satisfied].name]
		capacity -= sent[rest[satisfied].name]
		rest = slices.Delete(rest, satisfied, satisfied+1)
	}
	return share
}

func (o orgLoad) weightOr1() float64 {
	if o.weight == 0 {
		return 1
	}
	return o.weight
}

// Five organisations send more than there is capacity for, one of them far more than the others. Guards against an
// organisation that gets more than its share by sending more requests, by using more adapters, or by sending dearer or
// cheaper requests.
func TestRanked_FairBetweenOrganisations(t *testing.T) {
	t.Parallel()
	others := []orgLoad{{name: "b", perSecond: 4}, {name: "c", perSecond: 4.5}, {name: "d", perSecond: 4}, {name: "e", perSecond: 5}}
	with := func(greedy orgLoad, change func(o *orgLoad)) []orgLoad {
		all := slices.Clone(others)
		for i := range all {
			change(&all[i])
		}
		return append([]orgLoad{greedy}, all...)
	}
	none := func(*orgLoad) {}
	cases := map[string][]orgLoad{
		"many requests": with(orgLoad{name: "a", perSecond: 60}, none),
		"ten adapters":  with(orgLoad{name: "a", perSecond: 60, adapters: 10}, none),
		"small demands": with(orgLoad{name: "a", perSecond: 60}, func(o *orgLoad) { o.perSecond /= 4 }),
		"costs":         with(orgLoad{name: "a", perSecond: 60, promptTokens: 500}, func(o *orgLoad) { o.promptTokens = 1000 + 1000*int(o.perSecond-4) }),
		"weights":       with(orgLoad{name: "a", perSecond: 60, weight: 1}, func(o *orgLoad) { o.weight = o.perSecond - 3 }),
	}
	for name, loads := range cases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) { testFairShares(t, seed, loads) })
		}
	}
}

// An Assigner that is told the same prompt length for all requests shares turns by the number of requests. Guards against a
// check of shares that does not detect this.
func TestRanked_FairSharesFindSharingByNumber(t *testing.T) {
	loads := []orgLoad{{name: "cheap", perSecond: 60, promptTokens: 500}, {name: "dear", perSecond: 20, promptTokens: 4000}}
	for _, hides := range []bool{false, true} {
		w := newRankedSimulation(t, 1, 1, "cheap0", "dear0")
		w.prefillOfTokens, w.hidesCost = true, hides
		w.configureWeights(loads)
		sent, served, _ := w.runShares(1, loads, 60*time.Second)
		fair := maxMin(loads, sent, served["cheap"]+served["dear"])
		t.Logf("costs hidden: %t, served %v, fair %v", hides, served, fair)
		if hides {
			require.Less(t, served["cheap"], 0.9*fair["cheap"])
		} else {
			require.GreaterOrEqual(t, served["cheap"], 0.9*fair["cheap"])
			require.GreaterOrEqual(t, served["dear"], 0.9*fair["dear"])
		}
	}
}

func testFairShares(t *testing.T, seed uint64, loads []orgLoad) {
	var adapters []string
	for _, o := range loads {
		for i := range max(o.adapters, 1) {
			adapters = append(adapters, o.name+strconv.Itoa(i))
		}
	}
	w := newRankedSimulation(t, 1, 1, adapters...)
	w.prefillOfTokens = true
	w.configureWeights(loads)
	const d = 60 * time.Second
	sent, served, late := w.runShares(seed, loads, d)
	capacity := 0.0
	for _, work := range served {
		capacity += work
	}
	fair := maxMin(loads, sent, capacity)
	onTime := 0
	for _, g := range w.granted {
		if g.Held <= 800*time.Millisecond {
			onTime++
		}
	}
	t.Logf("%d of %d within their target", onTime, len(w.granted))
	for _, o := range loads {
		t.Logf("%s: sent %.0f, served %.1f, fair share %.1f, refused after admission %d", o.name, sent[o.name], served[o.name], fair[o.name], late[o.name])
	}
	require.Greater(t, capacity, 0.9*d.Seconds()*simEngineRate)
	for _, o := range loads {
		require.GreaterOrEqual(t, served[o.name], 0.9*fair[o.name], o.name)
	}
}

// simEngineRate is the number of requests of 2000 prompt tokens that a simulated engine serves per second.
const simEngineRate = 12.5

// configureWeights configures the rates of organisations that have a weight, and no other organisations.
func (w *simulation) configureWeights(loads []orgLoad) {
	parts := catalog.ConfigParts{Version: 4, Services: []catalog.Service{*w.config.Service("s")}}
	for _, o := range loads {
		if o.weight > 0 {
			parts.Organisations = append(parts.Organisations, catalog.Organisation{Name: o.name, TokensPerSecond: 1e6 * o.weight, BurstTokens: 1e9})
		}
	}
	w.config = catalog.NewConfig(parts)
	w.handle(ConfigUpdated{w.config})
}
