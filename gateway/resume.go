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
	// maxResumes bounds how often one stream is resumed.
	maxResumes = 2
	// cancelTimeout bounds the call that cancels a stream.
	cancelTimeout = time.Second
)

// resume asks the same engine for the rest of a stream that has broken off. It
// is not asked of another engine: only the one that generated the answer has
// the same continuation.
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
	// An engine that does not echo the attempt could be giving any stream.
	if answer.Status != http.StatusOK || answer.Header.Get(upstream.HeaderAttempt) != x.attemptID {
		_ = answer.Body.Close()
		return nil, false
	}
	return answer.Body, true
}

// cancelUpstream tells the engine that nobody takes the stream any more. An
// engine that can resume goes on after its connection has closed.
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
