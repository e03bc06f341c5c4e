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
  "host": "a1", "zone": "a",
  "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
  "platform": {"url": "http://127.0.0.1:1"},
  "fleet": {"hosts": 7},
  "log": {"level": "error"},
}`

func TestRun_ChecksSettings(t *testing.T) {
	for name, tc := range map[string]struct {
		text, want string
		code       int
	}{
		"valid":         {validSettings, "settings are valid\n", 0},
		"unknown field": {"{\n\"hots\": \"a1\"\n}", ":2: field hots: unknown field, did you mean host?\n", settings.ExitSettings},
		"empty":         {"{}", ":1: field listen.callers: want ip:port", settings.ExitSettings},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "host.jsonc")
			require.NoError(t, os.WriteFile(path, []byte(tc.text), 0o600))
			var out bytes.Buffer
			require.Equal(t, tc.code, run([]string{"--config", path, "--check"}, nil, &out, &out))
			require.Contains(t, out.String(), tc.want)
		})
	}
	var out bytes.Buffer
	require.Equal(t, settings.ExitSettings, run([]string{"--config", filepath.Join(t.TempDir(), "none")}, nil, &out, &out))
}

func TestRun_SecondSignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(validSettings), 0o600))
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	var out bytes.Buffer
	require.Zero(t, run([]string{"--config", path}, signals, &out, &out), out.String())
}
