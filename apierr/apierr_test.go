package apierr

import (
	"encoding/json"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestKinds_CompleteRows(t *testing.T) {
	codes := map[string]Kind{}
	for _, k := range Kinds() {
		row := k.Definition()
		require.NotEmpty(t, row.Code, "kind %d", k)
		require.NotEmpty(t, row.Type, row.Code)
		require.NotEmpty(t, row.Message, row.Code)
		require.GreaterOrEqual(t, row.Status, http.StatusBadRequest, row.Code)
		require.NotZero(t, row.AllowedRan, row.Code)
		require.NotContains(t, codes, row.Code)
		codes[row.Code] = k
		checkBody(t, k)
	}
	require.Len(t, codes, int(kindEnd)-1)
}

func checkBody(t *testing.T, k Kind) {
	t.Helper()
	for _, ran := range []Ran{NotRun, MayHaveRun, HasRun} {
		e := New(k, "detail").WithParam("model").WithRetryAfter(time.Second)
		if !k.Definition().Allows(ran) {
			require.Panics(t, func() { _ = e.WithRan(ran) }, "%s must not allow %s", k, ran)
			continue
		}
		raw, err := json.Marshal(e.WithRan(ran).Body())
		require.NoError(t, err)
		var body Body
		require.NoError(t, json.Unmarshal(raw, &body))
		require.Equal(t, ran.String(), body.Error.Ran)
		require.Equal(t, "model", *body.Error.Param)
		require.Equal(t, k.Definition().Code, body.Error.Code)
	}
}

func TestOperatorsPageNamesEveryKind(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/errors.md")
	require.NoError(t, err)
	for _, k := range Kinds() {
		require.Contains(t, string(page), "`"+k.String()+"`")
	}
}

func TestUnknownKind_Panics(t *testing.T) {
	require.Panics(t, func() { _ = Kind(0).Definition() })
	require.Panics(t, func() { _ = kindEnd.Definition() })
}

func TestWithRan_DisallowedPanics(t *testing.T) {
	require.Panics(t, func() { _ = New(RateLimited, "").WithRan(HasRun) })
	require.Panics(t, func() { _ = New(AnswerCut, "").WithRan(NotRun) })
}
