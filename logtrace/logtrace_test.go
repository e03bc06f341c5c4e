package logtrace

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const entryLog = `not a line
{"@level":"info","@message":"organisation's rate","@module":"h1.watch","@timestamp":"2026-05-29T07:09:40.5Z","organisation":"o","tokens_per_second":11329}
{"@level":"info","@message":"upstream listed","@module":"h1.watch","@timestamp":"2026-05-29T07:09:41Z","born":1784314194312,"upstream":""}
{"@level":"info","@message":"organisation's rate","@module":"h1.watch","@timestamp":"2026-05-29T07:09:40.6Z","organisation":"other","tokens_per_second":5}
{"@level":"info","@message":"log lines dropped","@module":"h1","@timestamp":"2026-05-29T07:09:45Z","lines":3}
  4.0140 h1 {"@level":"info","@message":"request","@module":"h1.entry","@timestamp":"2026-05-29T07:09:48.9Z","adapter":"a1","organisation":"o","request":"r1","rule":"rate","status":429,"upstream":""}
{"@level":"info","@message":"request","@module":"h1.entry","@timestamp":"2026-05-29T07:09:49.9Z","adapter":"a1","organisation":"o","request":"r2","status":200,"upstream":"u"}
`

const leadLog = `{"@level":"info","@message":"this host leads","@module":"h2.lead","@timestamp":"2026-05-29T07:09:30Z","fence":1}
{"@level":"info","@message":"order","@module":"h2.lead","@timestamp":"2026-05-29T07:09:48.0Z","adapter":"a1","result":"accepted"}
{"@level":"info","@message":"order","@module":"h2.lead","@timestamp":"2026-05-29T07:09:48.1Z","adapter":"a2","result":"accepted"}
{"@level":"info","@message":"order","@module":"h2.lead","@timestamp":"2026-05-29T07:09:49.0Z","adapter":"a1","result":"holds"}
`

func TestARequestsLife(t *testing.T) {
	var all []Line
	for _, text := range []string{leadLog, entryLog} {
		lines, err := Read(strings.NewReader(text))
		require.NoError(t, err)
		all = append(all, lines...)
	}
	life, err := Trace(all, "r1")
	require.NoError(t, err)
	require.Equal(t, 3, life.UnwrittenLines)
	var out strings.Builder
	life.Write(&out)
	require.Equal(t, `   18.900 s before  h2               this host leads fence=1
    8.400 s before  h1               organisation's rate organisation=o tokens_per_second=11329
    7.900 s before  h1               upstream listed born=1784314194312 upstream=
    0.900 s before  h2               order adapter=a1 result=accepted
07:09:48.900000  h1               request adapter=a1 organisation=o request=r1 rule=rate status=429 upstream=
3 lines of the 15s before were dropped or summed up: facts may be missing
`, out.String())
	_, err = Trace(all, "unknown")
	require.ErrorIs(t, err, ErrNotFound)
}
