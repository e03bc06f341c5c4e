package tables

import (
	"cmp"
	"time"
)

// Config is a configuration in the form in which operators write it.
type Config struct {
	Version       int            `json:"version"`
	Routes        []Route        `json:"routes"`
	Services      []Service      `json:"services"`
	Limits        Limits         `json:"limits"`
	Organisations []Organisation `json:"tenants"`
}

// Route maps a host name and a path prefix to a service.
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

// Service is a service. Engine is nil for a plain service.
type Service struct {
	Name   string  `json:"name"`
	Engine *Engine `json:"engine,omitempty"`
	// SlowStartSeconds and SlowStartPerSecond limit the requests to a replica that has just
	// started: SlowStartPerSecond requests a second for SlowStartSeconds seconds.
	SlowStartSeconds   float64 `json:"cold_start_s"`
	SlowStartPerSecond float64 `json:"cold_per_s"`
}

// Engine describes the engines of a service.
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

// Limits are limits on a caller's request.
type Limits struct {
	MaxBodyBytes int `json:"max_body_bytes"`
}

// Organisation is an organisation with its keys and its rate.
type Organisation struct {
	Name            string   `json:"name"`
	Keys            []string `json:"api_keys"`
	PlainTokens     int      `json:"plain_tokens"`
	TokensPerSecond int      `json:"rate_per_s"`
	BurstTokens     int      `json:"burst"`
}

// UpstreamTable is the table in which replicas register.
const UpstreamTable = "servers"

// Upstream is the entry that a replica writes about itself.
type Upstream struct {
	Service   string
	Address   string
	Slots     int
	StartedAt int64
	Draining  bool
	// Model is the base model of an engine, "" for a plain service.
	Model string
	// Zone is the availability zone, DefaultZone if empty.
	Zone string
	// SlowStart is the remaining time during which the replica accepts few requests.
	SlowStart time.Duration
}

// DefaultZone is the availability zone of a replica that names none.
const DefaultZone = "z"

// PutConfig writes the configuration as the operator does.
func (t *Tables) PutConfig(c Config) { t.Put(OperatorTable, "config", c) }

// Evacuate writes the operator's order to send no requests to an availability zone,
// or removes it if on is false.
func (t *Tables) Evacuate(zone string, on bool) {
	if on {
		t.Put(OperatorTable, "evacuate/"+zone, struct{}{})
		return
	}
	t.Remove(OperatorTable, "evacuate/"+zone)
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
	t.Put(UpstreamTable, id, row)
}

// RemoveUpstream deletes a replica's entry.
func (t *Tables) RemoveUpstream(id string) { t.Remove(UpstreamTable, id) }
