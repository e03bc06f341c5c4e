package record

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func mustApply(t testing.TB, c *Config, records ...Envelope) *Config {
	t.Helper()
	next, problems := c.Apply(c.Revision+1, records)
	require.Empty(t, problems)
	return next
}

func keyEnvelope(name, org, secret string, withdrawn bool) Envelope {
	return envelope(SchemaV2, KindKey, name, fmt.Sprintf(`{"organisation": %q, "hash": %q, "withdrawn": %t}`, org, HashSecret(secret), withdrawn))
}

func newSmallConfig(t testing.TB) *Config {
	return mustApply(t, NewConfig(),
		envelope(2, KindOrganisation, "north", `{}`), envelope(2, KindOrganisation, "south", `{}`),
		envelope(2, KindModel, "m", `{}`),
		envelope(2, KindAdapter, "a", `{"organisation": "north", "model": "m", "default_version": "1"}`),
		envelope(2, KindAdapter, "shared", `{"organisation": "north", "model": "m", "public": true}`),
		envelope(2, KindVersion, "a@1", `{}`), envelope(2, KindVersion, "a@2", `{"source": "elsewhere"}`),
		envelope(2, KindRoute, "s", `{"prefix": "/s", "pool": "p"}`), envelope(2, KindRoute, "st", `{"prefix": "/s/t", "pool": "p"}`),
		keyEnvelope("k", "north", "secret", false),
	)
}

func TestResolve(t *testing.T) {
	c := newSmallConfig(t)
	for model, want := range map[string]string{"a": "a@1", "a@1": "a@1", "a@2": "a@2"} {
		a, ref, ok := c.Resolve(model)
		require.True(t, ok, model)
		require.Equal(t, want, ref.String())
		require.Equal(t, Adapter{Name: "a", Organisation: "north", Model: "m", DefaultVersion: "1"}, *a)
	}
	for _, model := range []string{"", "b", "a@3", "a@", "shared", "a@1@2"} {
		_, _, ok := c.Resolve(model)
		require.False(t, ok, model)
	}
	v, ok := c.Version(AdapterRef{"a", "2"})
	require.True(t, ok)
	require.Equal(t, Version{Adapter: "a", Version: "2", Source: "elsewhere"}, *v)
	v, _ = c.Version(AdapterRef{"a", "1"})
	require.Equal(t, "a@1", v.Source)
}

func TestUsableBy(t *testing.T) {
	c := newSmallConfig(t)
	for org, want := range map[string][]string{"north": {"a", "shared"}, "south": {"shared"}, "unknown": {"shared"}} {
		var names []string
		for a := range c.UsableBy(org) {
			require.True(t, c.MayUse(org, a))
			names = append(names, a.Name)
		}
		slices.Sort(names)
		require.Equal(t, want, names, org)
	}
	require.Equal(t, 2, c.AdapterCount())
}

func TestAuthorised(t *testing.T) {
	c := newSmallConfig(t)
	for name, tc := range map[string]struct {
		change Envelope
		ok     bool
	}{
		"unchanged":                    {envelope(2, KindModel, "n", `{}`), true},
		"withdrawn":                    {keyEnvelope("k", "north", "secret", true), false},
		"removed":                      {Envelope{Schema: 2, Kind: KindKey, Name: "k", Deleted: true}, false},
		"another secret":               {keyEnvelope("k", "north", "other", false), false},
		"suspended":                    {envelope(2, KindOrganisation, "north", `{"suspended": true}`), false},
		"organisation removed":         {Envelope{Schema: 2, Kind: KindOrganisation, Name: "north", Deleted: true}, false},
		"withdrawn under another name": {keyEnvelope("z", "north", "secret", true), false},
	} {
		_, ok := mustApply(t, c, tc.change).Authorised(HashSecret("secret"))
		require.Equal(t, tc.ok, ok, name)
	}
	_, ok := c.Authorised(HashSecret("secret"))
	require.True(t, ok, "the configuration itself has not changed")
}

// If two records share a secret, every host makes the same decision in whatever order it read them,
// and a withdrawal takes precedence.
func TestAuthorised_SharedSecret(t *testing.T) {
	live, withdrawn := keyEnvelope("a", "north", "secret", false), keyEnvelope("b", "south", "secret", true)
	org := []Envelope{envelope(2, KindOrganisation, "north", `{}`), envelope(2, KindOrganisation, "south", `{}`)}
	for _, order := range [][]Envelope{{live, withdrawn}, {withdrawn, live}, {withdrawn, live, live}} {
		c := mustApply(t, mustApply(t, NewConfig(), org...), order...)
		_, ok := c.Authorised(HashSecret("secret"))
		require.False(t, ok)
		require.Len(t, c.Check(), 1)
		removed := mustApply(t, c, Envelope{Schema: 2, Kind: KindKey, Name: "b", Deleted: true})
		_, ok = removed.Authorised(HashSecret("secret"))
		require.True(t, ok)
	}
}

func TestRoute_LongestPrefix(t *testing.T) {
	c := newSmallConfig(t)
	for path, want := range map[string]string{"/s": "s", "/s/x": "s", "/s/t": "st", "/s/t/x": "st", "/s/tx": "s", "/sx": ""} {
		r, ok := c.Route(path)
		require.Equal(t, want != "", ok, path)
		if ok {
			require.Equal(t, want, r.Name, path)
		}
	}
}

func TestCheck_MissingReferences(t *testing.T) {
	c := newSmallConfig(t)
	require.Empty(t, c.Check())
	for _, tc := range []struct {
		change Envelope
		want   string
	}{
		{keyEnvelope("x", "east", "s", false), `record key/x: field organisation: want a record that exists, not "east"`},
		{envelope(2, KindRate, "east", `{"tokens_per_second": 1, "burst_tokens": 1}`), "record rate/east: field organisation"},
		{envelope(2, KindAdapter, "b", `{"organisation": "east", "model": "m"}`), "record adapter/b: field organisation"},
		{envelope(2, KindAdapter, "b", `{"organisation": "north", "model": "n"}`), "record adapter/b: field model"},
		{envelope(2, KindAdapter, "a", `{"organisation": "north", "model": "m", "default_version": "9"}`), `field version: want a record that exists, not "a@9"`},
		{envelope(2, KindVersion, "b@1", `{}`), "record version/b@1: field adapter"},
		{envelope(2, KindUpstream, "e", `{"class": "engine", "url": "http://10.0.0.1:1", "model": "n"}`), "record upstream/e: field model"},
	} {
		problems := mustApply(t, c, tc.change).Check()
		require.Len(t, problems, 1, tc.want)
		require.ErrorContains(t, problems[0], tc.want)
	}
}

func TestApply_InvalidRecordSkipped(t *testing.T) {
	c, problems := newSmallConfig(t).Apply(2, []Envelope{envelope(9, KindModel, "x", `{}`), envelope(2, KindModel, "y", `{}`)})
	require.Len(t, problems, 1)
	_, ok := c.Model("y")
	require.True(t, ok)
}

// The design scale.
const (
	designScaleAdapters      = 110_000
	designScaleOrganisations = 5_000
	controlMemoryBytes       = 64 << 20
	// maxConfigBytes is half of the memory that a host has for control state, halved again because the
	// garbage collector lets the heap grow to twice the live size.
	maxConfigBytes  = controlMemoryBytes / 2 / 2
	recordsPerApply = 1000
)

// designScaleConfig returns a configuration of the design scale.
func designScaleConfig(t testing.TB) *Config {
	var records []Envelope
	add := func(kind Kind, name, format string, args ...any) {
		records = append(records, envelope(2, kind, name, fmt.Sprintf(format, args...)))
	}
	for m := range 5 {
		add(KindModel, fmt.Sprintf("model-%d", m), `{"max_context_tokens": 8192}`)
	}
	for o := range designScaleOrganisations {
		org := fmt.Sprintf("organisation-%04d", o)
		add(KindOrganisation, org, `{"display_name": "Organisation %d"}`, o)
		add(KindRate, org, `{"tokens_per_second": 1000, "burst_tokens": 10000}`)
		records = append(records, keyEnvelope(org+"-main", org, org, false))
	}
	c := NewConfig()
	for a := range designScaleAdapters {
		name := fmt.Sprintf("customer-adapter-%06d", a)
		add(KindAdapter, name, `{"organisation": "organisation-%04d", "model": "model-%d", "default_version": "2026-01-15"}`, a%designScaleOrganisations, a%5)
		add(KindVersion, name+"@2026-01-15", `{"source": "weights/%s/2026-01-15"}`, name)
		if len(records) >= recordsPerApply {
			c = mustApply(t, c, records...)
			records = nil
		}
	}
	return mustApply(t, c, records...)
}

func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A change must not copy the whole configuration: it allocates less than a hundredth of maxConfigBytes
// and so costs less than a hundredth of building the configuration.
func TestConfig_MemoryAtDesignScale(t *testing.T) {
	before := liveHeapBytes()
	c := designScaleConfig(t)
	used := liveHeapBytes() - before
	t.Logf("%d adapters with a version each, %d organisations: %d bytes, %d for each adapter", designScaleAdapters, designScaleOrganisations, used, used/designScaleAdapters)
	require.Less(t, used, uint64(maxConfigBytes))
	require.Equal(t, designScaleAdapters, c.AdapterCount())

	const changes = 100
	var memBefore, memAfter runtime.MemStats
	runtime.ReadMemStats(&memBefore)
	for i := range changes {
		c = mustApply(t, c, adapterChange(i))
	}
	runtime.ReadMemStats(&memAfter)
	perChange := (memAfter.TotalAlloc - memBefore.TotalAlloc) / changes
	t.Logf("%d bytes allocated for each change", perChange)
	require.Less(t, perChange, uint64(maxConfigBytes/100))
}

func adapterChange(i int) Envelope {
	return envelope(2, KindAdapter, fmt.Sprintf("customer-adapter-%06d", i%designScaleAdapters), `{"organisation": "organisation-0001", "model": "model-1"}`)
}

func BenchmarkChange(b *testing.B) {
	c := designScaleConfig(b)
	for _, bc := range []struct {
		name   string
		change func(i int) Envelope
	}{
		{"adapter", adapterChange},
		{"key", func(i int) Envelope {
			return keyEnvelope(fmt.Sprintf("key-%d", i), "organisation-0001", fmt.Sprint(i), false)
		}},
		{"rate", func(i int) Envelope {
			return envelope(2, KindRate, fmt.Sprintf("organisation-%04d", i%designScaleOrganisations), `{"tokens_per_second": 2, "burst_tokens": 5}`)
		}},
	} {
		b.Run(bc.name, func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				mustApply(b, c, bc.change(i))
				i++
			}
		})
	}
}

func BenchmarkResolve(b *testing.B) {
	c := designScaleConfig(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := c.Resolve("customer-adapter-054321"); !ok {
			b.Fatal("not found")
		}
	}
}

func BenchmarkUsableBy(b *testing.B) {
	c := designScaleConfig(b)
	b.ReportAllocs()
	for b.Loop() {
		count := 0
		for range c.UsableBy("organisation-0001") {
			count++
		}
		if count != designScaleAdapters/designScaleOrganisations {
			b.Fatal(count)
		}
	}
}

func BenchmarkCheck(b *testing.B) {
	c := designScaleConfig(b)
	b.ReportAllocs()
	for b.Loop() {
		if problems := c.Check(); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}

func BenchmarkBuild(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		designScaleConfig(b)
	}
}

func TestValidateName_NewSecret(t *testing.T) {
	for name, ok := range map[string]bool{"a": true, "a-1.b_c": true, "": false, "A": false, "-a": false, "a-": false, "a@1": false, strings.Repeat("a", 129): false} {
		require.Equal(t, ok, ValidateName(name) == nil, name)
	}
	secret := NewSecret()
	require.True(t, strings.HasPrefix(secret, SecretPrefix))
	require.NotEqual(t, secret, NewSecret())
	raw, err := json.Marshal(HashSecret(secret).String())
	require.NoError(t, err)
	require.NotContains(t, string(raw), secret)
}
