package jasminelock_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/standin"
)

const firstStepsPage = "docs/operators/first-steps.md"

// step is one block of commands of a page and the output that the page shows for it.
type step struct {
	commands string
	expected []string
}

var fencedBlock = regexp.MustCompile("(?ms)^```(sh|text)\n(.*?)^```$")

// readSteps returns the steps of a page. A text block is the expected output of the
// sh block before it.
func readSteps(page string) []step {
	var steps []step
	for _, block := range fencedBlock.FindAllStringSubmatch(page, -1) {
		if block[1] == "sh" {
			steps = append(steps, step{commands: block[2]})
			continue
		}
		last := &steps[len(steps)-1]
		last.expected = strings.Split(strings.TrimRight(block[2], "\n"), "\n")
	}
	return steps
}

var loopbackPort = regexp.MustCompile(`\b(8[12]0[0-2]|900[0-2])\b`)

// withFreePorts replaces the ports in the page with free ones, each always with the
// same one.
func withFreePorts(t *testing.T, page string) string {
	t.Helper()
	free := map[string]string{}
	return loopbackPort.ReplaceAllStringFunc(page, func(port string) string {
		if free[port] == "" {
			free[port] = reservedPort(t)
		}
		return free[port]
	})
}

// reservedPort returns a port on loopback that is kept for a listener until the end of the test.
func reservedPort(t *testing.T) string {
	t.Helper()
	reserved, err := standin.ReservePort()
	require.NoError(t, err)
	t.Cleanup(reserved.Release)
	_, port, err := net.SplitHostPort(reserved.Address())
	require.NoError(t, err)
	return port
}

const stepMark = "=== step "

// script returns a shell script that runs the steps in order and prints a mark
// before each.
func script(steps []step) string {
	var b strings.Builder
	b.WriteString("set -euo pipefail\n")
	for i, s := range steps {
		fmt.Fprintf(&b, "printf '\\n%s%d\\n'\n%s", stepMark, i, s.commands)
	}
	return b.String()
}

// missing returns the first expected line that the output does not have after the
// match of the previous expected line, and whether there is one. "…" matches any
// text.
func missing(expected []string, output string) (string, bool) {
	lines := strings.Split(output, "\n")
	for _, want := range expected {
		found := false
		for len(lines) > 0 && !found {
			found = matchesLine(lines[0], want)
			lines = lines[1:]
		}
		if !found {
			return want, true
		}
	}
	return "", false
}

func matchesLine(line, want string) bool {
	for part := range strings.SplitSeq(want, "…") {
		_, rest, ok := strings.Cut(line, part)
		if !ok {
			return false
		}
		line = rest
	}
	return true
}

func TestFirstSteps(t *testing.T) {
	raw, err := os.ReadFile(firstStepsPage)
	require.NoError(t, err)
	steps := readSteps(withFreePorts(t, string(raw)))
	require.NotEmpty(t, steps)
	cmd := exec.CommandContext(t.Context(), "bash", "-c", script(steps))
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
	var output, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &stderr
	// The whole process group is killed, in case a step fails before the page's own
	// commands stop the programs that it started.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	require.NoError(t, cmd.Start())
	err = cmd.Wait()
	_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
	require.NoError(t, err, "%s\n%s", output.String(), stderr.String())
	for i, s := range steps {
		_, printed, ok := strings.Cut(output.String(), fmt.Sprintf("\n%s%d\n", stepMark, i))
		require.True(t, ok, "step %d did not run", i)
		printed, _, _ = strings.Cut(printed, "\n"+stepMark)
		line, unprinted := missing(s.expected, printed)
		require.False(t, unprinted, "step %d did not print %q but\n%s", i, line, printed)
	}
}

func TestMissing(t *testing.T) {
	steps := readSteps("```sh\necho a b\necho c\n```\n\n```text\na…b\nc\n```\n")
	require.Equal(t, []step{{"echo a b\necho c\n", []string{"a…b", "c"}}}, steps)
	for output, unprinted := range map[string]bool{"a b\nc\n": false, "x a b\n\nc\n": false, "c\na b\n": true, "a\nc\n": true, "b a\nc\n": true} {
		_, got := missing(steps[0].expected, output)
		require.Equal(t, unprinted, got, output)
	}
}
