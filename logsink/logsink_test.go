package logsink

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// A reader that takes nothing costs lines, which are counted, and holds nobody up.
func TestAFullPipeCostsLines(t *testing.T) {
	r, w := io.Pipe()
	s := New(w)
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
	dropped := s.Dropped()
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
	s := New(&out)
	_, err := s.Write([]byte("last\n"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.Run(ctx)
	require.Equal(t, "last\n", out.String())
}
