package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/upstream"
)

// stream is an answer's events as they are generated. Any number of
// connections can follow it.
type stream struct {
	cancel context.CancelFunc

	// mu guards all below.
	mu     sync.Mutex
	events [][]byte
	ended  bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// add appends an event, or ends the stream where there is none.
func (s *stream) add(event []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event == nil {
		s.ended = true
	} else {
		s.events = append(s.events, event)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// at returns the event at a place, or what to wait for. Both are nil at the end.
func (s *stream) at(i int) (event []byte, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case i < len(s.events):
		return s.events[i], nil
	case s.ended:
		return nil, nil
	}
	return nil, s.changed
}

// writeStream generates the answer and follows it. An engine that cannot resume
// ends the generation with the connection.
func (a *answer) writeStream() {
	a.engine.mu.Lock()
	ctx := a.engine.life
	a.engine.mu.Unlock()
	if !a.engine.settings.Resumable {
		ctx = a.r.Context()
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &stream{cancel: cancel, changed: make(chan struct{})}
	id := a.r.Header.Get(upstream.HeaderAttempt)
	a.engine.mu.Lock()
	a.engine.streams[id] = s
	a.engine.mu.Unlock()
	go a.generate(ctx, s)
	a.engine.follow(a.w, a.r, s, 0, a.engine.currentFaults().CutAfterTokens)
}

func (a *answer) generate(ctx context.Context, s *stream) {
	defer s.add(nil)
	if !sleep(ctx, a.engine.settings.FirstTokenTime) {
		return
	}
	for i := range a.tokens {
		s.add(encodeEvent(a.chunk(i)))
		if !sleep(ctx, a.engine.settings.TokenTime) {
			return
		}
	}
	if a.request.StreamOptions.IncludeUsage {
		last := a.completion("chat.completion.chunk")
		last.Choices = []choice{}
		last.Usage = a.usage()
		s.add(encodeEvent(last))
	}
	s.add([]byte("data: [DONE]\n\n"))
}

func encodeEvent(c completion) []byte {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return fmt.Appendf(nil, "data: %s\n\n", raw)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// follow writes a stream's events from a place on. It breaks the connection off
// after cut events, 0 for never, or where the generation was cancelled.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, s *stream, from, cut int) {
	w.Header().Set("Content-Type", "text/event-stream")
	done := false
	for i := from; ; i++ {
		event, changed := s.at(i)
		for event == nil && changed != nil {
			select {
			case <-r.Context().Done():
				return
			case <-changed:
			}
			event, changed = s.at(i)
		}
		switch {
		case event == nil && !done, cut > 0 && i-from >= cut:
			panic(http.ErrAbortHandler)
		case event == nil:
			return
		}
		if _, err := w.Write(event); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if i == from {
			e.calls.Apply(standin.MidAnswer, w)
		}
		done = string(event) == "data: [DONE]\n\n"
	}
}

func (e *Engine) stream(r *http.Request) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[r.PathValue("attempt")]
	return s, ok && e.settings.Resumable
}

func (e *Engine) resumeStream(w http.ResponseWriter, r *http.Request) {
	s, ok := e.stream(r)
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if !ok || err != nil {
		writeError(w, http.StatusNotFound, "NotFoundError", "there is no such stream")
		return
	}
	w.Header().Set(upstream.HeaderAttempt, r.PathValue("attempt"))
	e.follow(w, r, s, after, 0)
}

func (e *Engine) cancelStream(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.PathValue("attempt")
	if s, ok := e.streams[id]; ok {
		s.cancel()
		delete(e.streams, id)
		e.cancelled = append(e.cancelled, id)
	}
}

// Cancelled returns the attempts whose streams were cancelled.
func (e *Engine) Cancelled() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.cancelled...)
}
