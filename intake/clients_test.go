package intake_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxBodyBytes is the limit of a request's body in the settings of these tests.
const maxBodyBytes = 1 << 20

// clientGroup is a number of clients of one kind. Each opens a connection, sends what its kind sends and leaves the connection
// open. If the host closes it, the client opens another one until the group is stopped.
type clientGroup struct {
	name    string
	clients int
	// memoryMB and descriptors are the settings of the host, and the bounds that it must respect.
	memoryMB, descriptors int
	// send writes to a new connection. Path is that of a plain request.
	send func(c net.Conn, path, header string) error
}

// clientGroups returns the kinds of uncontrolled clients that ended a process in a trial, and those that hold memory or
// descriptors in other ways. The numbers of clients and the bounds of the first ten were fixed before the host had a memory
// budget. The last three were added with the fixes for the faults that they show.
func clientGroups() []clientGroup {
	const clients, memoryMB, descriptors = 250, 64, 4100
	return []clientGroup{
		{"whole bodies one byte short", clients, memoryMB, descriptors, sendWhole},
		{"bodies in pieces one byte short", clients, memoryMB, descriptors, sendInPieces},
		{"large chunks one byte short", clients, memoryMB, descriptors, chunkSender(256<<10, maxBodyBytes-1)},
		{"chunks of 16 bytes one byte short", clients, memoryMB, descriptors, chunkSender(16, maxBodyBytes-1)},
		{"over the limit, announced", clients, memoryMB, descriptors, sendOverLimit},
		{"over the limit, just sent", clients, memoryMB, descriptors, chunkSender(256<<10, 8*maxBodyBytes)},
		{"heads that never end", clients, memoryMB, descriptors, sendEndlessHead},
		{"idle connections", 600, memoryMB, 400, func(net.Conn, string, string) error { return nil }},
		{"large responses unread", clients, memoryMB, descriptors, sendForLarge},
		{"streams unread", clients, memoryMB, descriptors, sendForStream},
		{"whole bodies of many fields", clients, memoryMB, descriptors, sendManyFields},
		{"pipelined requests unread", 600, memoryMB, 400, sendPipelined},
		{"bodies that are not read, one byte short", 600, memoryMB, 400, sendUnwantedBody},
	}
}

// clientGroupsOfSize returns all kinds with the given number of clients, at the size of the users' hosts.
func clientGroupsOfSize(clients int) []clientGroup {
	var all []clientGroup
	for _, c := range clientGroups() {
		c.clients, c.memoryMB, c.descriptors = clients, 184, 4100
		all = append(all, c)
	}
	return all
}

const headEnd = "\r\n\r\n"

func requestLine(method, path, header string) string {
	return method + " " + path + " HTTP/1.1\r\n" + header
}

// Bodies and pieces are made once: the clients share the processors with the process, and need them for sending.
var (
	almostWhole = bytes.Repeat([]byte("b"), maxBodyBytes-1)
	bodyPiece   = almostWhole[:32<<10]
	largePiece  = bytes.Repeat([]byte("o"), 256<<10)
)

func sendWhole(c net.Conn, path, header string) error {
	return sendWithBody(c, requestLine("POST", path, header), maxBodyBytes, almostWhole)
}

// sendWithBody writes a head and a body, of which length is announced, in one piece.
func sendWithBody(c net.Conn, head string, length int, body []byte) error {
	head = fmt.Sprintf("%sContent-Length: %d%s", head, length, headEnd)
	_, err := (&net.Buffers{[]byte(head), body}).WriteTo(c)
	return err
}

func sendInPieces(c net.Conn, path, header string) error {
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d%s", requestLine("POST", path, header), maxBodyBytes, headEnd); err != nil {
		return err
	}
	for sent := 0; sent < maxBodyBytes-1; sent += len(bodyPiece) {
		if _, err := c.Write(bodyPiece[:min(len(bodyPiece), maxBodyBytes-1-sent)]); err != nil {
			return err
		}
		time.Sleep(2 * time.Millisecond)
	}
	return nil
}

// chunkSender returns a sender of a body of total bytes in chunks of the size, without the last chunk.
func chunkSender(size, total int) func(net.Conn, string, string) error {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("c", size))
	batch := []byte(strings.Repeat(chunk, max(1, 64<<10/size)))
	perBatch := size * max(1, 64<<10/size)
	return func(c net.Conn, path, header string) error {
		if _, err := io.WriteString(c, requestLine("POST", path, header)+"Transfer-Encoding: chunked"+headEnd); err != nil {
			return err
		}
		for sent := 0; sent < total; sent += perBatch {
			end := len(batch)
			if sent+perBatch > total {
				end -= 3 // the last chunk lacks a byte
			}
			if _, err := c.Write(batch[:end]); err != nil {
				return err
			}
		}
		return nil
	}
}

func sendOverLimit(c net.Conn, path, header string) error {
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d%s", requestLine("POST", path, header), 8*maxBodyBytes, headEnd); err != nil {
		return err
	}
	for range 8 * maxBodyBytes / len(largePiece) {
		if _, err := c.Write(largePiece); err != nil {
			return err
		}
	}
	return nil
}

// sendEndlessHead sends header lines that differ, which take many times their size once they are parsed. It stays below the
// 64 KB that a host accepts, so that it is not refused for its size. The head of jasminelockd is limited to 32 KB.
func sendEndlessHead(c net.Conn, path, header string) error {
	if _, err := io.WriteString(c, requestLine("GET", path, header)); err != nil {
		return err
	}
	_, err := c.Write(headLines())
	return err
}

var headLines = sync.OnceValue(func() []byte {
	var lines bytes.Buffer
	for i := 0; lines.Len() < 24<<10; i++ {
		fmt.Fprintf(&lines, "x%x:\r\n", i)
	}
	return lines.Bytes()
})

func sendForLarge(c net.Conn, path, header string) error {
	_, err := io.WriteString(c, requestLine("GET", path+"large", header)+headEnd[2:])
	return err
}

func sendForStream(c net.Conn, path, header string) error {
	_, err := io.WriteString(c, requestLine("GET", path+"stream", header)+headEnd[2:])
	return err
}

// manyFields is a body of JSON that takes many times its size once it is parsed.
var manyFields = sync.OnceValue(func() []byte {
	var b bytes.Buffer
	b.WriteString(`{"model":"m"`)
	for i := 0; b.Len() < maxBodyBytes*6/10; i++ {
		fmt.Fprintf(&b, `,"%x":1`, i)
	}
	b.WriteByte('}')
	return b.Bytes()
})

// sendManyFields sends a complete request: a completion to jasminelockd, a plain request to jasminelock-entry.
func sendManyFields(c net.Conn, path, header string) error {
	if path == daemonPath {
		path = "/v1/completions"
	}
	return sendWithBody(c, requestLine("POST", path, header), len(manyFields()), manyFields())
}

// sendPipelined sends many requests without reading the responses. The path does not exist, so that each is refused at once.
func sendPipelined(c net.Conn, _, header string) error {
	requests := strings.Repeat(requestLine("GET", "/none", header)+headEnd[2:], 50)
	for range 200 {
		_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)) // the host stops reading
		if _, err := io.WriteString(c, requests); err != nil {
			break
		}
	}
	return c.SetWriteDeadline(time.Time{})
}

// sendUnwantedBody sends a request that is refused before its body is read, and most of the body.
func sendUnwantedBody(c net.Conn, _, header string) error {
	_, err := fmt.Fprintf(c, "%sContent-Length: 1000%s%s", requestLine("POST", "/none", header), headEnd, strings.Repeat("b", 999))
	return err
}

// reconnectDelay is the time after which a client whose connection was closed opens another one.
const reconnectDelay = 100 * time.Millisecond

// start starts the clients. Sent is closed when each has sent everything once, or was cut off while sending. Stop ends them.
func (g clientGroup) start(address, path, header string) (sent <-chan struct{}, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group, first sync.WaitGroup
	first.Add(g.clients)
	for i := range g.clients {
		group.Go(func() {
			var once sync.Once
			for ctx.Err() == nil {
				_ = g.play(ctx, address, path, strings.ReplaceAll(header, "ID", fmt.Sprintf("c%d-%d", i, attempts.Add(1))), func() { once.Do(first.Done) })
				once.Do(first.Done)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectDelay):
				}
			}
		})
	}
	all := make(chan struct{})
	go func() { first.Wait(); close(all) }()
	return all, func() { cancel(); group.Wait() }
}

var attempts atomic.Int64

// play opens a connection, sends, and waits until the host closes the connection or the context ends. It reads nothing. The
// receive buffer is small, so that a response soon blocks the host.
func (g clientGroup) play(ctx context.Context, address, path, header string, sent func()) error {
	dialer := net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })()
	if err := g.send(c, path, header); err != nil {
		return err
	}
	sent()
	return awaitEnd(ctx, c)
}

// awaitEnd waits until the connection was closed by the host or the context ends, without reading.
func awaitEnd(ctx context.Context, c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		closed := false
		err := raw.Control(func(fd uintptr) {
			state, stateErr := tcpState(fd)
			closed = stateErr != nil || state != tcpEstablished
		})
		if err != nil || closed {
			return errors.Join(err, net.ErrClosed)
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
	return ctx.Err()
}
