package apierr

import "net/http"

// Kind is the kind of an error. The zero value is not a valid kind.
type Kind uint8

// All kinds. The table in this file has a row for each.
const (
	InvalidRequest Kind = iota + 1
	BodyTooLarge
	RequestTimeout
	MethodNotAllowed
	MissingKey
	InvalidKey
	AdapterNotAllowed
	UnknownModel
	UnknownRoute
	RateLimited
	CostOverBurst
	RateUnknown
	QueueFull
	DeadlineExceeded
	NoUpstream
	AdapterUnavailable
	Draining
	NotReady
	ConfigStale
	IdempotencyMismatch
	IdempotencyInProgress
	OutcomeUnknown
	OutcomeStoreDown
	UpstreamRejected
	UpstreamFailed
	AnswerCut
	RequestQuarantined
	CallerGone
	Internal
	HostOverloaded
	kindEnd // one more than the last kind
)

// StatusCallerGone is the status that is logged if a caller disconnected before its
// response. No caller receives it. 499 is the number that nginx uses for this.
const StatusCallerGone = 499

// RanSet is a set of values of Ran, as a bit mask.
type RanSet uint8

const (
	onlyNotRun  RanSet = 1 << NotRun
	mayOrHasRun RanSet = 1<<MayHaveRun | 1<<HasRun
	anyRan      RanSet = onlyNotRun | mayOrHasRun
)

// Definition is a row of the table: the response of one kind.
type Definition struct {
	// Status is the HTTP status code.
	Status int
	// Type is the "type" of the OpenAI error body.
	Type string
	// Code is the "code" of the OpenAI error body. It is unique to the kind.
	Code string
	// Message is the start of the message, before the error's detail.
	Message string
	// Retry reports whether the same request may succeed later or on another host.
	Retry bool
	// AllowedRan is the set of values of Ran that an error of the kind may have.
	AllowedRan RanSet
}

// Allows reports whether an error of the kind may have ran.
func (a Definition) Allows(ran Ran) bool {
	return a.AllowedRan&(1<<ran) != 0
}

// The "type" values of OpenAI error bodies.
const (
	typeInvalidRequest = "invalid_request_error"
	typeAuth           = "authentication_error"
	typePermission     = "permission_error"
	typeNotFound       = "not_found_error"
	typeRateLimit      = "rate_limit_error"
	typeConflict       = "conflict_error"
	typeUnavailable    = "service_unavailable_error"
	typeServer         = "server_error"
)

// kindTable is the table of kinds.
var kindTable = [kindEnd]Definition{
	InvalidRequest:        {http.StatusBadRequest, typeInvalidRequest, "invalid_request", "the request is not valid", false, onlyNotRun},
	BodyTooLarge:          {http.StatusRequestEntityTooLarge, typeInvalidRequest, "body_too_large", "the request body is too large", false, onlyNotRun},
	RequestTimeout:        {http.StatusRequestTimeout, typeInvalidRequest, "request_timeout", "the request did not arrive in time", true, onlyNotRun},
	MethodNotAllowed:      {http.StatusMethodNotAllowed, typeInvalidRequest, "method_not_allowed", "the method is not allowed here", false, onlyNotRun},
	MissingKey:            {http.StatusUnauthorized, typeAuth, "missing_api_key", "a key is required", false, onlyNotRun},
	InvalidKey:            {http.StatusUnauthorized, typeAuth, "invalid_api_key", "the key is unknown or was withdrawn", false, onlyNotRun},
	AdapterNotAllowed:     {http.StatusForbidden, typePermission, "adapter_not_allowed", "the key's organisation may not use this adapter", false, onlyNotRun},
	UnknownModel:          {http.StatusNotFound, typeNotFound, "model_not_found", "there is no such adapter or version", false, onlyNotRun},
	UnknownRoute:          {http.StatusNotFound, typeNotFound, "route_not_found", "there is no such route", false, onlyNotRun},
	RateLimited:           {http.StatusTooManyRequests, typeRateLimit, "rate_limit_exceeded", "the organisation's rate is used up", true, onlyNotRun},
	CostOverBurst:         {http.StatusTooManyRequests, typeRateLimit, "request_over_burst", "the request costs more tokens than the organisation's burst", false, onlyNotRun},
	RateUnknown:           {http.StatusServiceUnavailable, typeUnavailable, "rate_unknown", "the organisation's rate cannot be checked now", true, onlyNotRun},
	QueueFull:             {http.StatusServiceUnavailable, typeUnavailable, "queue_full", "too many requests are waiting", true, onlyNotRun},
	DeadlineExceeded:      {http.StatusGatewayTimeout, typeUnavailable, "deadline_exceeded", "the request's deadline has passed", true, anyRan},
	NoUpstream:            {http.StatusServiceUnavailable, typeUnavailable, "no_upstream", "no upstream can take the request now", true, onlyNotRun},
	AdapterUnavailable:    {http.StatusServiceUnavailable, typeUnavailable, "adapter_unavailable", "the adapter could not be loaded", true, onlyNotRun},
	Draining:              {http.StatusServiceUnavailable, typeUnavailable, "host_draining", "this host is leaving; ask for another", true, onlyNotRun},
	NotReady:              {http.StatusServiceUnavailable, typeUnavailable, "host_not_ready", "this host is not ready yet", true, onlyNotRun},
	ConfigStale:           {http.StatusServiceUnavailable, typeUnavailable, "host_cut_off", "this host cannot confirm its configuration; ask for another", true, onlyNotRun},
	IdempotencyMismatch:   {http.StatusUnprocessableEntity, typeConflict, "idempotency_key_reused", "the idempotency key was used with another request", false, onlyNotRun},
	IdempotencyInProgress: {http.StatusConflict, typeConflict, "idempotency_in_progress", "the request with this idempotency key has not ended", true, mayOrHasRun},
	OutcomeUnknown:        {http.StatusBadGateway, typeServer, "outcome_unknown", "the request may have run and must not be repeated without a check", false, mayOrHasRun},
	OutcomeStoreDown:      {http.StatusServiceUnavailable, typeUnavailable, "outcome_store_unavailable", "the idempotency key cannot be recorded now", true, onlyNotRun},
	UpstreamRejected:      {http.StatusBadRequest, typeInvalidRequest, "upstream_rejected", "the upstream refused the request as not valid", false, onlyNotRun},
	UpstreamFailed:        {http.StatusBadGateway, typeServer, "upstream_failed", "the upstream failed", true, anyRan},
	AnswerCut:             {http.StatusBadGateway, typeServer, "answer_cut", "the answer was cut before its end", true, mayOrHasRun},
	RequestQuarantined:    {http.StatusUnprocessableEntity, typeInvalidRequest, "request_quarantined", "this request has crashed upstreams and is refused for a while", false, anyRan},
	CallerGone:            {StatusCallerGone, typeInvalidRequest, "caller_gone", "the caller has disconnected", true, anyRan},
	Internal:              {http.StatusInternalServerError, typeServer, "internal_error", "an internal error", true, anyRan},
	HostOverloaded:        {http.StatusServiceUnavailable, typeUnavailable, "host_overloaded", "this host has no memory for the request now", true, onlyNotRun},
}

// Kinds returns all kinds in ascending order.
func Kinds() []Kind {
	all := make([]Kind, 0, int(kindEnd)-1)
	for k := InvalidRequest; k < kindEnd; k++ {
		all = append(all, k)
	}
	return all
}

// Known reports whether the kind is in the table. A kind that was received from another
// host may not be.
func (k Kind) Known() bool { return k > 0 && k < kindEnd }

// Definition returns the kind's row of the table. It panics if the kind is not in the table.
func (k Kind) Definition() Definition {
	if !k.Known() {
		panic("apierr: the kind is not in the table")
	}
	return kindTable[k]
}

// String returns the kind's code, as in error bodies.
func (k Kind) String() string {
	return k.Definition().Code
}
