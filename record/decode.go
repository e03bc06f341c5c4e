package record

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"net/url"
	"strings"
	"time"
)

// DecodeError says which record and field is not valid.
type DecodeError struct {
	Ref   Ref
	Field string
	Want  string
}

// Error implements the error interface.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("record %s: field %s: want %s", e.Ref, e.Field, e.Want)
}

// Decoded is a record in its internal form. Exactly one pointer is set, the
// one of the envelope's kind, and none for a deleted record.
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

// specFields is the union of the fields of every kind in both schemas. Fields
// that it does not name are ignored here and survive in the envelope.
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
	Adapter          string  `json:"adapter"`
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
	Priority         string  `json:"priority"`        // schema 2; schema 1 knows "prompt" only
}

// Defaults of optional fields.
const (
	DefaultRouteTimeout = 30 * time.Second
	DefaultAdapterSlots = 8
	DefaultMaxBatch     = 16
	secondsPerMinute    = 60
)

// Decode converts a record of either schema into the internal form.
func Decode(e Envelope) (Decoded, error) {
	var d Decoded
	if err := checkEnvelope(e); err != nil {
		return d, err
	}
	if e.Deleted {
		return d, nil
	}
	var f specFields
	if err := json.NewDecoder(bytes.NewReader(e.Spec)).Decode(&f); err != nil {
		return d, &DecodeError{e.Ref(), "spec", "an object with the kind's fields: " + err.Error()}
	}
	return d, decodeSpec(e, f, &d)
}

func checkEnvelope(e Envelope) error {
	switch {
	case e.Schema != SchemaV1 && e.Schema != SchemaV2:
		return &DecodeError{e.Ref(), "schema", "1 or 2"}
	case len(e.Spec) > MaxRecordBytes:
		return &DecodeError{e.Ref(), "spec", fmt.Sprintf("at most %d bytes", MaxRecordBytes)}
	case !e.Deleted && len(e.Spec) == 0:
		return &DecodeError{e.Ref(), "spec", "an object"}
	}
	name := e.Name
	if e.Kind == KindVersion {
		ref, ok := ParseAdapterRef(name)
		if !ok || ref.Version == "" {
			return &DecodeError{e.Ref(), "name", "adapter@version"}
		}
		name = ref.Name
	}
	if err := ValidateName(name); err != nil {
		return &DecodeError{e.Ref(), "name", err.Error()}
	}
	return nil
}

func decodeSpec(e Envelope, f specFields, d *Decoded) error {
	switch e.Kind {
	case KindOrganisation:
		d.Organisation = &Organisation{Name: e.Name, DisplayName: f.DisplayName, Suspended: f.Suspended}
		return nil
	case KindKey:
		return decodeKey(e, f, d)
	case KindRate:
		return decodeRate(e, f, d)
	case KindModel:
		return decodeModel(e, f, d)
	case KindAdapter:
		return decodeAdapter(e, f, d)
	case KindVersion:
		return decodeVersion(e, f, d)
	case KindRoute:
		return decodeRoute(e, f, d)
	case KindUpstream:
		return decodeUpstream(e, f, d)
	}
	return &DecodeError{e.Ref(), "kind", "one of " + kindNames()}
}

func kindNames() string {
	var names []string
	for _, k := range Kinds() {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}

func decodeKey(e Envelope, f specFields, d *Decoded) error {
	raw, err := hex.DecodeString(f.Hash)
	if err != nil || len(raw) != len(KeyHash{}) {
		return &DecodeError{e.Ref(), "spec.hash", "64 hexadecimal digits (SHA-256 of the secret)"}
	}
	if f.Organisation == "" {
		return &DecodeError{e.Ref(), "spec.organisation", "an organisation's name"}
	}
	d.Key = &Key{Name: e.Name, Organisation: f.Organisation, Hash: KeyHash(raw), Withdrawn: f.Withdrawn}
	return nil
}

func decodeRate(e Envelope, f specFields, d *Decoded) error {
	perSecond := f.TokensPerSecond
	field := "spec.tokens_per_second"
	if e.Schema == SchemaV1 {
		perSecond = f.TokensPerMinute / secondsPerMinute
		field = "spec.tokens_per_minute"
	}
	if perSecond <= 0 || math.IsInf(perSecond, 0) || math.IsNaN(perSecond) {
		return &DecodeError{e.Ref(), field, "a number above 0"}
	}
	if f.BurstTokens <= 0 {
		return &DecodeError{e.Ref(), "spec.burst_tokens", "a whole number above 0"}
	}
	d.Rate = &Rate{Organisation: e.Name, TokensPerSecond: perSecond, BurstTokens: f.BurstTokens}
	return nil
}

func decodeModel(e Envelope, f specFields, d *Decoded) error {
	if f.LoadsPerSecond < 0 || f.LoadsInFlight < 0 || f.MaxContextTokens < 0 {
		return &DecodeError{e.Ref(), "spec", "bounds of 0 or more"}
	}
	d.Model = &Model{Name: e.Name, MaxContextTokens: f.MaxContextTokens, LoadsPerSecond: f.LoadsPerSecond, LoadsInFlight: f.LoadsInFlight}
	return nil
}

func decodeAdapter(e Envelope, f specFields, d *Decoded) error {
	if f.Organisation == "" {
		return &DecodeError{e.Ref(), "spec.organisation", "an organisation's name"}
	}
	if f.Model == "" {
		return &DecodeError{e.Ref(), "spec.model", "a model's name"}
	}
	d.Adapter = &Adapter{Name: e.Name, Organisation: f.Organisation, Model: f.Model, DefaultVersion: f.DefaultVersion, Public: f.Public}
	return nil
}

func decodeVersion(e Envelope, f specFields, d *Decoded) error {
	ref, _ := ParseAdapterRef(e.Name)
	source := f.Source
	if source == "" {
		source = e.Name
	}
	d.Version = &Version{Adapter: ref.Name, Version: ref.Version, Source: source}
	return nil
}

func decodeRoute(e Envelope, f specFields, d *Decoded) error {
	if !strings.HasPrefix(f.Prefix, "/") || len(f.Prefix) < 2 || strings.HasPrefix(f.Prefix+"/", "/v1/") {
		return &DecodeError{e.Ref(), "spec.prefix", "a path such as /stock, outside /v1"}
	}
	if f.Pool == "" {
		return &DecodeError{e.Ref(), "spec.pool", "the pool of the service's upstreams"}
	}
	timeout, err := decodeTimeout(e, f)
	if err != nil {
		return err
	}
	priority, err := decodePriority(e, f)
	if err != nil {
		return err
	}
	d.Route = &Route{
		Name: e.Name, Prefix: strings.TrimSuffix(f.Prefix, "/"), Pool: f.Pool, Open: f.Open,
		Repeatable: f.Repeatable, CostTokens: max(f.CostTokens, 0), Timeout: timeout, Priority: priority,
	}
	return nil
}

func decodeTimeout(e Envelope, f specFields) (time.Duration, error) {
	if e.Schema == SchemaV1 {
		if f.TimeoutSeconds < 0 {
			return 0, &DecodeError{e.Ref(), "spec.timeout_seconds", "a number above 0"}
		}
		if f.TimeoutSeconds == 0 {
			return DefaultRouteTimeout, nil
		}
		return time.Duration(f.TimeoutSeconds * float64(time.Second)), nil
	}
	if f.Timeout == "" {
		return DefaultRouteTimeout, nil
	}
	timeout, err := time.ParseDuration(f.Timeout)
	if err != nil || timeout <= 0 {
		return 0, &DecodeError{e.Ref(), "spec.timeout", `a duration such as "30s"`}
	}
	return timeout, nil
}

func decodePriority(e Envelope, f specFields) (Priority, error) {
	switch f.Priority {
	case "", PriorityPrompt.String():
		return PriorityPrompt, nil
	case PriorityBatch.String():
		return PriorityBatch, nil
	}
	return 0, &DecodeError{e.Ref(), "spec.priority", `"prompt" or "batch"`}
}

func decodeUpstream(e Envelope, f specFields, d *Decoded) error {
	u, err := url.Parse(f.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return &DecodeError{e.Ref(), "spec.url", "an address such as http://10.0.0.1:8000"}
	}
	up := Upstream{
		Name: e.Name, Class: UpstreamClass(f.Class), URL: strings.TrimSuffix(f.URL, "/"), Zone: f.Zone, Model: f.Model, Pool: f.Pool,
		AdapterSlots: f.AdapterSlots, MaxBatch: f.MaxBatch, ChecksFence: f.ChecksFence, Leaving: f.Leaving,
	}
	switch {
	case up.Class != ClassEngine && up.Class != ClassService:
		return &DecodeError{e.Ref(), "spec.class", `"engine" or "service"`}
	case up.Class == ClassEngine && up.Model == "":
		return &DecodeError{e.Ref(), "spec.model", "the engine's base model"}
	case up.Class == ClassService && up.Pool == "":
		return &DecodeError{e.Ref(), "spec.pool", "the service's pool"}
	case up.AdapterSlots < 0 || up.MaxBatch < 0:
		return &DecodeError{e.Ref(), "spec.adapter_slots or spec.max_batch", "a whole number above 0"}
	}
	if up.AdapterSlots == 0 {
		up.AdapterSlots = DefaultAdapterSlots
	}
	if up.MaxBatch == 0 {
		up.MaxBatch = DefaultMaxBatch
	}
	d.Upstream = &up
	return nil
}
