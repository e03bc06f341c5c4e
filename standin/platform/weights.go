package platform

import (
	"net/http"
	"time"

	"github.com/jasminelock/jasminelock/standin"
	api "github.com/jasminelock/jasminelock/store"
)

// WeightLimits say how fast the weight store gives weights away.
type WeightLimits struct {
	// FetchTime is how long a fetch takes at full speed.
	FetchTime time.Duration `json:"fetch_time"`
	// MaxFullSpeed is how many fetches may run at once at full speed. Beyond, each
	// takes longer in proportion. 0 means no bound.
	MaxFullSpeed int `json:"full_speed"`
	// MaxStartsPerSecond is how many fetches may start in a second. Further ones wait.
	// 0 means no bound.
	MaxStartsPerSecond float64 `json:"per_second"`
}

// weightStore is the weight store's state, guarded by Platform's lock.
type weightStore struct {
	limits   WeightLimits
	infos    map[string]api.WeightInfo
	inFlight int
	// nextStart is when the next fetch may start.
	nextStart time.Time
}

// SetWeightLimits replaces the weight store's limits.
func (p *Platform) SetWeightLimits(l WeightLimits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights.limits = l
}

// AddWeight puts an adapter version into the weight store.
func (p *Platform) AddWeight(info api.WeightInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights.infos[info.Source] = info
}

func (p *Platform) statWeight(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	info, ok := p.weights.infos[r.PathValue("source")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	standin.WriteJSON(w, http.StatusOK, info)
}

// fetchWeight takes the time that a fetch takes. The weights themselves are of
// no interest, so that any source can be fetched.
func (p *Platform) fetchWeight(http.ResponseWriter, *http.Request) {
	p.mu.Lock()
	wait := p.weights.waitToStart(time.Now())
	p.mu.Unlock()
	time.Sleep(wait)
	p.mu.Lock()
	p.weights.inFlight++
	duration := p.weights.fetchTime()
	p.mu.Unlock()
	time.Sleep(duration)
	p.mu.Lock()
	p.weights.inFlight--
	p.mu.Unlock()
}

// waitToStart takes the next place in the row of fetches.
func (s *weightStore) waitToStart(now time.Time) time.Duration {
	if s.limits.MaxStartsPerSecond <= 0 {
		return 0
	}
	start := now
	if s.nextStart.After(now) {
		start = s.nextStart
	}
	s.nextStart = start.Add(time.Duration(float64(time.Second) / s.limits.MaxStartsPerSecond))
	return start.Sub(now)
}

// fetchTime is how long a fetch that starts now takes.
func (s *weightStore) fetchTime() time.Duration {
	if s.limits.MaxFullSpeed <= 0 || s.inFlight <= s.limits.MaxFullSpeed {
		return s.limits.FetchTime
	}
	return s.limits.FetchTime * time.Duration(s.inFlight) / time.Duration(s.limits.MaxFullSpeed)
}
