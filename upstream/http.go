package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Client limits.
const (
	dialTimeout     = time.Second
	reportTimeout   = 2 * time.Second
	orderTimeout    = 2 * time.Minute
	idlePerUpstream = 64
	maxReportBytes  = 4 << 20
)

// Client speaks HTTP to upstreams. It implements Caller and Controller.
type Client struct {
	http *http.Client
	// once opens a connection for each call.
	once *http.Client
}

// NewClient returns a client. It never follows redirects and never retries:
// a call reaches an upstream once at the most.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerUpstream,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	single := transport.Clone()
	single.DisableKeepAlives = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		http: &http.Client{Transport: transport, CheckRedirect: noRedirect},
		once: &http.Client{Transport: single, CheckRedirect: noRedirect},
	}
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, base string, call Call) (*Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, base+call.Path, newBody(call.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.ContentLength = int64(len(call.Body))
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderAttempt, call.Attempt)
	req.Header.Set(HeaderPriority, call.Priority.String())
	client := c.http
	if call.NewConnection {
		client = c.once
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, classify(err)
	}
	if echoed := resp.Header.Get(HeaderAttempt); echoed != "" && echoed != call.Attempt {
		_ = resp.Body.Close()
		return nil, ErrAttemptMismatch
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

// oneReader hides the type of the body's reader, so that the transport cannot
// send a body twice by itself.
type oneReader struct{ io.Reader }

func newBody(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return oneReader{bytes.NewReader(body)}
}

// classify tells a call that cannot have left the host from all others.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

// Report implements Controller.
func (c *Client) Report(ctx context.Context, base string) (Report, error) {
	var r Report
	err := c.get(ctx, base+"/v1/load_report", &r)
	return r, err
}

// CacheEvents implements Controller.
func (c *Client) CacheEvents(ctx context.Context, base string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.get(ctx, base+"/v1/cache_events?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

func (c *Client) get(ctx context.Context, url string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("upstream: status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(out)
}

// adapterOrder is the body of load and unload orders, in vLLM's shape.
type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// roleOrder is the body of a change of role.
type roleOrder struct {
	Role string `json:"role"`
}

// Load implements Controller.
func (c *Client) Load(ctx context.Context, base string, order LoadOrder) error {
	return c.order(ctx, base+"/v1/load_lora_adapter", adapterOrder{order.Name, order.Source}, order.Fence)
}

// Unload implements Controller.
func (c *Client) Unload(ctx context.Context, base, name string, fence int64) error {
	return c.order(ctx, base+"/v1/unload_lora_adapter", adapterOrder{Name: name}, fence)
}

// SetRole implements Controller.
func (c *Client) SetRole(ctx context.Context, base, role string, fence int64) error {
	return c.order(ctx, base+"/v1/role", roleOrder{role}, fence)
}

func (c *Client) order(ctx context.Context, url string, body any, fence int64) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderFence, strconv.FormatInt(fence, 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return ErrFenced
	case http.StatusInsufficientStorage:
		return ErrNoSlot
	}
	return fmt.Errorf("upstream: order: status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
}
