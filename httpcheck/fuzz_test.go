package httpcheck

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// piecesConn is a connection whose bytes arrive in pieces of a size, and which ends after them.
type piecesConn struct {
	net.Conn
	in   *bytes.Reader
	size int
}

func (p piecesConn) Read(b []byte) (int, error) { return p.in.Read(b[:min(len(b), p.size)]) }

// readAsTransport reads a response as the transport of net/http does, which skips all interim ones but 101.
func readAsTransport(r *bufio.Reader) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, nil) //nolint:bodyclose // there is no connection
		if err != nil || resp.StatusCode < 100 || resp.StatusCode > 199 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}

// readStrictly reads a response and checks each head before and after http.ReadResponse reads it.
func readStrictly(r *bufio.Reader) (*http.Response, error) {
	for {
		var l Line
		for n := 1; ; n++ {
			b, err := r.Peek(n)
			if err != nil {
				return nil, err
			}
			complete, err := l.Add(b[n-1])
			if err != nil {
				return nil, err
			}
			if complete {
				break
			}
		}
		if l.IsHTTP10() {
			head, _ := r.Peek(r.Buffered()) // the buffer holds all that there is
			if err := CheckFieldsHTTP10(head); err != nil {
				return nil, err
			}
		}
		resp, err := http.ReadResponse(r, nil) //nolint:bodyclose // there is no connection
		if err != nil {
			return nil, err
		}
		if err := CheckHead(resp); err != nil {
			return nil, err
		}
		if IsFinal(resp.StatusCode) {
			return resp, nil
		}
	}
}

// Any bytes arrive in pieces of any size. Guards against a checked connection on which the transport of net/http finds another
// response than a reader that checks each head, or finds one where that reader finds none.
func FuzzConn(f *testing.F) {
	const forged = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"
	for _, begin := range []string{
		"", "HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 104 X\r\n\r\n", "HTTP/1.1 101 X\r\n\r\n", "HTTP/1.1 +20 X\r\n\r\n", "HTTP/1.1 103 X\r\nLink: x\r\n\r\n",
		"HTTP/1.1 103\n\n", "HTTP/1.1 102 X\r\nContent-Length: 45\r\n\r\n", "HTTP/1.1 100\r\nTransfer-Encoding: chunked\r\n\r\n2d\r\n", "HTTP/1.1 103 X\r\nA: b\r\n\tContent-Length: 45\r\n\r\n",
		"HTTP/1.1 200 X\r\nX-Odd : x\r\n\r\n", "HTTP/1.1 200 X\r\nX\x00: x\r\n\r\n", "HTTP/1.1 200 X\r\nA: b\r\n c d\r\n\r\n", "HTTP/1.1 200\n: x\n\n", "HTTP/1.1 103 X\n X: x\n\n",
		"HTTP/1.1 103 X\r\nA: b\r\n \r\n\r\n", "HTTP/1.1 103 X\r\n\r\r\n\r\n", "HTTP/1.1 103 X\r\nContent-Length : 45\r\n\r\n", "HTTP/1.0 103 X\r\n\r\n",
		"HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.0 204 X\r\nTransfer-Encoding: x\r\n\r\n", "HTTP/1.0 200 X\r\nA: b\r\n Transfer-Encoding: x\r\n\r\n",
		"HTTP/1.1 204 X\r\nContent-Length: 45\r\n\r\n", "HTTP/1.1 204 X\r\ncontent-length: 0\r\n\r\n", "HTTP/1.1 204 X\r\nContent-Length: 0\r\n 5\r\n\r\n",
	} {
		f.Add([]byte(begin+forged), uint8(0))
		f.Add([]byte(begin+forged), uint8(255))
	}
	f.Fuzz(func(t *testing.T, raw []byte, size uint8) {
		checked := newConn(piecesConn{in: bytes.NewReader(raw), size: int(size) + 1})
		checked.expectResponse(false)
		got, err := readAsTransport(bufio.NewReader(checked))                                 //nolint:bodyclose // there is no connection
		want, wantErr := readStrictly(bufio.NewReaderSize(bytes.NewReader(raw), len(raw)+16)) //nolint:bodyclose // there is no connection
		if err != nil {
			require.Error(t, wantErr, "%q", raw)
			return
		}
		require.NoError(t, wantErr, "%q", raw)
		require.True(t, IsFinal(got.StatusCode))
		require.Equal(t, want.StatusCode, got.StatusCode)
		require.Equal(t, want.Header, got.Header)
		require.Equal(t, want.ContentLength, got.ContentLength)
	})
}
