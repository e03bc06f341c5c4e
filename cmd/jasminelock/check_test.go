package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/configcheck"
)

// runCheck runs the check command and returns its exit code and what it wrote.
func runCheck(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code = run(t.Context(), append([]string{"check"}, args...), &out, &errOut)
	return code, out.String(), errOut.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "f.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const (
	soundPlatform = `{"version":2,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe","timeout_ms":9000,"service":"app"}],"services":[{"name":"app"}]}`
	soundRecords  = `[ // one record
{"schema":2,"kind":"model","name":"base","spec":{"max_context_tokens":100}}]`
	entrySettings = `{"host":"h","zone":"z","store":"127.0.0.1:1","memory_mb":100,"cores":1,"grace":"8s",
"listen":{"callers":"127.0.0.1:2","readiness":"127.0.0.1:3","directory":"127.0.0.1:4","peers":"127.0.0.1:5"},
"fleet":{"retry_ratio":0.2,"retry_slack":50,"rate_window":"8s","answer_life":"1s"}}`
	hostSettings = `{"host":"h","zone":"z","listen":{"callers":"127.0.0.1:2","operators":"127.0.0.1:3"},
"platform":{"url":"http://127.0.0.1:1"},"fleet":{"hosts":1},"requests":{"timeout":"10s"},"drain":{"timeout":"40s","locate_wait":"20s"}}`
)

// Guards against exit codes that scripts misread.
func TestCheck_ExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		code int
	}{
		"platform":              {[]string{writeFile(t, soundPlatform)}, 0},
		"records":               {[]string{writeFile(t, soundRecords)}, 0},
		"finding":               {[]string{writeFile(t, `[{"schema":3,"kind":"model","name":"base","spec":{}}]`)}, 1},
		"platform, finding":     {[]string{writeFile(t, `{"services":[{"name":"unused"}]}`)}, 1},
		"missing file":          {[]string{filepath.Join(t.TempDir(), "none")}, 2},
		"no JSON":               {[]string{writeFile(t, `{"routes":`)}, 2},
		"platform, comments":    {[]string{writeFile(t, "// no\n"+soundPlatform)}, 2},
		"no file":               {nil, 2},
		"unknown flag":          {[]string{"--nothing", "x"}, 2},
		"against, missing":      {[]string{writeFile(t, soundPlatform), "--against", filepath.Join(t.TempDir(), "none")}, 2},
		"against, other format": {[]string{writeFile(t, soundPlatform), "--against", writeFile(t, soundRecords)}, 2},
		"against, only changes": {[]string{writeFile(t, soundPlatform), "--against", writeFile(t, `{"version":1}`)}, 0},
		"settings, invalid":     {[]string{writeFile(t, soundPlatform), "--settings", writeFile(t, `{}`)}, 2},
		"settings, finding":     {[]string{writeFile(t, soundPlatform), "--settings", writeFile(t, entrySettings)}, 1},
		"output":                {[]string{writeFile(t, soundPlatform), "--output", "xml"}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := runCheck(t, c.args...)
			require.Equal(t, c.code, code, "%s%s", stdout, stderr)
			require.Equal(t, c.code == 0, stderr == "", stderr)
		})
	}
}

// Guards against a text that names no line or field, and a JSON output that scripts cannot read.
func TestCheck_Output(t *testing.T) {
	const routes = `[
{"schema":2,"kind":"upstream","name":"s","spec":{"class":"service","url":"http://10.0.0.1:1","pool":"p"}},
{"schema":2,"kind":"route","name":"r","spec":{"prefix":"/r","pool":"p","timeout":"21s"}}]`
	file := writeFile(t, routes)
	code, stdout, _ := runCheck(t, file, "--settings", writeFile(t, hostSettings), "--against", writeFile(t, `[]`))
	require.Equal(t, 1, code)
	require.Equal(t, file+":3: [1].spec.timeout: record route/r: the timeout 21s is longer than the 20s in which a host that stops must answer (contradiction)\n"+
		"+ route/r\n+ upstream/s\n", stdout)

	code, stdout, _ = runCheck(t, file, "--settings", writeFile(t, hostSettings), "--against", writeFile(t, `[]`), "--output", "json")
	require.Equal(t, 1, code)
	var result checkResult
	require.NoError(t, json.Unmarshal([]byte(stdout), &result))
	require.Equal(t, "records", result.Format)
	require.Len(t, result.Findings, 1)
	require.Equal(t, 3, result.Findings[0].Line)
	require.Len(t, result.Changes, 2)

	code, stdout, _ = runCheck(t, writeFile(t, soundRecords), "--output", "json")
	require.Equal(t, 0, code)
	require.Contains(t, stdout, `"findings": []`)
}

// Guards against a largest body that takes more than callers' share of the memory, which the check of records did not report.
// Records state neither, so that both are taken from the settings of the host. Request is the memory that one request takes.
func TestCheck_LargestBodyAgainstMemory(t *testing.T) {
	const body, request = 8 << 20, 5*8<<20 + 512<<10
	records := writeFile(t, soundRecords)
	for name, c := range map[string]struct {
		settings string
		line     int
		message  string
	}{
		"over the share": {
			`"memory_mb":256,` + "\n" + `"requests":{` + "\n" + `"max_body_bytes":8388608},`, 3,
			fmt.Sprintf("a request with a body of %d bytes takes up to %d bytes; callers' share of the memory, %d bytes, is too small for it, and hosts raise it to %d",
				body, request, 32<<20, 56623104),
		},
		"over a smaller share":   {`"memory_mb":1024,"callers":{"memory_share":0.1},"requests":{"max_body_bytes":8388608},`, 1, "callers' share of the memory, 53687091 bytes"},
		"default, little memory": {`"memory_mb":64,`, 1, "a body of 4194304 bytes"},
		"within the share":       {`"memory_mb":1024,"requests":{"max_body_bytes":8388608},`, 0, ""},
		"memory not stated":      {`"requests":{"max_body_bytes":1073741824},`, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			file := writeFile(t, "{"+c.settings+`"host":"h","zone":"z","listen":{"callers":"127.0.0.1:2","operators":"127.0.0.1:3"},
"platform":{"url":"http://127.0.0.1:1"},"fleet":{"hosts":1}}`)
			code, stdout, stderr := runCheck(t, records, "--settings", file, "--output", "json")
			var result checkResult
			require.NoError(t, json.Unmarshal([]byte(stdout), &result), stderr)
			if c.line == 0 {
				require.Equal(t, 0, code)
				require.Empty(t, result.Findings)
				return
			}
			require.Equal(t, 1, code)
			require.Len(t, result.Findings, 1)
			require.Equal(t, configcheck.Contradiction, result.Findings[0].Rule)
			require.Equal(t, file, result.Findings[0].File)
			require.Equal(t, c.line, result.Findings[0].Line)
			require.Equal(t, "requests.max_body_bytes", result.Findings[0].Field)
			require.Contains(t, result.Findings[0].Message, c.message)
		})
	}
}
