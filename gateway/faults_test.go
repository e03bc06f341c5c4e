package gateway_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/standin/platform"
	"github.com/jasminelock/jasminelock/standin/service"
	api "github.com/jasminelock/jasminelock/store"
)

// callClass is a class of calls to a plain service. hasKey calls have an idempotency key;
// atMostOnce calls use a route that is not repeatable.
type callClass struct {
	name       string
	method     string
	path       string
	hasKey     bool
	atMostOnce bool
}

var callClasses = []callClass{
	{"repeatable", http.MethodPost, "/stock", false, false},
	{"once with key", http.MethodPost, "/orders", true, true},
	{"once without key", http.MethodPost, "/orders", false, true},
}

// faultTimeout is the timeout of a call. faultDelay is a delay longer than that.
const (
	faultTimeout = "300ms"
	faultDelay   = 400 * time.Millisecond
)

// faultCase is one fault of the upstream or the store at one step of a call.
type faultCase struct {
	name     string
	upstream standin.Fault
	store    platform.Faults
}

// faultCases returns a case for each fault at each step: the steps of the store, before
// dispatch and after execution, and the steps of the upstream.
func faultCases() []faultCase {
	cases := []faultCase{
		{name: "no fault"},
		{name: "store down", store: platform.Faults{Down: true}},
		{name: "store slow past the deadline", store: platform.Faults{Delay: faultDelay}},
		{name: "store slow", store: platform.Faults{Delay: 20 * time.Millisecond}},
		{name: "store response to the claim lost", store: platform.Faults{LoseAnswers: 1}},
		{name: "both store responses lost", store: platform.Faults{LoseAnswers: 2}},
		{name: "refuse", upstream: standin.Fault{Step: standin.BeforeExecution, Action: standin.Refuse, Times: 1}},
		{name: "refuse always", upstream: standin.Fault{Step: standin.BeforeExecution, Action: standin.Refuse, Times: -1}},
		{name: "cross", upstream: standin.Fault{Step: standin.AfterExecution, Action: standin.WrongAttempt, Times: 1}},
		{name: "cross always", upstream: standin.Fault{Step: standin.AfterExecution, Action: standin.WrongAttempt, Times: -1}},
	}
	for _, step := range standin.Steps() {
		for _, times := range []int{1, -1} {
			for _, f := range []standin.Fault{
				{Step: step, Action: standin.Cut, Times: times},
				{Step: step, Action: standin.Delay, Delay: faultDelay, Times: times},
				{Step: step, Action: standin.Delay, Delay: 20 * time.Millisecond, Times: times},
			} {
				cases = append(cases, faultCase{name: fmt.Sprintf("%s %s %s times %d", f.Action, f.Step, f.Delay, times), upstream: f})
			}
		}
	}
	return cases
}

// checkReply checks the response to a call against the number of executions that the
// service counted.
func checkReply(c callClass, r reply, callErr error, executions int) error {
	if c.atMostOnce && executions > 1 {
		return fmt.Errorf("executed %d times", executions)
	}
	if callErr != nil || r.readErr != nil {
		return nil // an aborted connection makes no statement about the execution
	}
	if r.status == http.StatusOK {
		var receipt struct{ Number int }
		if json.Unmarshal([]byte(r.body), &receipt) != nil || receipt.Number == 0 {
			return fmt.Errorf("response is not a complete receipt: %q", r.body)
		}
		if executions == 0 {
			return errors.New("response 200 without an execution")
		}
		return nil
	}
	var b apierr.Body
	if err := json.Unmarshal([]byte(r.body), &b); err != nil {
		return fmt.Errorf("response is not an error body: %q", r.body)
	}
	switch {
	case b.Error.Ran == apierr.NotRun.String() && executions > 0:
		return fmt.Errorf("%s reports not_run after %d executions", b.Error.Code, executions)
	case b.Error.Ran == apierr.HasRun.String() && executions == 0:
		return fmt.Errorf("%s reports ran without an execution", b.Error.Code)
	case b.Error.Retry && r.header.Get("Retry-After") == "":
		return fmt.Errorf("%s may be retried but has no Retry-After", b.Error.Code)
	case b.Error.Retry && c.atMostOnce && b.Error.Ran != apierr.NotRun.String() && b.Error.Code != apierr.IdempotencyInProgress.String():
		return fmt.Errorf("%s allows a retry of a non-repeatable call that may have run", b.Error.Code)
	}
	return nil
}

// countExecutions returns the number of executions of the call with the given body.
func countExecutions(calls []service.Execution, body string) int {
	n := 0
	for _, c := range calls {
		if c.Body == body {
			n++
		}
	}
	return n
}

func TestFaultsAtEveryStepOfACall(t *testing.T) {
	for _, c := range callClasses {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetOptions{hosts: 2, routeTimeout: faultTimeout})
			for _, fault := range faultCases() {
				t.Run(fault.name, func(t *testing.T) {
					f.t = t
					runFault(f, c, fault)
				})
			}
		})
	}
}

func runFault(f *fleet, c callClass, fault faultCase) {
	body := strings.ReplaceAll(c.name+"/"+fault.name, " ", "-")
	header := http.Header{"Authorization": {"Bearer " + aliceKey}}
	if c.hasKey {
		header.Set("Idempotency-Key", body)
	}
	f.platform.SetFaults(fault.store)
	f.service.SetFault(fault.upstream)
	r, err := f.do(c.method, f.url(0)+c.path, body, header)
	f.platform.SetFaults(platform.Faults{})
	f.service.SetFault(standin.Fault{})
	waitFor(func() bool { return f.service.Active() == 0 && f.hosts[0].Status().InFlight == 0 })
	executions := countExecutions(f.service.Executions(), body)
	require.NoError(f.t, checkReply(c, r, err, executions))
	require.NotEqual(f.t, apierr.StatusCallerGone, r.status, "the caller has not disconnected")
	f.t.Logf("response %d %s, executions %d", r.status, r.body, executions)
	if c.hasKey {
		repeatCall(f, c, r, body, header)
	}
	waitFor(func() bool { return f.reachesService(1) && f.reachesService(0) })
}

// repeatCall repeats a call with its idempotency key on another host, without faults.
func repeatCall(f *fleet, c callClass, first reply, body string, header http.Header) {
	waitFor(func() bool { return f.reachesService(1) })
	repeated, err := f.do(c.method, f.url(1)+c.path, body, header)
	require.NoError(f.t, err)
	executions := countExecutions(f.service.Executions(), body)
	require.NoError(f.t, checkReply(callClass{atMostOnce: true}, repeated, err, executions))
	if first.status == http.StatusOK && first.readErr == nil && repeated.status == http.StatusOK {
		require.Equal(f.t, first.body, repeated.body)
	}
	f.t.Logf("response to the repeated call %d, executions %d", repeated.status, executions)
}

// reachesService reports whether the host can reach the service. After a fault the host may not use
// the service until its next load report.
func (f *fleet) reachesService(host int) bool {
	r, err := f.do(http.MethodGet, f.url(host)+"/open/ready", "", nil)
	return err == nil && r.status == http.StatusOK
}

func TestDrain_WritesEndOfClaims(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: 2})
	header := http.Header{"Authorization": {"Bearer " + aliceKey}, "Idempotency-Key": {"order-1"}}
	waitFor(func() bool { return f.reachesService(0) && f.reachesService(1) })
	f.service.SetFault(standin.Fault{Step: standin.BeforeExecution, Action: standin.Refuse, Times: -1})
	replies := make(chan reply, 1)
	go func() {
		r, _ := f.do(http.MethodPost, f.url(0)+"/orders", "kit", header)
		replies <- r
	}()
	outcomes := func() []api.Row {
		rows, err := f.client.List(t.Context(), "outcomes", "", "", 10)
		require.NoError(t, err)
		return rows
	}
	waitFor(func() bool { return len(outcomes()) == 1 })
	f.platform.SetFaults(platform.Faults{Down: true}) // the end of the claim cannot be written
	r := <-replies
	require.Equal(t, apierr.NotRun.String(), r.errorBody(t).Ran)
	f.hosts[0].Drain()
	time.AfterFunc(300*time.Millisecond, func() { f.platform.SetFaults(platform.Faults{}) })
	<-f.stopped[0]
	f.platform.SetFaults(platform.Faults{})
	require.Equal(t, int64(2), outcomes()[0].Version, "host stopped before the end of the claim was written")
	f.service.SetFault(standin.Fault{})
	waitFor(func() bool { return f.reachesService(1) })
	r, err := f.do(http.MethodPost, f.url(1)+"/orders", "kit", header)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.status, r.body)
}

func TestCheckReply_FindsFalseReplies(t *testing.T) {
	onceClass := callClass{atMostOnce: true}
	refusal := func(k apierr.Kind, ran apierr.Ran) reply {
		raw, err := json.Marshal(apierr.New(k, "").WithRan(ran).Body())
		require.NoError(t, err)
		return reply{status: k.Definition().Status, body: string(raw), header: http.Header{"Retry-After": {"1"}}}
	}
	for name, c := range map[string]struct {
		class      callClass
		reply      reply
		executions int
	}{
		"second execution":                  {onceClass, reply{status: 200, body: `{"number":1}`}, 2},
		"truncated receipt":                 {onceClass, reply{status: 200, body: `{"num`}, 1},
		"success without execution":         {onceClass, reply{status: 200, body: `{"number":1}`}, 0},
		"false not_run":                     {onceClass, refusal(apierr.UpstreamFailed, apierr.NotRun), 1},
		"false ran":                         {onceClass, refusal(apierr.OutcomeUnknown, apierr.HasRun), 0},
		"retry of a call that may have run": {onceClass, refusal(apierr.UpstreamFailed, apierr.MayHaveRun), 1},
		"no Retry-After":                    {callClass{}, reply{status: 502, body: refusal(apierr.UpstreamFailed, apierr.MayHaveRun).body}, 1},
		"not an error body":                 {onceClass, reply{status: 502, body: "bad gateway"}, 0},
	} {
		require.Error(t, checkReply(c.class, c.reply, nil, c.executions), name)
	}
	require.NoError(t, checkReply(onceClass, reply{status: 200, body: `{"number":1}`}, nil, 1))
	require.NoError(t, checkReply(onceClass, refusal(apierr.OutcomeUnknown, apierr.MayHaveRun), nil, 1))
}
