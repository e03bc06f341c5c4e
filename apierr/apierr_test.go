package apierr

import (
	"encoding/json"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEveryKindHasAWholeRow(t *testing.T) {
	codes := map[string]Kind{}
	for _, k := range Kinds() {
		a := k.Definition()
		require.NotEmpty(t, a.Code, "kind %d", k)
		require.NotEmpty(t, a.Type, a.Code)
		require.NotEmpty(t, a.Message, a.Code)
		require.GreaterOrEqual(t, a.Status, http.StatusBadRequest, a.Code)
		require.NotZero(t, a.AllowedRan, a.Code)
		require.NotContains(t, codes, a.Code)
		codes[a.Code] = k
		checkBody(t, k)
	}
	require.Len(t, codes, int(kindEnd)-1)
}

func checkBody(t *testing.T, k Kind) {
	t.Helper()
	for _, ran := range []Ran{NotRun, MayHaveRun, HasRun} {
		e := New(k, "detail").WithParam("model").WithRetryAfter(time.Second)
		if !k.Definition().Allows(ran) {
			require.Panics(t, func() { _ = e.WithRan(ran) }, "%s must not say %s", k, ran)
			continue
		}
		raw, err := json.Marshal(e.WithRan(ran).Body())
		require.NoError(t, err)
		var b Body
		require.NoError(t, json.Unmarshal(raw, &b))
		require.Equal(t, ran.String(), b.Error.Ran)
		require.Equal(t, "model", *b.Error.Param)
		require.Equal(t, k.Definition().Code, b.Error.Code)
	}
}

func TestOperatorsPageNamesEveryKind(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/errors.md")
	require.NoError(t, err)
	for _, k := range Kinds() {
		require.Contains(t, string(page), "`"+k.String()+"`")
	}
}

func TestKindOutsideTheListPanics(t *testing.T) {
	require.Panics(t, func() { _ = Kind(0).Definition() })
	require.Panics(t, func() { _ = kindEnd.Definition() })
}

func TestNotRunKindsCannotClaimARun(t *testing.T) {
	require.Panics(t, func() { _ = New(RateLimited, "").WithRan(HasRun) })
	require.Panics(t, func() { _ = New(AnswerCut, "").WithRan(NotRun) })
}
