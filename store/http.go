package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jasminelock/jasminelock/httpcheck"
)

// Client limits.
const (
	// DefaultTimeout is the deadline of one call to the platform.
	DefaultTimeout = 2 * time.Second
	// maxAnswerBytes is the maximum size of a response body that is read.
	maxAnswerBytes = 64 << 20
)

// Client is the HTTP client of the platform's services. It implements TableService,
// WeightStore and HostList; Objects returns it as an ObjectStore.
type Client struct {
	baseURL string
	client  *http.Client
	// onUnavailable is called with the name of the service for each call that failed with
	// ErrUnavailable.
	onUnavailable func(service string)
	// stated is the highest era that a response has stated, plus 1. It is 0 before the first response.
	stated atomic.Int64
	// restores is the number of times that a response has stated a higher era than one before.
	restores atomic.Int64
}

// NewClient returns a client of the services at base, "http://ip:port". Each call
// fails with ErrUnavailable after timeout.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{
		baseURL: strings.TrimSuffix(base, "/"), client: &http.Client{Timeout: timeout, Transport: httpcheck.NewTransport(newTransport())},
		onUnavailable: func(string) {},
	}
}

// newTransport returns a transport with the options of http.DefaultTransport.
func newTransport() *http.Transport {
	if transport, ok := http.DefaultTransport.(*http.Transport); ok {
		return transport.Clone()
	}
	return &http.Transport{}
}

// ObserveErrors registers f, which is called with the name of the service ("tables",
// "objects", "weights" or "hosts") for each call that failed with ErrUnavailable. It
// must be called before the first call to a service.
func (c *Client) ObserveErrors(f func(service string)) { c.onUnavailable = f }

// Get implements TableService.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	var row Row
	q := url.Values{"key": {key}}
	err := c.call(ctx, http.MethodGet, "/tables/"+url.PathEscape(table)+"/row?"+q.Encode(), nil, &row)
	return row, err
}

// List implements TableService.
func (c *Client) List(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.call(ctx, http.MethodGet, "/tables/"+url.PathEscape(table)+"/rows?"+q.Encode(), nil, &rows)
	return rows, err
}

// Commit implements TableService.
func (c *Client) Commit(ctx context.Context, txn Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, "/tables/commit", body, nil)
}

// Put implements ObjectStore.
func (c *Client) Put(ctx context.Context, name string, data []byte, onlyNew bool) error {
	req, err := c.newRequest(ctx, http.MethodPut, objectPath(name), data)
	if err != nil {
		return err
	}
	if onlyNew {
		req.Header.Set("If-None-Match", "*")
	}
	_, err = c.do(req)
	return err
}

func objectPath(name string) string {
	return "/objects/" + url.PathEscape(name)
}

// Delete implements ObjectStore.
func (c *Client) Delete(ctx context.Context, name string) error {
	err := c.call(ctx, http.MethodDelete, objectPath(name), nil, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Objects returns the client as an ObjectStore.
func (c *Client) Objects() ObjectStore {
	return objectClient{c}
}

// objectClient exposes Client.GetObject as Get, as ObjectStore requires. Client.Get
// reads a row.
type objectClient struct{ *Client }

// Get implements ObjectStore.
func (o objectClient) Get(ctx context.Context, name string) ([]byte, error) {
	return o.GetObject(ctx, name)
}

// GetObject returns an object's bytes, or ErrNotFound.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	req, err := c.newRequest(ctx, http.MethodGet, objectPath(name), nil)
	if err != nil {
		return nil, err
	}
	return c.do(req)
}

// Stat implements WeightStore.
func (c *Client) Stat(ctx context.Context, source string) (WeightInfo, error) {
	var info WeightInfo
	err := c.call(ctx, http.MethodGet, "/weights/"+url.PathEscape(source), nil, &info)
	return info, err
}

// Hosts implements HostList.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := c.call(ctx, http.MethodGet, "/hosts", nil, &hosts)
	return hosts, err
}

// Announce implements HostList.
func (c *Client) Announce(ctx context.Context, h Host, ttl time.Duration) error {
	body, err := json.Marshal(h)
	if err != nil {
		return err
	}
	q := url.Values{"ttl": {ttl.String()}}
	return c.call(ctx, http.MethodPut, "/hosts/"+url.PathEscape(h.Name)+"?"+q.Encode(), body, nil)
}

// Withdraw implements HostList.
func (c *Client) Withdraw(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodDelete, "/hosts/"+url.PathEscape(name), nil, nil)
}

func (c *Client) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	answer, err := c.do(req)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("%w: response is not valid JSON: %w", ErrUnavailable, err)
	}
	return nil
}

func (c *Client) do(req *http.Request) ([]byte, error) {
	answer, err := c.roundTrip(req)
	if errors.Is(err, ErrUnavailable) {
		service, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
		c.onUnavailable(service)
	}
	return answer, err
}

func (c *Client) roundTrip(req *http.Request) ([]byte, error) {
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case len(answer) > maxAnswerBytes:
		return nil, fmt.Errorf("%w: response of more than %d bytes", ErrUnavailable, maxAnswerBytes)
	}
	if stated := eraOfHeader(resp.Header); !c.observeEra(stated) {
		return nil, fmt.Errorf("%w: response of era %d, which is over", ErrUnavailable, stated)
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, ErrNotFound
	case resp.StatusCode == http.StatusConflict, resp.StatusCode == http.StatusPreconditionFailed:
		return nil, ErrConflict
	case resp.StatusCode >= http.StatusBadRequest:
		return nil, fmt.Errorf("%w: status %d: %s", ErrUnavailable, resp.StatusCode, strings.TrimSpace(string(answer)))
	}
	return answer, nil
}

// Era implements EraReporter: it returns the highest era that a response has stated.
func (c *Client) Era() int64 { return max(c.stated.Load(), 1) - 1 }

// Restores returns the number of times that the services have come back from a copy since the first response.
func (c *Client) Restores() int64 { return c.restores.Load() }

// observeEra records the era of a response. It returns false if the era is over: the response is of a state that the
// services no longer have.
func (c *Client) observeEra(era int64) bool {
	for {
		known := c.stated.Load()
		switch {
		case era+1 <= known:
			return era+1 == known
		case c.stated.CompareAndSwap(known, era+1):
			if known > 0 {
				c.restores.Add(1)
			}
			return true
		}
	}
}
