package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/core"
)

// Response headers with the rate limit of the caller's organisation, in tokens. The reset
// header holds a duration.
const (
	headerRateLimit     = "X-Ratelimit-Limit-Tokens"
	headerRateRemaining = "X-Ratelimit-Remaining-Tokens"
	headerRateReset     = "X-Ratelimit-Reset-Tokens"
)

// defaultRetryAfter is the Retry-After of an error that may be retried if the error sets
// none.
const defaultRetryAfter = time.Second

// setRateLimitHeaders sets the rate limit headers, unless the response header has been written.
func (x *exchange) setRateLimitHeaders(q core.Quota) {
	if !q.Known || x.headerWritten {
		return
	}
	h := x.w.Header()
	h.Set(headerRateLimit, strconv.FormatInt(q.Limit, 10))
	h.Set(headerRateRemaining, strconv.FormatInt(q.Remaining, 10))
}

// setRetryAfter sets Retry-After for every error that may be retried, and the reset header for
// RateLimited.
func setRetryAfter(h http.Header, e *apierr.Error) {
	after := e.RetryAfter
	if after <= 0 && e.Kind.Definition().Retry {
		after = defaultRetryAfter
	}
	if after <= 0 {
		return
	}
	h.Set("Retry-After", retryAfterSeconds(after))
	if e.Kind == apierr.RateLimited {
		h.Set(headerRateReset, after.Round(time.Millisecond).String())
	}
}
