package configcheck_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/configcheck"
	"github.com/jasminelock/jasminelock/record"
)

const hash = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

// sound returns the spec of each record of a configuration without findings, by the record's kind and name.
func sound() map[string]string {
	return map[string]string{
		"organisation/acme": `{}`,
		"key/acme-1":        `{"organisation":"acme","hash":"` + hash + `"}`,
		"rate/acme":         `{"tokens_per_second":10,"burst_tokens":100}`,
		"model/base":        `{}`,
		"adapter/a":         `{"organisation":"acme","model":"base","default_version":"1"}`,
		"version/a@1":       `{}`,
		"route/stock":       `{"prefix":"/stock","pool":"stock","cost_tokens":10,"timeout":"30s"}`,
		"upstream/s-1":      `{"class":"service","url":"http://10.0.0.1:80","pool":"stock"}`,
		"upstream/e-1":      `{"class":"engine","url":"http://10.0.0.2:80","model":"base"}`,
	}
}

// file returns the records as a file with a comment on the first line, and one record on each line. They are in the order of
// their kinds, those of one kind in no particular order.
func file(records map[string]string) string {
	var lines []string
	for _, kind := range record.Kinds() {
		for name, spec := range records {
			if k, n, _ := strings.Cut(name, "/"); k == string(kind) {
				lines = append(lines, fmt.Sprintf(`{"schema":2,"kind":%q,"name":%q,"spec":%s}`, k, n, spec))
			}
		}
	}
	return "// records\n[\n" + strings.Join(lines, ",\n") + "\n]"
}

func checkRecords(t *testing.T, text string, base []record.Envelope, limits configcheck.Limits) []configcheck.Finding {
	t.Helper()
	doc, err := configcheck.Parse("f", []byte(text))
	require.NoError(t, err)
	configcheck.CheckRecords(doc, base, limits)
	return doc.Findings
}

// Guards against findings in a sound configuration, and against each kind of finding that is missed or reported elsewhere. Each
// case changes one record of the sound configuration.
func TestCheckRecords(t *testing.T) {
	limits := configcheck.Limits{Grace: time.Minute}
	require.Empty(t, checkRecords(t, file(sound()), nil, limits))
	for name, c := range map[string]struct {
		record, spec string
		rule         configcheck.Rule
		field        string
		message      string
	}{
		"wrong type":           {"rate/acme", `{"tokens_per_second":"10","burst_tokens":100}`, configcheck.Invalid, "spec.tokens_per_second", "number without quotes"},
		"unknown field":        {"rate/acme", `{"tokens_per_second":10,"burst_tokens":100,"bursts":1}`, configcheck.UnknownField, "spec", "spec.bursts"},
		"key of nobody":        {"key/other", `{"organisation":"nobody","hash":"` + strings.Repeat("1", 64) + `"}`, configcheck.MissingReference, "organisation", `"nobody"`},
		"key of the same hash": {"key/other", `{"organisation":"acme","hash":"` + hash + `"}`, configcheck.Invalid, "spec.hash", "record key/acme-1, at ["},
		"adapter of no model":  {"adapter/a", `{"organisation":"acme","model":"none","default_version":"1"}`, configcheck.MissingReference, "model", `"none"`},
		"adapter, no version":  {"adapter/b", `{"organisation":"acme","model":"base"}`, configcheck.NeverUsed, "name", "no version"},
		"shadowed route":       {"route/zz", `{"prefix":"/stock/","pool":"stock"}`, configcheck.NeverUsed, "spec.prefix", "takes all requests"},
		"route without pool":   {"route/zz", `{"prefix":"/other","pool":"none"}`, configcheck.NeverUsed, "spec.pool", `"none"`},
		"pool without route":   {"upstream/s-2", `{"class":"service","url":"http://10.0.0.1:80","pool":"none"}`, configcheck.NeverUsed, "spec.pool", `"none"`},
		"timeout over grace":   {"route/stock", `{"prefix":"/stock","pool":"stock","timeout":"61s"}`, configcheck.Contradiction, "spec.timeout", "1m1s"},
		"burst under cost":     {"rate/acme", `{"tokens_per_second":10,"burst_tokens":9}`, configcheck.Contradiction, "spec.burst_tokens", "route stock"},
	} {
		t.Run(name, func(t *testing.T) {
			records := sound()
			records[c.record] = c.spec
			text := file(records)
			findings := checkRecords(t, text, nil, limits)
			require.NotEmpty(t, findings)
			line := 1
			for _, l := range strings.Split(text, "\n") {
				kind, n, _ := strings.Cut(c.record, "/")
				if strings.Contains(l, fmt.Sprintf(`"kind":%q,"name":%q`, kind, n)) {
					break
				}
				line++
			}
			matches := 0
			for _, f := range findings {
				if f.Rule == c.rule && f.Line == line && strings.HasSuffix(f.Field, "]."+c.field) && strings.Contains(f.Message, c.message) {
					matches++
				}
			}
			require.Equal(t, 1, matches, "line %d: %v", line, findings)
		})
	}
}

// Guards against keys of an organisation that may spend nothing, records that come twice, and values of another form.
func TestCheckRecords_Others(t *testing.T) {
	records := sound()
	delete(records, "rate/acme")
	findings := checkRecords(t, file(records), nil, configcheck.Limits{})
	require.Len(t, findings, 1)
	require.Equal(t, configcheck.NeverUsed, findings[0].Rule)
	require.Contains(t, findings[0].Message, "no rate")

	text := strings.Replace(file(sound()), "\n]", ",\n"+`{"schema":2,"kind":"model","name":"base","spec":{}}`+"\n]", 1)
	findings = checkRecords(t, text, nil, configcheck.Limits{})
	require.Len(t, findings, 1)
	require.Contains(t, findings[0].Message, "twice")

	findings = checkRecords(t, "[\n1,\n{\"schema\":2,\"kind\":\"model\",\"name\":\"b\",\"spec\":{},\"specs\":1}]", nil, configcheck.Limits{})
	require.Equal(t, 2, findings[0].Line)
	require.Equal(t, configcheck.UnknownField, findings[len(findings)-1].Rule)
}

// Guards against findings for records in force that a change leaves as they are, and against a reference or a key's rate that a
// change takes away without a finding.
func TestCheckRecords_AgainstThoseInForce(t *testing.T) {
	var base []record.Envelope
	whole := strings.TrimPrefix(file(sound()), "// records\n")
	require.NoError(t, json.Unmarshal([]byte(whole), &base))
	base = append(base, record.Envelope{Schema: 2, Kind: record.KindRoute, Name: "old", Spec: json.RawMessage(`{"prefix":"/old","pool":"gone"}`)})
	change := `[{"schema":2,"kind":"route","name":"stock","spec":{"prefix":"/stock","pool":"stock","cost_tokens":10,"timeout":"20s"}}]`
	require.Empty(t, checkRecords(t, change, base, configcheck.Limits{}))

	findings := checkRecords(t, `[{"schema":2,"kind":"organisation","name":"acme","deleted":true}]`, base, configcheck.Limits{})
	require.Len(t, findings, 3, "the key, the rate and the adapter refer to it")
	for _, f := range findings {
		require.Equal(t, configcheck.MissingReference, f.Rule)
		require.Zero(t, f.Line)
	}

	findings = checkRecords(t, `[{"schema":2,"kind":"rate","name":"acme","deleted":true}]`, base, configcheck.Limits{})
	require.Len(t, findings, 1, "the key's requests are refused without the rate")
	require.Equal(t, configcheck.NeverUsed, findings[0].Rule)
	require.Equal(t, "key/acme-1.spec.organisation", findings[0].Field)
	require.Zero(t, findings[0].Line)
	require.Contains(t, findings[0].Message, "request_over_burst")
	for _, refused := range []string{
		`{"schema":2,"kind":"key","name":"acme-1","spec":{"organisation":"acme","hash":"` + hash + `","withdrawn":true}}`,
		`{"schema":2,"kind":"organisation","name":"acme","spec":{"suspended":true}}`,
	} {
		require.Empty(t, checkRecords(t, `[{"schema":2,"kind":"rate","name":"acme","deleted":true},`+refused+`]`, base, configcheck.Limits{}))
	}

	doc, err := configcheck.Parse("f", []byte(change))
	require.NoError(t, err)
	changes, err := configcheck.Compare(base, configcheck.CheckRecords(doc, base, configcheck.Limits{}))
	require.NoError(t, err)
	require.Equal(t, []configcheck.Change{{Item: "route/stock", Action: "change", Field: "spec.timeout", Before: `"30s"`, After: `"20s"`}}, changes)
	require.Equal(t, `~ route/stock: spec.timeout: "30s" -> "20s"`, changes[0].String())
}

// Guards against a secret of two keys that is reported as a missing reference, or without both of the places.
func TestCheckRecords_SecretOfTwoKeys(t *testing.T) {
	key := func(name, more string) string {
		return `{"schema":2,"kind":"key","name":"` + name + `","spec":{"organisation":"acme","hash":"` + hash + `"` + more + `}}`
	}
	var base []record.Envelope
	whole := strings.TrimPrefix(file(sound()), "// records\n")
	require.NoError(t, json.Unmarshal([]byte(whole), &base))
	for name, c := range map[string]struct {
		file    string
		inForce []record.Envelope
		line    int
		field   string
		message string
	}{
		"both in the file": {
			strings.Replace(whole, "\n]", ",\n"+key("zz", "")+"\n]", 1), nil, 11, "[9].spec.hash",
			"record key/zz: hosts take the secret for that of record key/acme-1, at [1].spec.hash in line 3",
		},
		"the other in force": {
			"[\n" + key("zz", "") + "]", base, 2, "[0].spec.hash",
			"record key/zz: hosts take the secret for that of record key/acme-1, which is in force",
		},
		"withdrawn, takes precedence": {
			"[\n" + key("zz", `,"withdrawn":true`) + "]", base, 0, "key/acme-1.spec.hash",
			"record key/acme-1: hosts take the secret for that of record key/zz, at [0].spec.hash in line 2",
		},
	} {
		t.Run(name, func(t *testing.T) {
			findings := checkRecords(t, c.file, c.inForce, configcheck.Limits{})
			require.Equal(t, []configcheck.Finding{{File: "f", Line: c.line, Field: c.field, Rule: configcheck.Invalid, Message: c.message}}, findings)
		})
	}
}

// Guards against a file that makes the check panic.
func FuzzCheckRecords(f *testing.F) {
	f.Add(file(sound()), "[]")
	f.Add(`[null,{},{"schema":2,"kind":"version","name":"a@1","spec":null},{"schema":1,"kind":"route","name":"r","spec":{"prefix":""}}]`, file(sound()))
	f.Fuzz(func(_ *testing.T, text, base string) {
		doc, err := configcheck.Parse("f", []byte(text))
		if err != nil {
			return
		}
		inForce, err := configcheck.Parse("g", []byte(base))
		if err != nil {
			return
		}
		var records []record.Envelope
		inForce.Decode(&records)
		valid := configcheck.CheckRecords(doc, records, configcheck.Limits{Grace: time.Second})
		_, _ = configcheck.Compare(records, valid) // an invalid record in force is an error
	})
}
