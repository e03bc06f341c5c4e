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
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	N                   *int64          `json:"n"`
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
	prefix uint64
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
	if err := json.Unmarshal(raw, &p.fields); err != nil {
		return nil, apierr.New(apierr.InvalidRequest, "the body is not a JSON object: %s", err)
	}
	if err := json.Unmarshal(raw, &p.completionRequest); err != nil {
		var field *json.UnmarshalTypeError
		if errors.As(err, &field) {
			return nil, apierr.New(apierr.InvalidRequest, "field %s has the wrong type", field.Field).WithParam(field.Field)
		}
		return nil, apierr.New(apierr.InvalidRequest, "%s", err)
	}
	if p.Model == "" {
		return nil, apierr.New(apierr.InvalidRequest, "field model is missing").WithParam("model")
	}
	if len(p.Messages) == 0 && len(p.Prompt) == 0 {
		return nil, apierr.New(apierr.InvalidRequest, "field messages or prompt is missing").WithParam("messages")
	}
	return p, p.cost()
}

// cost works out the most that the request can cost.
func (p *parsedCompletion) cost() *apierr.Error {
	answer := int64(defaultMaxTokens)
	if p.MaxTokens != nil {
		answer = *p.MaxTokens
	}
	if p.MaxCompletionTokens != nil {
		answer = *p.MaxCompletionTokens
	}
	if answer < 1 || answer > largestMaxTokens {
		return apierr.New(apierr.InvalidRequest, "max_tokens must be 1 to %d", largestMaxTokens).WithParam("max_tokens")
	}
	choices := int64(1)
	if p.N != nil {
		choices = *p.N
	}
	if choices < 1 || choices > maxChoices {
		return apierr.New(apierr.InvalidRequest, "n must be 1 to %d", maxChoices).WithParam("n")
	}
	text := p.Messages
	if len(text) == 0 {
		text = p.Prompt
	}
	p.tokens = int64(len(text))/bytesPerToken + 1 + answer*choices
	p.prefix = xxhash.Sum64(text[:min(len(text), prefixBytes)])
	return nil
}

// maxChoices bounds the field n.
const maxChoices = 16

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
		return nil, apierr.New(apierr.RequestTimeout, "")
	}
	return nil, apierr.New(apierr.InvalidRequest, "the body could not be read")
}
