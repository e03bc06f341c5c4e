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

	"github.com/jasminelock/jasminelock/httpcheck"
)

// Timeouts and bounds of a Client. reportTimeout also bounds reading cache events;
// orderTimeout includes the time to load an adapter. maxIdlePerUpstream is the maximum number
// of idle connections to one upstream.
const (
	dialTimeout        = time.Second
	reportTimeout      = 2 * time.Second
	orderTimeout       = 2 * time.Minute
	maxIdlePerUpstream = 64
	maxReportBytes     = 4 << 20
	// maxHeaderBytes is the maximum size of a response's header, with the interim responses before it.
	maxHeaderBytes = 64 << 10
)

// Client is the HTTP client for upstreams. It implements Caller and Controller.
type Client struct {
	// shared reuses connections.
	shared *http.Client
	// singleUse opens a new connection for each call.
	singleUse *http.Client
}

// NewClient returns a Client. It neither follows redirects nor retries, so that a call
// reaches an upstream at most once.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	singleUseTransport := transport.Clone()
	singleUseTransport.DisableKeepAlives = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		shared:    &http.Client{Transport: httpcheck.NewTransport(transport), CheckRedirect: noRedirect},
		singleUse: &http.Client{Transport: httpcheck.NewTransport(singleUseTransport), CheckRedirect: noRedirect},
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
	client := c.shared
	if call.NewConnection {
		client = c.singleUse
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, classifyError(err)
	}
	if echoed := resp.Header.Get(HeaderAttempt); echoed != "" && echoed != call.Attempt {
		_ = resp.Body.Close()
		return nil, ErrAttemptMismatch
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

// nonRewindableReader hides the type of the body's reader. From a bytes.Reader the http
// package would derive GetBody, with which the transport may send a request again.
type nonRewindableReader struct{ io.Reader }

// newBody returns a reader of a request body that cannot be rewound.
func newBody(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return nonRewindableReader{bytes.NewReader(body)}
}

// classifyError wraps err in ErrNotSent if the connection could not be opened, so that no
// byte of the call can have left the host.
func classifyError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

// Report implements Controller.
func (c *Client) Report(ctx context.Context, base string) (Report, error) {
	var r Report
	err := c.getJSON(ctx, base+"/v1/load_report", &r)
	return r, err
}

// CacheEvents implements Controller.
func (c *Client) CacheEvents(ctx context.Context, base string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.getJSON(ctx, base+"/v1/cache_events?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

// getJSON decodes the JSON response to a GET request into result. Any status but 200 is an error.
func (c *Client) getJSON(ctx context.Context, url string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.shared.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("upstream: GET request failed with status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// adapterOrder is the body of a load or unload order, in vLLM's format.
type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// roleOrder is the body of an order to change the role.
type roleOrder struct {
	Role string `json:"role"`
}

// Load implements Controller.
func (c *Client) Load(ctx context.Context, base string, order LoadOrder) error {
	return c.sendOrder(ctx, base+"/v1/load_lora_adapter", adapterOrder{order.Name, order.Source}, order.Fence)
}

// Unload implements Controller.
func (c *Client) Unload(ctx context.Context, base, name string, fence int64) error {
	return c.sendOrder(ctx, base+"/v1/unload_lora_adapter", adapterOrder{Name: name}, fence)
}

// SetRole implements Controller.
func (c *Client) SetRole(ctx context.Context, base, role string, fence int64) error {
	return c.sendOrder(ctx, base+"/v1/role", roleOrder{role}, fence)
}

// sendOrder sends an order with its fencing number to an engine. It returns ErrFenced for status
// 412, ErrNoSlot for 507 and another error for any other status but 200, and for a response that
// breaks off.
func (c *Client) sendOrder(ctx context.Context, url string, body any, fence int64) error {
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
	resp, err := c.shared.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	detail, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return ErrFenced
	case http.StatusInsufficientStorage:
		return ErrNoSlot
	}
	return fmt.Errorf("upstream: order failed with status %d: %s", resp.StatusCode, bytes.TrimSpace(detail))
}
