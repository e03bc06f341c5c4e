// Package assign decides which upstream runs each request, in which order
// requests wait, what is refused, and which adapters engines load and drop.
//
// It is a pure state machine: events and the time go in, decisions come out. It
// imports no network, no operating system and no clock. One host of the fleet,
// the lead, drives an Assigner that sees the requests of every host and gives
// orders to engines. Every host drives one of its own besides, for the services
// that need no lead and for the time without one; that one gives no orders.
package assign

import (
	"encoding/hex"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/catalog"
)

// RequestID names a request of the fleet.
type RequestID struct {
	Host string
	// Number counts the requests of one process.
	Number uint64
}

// PrefixBlock is a part of a prompt that other requests may share.
type PrefixBlock struct {
	ID     string
	Tokens int
}

// Fingerprint tells requests with another caller, path or body apart.
type Fingerprint [32]byte

// String returns enough of the fingerprint for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:8]) }

// Request is what is known of a request that wants an upstream.
type Request struct {
	ID           RequestID
	Service      string
	Organisation string
	Adapter      catalog.AdapterRef
	// PromptTokens and OutputTokens bound what the request reads and makes.
	PromptTokens int
	OutputTokens int
	// ExpectedOutput is the caller's estimate of the tokens made, 0 for none.
	ExpectedOutput int
	// PrefixBlocks are the shared parts of the prompt, in order.
	PrefixBlocks []PrefixBlock
	// Cost is what is counted against the organisation's rate, in tokens.
	Cost int64
	// Priority ranks requests; 0 goes first.
	Priority int
	// Zone is the availability zone of the host that asks.
	Zone    string
	Arrived time.Time
	// Target is when the answer, or its first event, is due.
	Target time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Avoid names the upstreams that have been tried.
	Avoid []string
	// Charged says that the cost was counted with an earlier attempt.
	Charged     bool
	Fingerprint Fingerprint
	// Resource is the same without the method and the query, which may differ between
	// repeats of a request that crashes upstreams. Zero where it tells no more.
	Resource Fingerprint
}

// retry reports whether an upstream has been given the request before.
func (r *Request) retry() bool { return len(r.Avoid) > 0 }

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	// Completed attempts were answered with success.
	Completed Outcome = iota
	// Failed attempts ran, and the upstream answered with a failure.
	Failed
	// Full upstreams turned the request away.
	Full
	// NotLoaded upstreams lack the adapter, or hold another version of it.
	NotLoaded
	// Replaced says that another upstream has the address.
	Replaced
	// Unreachable upstreams took no connection.
	Unreachable
	// Lost attempts broke off; they may have run.
	Lost
	// TimedOut attempts were given up at the deadline.
	TimedOut
	// CallerLeft attempts were given up since nobody waits any more.
	CallerLeft
	// NotSent attempts were not sent after all: the upstream wants nothing of the host,
	// or the request is not to be sent to any.
	NotSent
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"completed", "failed", "full", "not_loaded", "replaced", "unreachable", "lost", "timed_out", "caller_left", "withheld"}[o]
}

// NotRun reports whether the upstream has certainly not run the request.
func (o Outcome) NotRun() bool {
	return o == Full || o == NotLoaded || o == Replaced || o == Unreachable || o == NotSent
}

// Event is something that an Assigner learns. The types of this file are the
// closed list.
type Event interface{ isEvent() }

// ConfigUpdated brings the operator's configuration.
type ConfigUpdated struct{ Config *catalog.Config }

// VersionsUpdated brings the newest announced versions of adapters.
type VersionsUpdated struct{ Versions catalog.Versions }

// EvacuationsUpdated brings all availability zones whose upstreams are to be sent nothing
// until further notice. What they run goes on.
type EvacuationsUpdated struct{ Zones map[string]bool }

// UpstreamsUpdated brings all upstreams that may be used, by their IDs.
type UpstreamsUpdated struct{ Upstreams map[string]*catalog.Upstream }

// RequestSubmitted brings a request that wants an upstream.
type RequestSubmitted struct{ Request Request }

// RequestAdopted brings a request that another Assigner has given to an upstream.
type RequestAdopted struct {
	Request  Request
	Upstream string
	FirstByteReceived  bool
}

// RequestWithdrawn says that a request that waits is no longer wanted.
type RequestWithdrawn struct{ ID RequestID }

// FirstByteReceived says that the first byte of an answer's body has arrived.
type FirstByteReceived struct{ ID RequestID }

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	ID      RequestID
	Outcome Outcome
	Feedback    UpstreamFeedback
	EventGaps  EventGaps
	// Succeeded says that the answer was a success and is whole. One that an upstream
	// failed by itself is Completed too, where it is the caller's answer.
	Succeeded bool
	// NoListener says that nothing listens at the upstream's address.
	NoListener bool
}

// UpstreamFeedback is what an upstream said of itself with an answer.
type UpstreamFeedback struct {
	// Load is its own count of its requests, nil where it gave none.
	Load *Load
	// BackOff is for how long it wants no request of the host that sent this one.
	BackOff time.Duration
}

// UpstreamLeaving says that an upstream has told a host that it leaves, which the
// store's list may tell later.
type UpstreamLeaving struct {
	Upstream string
	StartedAt     int64
}

// Load is an upstream's own count of its requests.
type Load struct {
	Running int
	Waiting int
}

// HostLost says that a host is gone, and with it its requests.
type HostLost struct{ Host string }

// OrderEnded says how an order ended.
type OrderEnded struct {
	Upstream string
	StartedAt     int64
	Order    uint64
	Result   OrderResult
}

// OrderResult is an engine's answer to an order.
type OrderResult uint8

// The results.
const (
	// OrderSatisfied says that what was ordered is so.
	OrderSatisfied OrderResult = iota
	// OrderAccepted says that the engine is carrying the order out.
	OrderAccepted
	// OrderConflict says that the sequence number differs or that the engine is
	// busy with another order.
	OrderConflict
	// OrderFenced says that another holder has given orders since.
	OrderFenced
	// OrderInvalid says that the engine does not know what was ordered.
	OrderInvalid
	// OrderMisdirected says that another upstream has the address.
	OrderMisdirected
	// OrderUnanswered orders may be carried out, now or later.
	OrderUnanswered
)

// String returns the result's name in logs.
func (r OrderResult) String() string {
	return [...]string{"holds", "accepted", "conflict", "fenced", "invalid", "misdirected", "unanswered"}[r]
}

// HostsReported says that every host has told what it runs.
type HostsReported struct{}

// ReportReceived brings an engine's report. A nil Report says that it could not be read.
type ReportReceived struct {
	Upstream string
	StartedAt     int64
	Report   *Report
}

// Report is what an engine says of itself when asked.
type Report struct {
	// Sequence is the number of orders accepted since the engine's start.
	Sequence int64
	Loaded   []catalog.LoadedModel
	// Loading are adapters on their way to the engine.
	Loading []catalog.LoadedModel
}

// Tick lets time pass.
type Tick struct{}

func (ConfigUpdated) isEvent()      {}
func (VersionsUpdated) isEvent()    {}
func (EvacuationsUpdated) isEvent() {}
func (UpstreamsUpdated) isEvent()   {}
func (RequestSubmitted) isEvent()           {}
func (RequestAdopted) isEvent()         {}
func (RequestWithdrawn) isEvent()       {}
func (FirstByteReceived) isEvent()         {}
func (AttemptEnded) isEvent()           {}
func (UpstreamLeaving) isEvent() {}
func (HostLost) isEvent()        {}
func (OrderEnded) isEvent()      {}
func (ReportReceived) isEvent()      {}
func (HostsReported) isEvent()       {}
func (Tick) isEvent()            {}

// Decision is what an Assigner wants done. The types below are the closed list.
type Decision interface{ isDecision() }

// Grant gives a request to an upstream.
type Grant struct {
	ID       RequestID
	Upstream string
	StartedAt     int64
	// Version is the adapter's version that the upstream holds, 0 where it is
	// not known.
	Version int64
	// Rule names the rule that decided, for logs.
	Rule string
	// Expected is the expected time to the first token.
	Expected time.Duration
}

// Refuse ends a request that has not been given to an upstream, or not again.
type Refuse struct {
	ID         RequestID
	Kind       apierr.Kind
	RetryAfter time.Duration
	// Rule names the rule that decided, for logs.
	Rule string
}

// Order asks an engine to load or to drop an adapter.
type Order struct {
	Number   uint64
	Upstream *catalog.Upstream
	Evict    bool
	Adapter  catalog.AdapterRef
	// Version is the version to load, 0 for the newest.
	Version int64
	// Sequence is the number of orders that the engine must have accepted.
	Sequence int64
	// Fence is the fencing token of the lease that the order is given under.
	Fence int64
}

// ReadReport asks for an engine's report.
type ReadReport struct{ Upstream *catalog.Upstream }

// StepDown says that another lead has given orders.
type StepDown struct{}

func (Grant) isDecision()      {}
func (Refuse) isDecision()     {}
func (Order) isDecision()      {}
func (ReadReport) isDecision() {}
func (StepDown) isDecision()   {}
