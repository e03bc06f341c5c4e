// Package caller is a stand-in for callers on the users' platform and for the
// platform's own checks of hosts. It builds their requests.
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

// HostName is the host name that callers send their requests to.
const HostName = "x.example"

// Headers that tests set or read themselves.
const (
	HeaderKey       = "Authorization"
	HeaderAttempt   = "Jasminelock-Attempt-Id"
	HeaderUsage     = "Jasminelock-Token-Usage"
	HeaderSignature = "Jasminelock-Response-Signature"
	HeaderNotRun    = "Jasminelock-Not-Executed"
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
	// Timeout is the time that the caller waits for an answer, sent as the deadline.
	// 0 sends none.
	Timeout time.Duration
	// Model and Adapter are set for a call to an engine. PromptTokens and
	// OutputTokens are the tokens read and generated.
	Model        string
	Adapter      string
	PromptTokens int
	OutputTokens int
	// Parts are the IDs of the prompt's parts.
	Parts []string
}

// KeyHeaderValue returns the value of HeaderKey for a key.
func KeyHeaderValue(key string) string { return "Token " + key }

// Request returns the call as a request to a host at "ip:port". It has no GetBody,
// so that the HTTP client cannot retry it on its own.
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
	if len(c.Parts) > 0 {
		r.Header.Set("Jasminelock-Prompt-Prefix", strings.Join(c.Parts, ":50,")+":50")
	}
	return r, nil
}

// ReadyURL returns the address at which the platform checks whether a host is ready.
func ReadyURL(address string) string { return "http://" + address + "/v1/readyz" }

// DirectoryURL returns the address at which a caller in an availability zone asks
// for the hosts to use.
func DirectoryURL(address, zone string) string {
	return "http://" + address + "/v1/resolve?" + url.Values{"name": {HostName}, "zone": {zone}}.Encode()
}
