// Package gateway serves callers over HTTP: the OpenAI-compatible interface,
// plain services by route prefix, and the question which host to use.
package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/blackboard"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/upstream"
)

// attemptPrefixLength is how much of a UUID starts each attempt id.
const attemptPrefixLength = 18

// Request headers that are read here and not passed on.
const (
	headerAPIKey         = "X-Api-Key"
	headerIdempotencyKey = "Idempotency-Key"
)

// Defaults of Limits.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 32 << 10
	// DefaultReadTimeout bounds how long a request may take to arrive. It is for
	// http.Server.ReadTimeout.
	DefaultReadTimeout    = 15 * time.Second
	DefaultRequestTimeout = 2 * time.Minute
	DefaultWriteTimeout   = 30 * time.Second
)

// Limits bound what one caller can use.
type Limits struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int
	// RequestTimeout is a request's deadline, counted from its arrival.
	RequestTimeout time.Duration
	// WriteTimeout bounds how long a caller may take over one part of an answer.
	WriteTimeout time.Duration
}

// Ticket follows one request through the core.
type Ticket interface {
	// ID is the request's id in the core.
	ID() sched.RequestID
	// Decisions gives the core's decisions on the request: core.Dispatch,
	// core.Claim and, as the last one, core.Finish.
	Decisions() <-chan core.Decision
}

// Runtime hands events to the core.
type Runtime interface {
	// NewTicket returns a ticket with a fresh id. It must be given to Submit.
	NewTicket() Ticket
	// Submit brings a request to the core.
	Submit(t Ticket, r core.Request)
	// Handle brings any other event to the core.
	Handle(ev core.Event)
}

// Server serves callers.
type Server struct {
	log     hclog.Logger
	runtime Runtime
	board   *blackboard.Board
	caller  upstream.Caller
	limits  Limits
	mux     *http.ServeMux
	ready   func() bool
	claims  KeyClaims
	// attemptPrefix keeps the attempt ids of two hosts, or of one host before
	// and after a restart, apart.
	attemptPrefix string
}

// Options are the parts that a Server is made of.
type Options struct {
	Log     hclog.Logger
	Runtime Runtime
	Board   *blackboard.Board
	UpstreamCaller  upstream.Caller
	Limits  Limits
	// Ready reports whether the host may be given callers.
	Ready func() bool
	// KeyClaims records idempotency keys.
	KeyClaims KeyClaims
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{
		log: o.Log, runtime: o.Runtime, board: o.Board, caller: o.UpstreamCaller,
		limits: o.Limits, ready: o.Ready, mux: http.NewServeMux(),
		claims: o.KeyClaims, attemptPrefix: uuid.NewString()[:attemptPrefixLength] + "-",
	}
	if s.limits.WriteTimeout <= 0 {
		s.limits.WriteTimeout = DefaultWriteTimeout
	}
	s.mux.HandleFunc("/v1/chat/completions", s.method(http.MethodPost, s.completions))
	s.mux.HandleFunc("/v1/completions", s.method(http.MethodPost, s.completions))
	s.mux.HandleFunc("/v1/models", s.method(http.MethodGet, s.models))
	s.mux.HandleFunc("/v1/locate", s.method(http.MethodGet, s.locate))
	s.mux.HandleFunc("/healthz", s.method(http.MethodGet, s.healthz))
	s.mux.HandleFunc("/readyz", s.method(http.MethodGet, s.readyz))
	s.mux.HandleFunc("/", s.service)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if !validToken(id, maxRequestIDBytes) || newRedactor(r.Header).holdsKey(id) {
		id = uuid.NewString()
	}
	w.Header().Set("X-Request-Id", id)
	s.mux.ServeHTTP(w, r)
}

// maxRequestIDBytes bounds a request id that a caller chose.
const maxRequestIDBytes = 128

// validToken reports whether text that a caller chose is printable ASCII
// without spaces and not too long.
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

func (s *Server) method(method string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			writeError(w, apierr.New(apierr.MethodNotAllowed, "%s only", method))
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

// statusBody is the answer of the health endpoints.
type statusBody struct {
	Status string `json:"status"`
}

// bearer returns the caller's secret. It is taken from Authorization, or from
// X-Api-Key where there is no Authorization.
func bearer(h http.Header) string {
	if scheme, secret, ok := strings.Cut(h.Get("Authorization"), " "); ok && strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(secret)
	}
	return h.Get(headerAPIKey)
}

// retryAfterSeconds rounds up, so that a caller does not come back too early.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
