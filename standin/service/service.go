// Package service is a stand-in for a plain service. It counts how often each
// call was executed.
package service

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/upstream"
)

// Execution is one call that the service has executed.
type Execution struct {
	Attempt string      `json:"attempt"`
	Method  string      `json:"method"`
	URL     string      `json:"url"`
	Body    string      `json:"body"`
	Header  http.Header `json:"header"`
}

// Service answers every path.
type Service struct {
	delay time.Duration

	// mu guards all below.
	mu         sync.Mutex
	sequence   int64
	running    int
	executions []Execution
}

// New returns a service that takes delay for each call.
func New(delay time.Duration) *Service {
	return &Service{delay: delay}
}

// Executions returns the calls executed so far.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}

// receipt is the service's answer.
type receipt struct {
	Number int    `json:"number"`
	Path   string `json:"path"`
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/load_report":
		s.report(w)
	case "/executions":
		standin.WriteJSON(w, http.StatusOK, s.Executions())
	default:
		s.execute(w, r)
	}
}

func (s *Service) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	standin.WriteJSON(w, http.StatusOK, upstream.Report{Incarnation: "1", Sequence: s.sequence, Running: s.running})
}

func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.running++
	s.executions = append(s.executions, Execution{r.Header.Get(upstream.HeaderAttempt), r.Method, r.URL.String(), string(body), r.Header.Clone()})
	number := len(s.executions)
	s.mu.Unlock()
	time.Sleep(s.delay)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
	w.Header().Set("X-Receipt", strconv.Itoa(number))
	standin.WriteJSON(w, http.StatusOK, receipt{Number: number, Path: r.URL.Path})
}
