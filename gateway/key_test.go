package gateway_test

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// spellings returns the encodings in which a caller can write its key.
func spellings(key string) map[string]string {
	var percent, escape strings.Builder
	for _, c := range []byte(key) {
		fmt.Fprintf(&percent, "%%%02x", c)
		fmt.Fprintf(&escape, `\u%04X`, c)
	}
	return map[string]string{
		"plain":        key,
		"percent":      percent.String(),
		"part percent": "%6A" + key[1:],
		"json escape":  escape.String(),
		"basic":        base64.StdEncoding.EncodeToString([]byte("user:" + key)),
		"base64 0":     base64.URLEncoding.EncodeToString([]byte(key + ":")),
		"base64 1":     base64.StdEncoding.EncodeToString([]byte("a" + key)),
		"base64 2":     base64.StdEncoding.EncodeToString([]byte("ab" + key + "tail")),
	}
}

// holdsKey reports whether text contains alice's key in any encoding, or after
// percent-decoding or JSON-decoding.
func holdsKey(text string) bool {
	if decoded, err := url.QueryUnescape(text); err == nil && strings.Contains(decoded, aliceKey) {
		return true
	}
	var decoded string
	if json.Unmarshal([]byte(`"`+strings.ReplaceAll(text, `"`, `\"`)+`"`), &decoded) == nil && strings.Contains(decoded, aliceKey) {
		return true
	}
	for _, s := range spellings(aliceKey) {
		if strings.Contains(text, strings.TrimRight(s, "=")) {
			return true
		}
	}
	return false
}

func TestHoldsKeyFindsEverySpelling(t *testing.T) {
	for name, s := range spellings(aliceKey) {
		require.True(t, holdsKey(`{"a":"`+s+`"}`), name)
	}
	require.False(t, holdsKey(`{"a":"[redacted]"}`))
}

func TestNoUpstreamAndNoLogSeesAKey(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	for name, s := range spellings(aliceKey) {
		sendKeyEverywhere(f, s)
		// In base64 only keys that the request presents are found, and this request
		// presents none.
		if !strings.HasPrefix(name, "bas") {
			r, err := f.do(http.MethodPost, f.url(0)+"/open/"+url.PathEscape(s)+"?key="+s, s, http.Header{"X-Custom": {s}})
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.status)
		}
	}
	require.Greater(t, len(f.service.Executions()), len(spellings(aliceKey)))
	for _, c := range f.service.Executions() {
		requireNoKey(t, c.URL, c.Body, c.Header)
	}
	require.NotEmpty(t, f.engines[0].Executions())
	for _, c := range f.engines[0].Executions() {
		requireNoKey(t, c.URL, c.Body, c.Header)
	}
	require.False(t, holdsKey(f.log.String()), "the log contains the key")
}

// sendKeyEverywhere sends requests with one encoding of the key in every place: header, path,
// query, body and fields.
func sendKeyEverywhere(f *fleet, s string) {
	headers := http.Header{"X-Api-Key": {aliceKey}}
	for _, name := range []string{
		"X-Request-Id", "Idempotency-Key", "X-Custom", "Accept", "Accept-Language", "If-None-Match",
		"Content-Type", "Cookie", "Referer", "Proxy-Authorization", "X-Request-Priority", "X-Attempt-Id",
	} {
		headers[name] = []string{s}
	}
	query := "?key=" + url.QueryEscape(s) + "&" + url.QueryEscape(s) + "=1"
	path := "/" + url.PathEscape(s) + query
	for _, route := range []string{"/orders", "/stock", "/open", "/nowhere"} {
		for _, body := range []string{s, "a=1&key=" + url.QueryEscape(s), `{"key":"` + s + `"}`} {
			f.must(http.MethodPost, route+path, body, headers)
		}
	}
	if strings.Contains(s, "%") {
		f.must(http.MethodGet, "/open/"+s+"?"+s, "", headers)
	}
	chat := `{"model":"alice-menu","user":"` + s + `","messages":[{"role":"user","content":"` + s + `"}],"metadata":{"` + s + `":1}}`
	require.Equal(f.t, http.StatusOK, f.must(http.MethodPost, "/v1/chat/completions"+query, chat, headers).status)
	f.must(http.MethodPost, "/v1/chat/completions", `{"model":"`+s+`","messages":[]}`, headers)
	f.must(http.MethodGet, "/v1/models"+query, "", headers)
	f.must(http.MethodGet, "/v1/locate?model="+url.QueryEscape(s), "", headers)
}

func requireNoKey(t *testing.T, callURL, body string, h http.Header) {
	t.Helper()
	header, err := json.Marshal(h)
	require.NoError(t, err)
	for _, text := range []string{callURL, body, string(header)} {
		require.False(t, holdsKey(text), "an upstream received the key: %s", text)
	}
}
