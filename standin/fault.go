package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/upstream"
)

// Step is the point in the processing of a call at which a fault takes effect.
type Step string

// The steps of a call to an upstream.
const (
	// BeforeExecution is after the call was read and before it is executed.
	BeforeExecution Step = "before_execution"
	// AfterExecution is before the first byte of the answer is sent.
	AfterExecution Step = "after_execution"
	// MidAnswer is after a part of the answer was sent.
	MidAnswer Step = "mid_answer"
)

// Steps returns every step of a call, in order.
func Steps() []Step { return []Step{BeforeExecution, AfterExecution, MidAnswer} }

// Action is what a fault does.
type Action string

// The actions of a fault.
const (
	// Cut closes the connection.
	Cut Action = "cut"
	// Delay waits for Fault.Delay and continues.
	Delay Action = "delay"
	// Refuse answers 503 with the header that states that the call was not
	// executed. It is valid at BeforeExecution only.
	Refuse Action = "refuse"
	// WrongAttempt answers with the id of another attempt. It is valid at AfterExecution
	// only.
	WrongAttempt Action = "cross"
)

// Fault is an action at a step of a number of calls.
type Fault struct {
	Step   Step          `json:"step"`
	Action Action        `json:"action"`
	Delay  time.Duration `json:"delay"`
	// Times is the number of calls that the fault affects, 0 for none and -1 for all.
	Times int `json:"times"`
}

// FaultSwitch holds the current fault of a stand-in. The zero value has no fault.
type FaultSwitch struct {
	mu    sync.Mutex
	fault Fault
}

// Set replaces the fault.
func (s *FaultSwitch) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// consume returns the fault if it applies at the step, and counts down its Times.
func (s *FaultSwitch) consume(step Step) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Step != step || s.fault.Times == 0 {
		return Fault{}, false
	}
	if s.fault.Times > 0 {
		s.fault.Times--
	}
	return s.fault, true
}

// Apply applies the fault, if there is one for the step. It returns false if it
// has answered the call.
func (s *FaultSwitch) Apply(step Step, w http.ResponseWriter) bool {
	f, ok := s.consume(step)
	if !ok {
		return true
	}
	switch f.Action {
	case Cut:
		panic(http.ErrAbortHandler)
	case Delay:
		time.Sleep(f.Delay)
	case WrongAttempt:
		w.Header().Set(upstream.HeaderAttempt, "another")
	case Refuse:
		w.Header().Set(upstream.HeaderNotRun, "true")
		WriteJSON(w, http.StatusServiceUnavailable, struct{}{})
		return false
	}
	return true
}
