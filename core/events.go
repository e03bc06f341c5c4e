package core

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/limit"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/request"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

// Event is an input of the core. The types of this file are the complete list.
type Event interface{ isEvent() }

// requestEvent is an event of one request.
type requestEvent interface {
	Event
	isRequestEvent()
}

// upstreamEvent is an event of one upstream.
type upstreamEvent interface {
	Event
	isUpstreamEvent()
}

// fleetEvent is an event of the fleet, the platform or the clock.
type fleetEvent interface {
	Event
	isFleetEvent()
}

// ConfigUpdated delivers a configuration. It is ignored if its revision is lower than the one in force.
type ConfigUpdated struct{ Config *record.Config }

// HostsUpdated delivers the platform's host list, which may be out of date.
type HostsUpdated struct{ Hosts []store.Host }

// MembersUpdated delivers the names of the hosts on the member list, this host included, in sorted order.
// After the first one, the host list is no longer used to determine the live hosts.
type MembersUpdated struct{ Live []string }

// ConfigConfirmed sets the time until which the configuration may be used as being in force. Before
// the first one there is no limit.
type ConfigConfirmed struct{ Until time.Time }

// RequestArrived delivers a caller's request.
type RequestArrived struct{ Request Request }

// CallerLeft reports that the caller of a request has disconnected.
type CallerLeft struct{ ID sched.RequestID }

// FirstByteReceived reports that the first byte of an attempt's answer has arrived.
type FirstByteReceived struct {
	ID         sched.RequestID
	FirstToken time.Duration
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	ID      sched.RequestID
	Outcome request.Outcome
	// NotLoaded is set if the engine did not have the adapter loaded.
	NotLoaded bool
	// AnswerStarted is set if the caller has received a part of the answer.
	AnswerStarted bool
	// ConnectionLost is set if the connection to the upstream broke, as it does when the upstream
	// crashes.
	ConnectionLost bool
	// NoMemory is set if this host had no memory for the answer.
	NoMemory bool
	// UsedTokens is the usage that the upstream reported, -1 if unknown.
	UsedTokens int64
	FirstToken time.Duration
}

// ClaimEnded reports the result of a Claim. If Err is nil, the request may be dispatched, unless
// Replayed is set: a stored outcome then answers it.
type ClaimEnded struct {
	ID       sched.RequestID
	Replayed bool
	Err      *apierr.Error
}

// LoadReported delivers a load report of an upstream.
type LoadReported struct {
	Upstream string
	Report   upstream.Report
}

// CacheReported delivers cache events of an engine.
type CacheReported struct {
	Upstream string
	Events   []upstream.CacheEvent
}

// UpstreamUnreachable reports that the load report of an upstream could not be read.
type UpstreamUnreachable struct{ Upstream string }

// OrderEnded reports the result of an Order.
type OrderEnded struct{ End sched.OrderEnd }

// LeaseUpdated delivers the result of a ClaimLease.
type LeaseUpdated struct{ Result sched.LeaseResult }

// StoreEnded delivers the table service's answer to a StoreRead or StoreCommit.
type StoreEnded struct{ End limit.StoreResult }

// PeerMessageReceived delivers a message from another host.
type PeerMessageReceived struct {
	From    string
	Message wire.Message
}

// LeaveStarted reports that this host is about to stop. The limiter hands over the state that it keeps
// for other hosts; until DrainStarted, the host serves the requests whose deadline is not after Until,
// when the host ends.
type LeaveStarted struct{ Until time.Time }

// DrainStarted reports that this host is leaving: new requests are refused.
type DrainStarted struct{}

// StopStarted reports that this host is about to end, and that every request must get its final answer now. The
// gateway cancels the attempts that still run.
type StopStarted struct{}

// Tick reports that time has passed. The interval between two ticks must not exceed TickInterval.
type Tick struct{}

func (RequestArrived) isEvent()    {}
func (CallerLeft) isEvent()        {}
func (FirstByteReceived) isEvent() {}
func (AttemptEnded) isEvent()      {}
func (ClaimEnded) isEvent()        {}

func (RequestArrived) isRequestEvent()    {}
func (CallerLeft) isRequestEvent()        {}
func (FirstByteReceived) isRequestEvent() {}
func (AttemptEnded) isRequestEvent()      {}
func (ClaimEnded) isRequestEvent()        {}

func (LoadReported) isEvent()        {}
func (CacheReported) isEvent()       {}
func (UpstreamUnreachable) isEvent() {}
func (OrderEnded) isEvent()          {}
func (LeaseUpdated) isEvent()        {}

func (LoadReported) isUpstreamEvent()        {}
func (CacheReported) isUpstreamEvent()       {}
func (UpstreamUnreachable) isUpstreamEvent() {}
func (OrderEnded) isUpstreamEvent()          {}
func (LeaseUpdated) isUpstreamEvent()        {}

func (ConfigUpdated) isEvent()       {}
func (HostsUpdated) isEvent()        {}
func (MembersUpdated) isEvent()      {}
func (ConfigConfirmed) isEvent()     {}
func (PeerMessageReceived) isEvent() {}
func (StoreEnded) isEvent()          {}
func (LeaveStarted) isEvent()        {}
func (DrainStarted) isEvent()        {}
func (StopStarted) isEvent()         {}
func (Tick) isEvent()                {}

func (ConfigUpdated) isFleetEvent()       {}
func (HostsUpdated) isFleetEvent()        {}
func (MembersUpdated) isFleetEvent()      {}
func (ConfigConfirmed) isFleetEvent()     {}
func (PeerMessageReceived) isFleetEvent() {}
func (StoreEnded) isFleetEvent()          {}
func (LeaveStarted) isFleetEvent()        {}
func (DrainStarted) isFleetEvent()        {}
func (StopStarted) isFleetEvent()         {}
func (Tick) isFleetEvent()                {}

// Request is a caller's request in the form that the core decides on.
type Request struct {
	ID sched.RequestID
	// KeyHash is the hash of the caller's key. HasKey is false if the request had no key.
	KeyHash record.KeyHash
	HasKey  bool
	// Model is "adapter" or "adapter@version", empty for a plain service.
	Model string
	// Path is the path of a call to a plain service.
	Path string
	// Safe is set if the call's method is GET or HEAD.
	Safe bool
	// Tokens is the maximum cost of the request, prompt and answer together.
	Tokens int64
	// Prefix is a hash of the start of the prompt.
	Prefix uint64
	// IdempotencyKey is the caller's idempotency key, empty if there is none.
	IdempotencyKey string
	// Fingerprint is a hash of the method, the path and the body.
	Fingerprint Fingerprint
	Priority    record.Priority
	Deadline    time.Time
}

// TickInterval is the longest allowed interval between two Tick events.
const TickInterval = 50 * time.Millisecond
