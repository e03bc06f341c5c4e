package record

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func envelope(schema int, kind Kind, name, spec string) Envelope {
	return Envelope{Schema: schema, Kind: kind, Name: name, Spec: json.RawMessage(spec)}
}

func TestDecode_SchemasEquivalent(t *testing.T) {
	for _, tc := range []struct{ kind, v1, v2 string }{
		{"rate", `{"tokens_per_minute": 600, "burst_tokens": 50}`, `{"tokens_per_second": 10, "burst_tokens": 50}`},
		{"route", `{"prefix": "/stock/", "pool": "p", "timeout_seconds": 1.5}`, `{"prefix": "/stock", "pool": "p", "timeout": "1500ms"}`},
		{"route", `{"prefix": "/stock", "pool": "p"}`, `{"prefix": "/stock", "pool": "p", "timeout": "30s", "priority": "prompt"}`},
		{"organisation", `{"display_name": "N"}`, `{"display_name": "N"}`},
	} {
		old, err := Decode(envelope(SchemaV1, Kind(tc.kind), "n", tc.v1))
		require.NoError(t, err)
		current, err := Decode(envelope(SchemaV2, Kind(tc.kind), "n", tc.v2))
		require.NoError(t, err)
		require.Equal(t, current, old)
	}
}

func TestDecode_Values(t *testing.T) {
	d, err := Decode(envelope(SchemaV2, KindUpstream, "e1", `{"class": "engine", "url": "http://10.0.0.1:8000/", "model": "m", "leaving": true}`))
	require.NoError(t, err)
	want := Upstream{Name: "e1", Class: ClassEngine, URL: "http://10.0.0.1:8000", Model: "m", AdapterSlots: DefaultAdapterSlots, MaxBatch: DefaultMaxBatch, Leaving: true}
	require.Equal(t, want, *d.Upstream)
	d, err = Decode(envelope(SchemaV2, KindRoute, "r", `{"prefix": "/r", "pool": "p", "priority": "batch", "timeout": "2s"}`))
	require.NoError(t, err)
	require.Equal(t, Route{Name: "r", Prefix: "/r", Pool: "p", Timeout: 2 * time.Second, Priority: PriorityBatch}, *d.Route)
	d, err = Decode(Envelope{Schema: SchemaV1, Kind: KindRoute, Name: "r", Deleted: true})
	require.NoError(t, err)
	require.Equal(t, Decoded{}, d)
}

func TestValidate_Problems(t *testing.T) {
	for _, tc := range []struct {
		envelope Envelope
		want     []string
	}{
		{envelope(3, "shop", "N", `{}`), []string{"field schema: want 1 or 2", "field kind: want one of [organisation key ", "field name: want name"}},
		{envelope(2, KindVersion, "a", `{}`), []string{"record version/a: field name: want adapter@version"}},
		{envelope(2, KindVersion, "a@B b", `{}`), []string{"field name: want adapter@version"}},
		{envelope(2, KindKey, "k", `{"hash": "00"}`), []string{"field spec.organisation: want an organisation's name", "field spec.hash: want 64 hexadecimal digits"}},
		{envelope(2, KindRate, "o", `{"tokens_per_minute": 600}`), []string{"field spec.tokens_per_second: want a number above 0", "field spec.burst_tokens: want a whole number above 0"}},
		{envelope(1, KindRate, "o", `{"tokens_per_minute": "600", "burst_tokens": 1.5}`), []string{"field spec.tokens_per_minute: want a number without quotes", "field spec.burst_tokens: want a whole number without quotes"}},
		{envelope(2, KindRoute, "r", `{"prefix": "/v1/x", "timeout": "5", "priority": "high"}`), []string{"field spec.prefix", "field spec.pool", "field spec.timeout", "field spec.priority"}},
		{envelope(2, KindUpstream, "u", `{"class": "engine", "url": "10.0.0.1:80", "leaving": "no"}`), []string{`field spec.leaving: want true or false`}},
		{envelope(2, KindUpstream, "u", `{"class": "engine", "url": "10.0.0.1:80"}`), []string{"field spec.url", "field spec.model"}},
		{envelope(2, KindModel, "m", `{"loads_per_second": -1}`), []string{"field spec.loads_per_second"}},
		{envelope(2, KindAdapter, "a", `[]`), []string{"field spec: want an object"}},
		{envelope(2, KindOrganisation, "o", `{"display_name": "`+strings.Repeat("x", MaxRecordBytes)+`"}`), []string{"field spec: want at most 65536 bytes"}},
	} {
		problems := Validate(tc.envelope)
		require.Len(t, problems, len(tc.want), "%s: %v", tc.envelope.Ref(), problems)
		for i, want := range tc.want {
			require.ErrorContains(t, problems[i], want)
		}
		_, err := Decode(tc.envelope)
		require.Error(t, err, "Decode accepts a record that Validate rejects")
	}
}

func TestWithField_KeepsUnknownFields(t *testing.T) {
	written := envelope(SchemaV2, KindKey, "k", `{"organisation": "o", "hash": "`+strings.Repeat("ab", 32)+`", "expires": {"at": [1, 2.50]}}`)
	require.Empty(t, Validate(written))
	require.Len(t, Warnings(written), 1)
	require.Contains(t, Warnings(written)[0], "spec.expires is not known; known are hash, organisation, withdrawn")

	rewritten, err := WithField(written, "withdrawn", true)
	require.NoError(t, err)
	raw, err := json.Marshal(rewritten)
	require.NoError(t, err)
	var back Envelope
	require.NoError(t, json.Unmarshal(raw, &back))
	var spec map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(back.Spec, &spec))
	require.JSONEq(t, `{"at": [1, 2.50]}`, string(spec["expires"]))
	d, err := Decode(back)
	require.NoError(t, err)
	require.True(t, d.Key.Withdrawn)
}

func TestWarnings_FieldOfOtherSchema(t *testing.T) {
	warnings := Warnings(envelope(SchemaV2, KindRate, "o", `{"tokens_per_second": 1, "burst_tokens": 1, "tokens_per_minute": 60}`))
	require.Equal(t, []string{"record rate/o: field spec.tokens_per_minute has no effect in schema 2"}, warnings)
}

// The fields that Decode reads are exactly those that kindFields lists.
func TestKindFields_MatchSpecFields(t *testing.T) {
	raw, err := json.Marshal(specFields{})
	require.NoError(t, err)
	var read map[string]any
	require.NoError(t, json.Unmarshal(raw, &read))
	listed := map[string]bool{}
	for _, k := range Kinds() {
		require.NotEmpty(t, kindFields[k], k)
		for name := range kindFields[k] {
			require.Contains(t, read, name)
			listed[name] = true
		}
	}
	require.Len(t, listed, len(read))
}
