package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/jasminelock/jasminelock/upstream"
)

// Step is where in a call's life a fault strikes.
type Step string

// The steps of a call on an upstream.
const (
	// BeforeExecution is after the call was read.
	BeforeExecution Step = "before_execution"
	// AfterExecution is before the first byte of the answer.
	AfterExecution Step = "after_execution"
	// MidAnswer is after a part of the answer.
	MidAnswer Step = "mid_answer"
)

// Steps returns every step of a call, in order.
func Steps() []Step { return []Step{BeforeExecution, AfterExecution, MidAnswer} }

// Action is what a fault does.
type Action string

// The actions.
const (
	// Cut breaks the connection off.
	Cut Action = "cut"
	// Delay waits for Fault.Delay and goes on.
	Delay Action = "delay"
	// Refuse answers 503 and says that the call was not executed. It strikes
	// before execution only.
	Refuse Action = "refuse"
	// WrongAttempt answers with another attempt's id. It strikes after execution only.
	WrongAttempt Action = "cross"
)

// Fault is one fault.
type Fault struct {
	Step   Step          `json:"step"`
	Action Action        `json:"action"`
	Delay  time.Duration `json:"delay"`
	// Times is how many calls it strikes, 0 for none and -1 for all.
	Times int `json:"times"`
}

// FaultSwitch holds the fault of a stand-in. The zero value has none.
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

// take returns the fault's action at a step and uses it up once.
func (s *FaultSwitch) take(step Step) (Fault, bool) {
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

// Apply lets the fault of a step take place. It reports false where the call
// has been answered.
func (s *FaultSwitch) Apply(step Step, w http.ResponseWriter) bool {
	f, ok := s.take(step)
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
