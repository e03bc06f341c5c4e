// Package service is a stand-in for a plain service. It counts how often each
// call was executed.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/upstream"
)

// Execution is one call that the service has executed.
type Execution struct {
	// StartedAt is when the execution started.
	StartedAt      time.Time   `json:"at"`
	Attempt string      `json:"attempt"`
	Method  string      `json:"method"`
	URL     string      `json:"url"`
	Body    string      `json:"body"`
	Header  http.Header `json:"header"`
}

// Service answers every path.
type Service struct {
	faults standin.FaultSwitch
	// active counts the calls that have arrived and not ended.
	active atomic.Int64

	// mu guards all below.
	mu         sync.Mutex
	delay      time.Duration
	sequence   int64
	running    int
	executions []Execution
	answer     []byte
}

// SetFault replaces the fault that calls meet.
func (s *Service) SetFault(f standin.Fault) { s.faults.Set(f) }

// Active returns how many calls have arrived and not ended, executed or not.
func (s *Service) Active() int64 { return s.active.Load() }

// SetDelay replaces the time that a call takes.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetAnswer replaces the receipt by a body of the test's own.
func (s *Service) SetAnswer(body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = body
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
	case "/fault":
		s.putFault(w, r)
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
	s.active.Add(1)
	defer s.active.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
	if !s.faults.Apply(standin.BeforeExecution, w) {
		return
	}
	number, answer, delay := s.record(r, string(body))
	time.Sleep(delay)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.faults.Apply(standin.AfterExecution, w)
	if answer == nil {
		answer, _ = json.Marshal(receipt{Number: number, Path: r.URL.Path}) // a receipt always encodes
	}
	s.write(w, answer)
}

// record notes an execution and returns its number, the answer to give and
// the time to take for it.
func (s *Service) record(r *http.Request, body string) (number int, answer []byte, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.executions = append(s.executions, Execution{time.Now(), r.Header.Get(upstream.HeaderAttempt), r.Method, r.URL.String(), body, r.Header.Clone()})
	return len(s.executions), s.answer, s.delay
}

// write writes the answer in two parts, so that it can be cut between them.
func (s *Service) write(w http.ResponseWriter, answer []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	half := len(answer) / 2
	_, _ = w.Write(answer[:half])
	_ = http.NewResponseController(w).Flush()
	s.faults.Apply(standin.MidAnswer, w)
	_, _ = w.Write(answer[half:])
}

func (s *Service) putFault(w http.ResponseWriter, r *http.Request) {
	var f standin.Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
}
