package wire

// The type numbers of the messages between a host and the leader.
const (
	TypeAssignRequest Type = 600 + iota
	TypeWithdrawRequest
	TypeFirstByteReceived
	TypeAttemptEnded
	TypeGrant
	TypeRefuse
	TypeHostHeartbeat
	TypeLeaderHeartbeat
	TypeAdoptRequest
	TypeSuccessor
	TypeConfigPush
	TypeUpstreamPush
	TypeAdapterLocations
	TypeUpstreamLeaving
	TypeSuspects
)

var assignDecoders = map[Type]func() Message{
	TypeAssignRequest:     func() Message { return &AssignRequest{} },
	TypeWithdrawRequest:   func() Message { return &WithdrawRequest{} },
	TypeFirstByteReceived: func() Message { return &FirstByteReceived{} },
	TypeAttemptEnded:      func() Message { return &AttemptEnded{} },
	TypeGrant:             func() Message { return &Grant{} },
	TypeRefuse:            func() Message { return &Refuse{} },
	TypeHostHeartbeat:     func() Message { return &HostHeartbeat{} },
	TypeLeaderHeartbeat:   func() Message { return &LeaderHeartbeat{} },
	TypeAdoptRequest:      func() Message { return &AdoptRequest{} },
	TypeSuccessor:         func() Message { return &Successor{} },
	TypeConfigPush:        func() Message { return &ConfigPush{} },
	TypeUpstreamPush:      func() Message { return &UpstreamPush{} },
	TypeAdapterLocations:  func() Message { return &AdapterLocations{} },
	TypeUpstreamLeaving:   func() Message { return &UpstreamLeaving{} },
	TypeSuspects:          func() Message { return &Suspects{} },
}

// PrefixBlock is a block of a prompt's prefix that other requests may share.
type PrefixBlock struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// AssignRequest requests the assignment of an upstream from the leader. Times are relative to
// the sending of the message, since the clocks of hosts differ.
type AssignRequest struct {
	Number       uint64        `cbor:"1,keyasint"`
	Service      string        `cbor:"2,keyasint"`
	Organisation string        `cbor:"3,keyasint,omitempty"`
	Model        string        `cbor:"4,keyasint,omitempty"`
	Adapter      string        `cbor:"5,keyasint,omitempty"`
	PromptTokens int           `cbor:"6,keyasint,omitempty"`
	OutputTokens int           `cbor:"7,keyasint,omitempty"`
	PrefixBlocks []PrefixBlock `cbor:"8,keyasint,omitempty"`
	Cost         int64         `cbor:"9,keyasint,omitempty"`
	Priority     int           `cbor:"10,keyasint,omitempty"`
	Zone         string        `cbor:"12,keyasint,omitempty"`
	// AgeMillis is the time since the request arrived, in milliseconds.
	AgeMillis int64 `cbor:"13,keyasint,omitempty"`
	// TargetMillis is the time until the first token is due, in milliseconds. It is negative
	// once that time has passed.
	TargetMillis int64 `cbor:"14,keyasint,omitempty"`
	// DeadlineMillis is the time until the caller stops waiting, in milliseconds.
	DeadlineMillis int64    `cbor:"15,keyasint,omitempty"`
	Avoid          []string `cbor:"16,keyasint,omitempty"`
	Charged        bool     `cbor:"17,keyasint,omitempty"`
	Fingerprint    []byte   `cbor:"18,keyasint,omitempty"`
	// Resource is the fingerprint without method and query. It is empty if it adds
	// nothing to Fingerprint.
	Resource []byte `cbor:"20,keyasint,omitempty"`
	// ExpectedOutput is the caller's estimate of the output length, in tokens.
	ExpectedOutput int `cbor:"19,keyasint,omitempty"`
	// Route is the name of the request's route. Hosts of older builds leave it out.
	Route string `cbor:"21,keyasint,omitempty"`
	// RoutePriority is the priority of the route. Hosts of older builds leave it out.
	RoutePriority int `cbor:"22,keyasint,omitempty"`
	// FirstEventMillis is the time until the caller stops waiting for the first event of a stream, in milliseconds, 0
	// if that is no earlier than the deadline.
	FirstEventMillis int64 `cbor:"23,keyasint,omitempty"`
	// Admitted is set if the request was waiting at a former leader, or at its host, which had admitted it.
	Admitted bool `cbor:"24,keyasint,omitempty"`
}

// WithdrawRequest cancels a waiting request.
type WithdrawRequest struct {
	Number uint64 `cbor:"1,keyasint"`
}

// FirstByteReceived reports that the first byte of an answer's body has arrived.
type FirstByteReceived struct {
	Number uint64 `cbor:"1,keyasint"`
	// PacePercent is the time that work takes on the upstream, in percent of the usual, as stated in
	// the answer's header. It is 0 if the upstream does not state it, or the sender's build does not
	// pass it on.
	PacePercent uint16 `cbor:"2,keyasint,omitempty"`
	// Running and Waiting are the upstream's own request counts. They are valid if PacePercent is
	// not 0; otherwise they are sent with AttemptEnded.
	Running int `cbor:"3,keyasint,omitempty"`
	Waiting int `cbor:"4,keyasint,omitempty"`
}

// AttemptEnded reports the outcome of an attempt.
type AttemptEnded struct {
	Number  uint64 `cbor:"1,keyasint"`
	Outcome uint8  `cbor:"2,keyasint"`
	// Running and Waiting are the upstream's own request counts. They are valid if
	// HasLoad is set.
	HasLoad bool `cbor:"3,keyasint,omitempty"`
	Running int  `cbor:"4,keyasint,omitempty"`
	Waiting int  `cbor:"5,keyasint,omitempty"`
	// EventGaps is an assign.EventGaps value.
	EventGaps uint8 `cbor:"7,keyasint,omitempty"`
	// BackOffMillis is the time for which the upstream accepts no request from the sender,
	// in milliseconds.
	BackOffMillis int64 `cbor:"6,keyasint,omitempty"`
	// PacePercent is as in FirstByteReceived. If it was sent with that message, this one carries no pace, and carries the
	// request counts only for a leader without ReadsFirstByteLoad.
	PacePercent uint16 `cbor:"8,keyasint,omitempty"`
	// OutputTokens is the number of tokens of a complete stream, 0 if unknown.
	OutputTokens int `cbor:"9,keyasint,omitempty"`
}

// UpstreamLeaving reports that an upstream has announced to a host that it is leaving.
type UpstreamLeaving struct {
	Upstream  string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint"`
}

// Suspects reports requests and parts of prompts whose attempts were interrupted, or the
// leader's decisions on them.
type Suspects struct {
	Suspects []Suspect `cbor:"1,keyasint"`
}

// Suspect is the encoding of a quarantine.Entry: the evidence that a request, or a part of
// prompts, crashes upstreams.
type Suspect struct {
	Key         []byte               `cbor:"1,keyasint"`
	Interrupted []InterruptedAttempt `cbor:"2,keyasint,omitempty"`
	// Cleared means that the request has been answered successfully.
	Cleared bool `cbor:"3,keyasint,omitempty"`
	// ClearedAgeMillis is the time since the last successful answer, in milliseconds. It is
	// valid if Cleared is set.
	ClearedAgeMillis int64 `cbor:"4,keyasint,omitempty"`
	// Name is the ID of a part, Depth the number of parts before it.
	Name  string `cbor:"5,keyasint,omitempty"`
	Depth int    `cbor:"6,keyasint,omitempty"`
	// RefusedMillis is how much longer the sender refuses the suspect, in milliseconds, 0 if
	// it does not.
	RefusedMillis int64 `cbor:"7,keyasint,omitempty"`
	// Released means that the sender has refused the suspect and does so no more.
	Released bool `cbor:"8,keyasint,omitempty"`
	// Upstreams names some of the upstreams whose end is the reason for a refusal.
	Upstreams []string `cbor:"9,keyasint,omitempty"`
}

// InterruptedAttempt is an attempt that was interrupted on one incarnation of an upstream.
type InterruptedAttempt struct {
	// Incarnation is a quarantine.Incarnation, which identifies the incarnation.
	Incarnation uint64 `cbor:"1,keyasint"`
	// IncarnationEnded means that the end of the incarnation was observed.
	IncarnationEnded bool `cbor:"2,keyasint,omitempty"`
	// AgeMillis is the time since the attempt was interrupted, in milliseconds.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
	// RanMillis is the longest time for which an attempt had run, in milliseconds.
	RanMillis int64 `cbor:"4,keyasint,omitempty"`
	// Request identifies one of the requests, 0 if it is unknown.
	Request uint64 `cbor:"5,keyasint,omitempty"`
}

// Grant assigns a request to an upstream.
type Grant struct {
	Number         uint64 `cbor:"1,keyasint"`
	Upstream       string `cbor:"2,keyasint"`
	StartedAt      int64  `cbor:"3,keyasint"`
	Version        int64  `cbor:"4,keyasint,omitempty"`
	Rule           string `cbor:"5,keyasint,omitempty"`
	ExpectedMillis int64  `cbor:"6,keyasint,omitempty"`
	// HeldMillis is the time from the arrival of the request at the sender to the
	// assignment, in milliseconds.
	HeldMillis int64 `cbor:"7,keyasint,omitempty"`
	// RateLimit is the state of the upstream's rate limit, nil if it has none.
	RateLimit *RateLimitState `cbor:"8,keyasint,omitempty"`
	// Ranked is set if the request was queued in a ranked service. TurnMillis is then the estimate of HeldMillis at its
	// admission.
	Ranked     bool  `cbor:"9,keyasint,omitempty"`
	TurnMillis int64 `cbor:"10,keyasint,omitempty"`
}

// Refuse rejects a request, which is assigned to no upstream.
type Refuse struct {
	Number uint64 `cbor:"1,keyasint"`
	// Kind is an apierr.Kind value.
	Kind             uint8  `cbor:"2,keyasint"`
	RetryAfterMillis int64  `cbor:"3,keyasint,omitempty"`
	Rule             string `cbor:"4,keyasint,omitempty"`
	// RateLimit is the combined state of the rate limits of the service's upstreams, nil if
	// not all have one.
	RateLimit *RateLimitState `cbor:"5,keyasint,omitempty"`
	// Detail names what the rule refused, "" for rules that need no detail.
	Detail string `cbor:"6,keyasint,omitempty"`
}

// TokenUsage is the number of tokens that an organisation has used through a host.
type TokenUsage struct {
	Organisation string  `cbor:"1,keyasint"`
	Tokens       float64 `cbor:"2,keyasint"`
	// AgeMillis is the time since the use, in milliseconds.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
}

// HostHeartbeat is the heartbeat of a host to the leader.
type HostHeartbeat struct {
	Zone string `cbor:"1,keyasint"`
	// CallerAddress is the "ip:port" address that callers connect to.
	CallerAddress string `cbor:"2,keyasint"`
	Draining      bool   `cbor:"3,keyasint,omitempty"`
	// TokenUsages is the token usage that has not been reported to the leader yet.
	TokenUsages []TokenUsage `cbor:"4,keyasint,omitempty"`
	// Cores is the processor time available to the host, in cores.
	Cores float64 `cbor:"5,keyasint,omitempty"`
	// MemberListVersion is the version of the host's copy of the member list.
	MemberListVersion uint64 `cbor:"6,keyasint,omitempty"`
	// TablesChecksum is a checksum of the host's copy of the platform's tables.
	TablesChecksum uint64 `cbor:"7,keyasint,omitempty"`
	// PeerURL is the URL at which the host accepts peer links.
	PeerURL string `cbor:"8,keyasint,omitempty"`
	// RateLimitVersion is the version of the host's list of upstreams' rate limits, 1 if it
	// has none yet. Hosts of builds without rate limits send 0.
	RateLimitVersion uint64 `cbor:"9,keyasint,omitempty"`
	// StoreEra is the highest era of the store that the host knows of.
	StoreEra int64 `cbor:"10,keyasint,omitempty"`
	// KnowsPriorEra means that the host knows the tables from before the store was last
	// restored from a copy.
	KnowsPriorEra bool `cbor:"11,keyasint,omitempty"`
}

// Successor announces a new leader. The new leader sends it to the leader that it
// replaces and to every host that it knows, so that they need not search for it.
type Successor struct {
	Host string `cbor:"1,keyasint"`
	// URL is the URL at which the new leader accepts peer links.
	URL   string `cbor:"2,keyasint"`
	Fence int64  `cbor:"3,keyasint"`
}

// CallerHost is a member list entry: a host that callers may be directed to.
type CallerHost struct {
	Name          string `cbor:"1,keyasint"`
	Zone          string `cbor:"2,keyasint"`
	CallerAddress string `cbor:"3,keyasint"`
	// Cores is the processor time available to the host, in cores.
	Cores float64 `cbor:"4,keyasint,omitempty"`
	// PeerURL is the URL at which the host accepts peer links.
	PeerURL string `cbor:"5,keyasint,omitempty"`
}

// LeaderHeartbeat is the heartbeat of the leader to a host. It carries the leader's state.
type LeaderHeartbeat struct {
	// Fence is the fencing token of the leader's lease.
	Fence int64 `cbor:"1,keyasint"`
	// LeaseVersion is the position of the lease's row after its last renewal.
	LeaseVersion int64 `cbor:"2,keyasint"`
	// RenewalOverdue means that the renewal of the leader's lease is overdue.
	RenewalOverdue bool `cbor:"3,keyasint,omitempty"`
	// Yields means that the leader lets a host with more processor time take over.
	Yields bool `cbor:"9,keyasint,omitempty"`
	// Released means that the leader has released its lease.
	Released bool `cbor:"4,keyasint,omitempty"`
	// MemberListVersion is the version of the member list.
	MemberListVersion uint64 `cbor:"7,keyasint,omitempty"`
	// MemberListBase is the version of the member list that this message updates. 0 means
	// that the message carries the whole list or none.
	MemberListBase uint64 `cbor:"10,keyasint,omitempty"`
	// Hosts are the entries added or changed in an update. Otherwise they are the whole
	// list, or empty for a receiver whose list is current.
	Hosts []CallerHost `cbor:"5,keyasint,omitempty"`
	// RemovedHosts names the hosts removed in an update.
	RemovedHosts []string `cbor:"11,keyasint,omitempty"`
	// TablesChecksum is a checksum of the leader's copy of the platform's tables, which it has
	// relayed.
	TablesChecksum uint64 `cbor:"12,keyasint,omitempty"`
	// OperatorVersion is the store position, of era and version, up to which the leader has read the operator's
	// table.
	OperatorVersion int64 `cbor:"13,keyasint,omitempty"`
	// UpstreamsVersion is the store position up to which the leader has read the upstreams'
	// table.
	UpstreamsVersion int64 `cbor:"14,keyasint,omitempty"`
	// StoreAgeMillis is the time since the leader last read the store, in milliseconds.
	StoreAgeMillis int64 `cbor:"8,keyasint,omitempty"`
	// Exhausted names the organisations whose rate limit is exhausted.
	Exhausted []string `cbor:"6,keyasint,omitempty"`
	// LimitUsages lists the organisations that have used a large share of their rate limit.
	LimitUsages []LimitUsage `cbor:"15,keyasint,omitempty"`
	// Suspects are the requests that the leader refuses, or is close to refusing, because
	// they crash upstreams.
	Suspects []Suspect `cbor:"16,keyasint,omitempty"`
	// RateLimitVersion is the version of the leader's list of upstreams' rate limits. A
	// leader of a build without rate limits sends 0.
	RateLimitVersion uint64 `cbor:"17,keyasint,omitempty"`
	// DecidesSuspects means that the leader decides for all hosts which suspects are
	// refused. Hosts decide themselves if the leader's build does not.
	DecidesSuspects bool `cbor:"18,keyasint,omitempty"`
	// StoreEra is the highest era of the store that the leader knows of.
	StoreEra int64 `cbor:"19,keyasint,omitempty"`
	// WantsTables asks the receiver for a ConfigPush, since the leader does not know the
	// tables from before the store was last restored from a copy.
	WantsTables bool `cbor:"20,keyasint,omitempty"`
	// ReadsFirstByteLoad means that the leader reads the load in FirstByteReceived. Leaders of
	// older builds read it only in AttemptEnded.
	ReadsFirstByteLoad bool `cbor:"21,keyasint,omitempty"`
}

// LimitUsage is the share of its rate limit that an organisation has used across the
// whole fleet.
type LimitUsage struct {
	Organisation string `cbor:"1,keyasint"`
	// Percent is the used share in percent, rounded up.
	Percent uint16 `cbor:"2,keyasint"`
}

// ConfigPush relays the operator's table: the configuration, the announced adapter
// versions and the evacuations.
type ConfigPush struct {
	// Config is the compressed value of the configuration row. It is empty if the row
	// has not changed.
	Config   []byte           `cbor:"1,keyasint,omitempty"`
	Versions []AdapterVersion `cbor:"2,keyasint,omitempty"`
	// EvacuatedZones are all availability zones whose upstreams must receive no requests.
	EvacuatedZones []string `cbor:"3,keyasint,omitempty"`
	// EvacuatedVersion is the store position as of which the evacuated zones are known.
	EvacuatedVersion int64 `cbor:"4,keyasint,omitempty"`
	// KnowsPriorEra means that the sender knows the tables from before the store was last
	// restored from a copy, so that the evacuated zones are complete.
	KnowsPriorEra bool `cbor:"5,keyasint,omitempty"`
	// Departed are the upstreams that the sender knows to be gone or draining. It is set
	// only in the answer to LeaderHeartbeat.WantsTables.
	Departed []UpstreamLeaving `cbor:"6,keyasint,omitempty"`
}

// AdapterVersion is the announced version of an adapter.
type AdapterVersion struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
}

// UpstreamPush relays the list of upstreams or the changes to it.
type UpstreamPush struct {
	// Complete means that the message lists all upstreams; others no longer exist.
	Complete         bool       `cbor:"1,keyasint,omitempty"`
	Upstreams        []Upstream `cbor:"2,keyasint,omitempty"`
	RemovedUpstreams []string   `cbor:"3,keyasint,omitempty"`
	// UpstreamsVersion is the store position up to which the sender has read the upstreams.
	UpstreamsVersion int64 `cbor:"5,keyasint,omitempty"`
	// Packed is the output of PackUpstreams. If it is set, Upstreams is empty.
	Packed []byte `cbor:"4,keyasint,omitempty"`
}

// Upstream is an upstream with its loaded models. Loaded adapters are not included.
type Upstream struct {
	ID        string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint,omitempty"`
	Service   string `cbor:"3,keyasint"`
	Address   string `cbor:"4,keyasint"`
	Zone      string `cbor:"5,keyasint"`
	Slots     int    `cbor:"6,keyasint"`
	Draining  bool   `cbor:"7,keyasint,omitempty"`
	// Models are the model names, separated by newlines, which no name contains.
	Models string `cbor:"8,keyasint,omitempty"`
	// SlowStartMillis is the remaining time of the upstream's slow start, in milliseconds.
	SlowStartMillis int64 `cbor:"9,keyasint,omitempty"`
}

// AdapterLocations reports to a new leader which engines held which adapters recently.
type AdapterLocations struct {
	Locations []AdapterLocation `cbor:"1,keyasint"`
}

// AdapterLocation is an adapter and the engine that the last request for it was sent to.
type AdapterLocation struct {
	Model     string `cbor:"1,keyasint"`
	Adapter   string `cbor:"2,keyasint"`
	Upstream  string `cbor:"3,keyasint"`
	StartedAt int64  `cbor:"4,keyasint"`
}

// AdoptRequest reports to a new leader a request that is already assigned to an upstream.
type AdoptRequest struct {
	AssignRequest     AssignRequest `cbor:"1,keyasint"`
	Upstream          string        `cbor:"2,keyasint"`
	FirstByteReceived bool          `cbor:"3,keyasint,omitempty"`
}

// WireType implements Message.
func (*AssignRequest) WireType() Type { return TypeAssignRequest }

// WireType implements Message.
func (*WithdrawRequest) WireType() Type { return TypeWithdrawRequest }

// WireType implements Message.
func (*FirstByteReceived) WireType() Type { return TypeFirstByteReceived }

// WireType implements Message.
func (*AttemptEnded) WireType() Type { return TypeAttemptEnded }

// WireType implements Message.
func (*Grant) WireType() Type { return TypeGrant }

// WireType implements Message.
func (*Refuse) WireType() Type { return TypeRefuse }

// WireType implements Message.
func (*HostHeartbeat) WireType() Type { return TypeHostHeartbeat }

// WireType implements Message.
func (*LeaderHeartbeat) WireType() Type { return TypeLeaderHeartbeat }

// WireType implements Message.
func (*AdoptRequest) WireType() Type { return TypeAdoptRequest }

// WireType implements Message.
func (*Successor) WireType() Type { return TypeSuccessor }

// WireType implements Message.
func (*Suspects) WireType() Type { return TypeSuspects }

// WireType implements Message.
func (*ConfigPush) WireType() Type { return TypeConfigPush }

// WireType implements Message.
func (*UpstreamPush) WireType() Type { return TypeUpstreamPush }

// WireType implements Message.
func (*AdapterLocations) WireType() Type { return TypeAdapterLocations }

// WireType implements Message.
func (*UpstreamLeaving) WireType() Type { return TypeUpstreamLeaving }
