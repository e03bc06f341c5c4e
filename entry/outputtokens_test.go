package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/watch"
)

// The cost of a request is learned from its output tokens. A figure that leaves out a part of the stream, or that is a
// guess, would make all later estimates wrong.
func TestOutputTokens(t *testing.T) {
	config := catalog.NewConfig(catalog.ConfigParts{Services: []catalog.Service{
		{Name: "known", Engine: &catalog.Engine{TokensPerEvent: 3}}, {Name: "unknown", Engine: &catalog.Engine{}}, {Name: "plain"},
	}})
	for _, tc := range []struct {
		service, lastEventID string
		want                 int
	}{
		{service: "known", want: 30}, {service: "known", lastEventID: "4"}, {service: "unknown"}, {service: "plain"}, {service: "none"},
	} {
		x := &exchange{
			view: &watch.View{Config: config}, events: 10, request: assign.Request{Service: tc.service},
			requestInfo: RequestInfo{LastEventID: tc.lastEventID},
		}
		require.Equal(t, tc.want, x.outputTokens(), "%+v", tc)
	}
}
