// Package httpcheck checks what net/http does not check of HTTP/1.1 responses.
//
// http.ReadResponse accepts statuses such as 000 and +20, and the client of net/http takes every
// status from 102 to 199 except 101 for an interim response: it reads the body of such a response as
// the next response. Both accept blanks in the names of fields, and take the end of a broken connection
// for that of a closed one. A server in trouble can thereby make them return content that the server
// never sent as a response, or a part of one.
package httpcheck

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrInvalid reports a response that HTTP/1.1 does not allow.
var ErrInvalid = errors.New("httpcheck: invalid response")

// The least and the greatest status of a final response.
const (
	minFinal = 200
	maxFinal = 599
)

// IsFinal reports whether a status is that of a final response.
func IsFinal(status int) bool { return minFinal <= status && status <= maxFinal }

// IsInterim reports whether a status is that of an interim response. 101 is none: it is final where a
// request asks for another protocol, and invalid elsewhere.
func IsInterim(status int) bool {
	switch status {
	case http.StatusContinue, http.StatusProcessing, http.StatusEarlyHints:
		return true
	}
	return false
}

// Line checks the beginning of a status line as its bytes arrive, so that an invalid one is known
// before the end of the line. Its zero value expects the first byte.
type Line struct {
	count  int
	minor  byte
	status int
	// upgrade reports whether the request asks for another protocol, so that the status may be 101.
	upgrade bool
}

// pattern is the form of the beginning of a status line. d stands for a digit.
const pattern = "HTTP/1.d ddd"

// Positions in the pattern.
const (
	minorAt      = len("HTTP/1.")
	lastStatusAt = len(pattern) - 1
)

// Add checks the next byte. It reports whether the status and the byte after it are complete, or
// returns an error that wraps ErrInvalid.
func (l *Line) Add(b byte) (bool, error) {
	at := l.count
	l.count++
	switch {
	case at == len(pattern):
		if b != ' ' && b != '\r' && b != '\n' {
			return false, fmt.Errorf("%w: byte %q after status %d", ErrInvalid, b, l.status)
		}
		return true, nil
	case pattern[at] != 'd':
		if b != pattern[at] {
			return false, fmt.Errorf("%w: byte %q at position %d of the status line", ErrInvalid, b, at)
		}
		return false, nil
	case b < '0' || b > '9':
		return false, fmt.Errorf("%w: byte %q for a digit of the status line", ErrInvalid, b)
	case at == minorAt:
		l.minor = b
		return false, nil
	}
	l.status = l.status*10 + int(b-'0')
	if at == lastStatusAt {
		return false, l.checkStatus()
	}
	return false, nil
}

func (l *Line) checkStatus() error {
	isSwitch := l.upgrade && l.status == http.StatusSwitchingProtocols
	if IsFinal(l.status) || (isSwitch || IsInterim(l.status)) && l.minor != '0' {
		return nil
	}
	return fmt.Errorf("%w: status %03d of HTTP/1.%c", ErrInvalid, l.status, l.minor)
}

// Status returns the status once it is complete.
func (l *Line) Status() int { return l.status }

// IsHTTP10 reports whether the response is one of HTTP/1.0, once the status is complete.
func (l *Line) IsHTTP10() bool { return l.minor == '0' }

// CheckFieldsHTTP10 returns an error if the head of a response of HTTP/1.0, which begins with its
// status line and may be followed by other bytes, has a Transfer-Encoding. That version has none:
// http.ReadResponse ignores the field and reads the framing as a part of the body.
func CheckFieldsHTTP10(head []byte) error {
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			break
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); isTransferEncoding(name) {
			return errHTTP10
		}
	}
	return nil
}

var errHTTP10 = fmt.Errorf("%w: a response of HTTP/1.0 has a Transfer-Encoding", ErrInvalid)

func isTransferEncoding(name []byte) bool {
	return strings.EqualFold(string(name), "transfer-encoding")
}

// CheckHead returns an error that wraps ErrInvalid if the head of an interim or final response, which
// http.ReadResponse has read, is invalid: the name of a field is no token, or the response states a body
// that it cannot have because of its status, so that the bytes would be read as the next response.
func CheckHead(resp *http.Response) error {
	if isBodyless(resp.StatusCode) && StatesBody(resp) {
		return errFraming(resp.StatusCode)
	}
	return CheckFields(resp.Header)
}

// StatesBody reports whether the fields of a response state a body, whether or not it has one.
func StatesBody(resp *http.Response) bool {
	lengths := resp.Header["Content-Length"]
	return len(resp.TransferEncoding) > 0 || len(lengths) > 1 || len(lengths) == 1 && lengths[0] != "0"
}

// isBodyless reports whether a response with the status must not state a body. 304 may.
func isBodyless(status int) bool { return status < minFinal || status == http.StatusNoContent }

func errFraming(status int) error {
	return fmt.Errorf("%w: a response with status %d states a body", ErrInvalid, status)
}
