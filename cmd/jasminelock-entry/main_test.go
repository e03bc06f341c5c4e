package main

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/settings"
)

const validSettings = `{
  // an entry host
  "host": "a1", "zone": "a", "store": "127.0.0.1:1", "memory_mb": 284, "cores": 0.4, "grace": "8s",
  "listen": {"callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "directory": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "fleet": {"retry_ratio": 0.2, "retry_slack": 54, "rate_window": "8s", "holder_pause": "3s", "config_within": "2s", "drain_within": "2s", "answer_life": "5s"},
}`

func checkSettings(t *testing.T, text string) (string, int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	var out bytes.Buffer
	code := run([]string{"--config", path, "--check"}, nil, &out, &out)
	return out.String(), code
}

func TestRun_ChecksSettings(t *testing.T) {
	out, code := checkSettings(t, validSettings)
	require.Equal(t, "settings are valid\n", out)
	require.Zero(t, code)
	out, code = checkSettings(t, "{\n\"hots\": \"a1\"\n}")
	require.Equal(t, settings.ExitSettings, code)
	require.Contains(t, out, ":2: field hots: unknown field, did you mean host?")
	out, code = checkSettings(t, "{}")
	require.Equal(t, settings.ExitSettings, code)
	for _, field := range []string{"listen.callers", "store", "memory_mb", "grace", "fleet.rate_window", "cores"} {
		require.Contains(t, out, "field "+field+":")
	}
}

func TestRun_ListenFails(t *testing.T) {
	var out bytes.Buffer
	path := filepath.Join(t.TempDir(), "host.jsonc")
	text := bytes.Replace([]byte(validSettings), []byte(`"peers": "127.0.0.1:0"`), []byte(`"peers": "192.0.2.1:1"`), 1)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	code := run([]string{"--config", path}, make(chan os.Signal), &out, &out)
	require.Equal(t, settings.ExitFailed, code)
	require.Contains(t, out.String(), "listen.peers")
}

func TestRun_SIGTERM(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.jsonc")
	text := bytes.Replace([]byte(validSettings), []byte(`"8s",
  "listen"`), []byte(`"1s",
  "listen"`), 1)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	var out bytes.Buffer
	require.Zero(t, run([]string{"--config", path}, signals, &out, &out))
}
