package httpcheck

import (
	"bytes"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
)

// conn is a connection of a client of net/http. It checks the beginning of each response that is
// read from it.
type conn struct {
	net.Conn
	// transport is the connection under Conn, below TLS.
	transport *Conn
	// mu guards the fields below: the goroutine of a request calls expectResponse, those of the connection Read and Write.
	mu   sync.Mutex
	head head
	// expecting reports whether a request has been assigned the connection, responding whether bytes were read since the
	// last one, ended whether no more can be read.
	expecting, responding, ended bool
	// changed is signalled when responding or ended changes.
	changed sync.Cond
}

// newConn returns a connection over one that NewTransport has dialled.
func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	if secured, ok := raw.(*tls.Conn); ok {
		raw = secured.NetConn()
	}
	if c.transport, _ = raw.(*Conn); c.transport == nil {
		c.transport = WithTrueEOF(raw) // in tests, which dial themselves
	}
	c.changed.L = &c.mu
	return c
}

// expectResponse has the next bytes checked as the beginning of a response to a request, which asks for another
// protocol if upgrade is set.
func (c *conn) expectResponse(upgrade bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.upgrade = upgrade
	c.head.start()
	c.expecting, c.responding = true, false
	c.transport.BeginRequest()
}

// Write implements net.Conn. If the server has closed the connection after it began to respond, Write
// reports success, though the bytes are lost: at an error, net/http would close the connection before it
// has read the response.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if errors.Is(err, syscall.EPIPE) && c.awaitResponse() {
		return len(b), nil
	}
	return n, err
}

// awaitResponse waits until bytes of a response have been read, or until there can be none. It reports
// whether there are some, and the connection still carries HTTP.
func (c *conn) awaitResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.expecting && !c.responding && !c.ended {
		c.changed.Wait()
	}
	return c.responding && !c.head.switched()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.recordRead(0, net.ErrClosed)
	return c.Conn.Close()
}

// recordRead records the result of a Read.
func (c *conn) recordRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding = c.responding || n > 0
	c.ended = c.ended || err != nil
	c.changed.Broadcast()
}

// failure returns the error for the invalid byte that was read, or nil.
func (c *conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.err
}

// Read implements net.Conn. At an invalid byte, and from then on, it returns an error that wraps
// ErrInvalid. It returns at least one byte before that, since net/http repeats requests on
// connections that fail before the first byte of a response.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.recordRead(n, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if valid, invalid := c.head.check(b[:n]); invalid != nil {
		return max(valid, 1), invalid
	}
	return n, err
}

// phase is the part of a response that a head expects next.
type phase int

const (
	// unchecked is the phase after the head of a final response, and before the first request.
	unchecked phase = iota
	// inLine is the phase of the status line.
	inLine
	// inFields is the phase of the fields, until their blank line.
	inFields
)

// maxFieldBytes is how much of a field is looked at. It holds the names that are looked for, and a
// length of 0 with some space.
const maxFieldBytes = 64

// head checks the heads of the interim responses and of the final one: their status lines, the names of
// their fields, and whether a response states a body or its encoding that must not.
type head struct {
	phase phase
	line  Line
	// upgrade reports whether the request asks for another protocol.
	upgrade bool
	// inName reports whether the name in the present line of the fields, if it has one, has not ended.
	inName bool
	// field holds the beginning of the present line of the fields.
	field []byte
	// length reports whether the line before was a length of 0.
	length bool
	// err is the error for an invalid byte. Nothing is checked after it.
	err error
}

// start expects the first byte of a response.
func (h *head) start() { h.phase, h.line = inLine, Line{upgrade: h.upgrade} }

// switched reports whether the connection carries another protocol from now on.
func (h *head) switched() bool {
	return h.phase == unchecked && h.line.Status() == http.StatusSwitchingProtocols
}

// check checks the next bytes. It returns the number of valid ones, and an error if not all are.
func (h *head) check(b []byte) (int, error) {
	for i, c := range b {
		if h.phase == unchecked {
			return len(b), nil
		}
		if err := h.add(c); err != nil {
			h.err = err
			return i, err
		}
	}
	return len(b), nil
}

// add checks one byte.
func (h *head) add(b byte) error {
	if h.phase == inFields {
		return h.addToField(b)
	}
	complete, err := h.line.Add(b)
	if err != nil || !complete {
		return err
	}
	h.phase, h.field, h.length, h.inName = inFields, h.field[:0], false, true
	if b != '\n' {
		h.field, h.inName = append(h.field, '-'), false // the rest of the status line counts as a field, not as the blank line
	}
	return nil
}

// checkName checks the next byte of a line of the fields, other than the line end, if it may belong to the name.
func (h *head) checkName(b byte) error {
	first := len(h.field) == 0
	switch {
	case !h.inName || first && b == '\r':
	case first && (b == ' ' || b == '\t'): // the line continues the one before
		h.inName = false
	case !first && b == ':':
		h.inName = false
	case !isNameByte(b):
		return errName(string(append(h.field, b)))
	}
	return nil
}

// addToField adds a byte to the present line of the fields.
func (h *head) addToField(b byte) error {
	if b != '\n' {
		err := h.checkName(b)
		if len(h.field) < maxFieldBytes {
			h.field = append(h.field, b)
		}
		return err
	}
	line := bytes.TrimSuffix(h.field, []byte("\r"))
	h.field, h.inName = h.field[:0], true
	if len(line) == 0 {
		if IsInterim(h.line.Status()) {
			h.start()
		} else {
			h.phase = unchecked
		}
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	continued := h.length && (line[0] == ' ' || line[0] == '\t')
	h.length = strings.EqualFold(string(name), "content-length")
	encoded, stated := isTransferEncoding(name), continued || h.length && string(bytes.Trim(value, " \t")) != "0"
	switch {
	case isBodyless(h.line.Status()) && (encoded || stated):
		return errFraming(h.line.Status())
	case h.line.IsHTTP10() && encoded:
		return errHTTP10
	}
	return nil
}
