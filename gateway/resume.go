package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jasminelock/jasminelock/upstream"
)

const (
	// maxResumes is the maximum number of resumptions of one stream.
	maxResumes = 2
	// cancelTimeout is the timeout of the call that cancels a stream.
	cancelTimeout = time.Second
)

// resume requests the rest of an interrupted stream from the same engine: no other engine
// has the same continuation of the response. It returns false if no event has reached the
// caller, if ctx has ended, after maxResumes resumptions, or if the engine cannot resume
// the stream.
func (s *streamRelay) resume(ctx context.Context) (io.ReadCloser, bool) {
	x := s.exchange
	if !x.headerWritten || ctx.Err() != nil || s.resumeCount >= maxResumes {
		return nil, false
	}
	s.resumeCount++
	resp, err := x.server.upstreams.Call(ctx, x.upstreamURL, upstream.Call{
		Attempt: x.attemptID, Method: http.MethodGet,
		Path: upstream.StreamPath(x.attemptID) + "?after=" + strconv.Itoa(s.eventCount),
	})
	if err != nil {
		return nil, false
	}
	// Without the echoed attempt id, the response could be any stream.
	if resp.Status != http.StatusOK || resp.Header.Get(upstream.HeaderAttempt) != x.attemptID {
		_ = resp.Body.Close()
		return nil, false
	}
	return resp.Body, true
}

// cancelUpstream requests the engine to cancel the stream. Closing the connection is not
// enough: an engine that can resume streams goes on generating after that.
func (x *exchange) cancelUpstream(ctx context.Context) {
	base, call := x.upstreamURL, upstream.Call{
		Attempt: x.attemptID, Method: http.MethodDelete, Path: upstream.StreamPath(x.attemptID),
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if resp, err := x.server.upstreams.Call(ctx, base, call); err == nil {
		_ = resp.Body.Close()
	}
}
