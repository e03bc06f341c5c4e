package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/apierr"
)

// completionRequest is what the gateway reads of a completion request. All
// other fields are passed on as they came.
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

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Bounds and estimates of a request's cost.
const (
	// defaultMaxTokens is the answer's bound where the caller states none.
	defaultMaxTokens = 512
	// largestMaxTokens is the largest bound that a caller may state.
	largestMaxTokens = 1 << 20
	// bytesPerToken is a low estimate of text per token, so that the estimated
	// number of tokens is high.
	bytesPerToken = 3
	// prefixBytes is how much of a prompt is hashed to find its cached prefix.
	prefixBytes = 256
)

// parsedCompletion is a completion request that can be sent on.
type parsedCompletion struct {
	completionRequest
	// fields are the body's fields as they came.
	fields map[string]json.RawMessage
	// tokens is the most that the request can cost.
	tokens int64
	// promptTokens is the prompt's part of tokens.
	promptTokens int64
	prefix       uint64
}

// wantsUsage reports whether the caller asked for usage in a stream.
func (p *parsedCompletion) wantsUsage() bool {
	return p.StreamOptions != nil && p.StreamOptions.IncludeUsage
}

// body returns the request as it is sent to an engine: the model is the exact
// version, and a stream always reports its usage.
func (p *parsedCompletion) body(model string) ([]byte, error) {
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

func parseCompletion(raw []byte) (*parsedCompletion, *apierr.Error) {
	p := &parsedCompletion{}
	if err := json.Unmarshal(raw, &p.fields); err != nil || p.fields == nil {
		return nil, apierr.New(apierr.InvalidRequest, "the body is not a JSON object")
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
	return p, p.cost()
}

// readFields reads the known fields one by one. Decoding the whole object would
// match names regardless of case: a field "MAX_TOKENS" would then be counted
// where the engine reads "max_tokens".
func (p *parsedCompletion) readFields() *apierr.Error {
	known := []struct {
		name string
		to   any
	}{
		{"model", &p.Model}, {"stream", &p.Stream}, {"max_tokens", &p.MaxTokens},
		{"max_completion_tokens", &p.MaxCompletionTokens}, {"stream_options", &p.StreamOptions},
		{"messages", &p.Messages}, {"prompt", &p.Prompt}, {"n", &p.N}, {"best_of", &p.BestOf},
	}
	for _, field := range known {
		value, ok := p.fields[field.name]
		if ok && json.Unmarshal(value, field.to) != nil {
			return apierr.New(apierr.InvalidRequest, "field %s has the wrong type", field.name).WithParam(field.name)
		}
	}
	return nil
}

// cost works out the most that the request can cost. Where two fields bound the
// same thing, the larger counts: engines differ in which one they follow.
func (p *parsedCompletion) cost() *apierr.Error {
	answer, ok := larger(p.MaxTokens, p.MaxCompletionTokens, defaultMaxTokens, largestMaxTokens)
	if !ok {
		return apierr.New(apierr.InvalidRequest, "max_tokens must be 1 to %d", largestMaxTokens).WithParam("max_tokens")
	}
	choices, ok := larger(p.N, p.BestOf, 1, maxChoices)
	if !ok {
		return apierr.New(apierr.InvalidRequest, "n and best_of must be 1 to %d", maxChoices).WithParam("n")
	}
	text := p.Messages
	if len(text) == 0 {
		text = p.Prompt
	}
	p.promptTokens = int64(len(text))/bytesPerToken + 1
	p.tokens = p.promptTokens + answer*choices*p.prompts()
	p.prefix = xxhash.Sum64(text[:min(len(text), prefixBytes)])
	return nil
}

// larger returns the larger of two optional fields, or the default where
// neither is set. It reports false where one is outside 1 to most.
func larger(a, b *int64, standard, most int64) (int64, bool) {
	value := int64(0)
	for _, field := range []*int64{a, b} {
		if field == nil {
			continue
		}
		if *field < 1 || *field > most {
			return 0, false
		}
		value = max(value, *field)
	}
	if value == 0 {
		return standard, true
	}
	return value, true
}

// prompts returns how many prompts the request has: an engine answers each
// entry of a list, but a list of numbers is one prompt in tokens.
func (p *parsedCompletion) prompts() int64 {
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
	// maxChoices bounds the fields n and best_of.
	maxChoices = 16
	// maxModelBytes bounds the field model.
	maxModelBytes = 300
)

// readBody reads a request's body up to the limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *apierr.Error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return raw, nil
	case errors.As(err, &tooLarge):
		return nil, apierr.New(apierr.BodyTooLarge, "at most %d bytes", s.limits.MaxBodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, apierr.New(apierr.RequestTimeout, "")
	}
	return nil, apierr.New(apierr.InvalidRequest, "the body could not be read")
}
