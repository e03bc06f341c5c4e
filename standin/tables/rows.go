package tables

import (
	"cmp"
	"time"
)

// Config is a configuration as operators write it.
type Config struct {
	Version       int            `json:"version"`
	Routes        []Route        `json:"routes"`
	Services      []Service      `json:"services"`
	Limits        Limits         `json:"limits"`
	Organisations []Organisation `json:"tenants"`
}

// Route sends the requests of a host name and a path prefix to a service.
type Route struct {
	Name        string `json:"name"`
	HostName    string `json:"host"`
	Prefix      string `json:"path_prefix"`
	Kind        string `json:"kind"`
	Service     string `json:"service"`
	TimeoutMS   int    `json:"timeout_ms"`
	TargetMS    int    `json:"target_latency_ms"`
	MaxAttempts int    `json:"max_attempts"`
	Open        bool   `json:"public"`
	Resumable   bool   `json:"resumable"`
}

// Service is a service with its engine, nil for a plain one.
type Service struct {
	Name   string  `json:"name"`
	Engine *Engine `json:"engine,omitempty"`
	// SlowStartSeconds and SlowPerSecond bound what replicas take that have just started.
	SlowStartSeconds   float64 `json:"cold_start_s"`
	SlowStartPerSecond float64 `json:"cold_per_s"`
}

// Engine describes a service's engines.
type Engine struct {
	BatchSize    int     `json:"slots"`
	CacheTokens  int     `json:"kv_capacity"`
	AdapterSlots int     `json:"adapter_slots"`
	WeightsMB    float64 `json:"weights_mb"`
	Models       []Model `json:"models"`
}

// Model is a base model.
type Model struct {
	Name      string  `json:"name"`
	WeightsMB float64 `json:"weights_mb"`
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int `json:"max_body_bytes"`
}

// Organisation owns keys and has a rate.
type Organisation struct {
	Name            string   `json:"name"`
	Keys            []string `json:"api_keys"`
	PlainTokens     int      `json:"plain_tokens"`
	TokensPerSecond int      `json:"rate_per_s"`
	BurstTokens     int      `json:"burst"`
}

// Upstream is what a replica says of itself.
type Upstream struct {
	Service  string
	Address  string
	Slots    int
	StartedAt     int64
	Draining bool
	// Model is the base model held, "" for a plain service.
	Model string
	// Zone is the availability zone, DefaultZone where empty.
	Zone string
	// SlowStart is for how much longer the replica takes few requests.
	SlowStart time.Duration
}

// DefaultZone is where replicas are that name no zone.
const DefaultZone = "z"

// PutConfig writes the configuration as the operator does.
func (t *Tables) PutConfig(c Config) { t.Put("op", "config", c) }

// Evacuate has the operator ask for an availability zone to be sent nothing, or ends that.
func (t *Tables) Evacuate(zone string, on bool) {
	if on {
		t.Put("op", "evacuate/"+zone, struct{}{})
		return
	}
	t.Remove("op", "evacuate/"+zone)
}

// PutUpstream writes a replica's entry.
func (t *Tables) PutUpstream(id string, u Upstream) {
	state := "ready"
	if u.Draining {
		state = "draining"
	}
	row := map[string]any{
		"service": u.Service, "address": u.Address, "zone": cmp.Or(u.Zone, DefaultZone), "slots": u.Slots, "state": state, "born": u.StartedAt,
		"cold_remaining_ms": u.SlowStart.Milliseconds(),
	}
	if u.Model != "" {
		row["models"] = []any{map[string]any{"name": u.Model, "version": 1, "adapters": []any{}}}
	}
	t.Put("servers", id, row)
}

// RemoveUpstream deletes a replica's entry.
func (t *Tables) RemoveUpstream(id string) { t.Remove("servers", id) }
