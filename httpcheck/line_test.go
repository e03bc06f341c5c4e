package httpcheck

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// addAll adds bytes until the line is complete or invalid, and returns how many it took.
func addAll(l *Line, text string) (int, bool, error) {
	for i := range len(text) {
		if complete, err := l.Add(text[i]); complete || err != nil {
			return i + 1, complete, err
		}
	}
	return len(text), false, nil
}

// Guards against a status that the protocol does not have, and against one that is refused though it has.
func TestLine_EveryStatus(t *testing.T) {
	for status := range 1000 {
		var l Line
		n, complete, err := addAll(&l, fmt.Sprintf("HTTP/1.1 %03d X", status))
		valid := status >= 200 && status <= 599 || status == 100 || status == 102 || status == 103
		require.Equal(t, valid, err == nil, "%03d: %v", status, err)
		require.Equal(t, valid, complete, "%03d", status)
		if valid {
			require.Equal(t, status, l.Status())
			continue
		}
		require.ErrorIs(t, err, ErrInvalid)
		require.Equal(t, len("HTTP/1.1 000"), n, "known with the third digit")
	}
}

// Guards against a line that is found invalid only once it is complete, if ever: the sender may send no more.
func TestLine_InvalidAtTheFirstByte(t *testing.T) {
	for text, taken := range map[string]int{
		"x": 1, "http/1.1 200 ": 1, "HTTP/2.0 200 ": 6, "HTTP/1.x": 8, "HTTP/1.10": 9, "HTTP/1.1  200": 10, "HTTP/1.1 +20 ": 10, "HTTP/1.1 20 ": 12,
		"HTTP/1.1 2000": 13, "HTTP/1.1 200x": 13, "HTTP/1.0 100 ": 12, "\r\nHTTP/1.1 200 ": 1,
	} {
		n, complete, err := addAll(new(Line), text)
		require.ErrorIs(t, err, ErrInvalid, "%q", text)
		require.False(t, complete)
		require.Equal(t, taken, n, "%q", text)
	}
	for _, text := range []string{"HTTP/1.0 200 ", "HTTP/1.1 200\r", "HTTP/1.1 599\n", "HTTP/1.1 103 "} {
		_, complete, err := addAll(new(Line), text)
		require.NoError(t, err)
		require.True(t, complete)
	}
}
