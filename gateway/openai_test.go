package gateway_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"
)

func openaiClient(f *fleet, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.url(0)+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(8),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a menu for Monday")},
	}
}

// expectedText returns the text that the stand-in engine generates for the adapter.
func expectedText(model string) string {
	var b strings.Builder
	for i := range 8 {
		b.WriteString(model + "-" + string(rune('0'+i)) + " ")
	}
	return b.String()
}

func TestOpenAIClient_Completion(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	client := openaiClient(f, aliceKey)
	for model, exact := range map[string]string{"alice-menu": "alice-menu@1", "alice-menu@1": "alice-menu@1"} {
		got, err := client.Chat.Completions.New(t.Context(), chatParams(model))
		require.NoError(t, err)
		require.Equal(t, expectedText(exact), got.Choices[0].Message.Content)
		require.Equal(t, int64(8), got.Usage.CompletionTokens)
	}
}

func TestOpenAIClient_Stream(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	client := openaiClient(f, aliceKey)
	for _, withUsage := range []bool{false, true} {
		params := chatParams("alice-menu")
		if withUsage {
			params.StreamOptions.IncludeUsage = openai.Bool(true)
		}
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		acc := openai.ChatCompletionAccumulator{}
		usageChunks := 0
		for stream.Next() {
			chunk := stream.Current()
			acc.AddChunk(chunk)
			if chunk.Usage.TotalTokens > 0 {
				usageChunks++
			}
		}
		require.NoError(t, stream.Err())
		require.Equal(t, expectedText("alice-menu@1"), acc.Choices[0].Message.Content)
		require.Equal(t, withUsage, usageChunks == 1, "usage chunks: %d", usageChunks)
	}
}

func TestOpenAIClient_ListsOwnModels(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	client := openaiClient(f, aliceKey)
	page, err := client.Models.List(t.Context())
	require.NoError(t, err)
	var ids []string
	for _, m := range page.Data {
		ids = append(ids, m.ID)
	}
	require.Equal(t, []string{"alice-menu", "alice-menu@1"}, ids)
}

func TestOpenAIClient_TypedErrors(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	notJSON := option.WithRequestBody("application/json", []byte(`{"model":`))
	for name, c := range map[string]struct {
		key, model string
		options    []option.RequestOption
		status     int
		code       string
	}{
		"wrong key":       {"jlk_wrong", "alice-menu", nil, 401, "invalid_api_key"},
		"unknown adapter": {aliceKey, "nothing", nil, 404, "model_not_found"},
		"unknown version": {aliceKey, "alice-menu@9", nil, 404, "model_not_found"},
		"foreign adapter": {aliceKey, "bob-menu", nil, 403, "adapter_not_allowed"},
		"not JSON":        {aliceKey, "alice-menu", []option.RequestOption{notJSON}, 400, "invalid_request"},
	} {
		t.Run(name, func(t *testing.T) {
			client := openaiClient(f, c.key)
			_, err := client.Chat.Completions.New(t.Context(), chatParams(c.model), c.options...)
			requireAPIError(t, err, c.status, c.code)
			stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams(c.model), c.options...)
			require.False(t, stream.Next())
			requireAPIError(t, stream.Err(), c.status, c.code)
		})
	}
}

func requireAPIError(t *testing.T, err error, status int, code string) {
	t.Helper()
	var apiErr *openai.Error
	require.True(t, errors.As(err, &apiErr), "%v", err)
	require.Equal(t, status, apiErr.StatusCode)
	require.Equal(t, code, apiErr.Code)
	require.Contains(t, apiErr.RawJSON(), `"ran":"not_run"`)
}
