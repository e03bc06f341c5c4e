package record

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"
)

// Decoded is the internal form of a record. Exactly one pointer is set, that of the envelope's kind;
// none is set for a deleted record.
type Decoded struct {
	Organisation *Organisation
	Key          *Key
	Rate         *Rate
	Model        *Model
	Adapter      *Adapter
	Version      *Version
	Route        *Route
	Upstream     *Upstream
}

// specFields is the union of the fields of all kinds in both schemas. Other fields are ignored in
// decoding and kept in the envelope.
type specFields struct {
	DisplayName      string  `json:"display_name"`
	Suspended        bool    `json:"suspended"`
	Organisation     string  `json:"organisation"`
	Hash             string  `json:"hash"`
	Withdrawn        bool    `json:"withdrawn"`
	TokensPerMinute  float64 `json:"tokens_per_minute"` // schema 1
	TokensPerSecond  float64 `json:"tokens_per_second"` // schema 2
	BurstTokens      int64   `json:"burst_tokens"`
	MaxContextTokens int64   `json:"max_context_tokens"`
	LoadsPerSecond   float64 `json:"loads_per_second"`
	LoadsInFlight    int64   `json:"loads_in_flight"`
	Model            string  `json:"model"`
	DefaultVersion   string  `json:"default_version"`
	Public           bool    `json:"public"`
	Source           string  `json:"source"`
	Class            string  `json:"class"`
	URL              string  `json:"url"`
	Zone             string  `json:"zone"`
	Pool             string  `json:"pool"`
	AdapterSlots     int     `json:"adapter_slots"`
	MaxBatch         int     `json:"max_batch"`
	ChecksFence      bool    `json:"checks_fence"`
	Leaving          bool    `json:"leaving"`
	Prefix           string  `json:"prefix"`
	Open             bool    `json:"open"`
	Repeatable       bool    `json:"repeatable"`
	CostTokens       int64   `json:"cost_tokens"`
	TimeoutSeconds   float64 `json:"timeout_seconds"` // schema 1
	Timeout          string  `json:"timeout"`         // schema 2, a Go duration
	Priority         string  `json:"priority"`        // schema 2; always "prompt" in schema 1
}

// Defaults of optional fields.
const (
	DefaultRouteTimeout = 30 * time.Second
	DefaultAdapterSlots = 8
	DefaultMaxBatch     = 16
	secondsPerMinute    = 60
)

// Expectations on an envelope, formatted once because every record is checked.
var (
	expectedKind = fmt.Sprintf("one of %v", Kinds())
	expectedSize = fmt.Sprintf("at most %d bytes", MaxRecordBytes)
)

// decoder decodes one record and collects its problems.
type decoder struct {
	envelope Envelope
	fields   specFields
	problems Problems
}

// Decode converts a record of either schema into the internal form. Unknown fields are not an error.
// The error is of type Problems: it lists all problems of the envelope or, if there are none, of the
// spec. A field of the wrong type ends the check.
func Decode(e Envelope) (Decoded, error) {
	d := decoder{envelope: e}
	d.checkEnvelope()
	if len(d.problems) > 0 {
		return Decoded{}, d.problems
	}
	if e.Deleted {
		return Decoded{}, nil
	}
	if err := json.Unmarshal(e.Spec, &d.fields); err != nil {
		d.addProblem("spec", "an object with the kind's fields: "+err.Error())
		return Decoded{}, d.problems
	}
	decoded := d.decode()
	if len(d.problems) > 0 {
		return Decoded{}, d.problems
	}
	return decoded, nil
}

func (d *decoder) addProblem(field, want string) {
	d.problems = append(d.problems, &DecodeError{Ref: d.envelope.Ref(), Field: field, Want: want})
}

// require adds a problem with a field unless ok is true.
func (d *decoder) require(ok bool, field, want string) {
	if !ok {
		d.addProblem(field, want)
	}
}

func (d *decoder) checkEnvelope() {
	e := d.envelope
	d.require(e.Schema == SchemaV1 || e.Schema == SchemaV2, "schema", "1 or 2")
	d.require(slices.Contains(Kinds(), e.Kind), "kind", expectedKind)
	d.require(len(e.Spec) <= MaxRecordBytes, "spec", expectedSize)
	d.require(e.Deleted || len(e.Spec) > 0, "spec", "an object")
	name := e.Name
	if e.Kind == KindVersion {
		ref, ok := ParseAdapterRef(name)
		if !ok || ValidateName(ref.Version) != nil {
			d.addProblem("name", "adapter@version")
			return
		}
		name = ref.Name
	}
	if err := ValidateName(name); err != nil {
		d.addProblem("name", err.Error())
	}
}

func (d *decoder) decode() Decoded {
	e, f := d.envelope, d.fields
	switch e.Kind {
	case KindOrganisation:
		return Decoded{Organisation: &Organisation{Name: e.Name, DisplayName: f.DisplayName, Suspended: f.Suspended}}
	case KindKey:
		return Decoded{Key: d.key()}
	case KindRate:
		return Decoded{Rate: d.rate()}
	case KindModel:
		return Decoded{Model: d.model()}
	case KindAdapter:
		return Decoded{Adapter: d.adapter()}
	case KindVersion:
		return Decoded{Version: d.version()}
	case KindRoute:
		return Decoded{Route: d.route()}
	}
	return Decoded{Upstream: d.upstream()}
}

func (d *decoder) key() *Key {
	f := d.fields
	raw, err := hex.DecodeString(f.Hash)
	d.require(f.Organisation != "", "spec.organisation", "an organisation's name")
	if err != nil || len(raw) != len(KeyHash{}) {
		d.addProblem("spec.hash", "64 hexadecimal digits (SHA-256 of the secret)")
		return nil
	}
	return &Key{Name: d.envelope.Name, Organisation: f.Organisation, Hash: KeyHash(raw), Withdrawn: f.Withdrawn}
}

func (d *decoder) rate() *Rate {
	f := d.fields
	perSecond := f.TokensPerSecond
	field := "spec.tokens_per_second"
	if d.envelope.Schema == SchemaV1 {
		perSecond = f.TokensPerMinute / secondsPerMinute
		field = "spec.tokens_per_minute"
	}
	d.require(perSecond > 0, field, "a number above 0")
	d.require(f.BurstTokens > 0, "spec.burst_tokens", "a whole number above 0")
	return &Rate{Organisation: d.envelope.Name, TokensPerSecond: perSecond, BurstTokens: f.BurstTokens}
}

func (d *decoder) model() *Model {
	f := d.fields
	d.require(f.MaxContextTokens >= 0, "spec.max_context_tokens", "a whole number of 0 or more")
	d.require(f.LoadsPerSecond >= 0, "spec.loads_per_second", "a number of 0 or more")
	d.require(f.LoadsInFlight >= 0, "spec.loads_in_flight", "a whole number of 0 or more")
	return &Model{Name: d.envelope.Name, MaxContextTokens: f.MaxContextTokens, LoadsPerSecond: f.LoadsPerSecond, LoadsInFlight: f.LoadsInFlight}
}

func (d *decoder) adapter() *Adapter {
	f := d.fields
	d.require(f.Organisation != "", "spec.organisation", "an organisation's name")
	d.require(f.Model != "", "spec.model", "a model's name")
	return &Adapter{Name: d.envelope.Name, Organisation: f.Organisation, Model: f.Model, DefaultVersion: f.DefaultVersion, Public: f.Public}
}

func (d *decoder) version() *Version {
	ref, _ := ParseAdapterRef(d.envelope.Name)
	return &Version{Adapter: ref.Name, Version: ref.Version, Source: cmp.Or(d.fields.Source, ref.String())}
}

func (d *decoder) route() *Route {
	f := d.fields
	prefix := strings.TrimSuffix(f.Prefix, "/")
	absolute := strings.HasPrefix(prefix, "/") && len(prefix) > 1
	d.require(absolute && !strings.HasPrefix(prefix+"/", "/v1/"), "spec.prefix", "a path such as /stock, outside /v1")
	d.require(f.Pool != "", "spec.pool", "the pool of the service's upstreams")
	d.require(f.CostTokens >= 0, "spec.cost_tokens", "a whole number of 0 or more")
	return &Route{
		Name: d.envelope.Name, Prefix: prefix, Pool: f.Pool, Open: f.Open, Repeatable: f.Repeatable,
		CostTokens: f.CostTokens, Timeout: d.timeout(), Priority: d.priority(),
	}
}

func (d *decoder) timeout() time.Duration {
	f := d.fields
	if d.envelope.Schema == SchemaV1 {
		d.require(f.TimeoutSeconds >= 0, "spec.timeout_seconds", "a number above 0")
		if f.TimeoutSeconds == 0 {
			return DefaultRouteTimeout
		}
		return time.Duration(f.TimeoutSeconds * float64(time.Second))
	}
	if f.Timeout == "" {
		return DefaultRouteTimeout
	}
	timeout, err := time.ParseDuration(f.Timeout)
	d.require(err == nil && timeout > 0, "spec.timeout", `a duration such as "30s"`)
	return timeout
}

// priority returns the priority of a route. Schema 1 has no such field: its routes have
// PriorityPrompt.
func (d *decoder) priority() Priority {
	if d.envelope.Schema == SchemaV1 || d.fields.Priority == "" || d.fields.Priority == PriorityPrompt.String() {
		return PriorityPrompt
	}
	d.require(d.fields.Priority == PriorityBatch.String(), "spec.priority", `"prompt" or "batch"`)
	return PriorityBatch
}

func (d *decoder) upstream() *Upstream {
	f := d.fields
	u, err := url.Parse(f.URL)
	valid := err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
	d.require(valid, "spec.url", "an address such as http://10.0.0.1:8000")
	class := UpstreamClass(f.Class)
	d.require(class == ClassEngine || class == ClassService, "spec.class", `"engine" or "service"`)
	d.require(class != ClassEngine || f.Model != "", "spec.model", "the engine's base model")
	d.require(class != ClassService || f.Pool != "", "spec.pool", "the service's pool")
	d.require(f.AdapterSlots >= 0, "spec.adapter_slots", "a whole number above 0")
	d.require(f.MaxBatch >= 0, "spec.max_batch", "a whole number above 0")
	return &Upstream{
		Name: d.envelope.Name, Class: class, URL: strings.TrimSuffix(f.URL, "/"), Zone: f.Zone, Model: f.Model, Pool: f.Pool,
		AdapterSlots: cmp.Or(f.AdapterSlots, DefaultAdapterSlots), MaxBatch: cmp.Or(f.MaxBatch, DefaultMaxBatch),
		ChecksFence: f.ChecksFence, Leaving: f.Leaving,
	}
}
