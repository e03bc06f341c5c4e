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

// Event is something that a host has learned. The types of this file are the
// closed list.
type Event interface{ isEvent() }

// requestEvent is an event of one request's life.
type requestEvent interface {
	Event
	isRequestEvent()
}

// upstreamEvent is an event of an upstream.
type upstreamEvent interface {
	Event
	isUpstreamEvent()
}

// fleetEvent is an event of the fleet, of the platform or of time.
type fleetEvent interface {
	Event
	isFleetEvent()
}

// ConfigUpdated brings a configuration. A lower revision than the one in force is
// ignored.
type ConfigUpdated struct{ Config *record.Config }

// HostsUpdated brings the platform's host list, which lags.
type HostsUpdated struct{ Hosts []store.Host }

// MembersUpdated brings the names of the hosts on the roster, this one included,
// in their order. From the first one on, the host list no longer counts.
type MembersUpdated struct{ Live []string }

// ConfigConfirmed says until when the configuration may be taken to be in force.
// Without any, it may be for ever.
type ConfigConfirmed struct{ Until time.Time }

// RequestArrived brings a caller's request.
type RequestArrived struct{ Request Request }

// CallerLeft says that the caller of a request has disconnected.
type CallerLeft struct{ ID sched.RequestID }

// FirstByteReceived says that the first byte of an attempt's answer has arrived.
type FirstByteReceived struct {
	ID         sched.RequestID
	FirstToken time.Duration
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	ID      sched.RequestID
	Outcome request.Outcome
	// NotLoaded says that the engine did not know the adapter.
	NotLoaded bool
	// FirstByteReceived says that the caller has been given a part of the answer.
	AnswerStarted bool
	// ConnectionLost says that the connection to the upstream broke, as it does
	// when the upstream crashes.
	ConnectionLost bool
	// UsedTokens is the usage that the upstream reported, -1 where it is not known.
	UsedTokens int64
	FirstToken time.Duration
}

// ClaimEnded says how recording an idempotency key ended. A nil Err means that
// the request may be dispatched; Replayed means that a stored outcome answers it.
type ClaimEnded struct {
	ID       sched.RequestID
	Replayed bool
	Err      *apierr.Error
}

// LoadReported brings an upstream's load report.
type LoadReported struct {
	Upstream string
	Report   upstream.Report
}

// CacheReported brings an engine's cache events.
type CacheReported struct {
	Upstream string
	Events   []upstream.CacheEvent
}

// UpstreamUnreachable says that an upstream's report could not be read.
type UpstreamUnreachable struct{ Upstream string }

// OrderEnded says how an order to an engine ended.
type OrderEnded struct{ End sched.OrderEnd }

// LeaseUpdated brings the answer to a claim of a lease.
type LeaseUpdated struct{ Result sched.LeaseResult }

// StoreEnded brings the table service's answer to a StoreRead or StoreCommit.
type StoreEnded struct{ End limit.StoreResult }

// PeerMessageReceived brings a message of another host.
type PeerMessageReceived struct {
	From    string
	Message wire.Message
}

// LeaveStarted says that this host is about to stop. It passes on what it keeps
// for others, and goes on serving until DrainStarted.
type LeaveStarted struct{}

// DrainStarted says that this host is leaving: it takes no new request.
type DrainStarted struct{}

// Tick lets time pass. It must come at least every TickInterval.
type Tick struct{}

func (RequestArrived) isEvent() {}
func (CallerLeft) isEvent()     {}
func (FirstByteReceived) isEvent()  {}
func (AttemptEnded) isEvent()   {}
func (ClaimEnded) isEvent()     {}

func (RequestArrived) isRequestEvent() {}
func (CallerLeft) isRequestEvent()     {}
func (FirstByteReceived) isRequestEvent()  {}
func (AttemptEnded) isRequestEvent()   {}
func (ClaimEnded) isRequestEvent()     {}

func (LoadReported) isEvent()        {}
func (CacheReported) isEvent()       {}
func (UpstreamUnreachable) isEvent() {}
func (OrderEnded) isEvent()          {}
func (LeaseUpdated) isEvent()           {}

func (LoadReported) isUpstreamEvent()        {}
func (CacheReported) isUpstreamEvent()       {}
func (UpstreamUnreachable) isUpstreamEvent() {}
func (OrderEnded) isUpstreamEvent()          {}
func (LeaseUpdated) isUpstreamEvent()           {}

func (ConfigUpdated) isEvent()      {}
func (HostsUpdated) isEvent()       {}
func (MembersUpdated) isEvent()      {}
func (ConfigConfirmed) isEvent() {}
func (PeerMessageReceived) isEvent()    {}
func (StoreEnded) isEvent()      {}
func (LeaveStarted) isEvent()    {}
func (DrainStarted) isEvent()    {}
func (Tick) isEvent()            {}

func (ConfigUpdated) isFleetEvent()      {}
func (HostsUpdated) isFleetEvent()       {}
func (MembersUpdated) isFleetEvent()      {}
func (ConfigConfirmed) isFleetEvent() {}
func (PeerMessageReceived) isFleetEvent()    {}
func (StoreEnded) isFleetEvent()      {}
func (LeaveStarted) isFleetEvent()    {}
func (DrainStarted) isFleetEvent()    {}
func (Tick) isFleetEvent()            {}

// Request is a caller's request as the core sees it.
type Request struct {
	ID sched.RequestID
	// KeyHash is the hash of the caller's key, HasKey whether there was one.
	KeyHash record.KeyHash
	HasKey  bool
	// Model is "adapter" or "adapter@version". Empty for a plain service.
	Model string
	// Path is the path of a plain service's call.
	Path string
	// Safe says that the call's method is GET or HEAD.
	Safe bool
	// Tokens is the most that the request can cost, prompt and answer together.
	Tokens int64
	// Prefix is a hash of the start of the prompt.
	Prefix uint64
	// IdempotencyKey is the caller's, "" where there was none.
	IdempotencyKey string
	// Fingerprint is a hash of the method, the path and the body.
	Fingerprint Fingerprint
	Priority    record.Priority
	Deadline    time.Time
}

// TickInterval is how often a Tick must come.
const TickInterval = 50 * time.Millisecond
