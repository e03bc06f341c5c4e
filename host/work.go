package host

import (
	"encoding/json"
	"net/http"

	"github.com/jasminelock/jasminelock/assign"
)

// upstreamWork is what the operators' page shows of the work and the speed of an upstream.
type upstreamWork struct {
	Upstream        string  `json:"upstream"`
	Service         string  `json:"service"`
	Running         int     `json:"running"`
	RemainingMillis int64   `json:"remaining_ms"`
	ExpectedMillis  int64   `json:"expected_ms"`
	SlowPace        float64 `json:"pace_slow"`
	FastPace        float64 `json:"pace_fast"`
	PaceAgeMillis   int64   `json:"pace_age_ms"`
	Source          string  `json:"pace_source"`
	Considered      bool    `json:"considered"`
}

func newUpstreamWork(s *assign.UpstreamStats) upstreamWork {
	w := upstreamWork{
		Upstream: s.ID, Service: s.Service, Running: s.Running, RemainingMillis: s.RemainingWork.Milliseconds(),
		ExpectedMillis: s.RemainingTime.Milliseconds(), SlowPace: s.SlowPace, FastPace: s.FastPace,
		PaceAgeMillis: s.PaceAge.Milliseconds(), Source: "none", Considered: s.ByWork,
	}
	switch {
	case s.PaceStated:
		w.Source = "stated"
	case s.PaceAge > 0:
		w.Source = "measured"
	}
	return w
}

// listUpstreamWork answers with the work and the speed of the upstreams as this host knows them, as JSON.
func (h *Host) listUpstreamWork(w http.ResponseWriter, _ *http.Request) {
	list := []upstreamWork{}
	for _, s := range h.broker.UpstreamStats() {
		list = append(list, newUpstreamWork(&s))
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		h.log.Debug("list of upstreams not written", "error", err)
	}
}
