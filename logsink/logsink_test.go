package logsink

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// A reader that takes nothing costs lines, which are counted, and holds nobody up.
func TestAFullPipeCostsLines(t *testing.T) {
	r, w := io.Pipe()
	s := New("h1", w)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { s.Run(ctx) })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 2000
	for range lines {
		n, err := s.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	dropped := s.UnwrittenLines()
	require.Positive(t, dropped)
	cancel()
	var got bytes.Buffer
	go func() { group.Wait(); _ = w.Close() }()
	_, err := io.Copy(&got, r)
	require.NoError(t, err)
	require.Equal(t, lines-int(dropped), strings.Count(got.String(), "xxx\n"))
	require.Contains(t, got.String(), "log lines dropped")
}

func TestWhatWaitsIsWrittenAtTheEnd(t *testing.T) {
	var out bytes.Buffer
	s := New("h1", &out)
	_, err := s.Write([]byte("last\n"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.Run(ctx)
	require.Equal(t, "last\n", out.String())
}

// hostLog returns a host's log and what is written of it.
func hostLog() (*Sink, hclog.Logger, *bytes.Buffer) {
	var out bytes.Buffer
	s := New("h1", &out)
	return s, hclog.New(&hclog.LoggerOptions{Name: "h1", Output: s, Level: hclog.Info, JSONFormat: true}), &out
}

// Pattern: ten times as many requests as lines are allowed for, for ten seconds.
// The volume keeps to its rate, every line is written or counted, and each
// failure is written.
func TestRoutineLinesAreSummedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, log, out := hostLog()
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { s.Run(ctx) })
		const seconds, perSecond, failEvery = 10, 1300, 100
		for i := range seconds * perSecond {
			if i%failEvery == 0 {
				log.Warn("request", "request", i, "status", 503)
			}
			log.Info("request", "request", i, "status", 200, "filling", strings.Repeat("f", 350))
			time.Sleep(time.Second / perSecond)
		}
		cancel()
		group.Wait()
		require.Less(t, out.Len(), 2*routineBurst+seconds*routineRate)
		var routine, failures, counted int64
		for line := range strings.Lines(out.String()) {
			var l struct {
				Level    string           `json:"@level"`
				Message  string           `json:"@message"`
				At       time.Time        `json:"@timestamp"`
				Module   string           `json:"@module"`
				Lines    int64            `json:"lines"`
				Messages map[string]int64 `json:"messages"`
			}
			require.NoError(t, json.Unmarshal([]byte(line), &l))
			require.Equal(t, "h1", l.Module)
			require.False(t, l.At.IsZero())
			switch {
			case l.Message == "log lines summed up":
				require.Equal(t, l.Messages["request"], l.Lines)
				counted += l.Lines
			case l.Level == "warn":
				failures++
			default:
				routine++
			}
		}
		require.EqualValues(t, seconds*perSecond, routine+counted)
		require.EqualValues(t, seconds*perSecond/failEvery, failures)
		require.Equal(t, counted, s.UnwrittenLines())
	})
}

// Pattern: the reader has stopped, and routine lines have come first. Lines on
// what went wrong still find room.
func TestFailuresHaveRoomInAFullBuffer(t *testing.T) {
	s, log, out := hostLog()
	for range 1000 {
		log.Info("request", "filling", strings.Repeat("f", 1000))
	}
	for i := range 100 {
		log.Warn("request", "request", i, "status", 503)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.Run(ctx)
	require.Equal(t, 100, strings.Count(out.String(), `"@level":"warn","@message":"request"`))
}

func TestLinesAreClassified(t *testing.T) {
	for line, want := range map[string]struct {
		message string
		routine bool
	}{
		`{"@level":"info","@message":"order","a":1}`: {"order", true},
		`{"@level":"warn","@message":"order","a":1}`: {"", false},
		`{"@level":"info"}`:                          {"", false},
		"2026-01-01 [INFO] text":                     {"", false},
		"":                                           {"", false},
	} {
		message, routine := classify([]byte(line))
		require.Equal(t, want.message, message, line)
		require.Equal(t, want.routine, routine, line)
	}
}

// What a request's line costs whoever writes it.
func BenchmarkRequestLine(b *testing.B) {
	s := New("h1", io.Discard)
	log := hclog.New(&hclog.LoggerOptions{Name: "h1", Output: s, Level: hclog.Info, JSONFormat: true})
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request", "request", "3487cd088dc6df07", "route", "r-s6xguhh", "organisation", "puti971", "adapter", "a2201",
			"status", 200, "reason", "", "rule", "", "upstream", "i-984048e250", "assigned_by", "resident", "granted_ms", 12,
			"expected_ms", 300, "sent", 1, "ran", 1, "failure", "", "first_ms", 240, "took_ms", 900)
	}
}
