package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/intake"
)

const validSettings = `{
  // a host
  "host": "a1",
  "zone": "a",
  "listen": {
    "callers": "127.0.0.1:8100",
    "operators": "127.0.0.1:8101",
  },
  "platform": {"url": "http://127.0.0.1:9000", "timeout": "1s"},
  "fleet": {"hosts": 7},
}`

func TestParse_SetsDefaults(t *testing.T) {
	s, err := Parse("host.jsonc", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, Duration(time.Second), s.Platform.Timeout)
	require.Equal(t, Duration(500*time.Millisecond), s.Platform.PollInterval)
	require.Equal(t, "info", s.Log.Level)
}

func TestParse_ProblemText(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown field", `"zone": "a"`, `"zone": "a", "zome": "b"`, `host.jsonc:4: field zome: unknown field, did you mean zone?`},
		{"unknown inner field", `"timeout": "1s"`, `"time_out": "1s"`, `host.jsonc:9: field platform.time_out: unknown field, did you mean timeout?`},
		{"wrong type", `"hosts": 7`, `"hosts": "7"`, `host.jsonc:10: field fleet.hosts: want a whole number without quotes`},
		{"number as text", `"host": "a1"`, `"host": 1`, `host.jsonc:3: field host: want text in quotes`},
		{"number as object", `{"hosts": 7}`, `7`, `host.jsonc:10: field fleet: want an object in braces`},
		{"number as duration", `"timeout": "1s"`, `"timeout": 1`, `host.jsonc:9: field platform.timeout: want a duration in quotes with its unit, such as "2s"`},
		{"wrong unit", `"timeout": "1s"`, `"timeout": "1 second"`, `host.jsonc:9: field platform.timeout: want a duration above 0 with its unit, such as "2s", not "1 second"`},
		{"set twice", `"zone": "a"`, `"zone": "a", "zone": "a"`, `host.jsonc:4: field zone: the field is set twice`},
		{"missing address", `"callers": "127.0.0.1:8100",`, ``, `host.jsonc:5: field listen.callers: want ip:port, such as 127.0.0.1:8100, not ""`},
		{"host name in place of an IP address", `127.0.0.1:8100`, `localhost:8100`, `host.jsonc:6: field listen.callers: want ip:port, such as 127.0.0.1:8100, not "localhost:8100"`},
		{"missing section", `"fleet": {"hosts": 7},`, ``, `host.jsonc:1: field fleet.hosts: want the number of hosts, 1 or more`},
		{"wildcard listen address", `127.0.0.1:8100`, `0.0.0.0:8100`, `host.jsonc:1: field advertise.callers: want the address announced to others, since 0.0.0.0:8100 is a wildcard address`},
		{"peers without tls", `"callers":`, `"peers": "10.0.0.1:8102", "callers":`, `host.jsonc:6: field listen.peers: want a loopback address such as 127.0.0.1:8102, or tls`},
		{"incomplete tls", `"fleet"`, `"tls": {"cert": "c.pem", "key": "k.pem"}, "fleet"`, `host.jsonc:10: field tls.ca: want the certificate authority's file, since tls is set`},
		{"unknown log level", `"fleet"`, `"log": {"level": "loud"}, "fleet"`, `host.jsonc:10: field log.level: want one of [trace debug info warn error], not "loud"`},
		{"drain too short", `"fleet"`, `"drain": {"timeout": "2m"}, "fleet"`, `host.jsonc:10: field drain.timeout: want 2m20s or more, the sum of drain.locate_wait and requests.timeout, or requests would be interrupted`},
		{"not JSON", `"zone": "a",`, `"zone" "a",`, `host.jsonc:4: not JSON with comments: `},
	} {
		t.Run(tc.name, func(t *testing.T) {
			changed := strings.Replace(validSettings, tc.old, tc.new, 1)
			require.NotEqual(t, validSettings, changed)
			_, err := Parse("host.jsonc", []byte(changed))
			require.ErrorContains(t, err, tc.want)
			require.NotContains(t, err.Error(), "\n", "want one problem")
		})
	}
}

func TestParse_ReportsAllProblems(t *testing.T) {
	_, err := Parse("host.jsonc", []byte(`{"hosst": 1, "zone": 2, "platform": {"timeout": 3}}`))
	var problems Problems
	require.True(t, errors.As(err, &problems))
	require.Len(t, problems, 3)
}

// Shares that are missing must get defaults, also in settings that were not read from a file, or callers would get nothing; a
// share that is none must be refused.
func TestCallers_Shares(t *testing.T) {
	require.Equal(t, intake.DefaultShares(), Callers{}.Shares())
	require.Equal(t, 0.4, Callers{MemoryShare: 0.4}.Shares().Memory)
	var entry Entry
	entry.Callers = Callers{MemoryShare: 1.5, ConnectionShare: 0.5, KeyShare: -1, DescriptorShare: 0.5}
	entry.Descriptors = -1
	text := entry.Validate().Error()
	for _, field := range []string{"callers.memory_share", "callers.key_share", "descriptors"} {
		require.Contains(t, text, field)
	}
	require.NotContains(t, text, "callers.connection_share")
}
