package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/intake/callers"
)

// completionRequest holds the fields of a completion request that the gateway uses. All
// other fields are forwarded unchanged.
type completionRequest struct {
	Model               string
	Stream              bool
	MaxTokens           *int64
	MaxCompletionTokens *int64
	StreamOptions       *streamOptions
	Messages            json.RawMessage
	Prompt              json.RawMessage
	N                   *int64
	BestOf              *int64
}

// streamOptions is the field stream_options of a completion request.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Bounds and estimates of a request's cost.
const (
	// defaultMaxTokens is the bound of the response's tokens if the caller sets none.
	defaultMaxTokens = 512
	// maxTokensLimit is the largest max_tokens that a caller may set.
	maxTokensLimit = 1 << 20
	// bytesPerToken is a low estimate of the bytes of text in a token, so that the cost of
	// a prompt is overestimated rather than underestimated.
	bytesPerToken = 3
	// prefixBytes is the length of the prompt's prefix that is hashed to find engines that
	// have it cached.
	prefixBytes = 256
)

// parsedCompletion is a valid completion request with its estimated cost.
type parsedCompletion struct {
	completionRequest
	// fields are all fields of the body, undecoded.
	fields map[string]json.RawMessage
	// tokens is the maximum cost of the request in tokens: prompt and response.
	tokens int64
	// promptTokens is the estimated cost of the prompt, which is part of tokens.
	promptTokens int64
	// prefixHash is the hash of the prompt's first prefixBytes bytes.
	prefixHash uint64
}

// wantsUsage reports whether the caller requested usage in a stream (include_usage).
func (p *parsedCompletion) wantsUsage() bool {
	return p.StreamOptions != nil && p.StreamOptions.IncludeUsage
}

// engineBody returns the request body for an engine. It sets the model to the exact version,
// requests usage in every stream, and sets max_tokens to defaultMaxTokens if the caller set
// no bound.
func (p *parsedCompletion) engineBody(model string) ([]byte, error) {
	name, err := json.Marshal(model)
	if err != nil {
		return nil, err
	}
	p.fields["model"] = name
	if p.Stream {
		p.fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	if p.MaxTokens == nil && p.MaxCompletionTokens == nil {
		p.fields["max_tokens"] = json.RawMessage(`512`)
	}
	return json.Marshal(p.fields)
}

// parseCompletion parses and validates the body of a completion request and computes its
// cost.
func parseCompletion(raw []byte) (*parsedCompletion, *apierr.Error) {
	p := &parsedCompletion{}
	if err := json.Unmarshal(raw, &p.fields); err != nil || p.fields == nil {
		return nil, apierr.New(apierr.InvalidRequest, "the request body is not a JSON object")
	}
	if apiErr := p.readFields(); apiErr != nil {
		return nil, apiErr
	}
	if p.Model == "" || len(p.Model) > maxModelBytes {
		return nil, apierr.New(apierr.InvalidRequest, "field model must have 1 to %d bytes", maxModelBytes).WithParam("model")
	}
	if len(p.Messages) == 0 && len(p.Prompt) == 0 {
		return nil, apierr.New(apierr.InvalidRequest, "field messages or prompt is missing").WithParam("messages")
	}
	return p, p.computeCost()
}

// readFields decodes the known fields one by one. encoding/json matches the names of a
// struct regardless of case: if the whole object were decoded, a field "MAX_TOKENS" would
// be counted although the engine reads "max_tokens".
func (p *parsedCompletion) readFields() *apierr.Error {
	known := []struct {
		name string
		dest any
	}{
		{"model", &p.Model}, {"stream", &p.Stream}, {"max_tokens", &p.MaxTokens},
		{"max_completion_tokens", &p.MaxCompletionTokens}, {"stream_options", &p.StreamOptions},
		{"messages", &p.Messages}, {"prompt", &p.Prompt}, {"n", &p.N}, {"best_of", &p.BestOf},
	}
	for _, field := range known {
		value, ok := p.fields[field.name]
		if ok && json.Unmarshal(value, field.dest) != nil {
			return apierr.New(apierr.InvalidRequest, "field %s has the wrong type", field.name).WithParam(field.name)
		}
	}
	return nil
}

// computeCost computes the maximum cost of the request in tokens, the estimated cost of the
// prompt and the hash of the prefix. If two fields bound the same quantity, the larger
// counts: engines differ in which one they use.
func (p *parsedCompletion) computeCost() *apierr.Error {
	responseTokens, ok := largerBound(p.MaxTokens, p.MaxCompletionTokens, defaultMaxTokens, maxTokensLimit)
	if !ok {
		return apierr.New(apierr.InvalidRequest, "max_tokens and max_completion_tokens must be 1 to %d", maxTokensLimit).WithParam("max_tokens")
	}
	choices, ok := largerBound(p.N, p.BestOf, 1, maxChoices)
	if !ok {
		return apierr.New(apierr.InvalidRequest, "n and best_of must be 1 to %d", maxChoices).WithParam("n")
	}
	promptText := p.Messages
	if len(promptText) == 0 {
		promptText = p.Prompt
	}
	p.promptTokens = int64(len(promptText))/bytesPerToken + 1
	p.tokens = p.promptTokens + responseTokens*choices*p.promptCount()
	p.prefixHash = xxhash.Sum64(promptText[:min(len(promptText), prefixBytes)])
	return nil
}

// largerBound returns the larger of two optional fields, or defaultValue if neither is
// set. It returns false if one of them is not in the range 1 to limit.
func largerBound(a, b *int64, defaultValue, limit int64) (int64, bool) {
	value := int64(0)
	for _, field := range []*int64{a, b} {
		if field == nil {
			continue
		}
		if *field < 1 || *field > limit {
			return 0, false
		}
		value = max(value, *field)
	}
	if value == 0 {
		return defaultValue, true
	}
	return value, true
}

// promptCount returns the number of prompts in the request. An engine answers each entry of a
// list of texts or of token lists; a list of numbers is one prompt given as tokens.
func (p *parsedCompletion) promptCount() int64 {
	var list []json.RawMessage
	if len(p.Messages) > 0 || json.Unmarshal(p.Prompt, &list) != nil || len(list) == 0 {
		return 1
	}
	if first := list[0][0]; first != '"' && first != '[' {
		return 1
	}
	return int64(len(list))
}

const (
	// maxChoices is the maximum of the fields n and best_of.
	maxChoices = 16
	// maxModelBytes is the maximum length of the field model in bytes.
	maxModelBytes = 300
)

// noMemoryError returns the error for a request for which there is no memory, and closes its connection.
func noMemoryError(w http.ResponseWriter) *apierr.Error {
	w.Header().Set("Connection", "close")
	return apierr.New(apierr.HostOverloaded, "")
}

// readBody reads the request body. It returns BodyTooLarge if the body is larger than
// MaxBodyBytes, RequestTimeout if it does not arrive within the server's read timeout, and HostOverloaded if there is no memory
// for it.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *apierr.Error) {
	held := callers.FromContext(r.Context())
	raw, err := held.ReadBody(http.MaxBytesReader(w, r.Body, s.limits.MaxBodyBytes), r.ContentLength, s.limits.MaxBodyBytes)
	held.LimitDiscard()
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return raw, nil
	case errors.Is(err, callers.ErrRefused):
		return nil, noMemoryError(w)
	case errors.As(err, &tooLarge):
		return nil, apierr.New(apierr.BodyTooLarge, "at most %d bytes", s.limits.MaxBodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, apierr.New(apierr.RequestTimeout, "")
	}
	return nil, apierr.New(apierr.InvalidRequest, "the request body could not be read")
}
