package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/standin"
)

// answer is one answer as it is generated.
type answer struct {
	engine  *Engine
	w       http.ResponseWriter
	r       *http.Request
	request completionRequest
	tokens  int
	prompt  int
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (a *answer) chat() bool {
	return strings.HasSuffix(a.r.URL.Path, "/chat/completions")
}

// token returns the text of one token. It names the adapter, so that a test
// can tell which adapter answered.
func (a *answer) token(i int) string {
	return fmt.Sprintf("%s-%d ", a.request.Model, i)
}

func (a *answer) usage() *usage {
	return &usage{PromptTokens: a.prompt, CompletionTokens: a.tokens, TotalTokens: a.prompt + a.tokens}
}

func (a *answer) completion(object string, choices ...choice) completion {
	return completion{ID: "cmpl-" + a.r.Header.Get("X-Attempt-Id"), Object: object, Created: time.Now().Unix(), Model: a.request.Model, Choices: choices}
}

func (a *answer) write() {
	if a.request.Stream {
		a.writeStream()
		return
	}
	if !a.wait(a.engine.settings.FirstTokenTime + time.Duration(a.tokens)*a.engine.settings.TokenTime) {
		return
	}
	var text strings.Builder
	for i := range a.tokens {
		text.WriteString(a.token(i))
	}
	stop := "stop"
	object, c := "text_completion", choice{FinishReason: &stop}
	if a.chat() {
		object, c.Message = "chat.completion", &message{"assistant", text.String()}
	} else {
		whole := text.String()
		c.Text = &whole
	}
	body := a.completion(object, c)
	body.Usage = a.usage()
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	a.w.Header().Set("Content-Type", "application/json")
	_, _ = a.w.Write(raw[:len(raw)/2])
	_ = http.NewResponseController(a.w).Flush()
	a.engine.calls.Apply(standin.MidAnswer, a.w)
	_, _ = a.w.Write(raw[len(raw)/2:])
}

func (a *answer) chunk(i int) completion {
	c := choice{}
	object, text := "chat.completion.chunk", a.token(i)
	if a.chat() {
		c.Delta = &message{Content: text}
	} else {
		object, c.Text = "text_completion", &text
	}
	if i == a.tokens-1 {
		stop := "stop"
		c.FinishReason = &stop
	}
	return a.completion(object, c)
}

// wait reports false where the caller has cancelled.
func (a *answer) wait(d time.Duration) bool {
	select {
	case <-a.r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}
