package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/demo"
)

// serveDemo runs "demo --serve" until the test ends and returns the state that the
// command wrote.
func serveDemo(t *testing.T) demo.State {
	t.Helper()
	file := filepath.Join(t.TempDir(), "state.json")
	ctx, cancel := context.WithCancel(t.Context())
	exited := make(chan int, 1)
	var out bytes.Buffer
	go func() { exited <- run(ctx, []string{"demo", "--serve", "--state", file}, &out, &out) }()
	t.Cleanup(func() {
		cancel()
		require.Zero(t, <-exited, out.String())
	})
	var state demo.State
	for {
		raw, err := os.ReadFile(file)
		if err == nil {
			require.NoError(t, json.Unmarshal(raw, &state), "the file is written atomically")
			return state
		}
		require.ErrorIs(t, err, os.ErrNotExist)
		require.Empty(t, exited)
		time.Sleep(time.Millisecond)
	}
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Hello")}}
}

func TestDemoServe_OpenAIClient(t *testing.T) {
	state := serveDemo(t)
	own, foreign := state.Organisations[0], state.Organisations[1].Adapters[0]
	client := func(key string) openai.Client {
		return openai.NewClient(option.WithBaseURL(state.Hosts[0]+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
	}
	c := client(own.Key)
	for _, model := range own.Adapters {
		whole, err := c.Chat.Completions.New(t.Context(), chatParams(model))
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(whole.Choices[0].Message.Content, model+"-0 "))
		stream := c.Chat.Completions.NewStreaming(t.Context(), chatParams(model))
		var streamed openai.ChatCompletionAccumulator
		for stream.Next() {
			streamed.AddChunk(stream.Current())
		}
		require.NoError(t, stream.Err())
		require.Equal(t, whole.Choices[0].Message.Content, streamed.Choices[0].Message.Content)
	}
	page, err := c.Models.List(t.Context())
	require.NoError(t, err)
	require.Len(t, page.Data, 2*len(own.Adapters), "each adapter and its version, and none of another organisation")

	notJSON := option.WithRequestBody("application/json", []byte("{"))
	for name, tc := range map[string]struct {
		key, model string
		options    []option.RequestOption
		status     int
		code       string
	}{
		"wrong key":       {"jlk_wrong", own.Adapters[0], nil, 401, "invalid_api_key"},
		"unknown adapter": {own.Key, "nothing", nil, 404, "model_not_found"},
		"foreign adapter": {own.Key, foreign, nil, 403, "adapter_not_allowed"},
		"not JSON":        {own.Key, own.Adapters[0], []option.RequestOption{notJSON}, 400, "invalid_request"},
	} {
		other := client(tc.key)
		_, err := other.Chat.Completions.New(t.Context(), chatParams(tc.model), tc.options...)
		var refused *openai.Error
		require.True(t, errors.As(err, &refused), "%s: %v", name, err)
		require.Equal(t, tc.status, refused.StatusCode, name)
		require.Equal(t, tc.code, refused.Code, name)
	}
}
