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

// encodings returns the encodings in which a caller can write its key.
func encodings(key string) map[string]string {
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

// containsKey reports whether text contains alice's key in any encoding, or after
// percent-decoding or JSON-decoding.
func containsKey(text string) bool {
	if decoded, err := url.QueryUnescape(text); err == nil && strings.Contains(decoded, aliceKey) {
		return true
	}
	var decoded string
	if json.Unmarshal([]byte(`"`+strings.ReplaceAll(text, `"`, `\"`)+`"`), &decoded) == nil && strings.Contains(decoded, aliceKey) {
		return true
	}
	for _, encoded := range encodings(aliceKey) {
		if strings.Contains(text, strings.TrimRight(encoded, "=")) {
			return true
		}
	}
	return false
}

func TestContainsKey_FindsEveryEncoding(t *testing.T) {
	for name, encoded := range encodings(aliceKey) {
		require.True(t, containsKey(`{"a":"`+encoded+`"}`), name)
	}
	require.False(t, containsKey(`{"a":"[redacted]"}`))
}

func TestKeys_NotForwardedOrLogged(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	for name, encoded := range encodings(aliceKey) {
		sendKeyEverywhere(f, encoded)
		// In base64 only keys that the request presents are found, and this request
		// presents none.
		if !strings.HasPrefix(name, "bas") {
			r, err := f.do(http.MethodPost, f.url(0)+"/open/"+url.PathEscape(encoded)+"?key="+encoded, encoded, http.Header{"X-Custom": {encoded}})
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.status)
		}
	}
	require.Greater(t, len(f.service.Executions()), len(encodings(aliceKey)))
	for _, c := range f.service.Executions() {
		requireNoKey(t, c.URL, c.Body, c.Header)
	}
	require.NotEmpty(t, f.engines[0].Executions())
	for _, c := range f.engines[0].Executions() {
		requireNoKey(t, c.URL, c.Body, c.Header)
	}
	require.False(t, containsKey(f.log.String()), "the log contains the key")
}

// sendKeyEverywhere sends requests with one encoding of the key in every place: header, path,
// query, body and fields.
func sendKeyEverywhere(f *fleet, encoded string) {
	headers := http.Header{"X-Api-Key": {aliceKey}}
	for _, name := range []string{
		"X-Request-Id", "Idempotency-Key", "X-Custom", "Accept", "Accept-Language", "If-None-Match",
		"Content-Type", "Cookie", "Referer", "Proxy-Authorization", "X-Request-Priority", "X-Attempt-Id",
	} {
		headers[name] = []string{encoded}
	}
	query := "?key=" + url.QueryEscape(encoded) + "&" + url.QueryEscape(encoded) + "=1"
	path := "/" + url.PathEscape(encoded) + query
	for _, route := range []string{"/orders", "/stock", "/open", "/nowhere"} {
		for _, body := range []string{encoded, "a=1&key=" + url.QueryEscape(encoded), `{"key":"` + encoded + `"}`} {
			f.mustDo(http.MethodPost, route+path, body, headers)
		}
	}
	if strings.Contains(encoded, "%") {
		f.mustDo(http.MethodGet, "/open/"+encoded+"?"+encoded, "", headers)
	}
	chat := `{"model":"alice-menu","user":"` + encoded + `","messages":[{"role":"user","content":"` + encoded + `"}],"metadata":{"` + encoded + `":1}}`
	require.Equal(f.t, http.StatusOK, f.mustDo(http.MethodPost, "/v1/chat/completions"+query, chat, headers).status)
	f.mustDo(http.MethodPost, "/v1/chat/completions", `{"model":"`+encoded+`","messages":[]}`, headers)
	f.mustDo(http.MethodGet, "/v1/models"+query, "", headers)
	f.mustDo(http.MethodGet, "/v1/locate?model="+url.QueryEscape(encoded), "", headers)
}

func requireNoKey(t *testing.T, callURL, body string, h http.Header) {
	t.Helper()
	header, err := json.Marshal(h)
	require.NoError(t, err)
	for _, text := range []string{callURL, body, string(header)} {
		require.False(t, containsKey(text), "an upstream received the key: %s", text)
	}
}
