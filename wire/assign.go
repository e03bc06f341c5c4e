package wire

// The numbers of the messages between a host and the lead.
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
	TypeAssignRequest:             func() Message { return &AssignRequest{} },
	TypeWithdrawRequest:        func() Message { return &WithdrawRequest{} },
	TypeFirstByteReceived:         func() Message { return &FirstByteReceived{} },
	TypeAttemptEnded:           func() Message { return &AttemptEnded{} },
	TypeGrant:           func() Message { return &Grant{} },
	TypeRefuse:          func() Message { return &Refuse{} },
	TypeHostHeartbeat:        func() Message { return &HostHeartbeat{} },
	TypeLeaderHeartbeat:        func() Message { return &LeaderHeartbeat{} },
	TypeAdoptRequest:           func() Message { return &AdoptRequest{} },
	TypeSuccessor:       func() Message { return &Successor{} },
	TypeConfigPush:      func() Message { return &ConfigPush{} },
	TypeUpstreamPush:    func() Message { return &UpstreamPush{} },
	TypeAdapterLocations:           func() Message { return &AdapterLocations{} },
	TypeUpstreamLeaving: func() Message { return &UpstreamLeaving{} },
	TypeSuspects:        func() Message { return &Suspects{} },
}

// PrefixBlock is a part of a prompt that other requests may share.
type PrefixBlock struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// AssignRequest asks the lead for an upstream. Times are counted from the sending, since
// the clocks of hosts differ.
type AssignRequest struct {
	Number       uint64 `cbor:"1,keyasint"`
	Service      string `cbor:"2,keyasint"`
	Organisation string `cbor:"3,keyasint,omitempty"`
	Model        string `cbor:"4,keyasint,omitempty"`
	Adapter      string `cbor:"5,keyasint,omitempty"`
	PromptTokens int    `cbor:"6,keyasint,omitempty"`
	OutputTokens int    `cbor:"7,keyasint,omitempty"`
	PrefixBlocks        []PrefixBlock `cbor:"8,keyasint,omitempty"`
	Cost         int64  `cbor:"9,keyasint,omitempty"`
	Priority     int    `cbor:"10,keyasint,omitempty"`
	Zone         string `cbor:"12,keyasint,omitempty"`
	// AgeMillis is how long ago the request arrived.
	AgeMillis int64 `cbor:"13,keyasint,omitempty"`
	// TargetMillis is when the first token is due; it may be negative.
	TargetMillis int64 `cbor:"14,keyasint,omitempty"`
	// DeadlineMillis is when the caller stops waiting.
	DeadlineMillis  int64    `cbor:"15,keyasint,omitempty"`
	Avoid       []string `cbor:"16,keyasint,omitempty"`
	Charged     bool     `cbor:"17,keyasint,omitempty"`
	Fingerprint []byte   `cbor:"18,keyasint,omitempty"`
	// Resource is empty where Fingerprint says as much.
	Resource []byte `cbor:"20,keyasint,omitempty"`
	// ExpectedOutput is the caller's estimate of the tokens made.
	ExpectedOutput int `cbor:"19,keyasint,omitempty"`
}

// WithdrawRequest says that a request that waits is no longer wanted.
type WithdrawRequest struct {
	Number uint64 `cbor:"1,keyasint"`
}

// FirstByteReceived says that the first part of an answer has arrived.
type FirstByteReceived struct {
	Number uint64 `cbor:"1,keyasint"`
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	Number  uint64 `cbor:"1,keyasint"`
	Outcome uint8  `cbor:"2,keyasint"`
	// Running and Waiting are the upstream's own counts, where HasLoad is set.
	HasLoad bool `cbor:"3,keyasint,omitempty"`
	Running int  `cbor:"4,keyasint,omitempty"`
	Waiting int  `cbor:"5,keyasint,omitempty"`
	// EventGaps is an assign.Pauses.
	EventGaps uint8 `cbor:"7,keyasint,omitempty"`
	// BackOffMillis is for how long the upstream wants no request of the sender.
	BackOffMillis int64 `cbor:"6,keyasint,omitempty"`
}

// UpstreamLeaving says that an upstream has told a host that it leaves.
type UpstreamLeaving struct {
	Upstream string `cbor:"1,keyasint"`
	StartedAt     int64  `cbor:"2,keyasint"`
}

// Suspects tells of requests whose attempts broke off.
type Suspects struct {
	Suspects []Suspect `cbor:"1,keyasint"`
}

// Suspect is what is held against a request, a quarantine.Entry.
type Suspect struct {
	Key    []byte          `cbor:"1,keyasint"`
	Interrupted []InterruptedAttempt `cbor:"2,keyasint,omitempty"`
	// ClearedMS is how long ago the request was answered with success, where Cleared
	// is set.
	Cleared   bool  `cbor:"3,keyasint,omitempty"`
	ClearedAgeMillis int64 `cbor:"4,keyasint,omitempty"`
}

// InterruptedAttempt is an attempt that broke off on a start of an upstream.
type InterruptedAttempt struct {
	// Incarnation is a quarantine.Start.
	Incarnation uint64 `cbor:"1,keyasint"`
	// IncarnationEnded says that the upstream was seen to end.
	IncarnationEnded bool `cbor:"2,keyasint,omitempty"`
	// AgeMillis is how long ago the attempt broke off.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
}

// Grant gives a request to an upstream.
type Grant struct {
	Number     uint64 `cbor:"1,keyasint"`
	Upstream   string `cbor:"2,keyasint"`
	StartedAt       int64  `cbor:"3,keyasint"`
	Version    int64  `cbor:"4,keyasint,omitempty"`
	Rule        string `cbor:"5,keyasint,omitempty"`
	ExpectedMillis int64  `cbor:"6,keyasint,omitempty"`
}

// Refuse ends a request that no upstream is given.
type Refuse struct {
	Number uint64 `cbor:"1,keyasint"`
	// Kind is an apierr.Kind.
	Kind         uint8  `cbor:"2,keyasint"`
	RetryAfterMillis int64  `cbor:"3,keyasint,omitempty"`
	Rule          string `cbor:"4,keyasint,omitempty"`
}

// TokenUsage are tokens that an organisation has used through a host.
type TokenUsage struct {
	Organisation string  `cbor:"1,keyasint"`
	Tokens       float64 `cbor:"2,keyasint"`
	// AgeMillis is how long ago.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
}

// HostHeartbeat tells the lead that a host is there.
type HostHeartbeat struct {
	Zone string `cbor:"1,keyasint"`
	// CallerAddress is where callers connect.
	CallerAddress  string `cbor:"2,keyasint"`
	Draining bool   `cbor:"3,keyasint,omitempty"`
	// TokenUsages is what the lead has not been told yet.
	TokenUsages []TokenUsage `cbor:"4,keyasint,omitempty"`
	// Cores is the host's processor time, in cores.
	Cores float64 `cbor:"5,keyasint,omitempty"`
	// MemberListVersion is the version of the list of hosts that the host has.
	MemberListVersion uint64 `cbor:"6,keyasint,omitempty"`
	// TablesChecksum is a checksum of what the host knows of the platform's tables.
	TablesChecksum uint64 `cbor:"7,keyasint,omitempty"`
	// PeerURL is where the host accepts links.
	PeerURL string `cbor:"8,keyasint,omitempty"`
}

// Successor tells a lead that it has been replaced by the sender, and hosts
// which one has replaced their lead. A new lead sends it to every host that it
// knows, so that they need not look for it.
type Successor struct {
	Host string `cbor:"1,keyasint"`
	// URL is where hosts link to the new lead.
	URL   string `cbor:"2,keyasint"`
	Fence int64  `cbor:"3,keyasint"`
}

// CallerHost is a host that callers may be sent to.
type CallerHost struct {
	Name    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	CallerAddress string `cbor:"3,keyasint"`
	// Cores is the host's processor time, in cores.
	Cores float64 `cbor:"4,keyasint,omitempty"`
	// PeerURL is where the host accepts links.
	PeerURL string `cbor:"5,keyasint,omitempty"`
}

// LeaderHeartbeat tells a host that the lead is there, and what it knows.
type LeaderHeartbeat struct {
	// Fence is the fencing token of the lead's lease.
	Fence int64 `cbor:"1,keyasint"`
	// LeaseVersion is the version of the lease's row after its last renewal.
	LeaseVersion int64 `cbor:"2,keyasint"`
	// RenewalOverdue says that the lead cannot renew its lease.
	RenewalOverdue bool `cbor:"3,keyasint,omitempty"`
	// Yields says that the lead lets a host with more processor time take over.
	Yields bool `cbor:"9,keyasint,omitempty"`
	// Released says that the lead has given its lease back.
	Released bool `cbor:"4,keyasint,omitempty"`
	// MemberListVersion is the version of the list of hosts. Where RosterFrom is 0, Hosts is
	// the whole list, or empty for a receiver that has it. Else Hosts and Gone are
	// what has changed since the version RosterFrom.
	MemberListVersion     uint64       `cbor:"7,keyasint,omitempty"`
	MemberListBase uint64       `cbor:"10,keyasint,omitempty"`
	Hosts      []CallerHost `cbor:"5,keyasint,omitempty"`
	RemovedHosts       []string     `cbor:"11,keyasint,omitempty"`
	// TablesChecksum is a checksum of what the lead knows of the platform's tables, which it
	// has passed on. OperatorAt and UpstreamsAt are the store's versions that it
	// has read them up to.
	TablesChecksum         uint64 `cbor:"12,keyasint,omitempty"`
	OperatorVersion  int64  `cbor:"13,keyasint,omitempty"`
	UpstreamsVersion int64  `cbor:"14,keyasint,omitempty"`
	// StoreAgeMillis is how long ago the lead last read the store.
	StoreAgeMillis int64 `cbor:"8,keyasint,omitempty"`
	// Exhausted names the organisations whose rate is used up.
	Exhausted []string `cbor:"6,keyasint,omitempty"`
	// LimitUsages tells of the organisations that have used a good part of theirs.
	LimitUsages []LimitUsage `cbor:"15,keyasint,omitempty"`
	// Suspects are the requests that the lead refuses, or nearly, since they crash
	// upstreams.
	Suspects []Suspect `cbor:"16,keyasint,omitempty"`
}

// LimitUsage is which part of its limit an organisation has used over the whole fleet.
type LimitUsage struct {
	Organisation string `cbor:"1,keyasint"`
	// Percent is rounded up.
	Percent uint16 `cbor:"2,keyasint"`
}

// ConfigPush passes the operator's configuration on, and the announced versions
// of adapters.
type ConfigPush struct {
	// Config is the row's value, compressed. Empty where it has not changed.
	Config   []byte           `cbor:"1,keyasint,omitempty"`
	Versions []AdapterVersion `cbor:"2,keyasint,omitempty"`
	// EvacuatedZones are all availability zones whose upstreams are sent nothing, as of the
	// store's version EvacuatedAt.
	EvacuatedZones   []string `cbor:"3,keyasint,omitempty"`
	EvacuatedVersion int64    `cbor:"4,keyasint,omitempty"`
}

// AdapterVersion is the announced version of an adapter.
type AdapterVersion struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
}

// UpstreamPush passes the upstreams on.
type UpstreamPush struct {
	// Complete says that there are no others than those listed.
	Complete     bool       `cbor:"1,keyasint,omitempty"`
	Upstreams []Upstream `cbor:"2,keyasint,omitempty"`
	RemovedUpstreams      []string   `cbor:"3,keyasint,omitempty"`
	// UpstreamsVersion is the store's version as of which the sender knows the upstreams.
	UpstreamsVersion int64 `cbor:"5,keyasint,omitempty"`
	// Packed holds Upstreams compressed, in their place.
	Packed []byte `cbor:"4,keyasint,omitempty"`
}

// Upstream is an upstream with the models, but not the adapters, that it holds.
type Upstream struct {
	ID       string `cbor:"1,keyasint"`
	StartedAt     int64  `cbor:"2,keyasint,omitempty"`
	Service  string `cbor:"3,keyasint"`
	Address  string `cbor:"4,keyasint"`
	Zone     string `cbor:"5,keyasint"`
	Slots    int    `cbor:"6,keyasint"`
	Draining bool   `cbor:"7,keyasint,omitempty"`
	// Models are separated by newlines, which no name contains.
	Models string `cbor:"8,keyasint,omitempty"`
	// SlowStartMillis is for how much longer the upstream takes few requests.
	SlowStartMillis int64 `cbor:"9,keyasint,omitempty"`
}

// AdapterLocations tells a new lead which engines held which adapters of late.
type AdapterLocations struct {
	Locations []AdapterLocation `cbor:"1,keyasint"`
}

// AdapterLocation is an adapter and the engine that a request for it was sent to last.
type AdapterLocation struct {
	Model    string `cbor:"1,keyasint"`
	Adapter  string `cbor:"2,keyasint"`
	Upstream string `cbor:"3,keyasint"`
	StartedAt     int64  `cbor:"4,keyasint"`
}

// AdoptRequest tells a new lead of a request that is already with an upstream.
type AdoptRequest struct {
	AssignRequest      AssignRequest    `cbor:"1,keyasint"`
	Upstream string `cbor:"2,keyasint"`
	FirstByteReceived  bool   `cbor:"3,keyasint,omitempty"`
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
