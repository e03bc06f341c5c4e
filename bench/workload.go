package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/jasminelock/jasminelock/record"
)

// Phases of one run.
const (
	// warmUpTime is the time before requests are counted.
	warmUpTime = 60 * time.Second
	// measureTime is the time in which requests that are counted arrive.
	measureTime = 300 * time.Second
	// drainTime is the time after the last arrivals, in which requests end.
	drainTime = 60 * time.Second
)

// Sizes of sessions and requests.
const (
	requestsPerSession = 4.0
	thinkTime          = 10 * time.Second
	promptTokensMin    = 100
	promptTokensMax    = 1200
	answerTokensMin    = 20
	answerTokensMax    = 160
	// requestTimeout is the time after which a caller abandons a request.
	requestTimeout = 30 * time.Second
	// serviceTokens is the cost of one call of a plain service.
	serviceTokens = 20
	// batchShare is the share of sessions with batch priority.
	batchShare = 0.2
)

// arrival is one request of a caller.
type arrival struct {
	at           time.Duration
	organisation int
	// adapter is the adapter's number, -1 for a call of a plain service.
	adapter  int
	zone     int
	prompt   int
	answer   int
	prefix   uint64
	priority record.Priority
}

func (a arrival) service() bool { return a.adapter < 0 }

// tokens returns the tokens that the request uses if it runs to its end.
func (a arrival) tokens() int64 {
	if a.service() {
		return serviceTokens
	}
	return int64(a.prompt + a.answer)
}

// workload generates the arrivals of one run.
type workload struct {
	deployment Deployment
	scenario   Scenario
	rng        *rand.Rand
	// cumulativePopularity holds the cumulative Zipf weights by popularity rank.
	cumulativePopularity []float64
}

func newWorkload(d Deployment, s Scenario, seed uint64) *workload {
	w := &workload{deployment: d, scenario: s, rng: rand.New(rand.NewPCG(seed, 1))}
	sum := 0.0
	for rank := range d.Adapters {
		sum += math.Pow(float64(rank+1), -s.Skew)
		w.cumulativePopularity = append(w.cumulativePopularity, sum)
	}
	return w
}

// arrivals returns all requests of the run, sorted by time.
func (w *workload) arrivals() []arrival {
	var all []arrival
	end := warmUpTime + measureTime
	for i, org := range w.deployment.Organisations {
		rate := w.deployment.SessionRate * org.Share * w.loadFactor(i)
		for at := w.nextGap(rate); at < end; at += w.nextGap(rate) {
			all = w.appendSession(all, i, at)
		}
		rate = w.deployment.ServiceRate * org.Share * w.loadFactor(i)
		for at := w.nextGap(rate); at < end; at += w.nextGap(rate) {
			all = append(all, arrival{at: at, organisation: i, adapter: -1, zone: w.rng.IntN(len(w.deployment.Zones))})
		}
	}
	all = slices.DeleteFunc(all, func(a arrival) bool { return a.at >= end })
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// loadFactor returns the ratio of the load of an organisation to its usual load.
func (w *workload) loadFactor(organisation int) float64 {
	if w.scenario.GreedyFactor > 0 && organisation == 0 {
		return w.scenario.GreedyFactor * w.deployment.Organisations[0].Headroom
	}
	return 1
}

// nextGap returns an exponentially distributed time between arrivals, for a rate
// per second.
func (w *workload) nextGap(rate float64) time.Duration {
	return time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
}

// appendSession appends the requests of one session, with think times between
// them.
func (w *workload) appendSession(all []arrival, organisation int, at time.Duration) []arrival {
	adapter := w.drawAdapter(organisation, at)
	zone := w.rng.IntN(len(w.deployment.Zones))
	prefix := w.rng.Uint64() | 1
	priority := record.PriorityPrompt
	if w.rng.Float64() < batchShare {
		priority = record.PriorityBatch
	}
	for {
		all = append(all, arrival{
			at: at, organisation: organisation, adapter: adapter, zone: zone, prefix: prefix, priority: priority,
			prompt: promptTokensMin + w.rng.IntN(promptTokensMax-promptTokensMin),
			answer: answerTokensMin + w.rng.IntN(answerTokensMax-answerTokensMin),
		})
		if w.rng.Float64() < 1/requestsPerSession {
			return all
		}
		at += w.nextGap(1 / thinkTime.Seconds())
	}
}

// drawAdapter returns a random adapter of the organisation, weighted by popularity.
// An adapter belongs to the organisation of its number modulo the number of
// organisations. A shift makes other numbers popular.
func (w *workload) drawAdapter(organisation int, at time.Duration) int {
	u := w.rng.Float64() * w.cumulativePopularity[len(w.cumulativePopularity)-1]
	rank, _ := slices.BinarySearch(w.cumulativePopularity, u)
	shift := 0
	if w.scenario.ShiftEvery > 0 {
		shift = int(at/w.scenario.ShiftEvery) * shiftRanks
	}
	n := len(w.deployment.Organisations)
	perOrg := w.deployment.Adapters / n
	return ((rank+shift)%perOrg)*n + organisation
}

// shiftRanks is the number of ranks by which a shift moves the popularity.
const shiftRanks = 97

// adapterRef returns the reference to the only version of an adapter.
func adapterRef(number int) record.AdapterRef {
	return record.AdapterRef{Name: adapterName(number), Version: "1"}
}

func adapterName(number int) string {
	return "adapter-" + strconv.Itoa(number)
}

// meanTokens returns an organisation's mean use, in tokens per second.
func (d Deployment) meanTokens(o Organisation) float64 {
	request := float64(promptTokensMin+promptTokensMax)/2 + float64(answerTokensMin+answerTokensMax)/2
	return o.Share * (d.SessionRate*requestsPerSession*request + d.ServiceRate*serviceTokens)
}
