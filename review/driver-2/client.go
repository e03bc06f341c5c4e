//go:build review

package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// directory keeps the addresses that clients may connect to, as the machines tell them.
type directory struct {
	machines []*machine
	host     string
	// zone is the clients' zone, any if it is empty.
	zone      string
	mu        sync.Mutex
	addresses []string
}

func (d *directory) run(stop <-chan struct{}) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, i := range rand.Perm(len(d.machines))[:min(3, len(d.machines))] {
			m := d.machines[i]
			resp, err := client.Get("http://" + m.directory + names["resolve"] + "?name=" + d.host + "&region=r&zone=" + url.QueryEscape(cmp.Or(d.zone, m.zone)))
			if err != nil {
				continue
			}
			var answer struct {
				Addresses []string `json:"addresses"`
			}
			err = json.NewDecoder(resp.Body).Decode(&answer)
			_ = resp.Body.Close()
			if err == nil && len(answer.Addresses) > 0 {
				d.mu.Lock()
				d.addresses = answer.Addresses
				d.mu.Unlock()
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (d *directory) pick(failed map[string]time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var fit []string
	for _, a := range d.addresses {
		if time.Since(failed[a]) > 3*time.Second {
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		fit = d.addresses
	}
	if len(fit) == 0 {
		return ""
	}
	return fit[rand.IntN(len(fit))]
}

func (d *directory) lists(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.addresses, address)
}

// request is what a client sends.
type request struct {
	method, host, path, key, model, usage string
	body                                  []byte
	deadline                              time.Duration
}

// attempt is one request of a client with its end.
type attempt struct {
	id      string
	address string
	kept    bool // the connection had carried a request before
	sentAt  time.Time
	endedAt time.Time
	status  int // 0 if the connection ended without a status
	whole   bool
	header  http.Header
	body    []byte
	err     error
}

var attempts atomic.Uint64

func newAttemptID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1)) }

// connection is a client's connection to a machine.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	address string
	used    bool
}

func dial(address string) (*connection, error) {
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReader(raw), address: address}, nil
}

// send sends a request and reads its answer. It reports whether the connection can be used again.
func (c *connection) send(r *request) (a attempt, keep bool) {
	a = attempt{id: newAttemptID(), address: c.address, kept: c.used, sentAt: time.Now()}
	c.used = true
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, r.host, names["attempt"], a.id, names["deadline"], r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", r.key)
	}
	if r.model != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", names["model"], r.model)
	}
	if r.usage != "" {
		fmt.Fprintf(&b, "Jasminelock-Token-Usage: %s\r\n", r.usage)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %s\r\n", strconv.Itoa(len(r.body)))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	_ = c.SetDeadline(a.sentAt.Add(r.deadline + time.Second))
	defer func() { a.endedAt = time.Now() }()
	if _, a.err = c.Write(b.Bytes()); a.err != nil {
		return a, false
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if a.err = err; err != nil {
		return a, false
	}
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, a.err = io.ReadAll(resp.Body)
	a.whole = a.err == nil
	return a, a.whole && !resp.Close && !strings.EqualFold(resp.Header.Get("Connection"), "close")
}

// user sends one request after the other, each on its kept connection if that is open and still listed.
type user struct {
	directory *directory
	conn      *connection
	failed    map[string]time.Time
	done      func(*attempt, *request)
	// impatient has the user return at once after a refusal: what the tenant sends is given from outside.
	impatient bool
}

// disconnect closes the user's connection.
func (u *user) disconnect() {
	if u.conn != nil {
		_ = u.conn.Close()
		u.conn = nil
	}
}

func (u *user) do(r *request) {
	if u.conn != nil && !u.directory.lists(u.conn.address) {
		_ = u.conn.Close()
		u.conn = nil
	}
	if u.conn == nil {
		address := u.directory.pick(u.failed)
		if address == "" {
			time.Sleep(50 * time.Millisecond)
			return
		}
		c, err := dial(address)
		if err != nil {
			u.failed[address] = time.Now()
			return
		}
		u.conn = c
	}
	a, keep := u.conn.send(r)
	if !keep {
		if a.status == 0 {
			u.failed[u.conn.address] = time.Now()
		}
		_ = u.conn.Close()
		u.conn = nil
	}
	u.done(&a, r)
	if wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil && a.status >= 400 && !u.impatient {
		time.Sleep(time.Duration(min(wait, r.deadline.Seconds()/3) * float64(time.Second)))
	}
}
