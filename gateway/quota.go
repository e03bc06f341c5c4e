package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/core"
)

// The headers that tell a caller its organisation's rate, in tokens.
const (
	headerRateLimit     = "X-Ratelimit-Limit-Tokens"
	headerRateRemaining = "X-Ratelimit-Remaining-Tokens"
	headerRateReset     = "X-Ratelimit-Reset-Tokens"
)

// defaultRetryAfter is told with a refusal that a retry can cure, where the
// decision named no time.
const defaultRetryAfter = time.Second

// tellQuota sets the rate headers. They have no effect once the answer has begun.
func (x *exchange) tellQuota(q core.Quota) {
	if !q.Known || x.wrote {
		return
	}
	h := x.w.Header()
	h.Set(headerRateLimit, strconv.FormatInt(q.Limit, 10))
	h.Set(headerRateRemaining, strconv.FormatInt(q.Remaining, 10))
}

// tellRetry sets when to come back, for every kind that a retry can cure.
func tellRetry(h http.Header, e *apierr.Error) {
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
