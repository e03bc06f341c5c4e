package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the figures of one run. Times are in seconds.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Requests   int    `json:"requests"`
	// LoadStalls is the number of requests whose adapter no engine held on arrival.
	LoadStalls int64 `json:"load_stalls"`
	// LowerBoundStalls is the number of loads on demand of an optimal placement
	// that knows all arrivals and has all slots in one pool.
	LowerBoundStalls int     `json:"load_stalls_lower_bound"`
	StallSeconds     float64 `json:"stall_seconds"`
	StallP50         float64 `json:"stall_p50"`
	StallP95         float64 `json:"stall_p95"`
	StallP99         float64 `json:"stall_p99"`
	// TokensPerBusySecond is the batch efficiency: tokens generated per second in
	// which an engine was busy.
	TokensPerBusySecond float64 `json:"tokens_per_busy_second"`
	// WorstOrganisationP99 is the 99th percentile of the time to first token of prompt
	// requests, for the worst served of the organisations inside their rate.
	WorstOrganisationP99 float64 `json:"worst_organisation_p99"`
	// WrongfulRefusals is the number of requests refused although they are inside their
	// organisation's rate.
	WrongfulRefusals int `json:"wrongful_refusals"`
	// WrongfulGreedyRefusals is the same number for an organisation that requests more
	// than its rate over the run; WrongfulRefusals does not include it.
	WrongfulGreedyRefusals int `json:"wrongful_refusals_greedy"`
	// Failed is the number of requests that failed after they may have run, such
	// as answers that the end of an upstream cut.
	Failed               int            `json:"failed"`
	Refused              map[string]int `json:"refused"`
	FirstTokenP95        float64        `json:"first_token_p95"`
	BatchFirstTokenP99   float64        `json:"batch_first_token_p99"`
	Loads                int            `json:"loads"`
	Evictions            int            `json:"evictions"`
	NotLoaded            int            `json:"not_loaded"`
	MaxLoadsInFlight     int            `json:"loads_in_flight_most"`
	CutByKill            int            `json:"cut_by_kill"`
	PeerBytesPerHost     float64        `json:"peer_bytes_per_host_second"`
	StoreWritesPerSecond float64        `json:"store_writes_second"`
	// Violations of invariants.
	ServingEvictions    int `json:"serving_evictions"`
	DispatchedToLeaving int `json:"work_to_leaving"`
	WrongAdapter        int `json:"wrong_adapter"`
}

func (f *fleet) result(p Policy) Result {
	s := f.stats
	seconds := (warmUpTime + measureTime + drainTime).Seconds()
	r := Result{
		Deployment: f.deployment.Name, Scenario: f.scenario.Name, Policy: p.Name, Requests: s.requests,
		LoadStalls: s.stalls.TotalCount(), StallSeconds: s.stalls.Mean() * float64(s.stalls.TotalCount()) / microseconds,
		StallP50: quantile(s.stalls, 50), StallP95: quantile(s.stalls, 95), StallP99: quantile(s.stalls, 99),
		WrongfulRefusals: s.wrongful, Failed: s.failed, WrongfulGreedyRefusals: s.wrongfulGreedy, Refused: s.refused, FirstTokenP95: quantile(s.firstToken, 95), BatchFirstTokenP99: quantile(s.batchFirstToken, 99),
		Loads: s.loads, Evictions: s.evictions, NotLoaded: s.notLoaded, MaxLoadsInFlight: s.maxLoadsInFlight, CutByKill: s.cutByKill,
		PeerBytesPerHost: float64(s.peerBytes) / float64(len(f.hosts)) / seconds, StoreWritesPerSecond: float64(f.tables.writes) / seconds,
		ServingEvictions: s.servingEvictions, DispatchedToLeaving: s.dispatchedToLeaving, WrongAdapter: s.wrongAdapter,
	}
	for _, h := range s.byOrganisation {
		r.WorstOrganisationP99 = max(r.WorstOrganisationP99, quantile(h, 99))
	}
	if s.engineBusy > 0 {
		r.TokensPerBusySecond = float64(s.tokens) / s.engineBusy.Seconds()
	}
	return r
}

// microseconds is the number of microseconds in a second.
const microseconds = float64(time.Second / time.Microsecond)

// quantile returns the percentile q of a histogram, in seconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / microseconds
}

// WriteTable writes results as a table.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "deployment\tscenario\tpolicy\trequests\tstalls\tbound\tstall s\tp50\tp95\tp99\ttok/busy s\tworst p99\twrongful\tfirst p95\tbatch p99\tloads\tevict\tnot loaded\tviolations\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%.1f\t%.2f\t%.2f\t%.2f\t%.0f\t%.2f\t%d\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t\n",
			r.Deployment, r.Scenario, r.Policy, r.Requests, r.LoadStalls, r.LowerBoundStalls, r.StallSeconds, r.StallP50, r.StallP95, r.StallP99,
			r.TokensPerBusySecond, r.WorstOrganisationP99, r.WrongfulRefusals, r.FirstTokenP95, r.BatchFirstTokenP99, r.Loads, r.Evictions, r.NotLoaded,
			r.ServingEvictions+r.DispatchedToLeaving+r.WrongAdapter)
	}
	return t.Flush()
}
