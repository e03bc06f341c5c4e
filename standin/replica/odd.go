package replica

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// InvalidStatuses returns the statuses that no response of HTTP/1.1 has, and texts that are none.
func InvalidStatuses() []string {
	var all []string
	for status := range 1000 {
		valid := 200 <= status && status <= 599 || status == 100 || status == 102 || status == 103
		if !valid {
			all = append(all, fmt.Sprintf("%03d", status))
		}
	}
	return append(all, MalformedStatuses()...)
}

// MalformedStatuses returns texts in place of a status that are not three digits.
func MalformedStatuses() []string {
	return []string{"+20", "-20", "-00", "+00", "20", "2", "", "2000", "0200", "2 00", "2OO", "20x", "0x1", "1e2", " 200", "\t200", "200\t", "200,", "²00", "\x00200"}
}

// SampleStatuses returns a few of InvalidStatuses of each kind.
func SampleStatuses() []string {
	return []string{"000", "001", "042", "099", "101", "104", "199", "600", "999", "+20", "2000", "20x"}
}

// ForgedBody is the body of ForgedResponse. No caller may receive it.
const ForgedBody = "forged"

// ForgedResponse returns the bytes of a response with status 200 and further fields, each with its line end, to be sent as the
// body of an invalid one.
func ForgedResponse(fields string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(ForgedBody), ForgedBody)
}

// InvalidFieldLines returns lines that no head and no trailer of HTTP/1.1 may begin with.
func InvalidFieldLines() []string {
	lines := []string{
		"X Odd: x", "X-Odd : x", "X-Odd  : x", "X-Odd\t: x", "Content-Length : 2", "content-length : 2", "Content Length: 2",
		"Transfer-Encoding : chunked", "X(Odd): x", "X-Ödd: x", ": x", " : x", " X-Odd: x", "X-Odd", "X-Odd: a\x00b", "X-Odd: a\rb", "X-Odd: a\x7f",
	}
	for b := range byte(' ') {
		if b != '\n' {
			lines = append(lines, "X"+string(b)+"Odd: x")
		}
	}
	return append(lines, "X\x7fOdd: x")
}

// SampleFieldLines returns a few of InvalidFieldLines of each kind.
func SampleFieldLines() []string {
	return []string{"X Odd: x", "X-Odd : x", "Content-Length : 2", "Transfer-Encoding : chunked", "X\x00Odd: x", ": x"}
}

// JSONResponses returns valid responses with a body, framed by its length, by chunks, and by the end of the connection.
func JSONResponses(body string) []string {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	return []string{
		head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		head + "Connection: close\r\n\r\n" + body,
	}
}

// OddResponse is a response that HTTP/1.1 does not allow.
type OddResponse struct {
	Name string
	// Bytes is all that is sent.
	Bytes string
	// Ends reports whether the connection is closed after the bytes. Otherwise it stays open, so that a
	// client that expects more waits until its deadline.
	Ends bool
}

// OddResponses returns responses with the text in place of the status, with a body framed by its length, by
// chunks and by the end of the connection, without a body, and begun only. Fields are added to the head.
func OddResponses(status, fields, body string) []OddResponse {
	head := "HTTP/1.1 " + status + " Odd\r\n" + fields
	return []OddResponse{
		{"length", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), false},
		{"chunks", head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), false},
		{"close", head + "Connection: close\r\n\r\n" + body, true},
		{"close, open", head + "\r\n" + body, false},
		{"empty", head + "Content-Length: 0\r\n\r\n", false},
		{"begun", "HTTP/1.1 " + status + " ", false},
	}
}

// FieldResponses returns responses with status 200 that are valid but for a line of their head, of that of an interim response
// before them, or of their trailer. The line stands alone, and with a frame of the body by its length, by chunks and by the end
// of the connection. Fields are added to the head.
func FieldResponses(line, fields, body string) []OddResponse {
	const ok = "HTTP/1.1 200 OK\r\n"
	length, chunks := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), fmt.Sprintf("\r\n%x\r\n%s\r\n0\r\n", len(body), body)
	const chunked = "Transfer-Encoding: chunked\r\n"
	head := ok + line + "\r\n" + fields
	return []OddResponse{
		{"length", head + length, false},
		{"chunks", head + chunked + chunks + "\r\n", false},
		{"chunks, not stated", head + chunks + "\r\n", true},
		{"close", head + "Connection: close\r\n\r\n" + body, true},
		{"close, open", head + "\r\n" + body, false},
		{"interim", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + ok + fields + length, false},
		{"trailer", ok + fields + chunked + chunks + line + "\r\n\r\n", false},
	}
}

// IsTrailer reports whether only the trailer of one of FieldResponses is invalid, which is known after the body.
func (o OddResponse) IsTrailer() bool { return o.Name == "trailer" }

// SampleResponses returns invalid responses of each kind, without further fields, by their status or their invalid line.
func SampleResponses() map[string][]OddResponse {
	all := map[string][]OddResponse{}
	for _, status := range SampleStatuses() {
		all[status] = OddResponses(status, "", ForgedResponse(""))
	}
	for _, line := range SampleFieldLines() {
		all[line] = FieldResponses(line, "", "{}")
	}
	return all
}

// ImpossibleBodies returns responses that state a body, which they cannot have because of their status.
func ImpossibleBodies(status int, body string) []OddResponse {
	head := fmt.Sprintf("HTTP/1.1 %d Bodyless\r\n", status)
	length, chunks := fmt.Sprintf("Length: %d\r\n\r\n%s", len(body), body), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	return []OddResponse{
		{"length", head + "Content-" + length, false},
		{"length in lower case", head + "Link: x\r\ncontent-" + strings.ToLower(length[:6]) + length[6:], false},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + chunks, false},
		{"lone line ends", strings.ReplaceAll(head, "\r", "") + "Content-" + strings.ReplaceAll(length, "\r\n", "\n"), false},
	}
}

// Send writes the response and reports whether the connection stays open.
func (o OddResponse) Send(c net.Conn) bool {
	_, err := io.WriteString(c, o.Bytes)
	return err == nil && !o.Ends
}

// ServeOdd starts a server on loopback that answers a request with odd. If first is not empty, it answers the first request of
// each connection with first, so that the odd response comes on a connection that has been used.
func ServeOdd(first string, odd OddResponse) (*Raw, error) {
	var mu sync.Mutex
	used := map[net.Conn]bool{}
	return ServeRaw(func(c *net.TCPConn, _ *http.Request) bool {
		mu.Lock()
		again := used[c]
		used[c] = true
		mu.Unlock()
		if first != "" && !again {
			_, err := io.WriteString(c, first)
			return err == nil
		}
		return odd.Send(c)
	})
}
