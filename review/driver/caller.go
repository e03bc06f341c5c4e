//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is a request of a client, and how it went.
type call struct {
	id      string
	host    string
	address string
	method  string
	path    string
	// adapter is "" for a plain service.
	adapter string
	key     string
	output  int
	budget  time.Duration

	sentAt  time.Time
	endedAt time.Time
	status  int
	// whole is set if a complete answer arrived.
	whole  bool
	events int
	err    string
}

// hostName is the name under which clients call.
const hostName = "board.example"

func (c *call) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\n",
		c.method, c.path, hostName, p("attempt"), c.id, p("deadline"), c.budget.Milliseconds(), c.key)
	if c.adapter != "" {
		fmt.Fprintf(&b, "%s: %s/%s\r\n%s: 100,%d\r\n%s: 5c1e07a2:40,%x:60\r\n",
			p("model"), modelName, c.adapter, p("usage"), c.output, p("prefix"), c.id)
	}
	body := "body of " + c.id
	if c.method == http.MethodGet {
		body = ""
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
	return b.String()
}

// send sends the request on a connection of its own, and reads the answer to its end.
func (c *call) send(r *record, quiet bool) {
	c.sentAt = time.Now()
	defer func() {
		c.endedAt = time.Now()
		if !quiet {
			r.line("call %s to %s, adapter %q, sent at %.3f: status %d, whole %t, events %d, after %.3f s %s",
				c.id, c.host, c.adapter, r.at(c.sentAt), c.status, c.whole, c.events, c.endedAt.Sub(c.sentAt).Seconds(), c.err)
		}
	}()
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		c.err = "not connected: " + err.Error()
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(c.sentAt.Add(c.budget + time.Second))
	if _, err := io.WriteString(conn, c.text()); err != nil {
		c.err = "not sent: " + err.Error()
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		c.err = "no answer: " + err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.status = resp.StatusCode
	raw, err := io.ReadAll(resp.Body)
	c.events = strings.Count(string(raw), "data: ")
	if err != nil {
		c.err = "answer broken off: " + err.Error()
		return
	}
	c.whole = true
}
