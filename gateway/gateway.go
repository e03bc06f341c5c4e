// Package gateway serves callers over HTTP: the OpenAI-compatible API, plain services by
// route prefix, and /v1/locate, which lists the hosts to use.
package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/blackboard"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/intake/callers"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/upstream"
)

// attemptPrefixLength is the number of characters of a UUID at the start of each attempt id.
const attemptPrefixLength = 18

// Request headers that the gateway reads and does not forward to an upstream.
const (
	headerAPIKey         = "X-Api-Key"
	headerIdempotencyKey = "Idempotency-Key"
)

// Defaults of Limits. Sizes are in bytes.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 32 << 10
	// DefaultReadTimeout bounds the time to read a request, header and body. It is for
	// http.Server.ReadTimeout.
	DefaultReadTimeout    = 15 * time.Second
	DefaultRequestTimeout = 2 * time.Minute
	DefaultWriteTimeout   = 30 * time.Second
)

// Limits are the bounds of one caller's request.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes int
	// RequestTimeout is the time from a completion request's arrival to its deadline.
	// Services have the timeout of their route.
	RequestTimeout time.Duration
	// WriteTimeout bounds each write to the caller: of one event of a stream, or of a whole
	// response that is not a stream.
	WriteTimeout time.Duration
}

// Ticket identifies one request in the core and delivers the core's decisions on it.
type Ticket interface {
	// ID is the request's id in the core.
	ID() sched.RequestID
	// Decisions delivers the core's decisions on the request: core.Dispatch,
	// core.Claim and, as the last one, core.Finish.
	Decisions() <-chan core.Decision
}

// Runtime delivers events to the core.
type Runtime interface {
	// NewTicket returns a ticket with a new id. It must be passed to Submit.
	NewTicket() Ticket
	// Submit delivers a request to the core.
	Submit(t Ticket, r core.Request)
	// Handle delivers any other event to the core.
	Handle(ev core.Event)
}

// Server is the HTTP handler for callers.
type Server struct {
	log       hclog.Logger
	runtime   Runtime
	board     *blackboard.Board
	upstreams upstream.Caller
	limits    Limits
	mux       *http.ServeMux
	ready     func() bool
	keyClaims KeyClaims
	leaving   func() bool
	stopping  context.Context
	running   atomic.Int64
	// attemptPrefix makes attempt ids unique across hosts and across restarts of one host.
	attemptPrefix string
}

// Options are the dependencies and limits of a Server.
type Options struct {
	Log            hclog.Logger
	Runtime        Runtime
	Board          *blackboard.Board
	UpstreamCaller upstream.Caller
	Limits         Limits
	// Ready reports whether the host is ready to serve callers. It decides the status of
	// /readyz.
	Ready func() bool
	// KeyClaims records the idempotency keys of requests to services.
	KeyClaims KeyClaims
	// Leaving reports whether callers are to close their connections to this host. Nil means never.
	Leaving func() bool
	// Stopping ends when this host is about to end, which cancels the attempts that still run. Nil means never. The
	// core must have handled StopStarted before.
	Stopping context.Context
}

// New returns a Server. A WriteTimeout of 0 or less is replaced by DefaultWriteTimeout.
func New(o Options) *Server {
	s := &Server{
		log: o.Log, runtime: o.Runtime, board: o.Board, upstreams: o.UpstreamCaller,
		limits: o.Limits, ready: o.Ready, mux: http.NewServeMux(),
		keyClaims: o.KeyClaims, leaving: o.Leaving, stopping: o.Stopping, attemptPrefix: uuid.NewString()[:attemptPrefixLength] + "-",
	}
	if s.leaving == nil {
		s.leaving = func() bool { return false }
	}
	if s.stopping == nil {
		s.stopping = context.Background()
	}
	if s.limits.WriteTimeout <= 0 {
		s.limits.WriteTimeout = DefaultWriteTimeout
	}
	s.mux.HandleFunc("/v1/chat/completions", s.requireMethod(http.MethodPost, s.completions))
	s.mux.HandleFunc("/v1/completions", s.requireMethod(http.MethodPost, s.completions))
	s.mux.HandleFunc("/v1/models", s.requireMethod(http.MethodGet, s.models))
	s.mux.HandleFunc("/v1/locate", s.requireMethod(http.MethodGet, s.locate))
	s.mux.HandleFunc("/healthz", s.requireMethod(http.MethodGet, s.healthz))
	s.mux.HandleFunc("/readyz", s.requireMethod(http.MethodGet, s.readyz))
	s.mux.HandleFunc("/", s.service)
	return s
}

// ServeHTTP implements http.Handler. The response repeats the caller's X-Request-Id, or has
// a new one if that is missing, not a valid token or contains a key.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.leaving() {
		w.Header().Set("Connection", "close")
	}
	id := r.Header.Get("X-Request-Id")
	if !validToken(id, maxRequestIDBytes) || newRedactor(r.Header).containsKey(id) {
		id = uuid.NewString()
	}
	w.Header().Set("X-Request-Id", id)
	held, err := callers.Begin(r)
	defer held.End()
	if err != nil {
		writeError(w, noMemoryError(w))
		return
	}
	if held.MustClose() {
		w.Header().Set("Connection", "close")
	}
	if held != nil {
		if !held.SetKey(callerSecret(r.Header)) {
			writeError(w, noMemoryError(w))
			return
		}
		r = r.WithContext(callers.WithRequest(r.Context(), held))
	}
	s.mux.ServeHTTP(w, r)
}

// Running returns the number of requests that have not ended.
func (s *Server) Running() int { return int(s.running.Load()) }

// maxRequestIDBytes is the maximum length of a caller's X-Request-Id in bytes.
const maxRequestIDBytes = 128

// validToken reports whether text has 1 to maxBytes bytes, all printable ASCII without
// spaces.
func validToken(text string, maxBytes int) bool {
	if text == "" || len(text) > maxBytes {
		return false
	}
	for _, c := range text {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// requireMethod returns h restricted to one HTTP method. Other methods get MethodNotAllowed.
func (s *Server) requireMethod(method string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			writeError(w, apierr.New(apierr.MethodNotAllowed, "only %s is allowed", method))
			return
		}
		h(w, r)
	}
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, statusBody{"ok"})
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		writeError(w, apierr.New(apierr.NotReady, ""))
		return
	}
	writeJSON(w, http.StatusOK, statusBody{"ready"})
}

// statusBody is the response body of /healthz and /readyz.
type statusBody struct {
	Status string `json:"status"`
}

// callerSecret returns the caller's secret from a Bearer Authorization header, or from X-Api-Key
// if there is none. It returns "" if neither is set.
func callerSecret(h http.Header) string {
	if scheme, secret, ok := strings.Cut(h.Get("Authorization"), " "); ok && strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(secret)
	}
	return h.Get(headerAPIKey)
}

// retryAfterSeconds formats d in whole seconds. It rounds up, so that a caller does not
// retry too early.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
