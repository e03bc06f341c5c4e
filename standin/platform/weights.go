package platform

import (
	"net/http"
	"time"

	"github.com/jasminelock/jasminelock/standin"
	api "github.com/jasminelock/jasminelock/store"
)

// WeightLimits are the limits on the speed of the weight store.
type WeightLimits struct {
	// FetchTime is the duration of a fetch at full speed.
	FetchTime time.Duration `json:"fetch_time"`
	// MaxFullSpeed is the number of concurrent fetches that run at full speed. With
	// more, each takes longer in proportion. 0 means no limit.
	MaxFullSpeed int `json:"full_speed"`
	// MaxStartsPerSecond is the number of fetches that may start in a second. Further ones
	// wait. 0 means no limit.
	MaxStartsPerSecond float64 `json:"per_second"`
}

// weightStore is the state of the weight store, guarded by Platform.mu.
type weightStore struct {
	limits   WeightLimits
	infos    map[string]api.WeightInfo
	inFlight int
	// nextStart is the earliest time at which the next fetch may start.
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

// fetchWeight waits as long as a fetch takes and returns an empty body. Callers
// ignore the weights themselves, so any source can be fetched.
func (p *Platform) fetchWeight(http.ResponseWriter, *http.Request) {
	p.mu.Lock()
	wait := p.weights.reserveStart(time.Now())
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

// reserveStart reserves the next start time and returns the time to wait for it.
func (s *weightStore) reserveStart(now time.Time) time.Duration {
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

// fetchTime returns the duration of a fetch that starts now.
func (s *weightStore) fetchTime() time.Duration {
	if s.limits.MaxFullSpeed <= 0 || s.inFlight <= s.limits.MaxFullSpeed {
		return s.limits.FetchTime
	}
	return s.limits.FetchTime * time.Duration(s.inFlight) / time.Duration(s.limits.MaxFullSpeed)
}
