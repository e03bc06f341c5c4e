package sse

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEvents(t *testing.T) {
	r := NewReader(strings.NewReader("\n\nid: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata: c"))
	e, err := r.Next()
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", string(e))
	require.Equal(t, "1", string(Field(e, "id")))
	require.True(t, r.HasBufferedEvent())
	e, err = r.Next()
	require.NoError(t, err)
	require.Equal(t, "2", string(Field(e, "id")))
	require.Equal(t, "b", string(Field(e, "data")))
	require.Nil(t, Field(e, "event"))
	require.False(t, r.HasBufferedEvent())
	_, err = r.Next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)

	r = NewReader(strings.NewReader("data: a\n\n"))
	_, err = r.Next()
	require.NoError(t, err)
	_, err = r.Next()
	require.ErrorIs(t, err, io.EOF)
	r = NewReader(strings.NewReader(strings.Repeat("x", maxEventBytes+1)))
	_, err = r.Next()
	require.ErrorIs(t, err, ErrEventTooLarge)
}
