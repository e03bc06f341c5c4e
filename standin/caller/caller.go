// Package caller is a stand-in for callers on the users' platform and for the
// platform's own checks of hosts: it spells their requests.
package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// HostName is the name of the system that callers ask for.
const HostName = "x.example"

// Headers that a test may want to set or read itself.
const (
	HeaderKey       = "Authorization"
	HeaderAttempt   = "Jasminelock-Attempt-Id"
	HeaderUsage     = "Jasminelock-Token-Usage"
	HeaderSignature = "Jasminelock-Response-Signature"
)

// Call is a caller's request.
type Call struct {
	Method string
	// Path may hold a query.
	Path string
	Body string
	// ID is the id of this attempt.
	ID string
	// Key is the caller's key, "" for none.
	Key string
	// Timeout is how long the caller waits, 0 for not saying.
	Timeout time.Duration
	// Model and Adapter are set for an engine, with the tokens read and made.
	Model        string
	Adapter      string
	PromptTokens int
	OutputTokens int
}

// KeyHeaderValue returns the value of the header that carries a key.
func KeyHeaderValue(key string) string { return "Token " + key }

// Request returns the call as a request to a host at "ip:port". The client cannot
// send it again by itself.
func (c *Call) Request(ctx context.Context, address string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil
	r.Host = HostName
	r.Header.Set(HeaderAttempt, c.ID)
	if c.Key != "" {
		r.Header.Set(HeaderKey, KeyHeaderValue(c.Key))
	}
	if c.Timeout > 0 {
		r.Header.Set("Jasminelock-Deadline-Ms", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	}
	if c.Model != "" {
		r.Header.Set("Jasminelock-Model", c.Model+"/"+c.Adapter)
		r.Header.Set(HeaderUsage, fmt.Sprintf("%d,%d", c.PromptTokens, c.OutputTokens))
	}
	return r, nil
}

// ReadyURL is where the platform asks whether a host is ready.
func ReadyURL(address string) string { return "http://" + address + "/v1/readyz" }

// DirectoryURL is where a caller of an availability zone asks which hosts to use.
func DirectoryURL(address, zone string) string {
	return "http://" + address + "/v1/resolve?" + url.Values{"name": {HostName}, "zone": {zone}}.Encode()
}
