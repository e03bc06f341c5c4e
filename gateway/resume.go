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
	if !x.wrote || ctx.Err() != nil || s.resumes >= maxResumes {
		return nil, false
	}
	s.resumes++
	answer, err := x.server.caller.Call(ctx, x.upstream, upstream.Call{
		Attempt: x.attemptID, Method: http.MethodGet,
		Path: upstream.StreamPath(x.attemptID) + "?after=" + strconv.Itoa(s.events),
	})
	if err != nil {
		return nil, false
	}
	// Without the echoed attempt id, the response could be any stream.
	if answer.Status != http.StatusOK || answer.Header.Get(upstream.HeaderAttempt) != x.attemptID {
		_ = answer.Body.Close()
		return nil, false
	}
	return answer.Body, true
}

// cancelUpstream asks the engine to cancel the stream. Closing the connection is not
// enough: an engine that can resume streams goes on generating after that.
func (x *exchange) cancelUpstream(ctx context.Context) {
	base, call := x.upstream, upstream.Call{
		Attempt: x.attemptID, Method: http.MethodDelete, Path: upstream.StreamPath(x.attemptID),
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if answer, err := x.server.caller.Call(ctx, base, call); err == nil {
		_ = answer.Body.Close()
	}
}
