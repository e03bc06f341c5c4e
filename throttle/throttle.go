// Package throttle bounds the request rate to upstreams that state in their responses how many
// requests per second they accept from all hosts together.
//
// Table holds the limits that a host knows. Limiter admits requests to one upstream within a
// share of its limit. Share divides a limit among hosts that cannot coordinate. The package does
// no I/O and reads no clock.
package throttle

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxPerSecond is the highest limit that is accepted, in requests per second. No upstream serves
// as many.
const MaxPerSecond = 1e6

// ErrInvalidLimit is returned for a text that states no limit.
var ErrInvalidLimit = errors.New("throttle: not a decimal number of requests per second")

// Parse parses a decimal number of requests per second, from 0 to MaxPerSecond. Its errors wrap
// ErrInvalidLimit.
func Parse(text string) (float64, error) {
	trimmed := strings.TrimSpace(text)
	if strings.Trim(trimmed, "0123456789+-.eE") != "" {
		return 0, fmt.Errorf("%w: %.40q", ErrInvalidLimit, text)
	}
	perSecond, err := strconv.ParseFloat(trimmed, 64)
	if err != nil || math.IsNaN(perSecond) || math.Signbit(perSecond) || perSecond > MaxPerSecond {
		return 0, fmt.Errorf("%w between 0 and %g: %.40q", ErrInvalidLimit, float64(MaxPerSecond), text)
	}
	return perSecond, nil
}

// Statement is what a response states about its upstream's limit.
type Statement struct {
	// PerSecond is the limit in requests per second. It is valid if Stated is set.
	PerSecond float64
	Stated    bool
	// Absent means that the response is one in which the upstream would have stated a limit if it
	// had one.
	Absent bool
	// Err is the reason why a stated limit is ignored, nil if it is valid or absent.
	Err error
}

// Incarnation identifies one start of an upstream, which may start again under the same ID.
type Incarnation struct {
	ID string
	// StartedAt is the start time in Unix milliseconds.
	StartedAt int64
}

// Limit is the limit of one upstream.
type Limit struct {
	// PerSecond is the number of requests per second that the upstream accepts.
	PerSecond float64
	// HeardAt is when a host last heard of the limit, from the upstream or from another host.
	HeardAt time.Time
	// WithdrawnAt is when the upstream was found to state no limit any more, zero before. The limit
	// then grows until it ends.
	WithdrawnAt time.Time
	// Version is the leader's version of the limit, 0 if no leader has confirmed it.
	Version uint64
}
