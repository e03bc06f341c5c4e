package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/jasminelock/jasminelock/locate"
)

// caller is an HTTP client that calls hosts as a customer's program does.
type caller struct {
	http   *http.Client
	secret string
}

func newCaller(secret string) *caller {
	return &caller{http: &http.Client{Transport: &http.Transport{}}, secret: secret}
}

// reply is the answer that a caller received.
type reply struct {
	status int
	// code is the kind of the error, "" if there is none.
	code string
	// ran states, for an error, whether the request was executed.
	ran string
	// text is the generated text, or the whole body of an answer without one.
	text string
	// complete means that the answer is complete.
	complete bool
}

// String returns the reply in the form that the demo prints.
func (r reply) String() string {
	if r.code != "" {
		return fmt.Sprintf("status %d, %s, %s", r.status, r.code, r.ran)
	}
	words := strings.Fields(r.text)
	if len(words) < 2 {
		return fmt.Sprintf("status %d, %s", r.status, r.text)
	}
	return fmt.Sprintf("status %d, %d words, %s … %s", r.status, len(words), words[0], words[len(words)-1])
}

// errorAnswer is the part of an error's body that the demo reads.
type errorAnswer struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// locateAnswer is the answer of GET /v1/locate.
type locateAnswer struct {
	Hosts       []locate.Choice `json:"hosts"`
	KeepSeconds int             `json:"keep_seconds"`
}

func (c *caller) locate(ctx context.Context, anyHost, model, zone string) (locateAnswer, error) {
	var answer locateAnswer
	q := url.Values{"model": {model}, "zone": {zone}}
	resp, err := c.send(ctx, http.MethodGet, anyHost+"/v1/locate?"+q.Encode(), nil, nil)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatAnswer is a chat completion, or one chunk of a stream.
type chatAnswer struct {
	Choices []struct {
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
	} `json:"choices"`
}

func (a chatAnswer) text() string {
	var b strings.Builder
	for _, c := range a.Choices {
		b.WriteString(c.Message.Content)
		b.WriteString(c.Delta.Content)
	}
	return b.String()
}

const maxAnswerTokens = 64

func (c *caller) chat(ctx context.Context, base, model string, stream bool) (reply, error) {
	body, err := json.Marshal(chatRequest{
		Model: model, MaxTokens: maxAnswerTokens, Stream: stream,
		Messages: []chatMessage{{"user", "Write one line about rain."}},
	})
	if err != nil {
		return reply{}, err
	}
	resp, err := c.send(ctx, http.MethodPost, base+"/v1/chat/completions", body, nil)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if stream && resp.StatusCode == http.StatusOK {
		return readStream(resp)
	}
	return readWhole(resp)
}

// call sends a request to a plain service, with an idempotency key unless it is empty.
func (c *caller) call(ctx context.Context, method, address, idempotencyKey string) (reply, error) {
	header := http.Header{}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := c.send(ctx, method, address, []byte(`{"item":"lamp","count":1}`), header)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readWhole(resp)
}

func (c *caller) send(ctx context.Context, method, address string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Content-Type", "application/json")
	if c.secret != "" {
		req.Header.Set("Authorization", "Bearer "+c.secret)
	}
	return c.http.Do(req)
}

func readWhole(resp *http.Response) (reply, error) {
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}
	r := reply{status: resp.StatusCode, complete: true, text: string(raw)}
	var failed errorAnswer
	if json.Unmarshal(raw, &failed) == nil && resp.StatusCode >= http.StatusBadRequest {
		r.code, r.ran = failed.Error.Code, failed.Error.Ran
	}
	var answer chatAnswer
	if json.Unmarshal(raw, &answer) == nil && len(answer.Choices) > 0 {
		r.text = answer.text()
	}
	return r, nil
}

// readStream reads an event stream to its end. The reply is complete only if the stream
// contains the event [DONE].
func readStream(resp *http.Response) (reply, error) {
	r := reply{status: resp.StatusCode}
	var text strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			r.complete = true
		default:
			var event chatAnswer
			var failed errorAnswer
			if err := json.Unmarshal([]byte(data), &event); err != nil {
				return r, err
			}
			_ = json.Unmarshal([]byte(data), &failed) // an event without an error has none
			r.code, r.ran = failed.Error.Code, failed.Error.Ran
			text.WriteString(event.text())
		}
	}
	r.text = text.String()
	return r, lines.Err()
}
