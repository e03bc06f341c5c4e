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

// callClass is a class of calls of a plain service.
type callClass struct {
	name   string
	method string
	path   string
	keyed  bool
	once   bool
}

var callClasses = []callClass{
	{"repeatable", http.MethodPost, "/stock", false, false},
	{"once with key", http.MethodPost, "/orders", true, true},
	{"once without key", http.MethodPost, "/orders", false, true},
}

// faultTimeout is the deadline of a call, and faultPause outlasts it.
const (
	faultTimeout = "300ms"
	faultPause   = 400 * time.Millisecond
)

// faultCase is one fault at one step of a call's life.
type faultCase struct {
	name     string
	upstream standin.Fault
	store    platform.Faults
}

// faultCases enumerates the steps: those of the store, which come before the
// dispatch and after the execution, and those of the upstream.
func faultCases() []faultCase {
	cases := []faultCase{
		{name: "no fault"},
		{name: "store down", store: platform.Faults{Down: true}},
		{name: "store slow past the deadline", store: platform.Faults{Delay: faultPause}},
		{name: "store slow", store: platform.Faults{Delay: 20 * time.Millisecond}},
		{name: "claim's answer lost", store: platform.Faults{LoseAnswers: 1}},
		{name: "both answers of the store lost", store: platform.Faults{LoseAnswers: 2}},
		{name: "refuse", upstream: standin.Fault{Step: standin.BeforeExecution, Action: standin.Refuse, Times: 1}},
		{name: "refuse always", upstream: standin.Fault{Step: standin.BeforeExecution, Action: standin.Refuse, Times: -1}},
		{name: "cross", upstream: standin.Fault{Step: standin.AfterExecution, Action: standin.WrongAttempt, Times: 1}},
		{name: "cross always", upstream: standin.Fault{Step: standin.AfterExecution, Action: standin.WrongAttempt, Times: -1}},
	}
	for _, step := range standin.Steps() {
		for _, times := range []int{1, -1} {
			for _, f := range []standin.Fault{
				{Step: step, Action: standin.Cut, Times: times},
				{Step: step, Action: standin.Delay, Delay: faultPause, Times: times},
				{Step: step, Action: standin.Delay, Delay: 20 * time.Millisecond, Times: times},
			} {
				cases = append(cases, faultCase{name: fmt.Sprintf("%s %s %s times %d", f.Action, f.Step, f.Delay, times), upstream: f})
			}
		}
	}
	return cases
}

// checkTold compares what a caller was told of its call with the executions
// that the service has counted.
func checkTold(c callClass, r reply, callErr error, executions int) error {
	if c.once && executions > 1 {
		return fmt.Errorf("executed %d times", executions)
	}
	if callErr != nil || r.readErr != nil {
		return nil // a broken connection claims nothing
	}
	if r.status == http.StatusOK {
		var receipt struct{ Number int }
		if json.Unmarshal([]byte(r.body), &receipt) != nil || receipt.Number == 0 {
			return fmt.Errorf("an answer that is not whole: %q", r.body)
		}
		if executions == 0 {
			return errors.New("an answer without an execution")
		}
		return nil
	}
	var b apierr.Body
	if err := json.Unmarshal([]byte(r.body), &b); err != nil {
		return fmt.Errorf("not an error body: %q", r.body)
	}
	switch {
	case b.Error.Ran == apierr.NotRun.String() && executions > 0:
		return fmt.Errorf("%s said not_run after %d executions", b.Error.Code, executions)
	case b.Error.Ran == apierr.HasRun.String() && executions == 0:
		return fmt.Errorf("%s said ran without an execution", b.Error.Code)
	case b.Error.Retry && r.header.Get("Retry-After") == "":
		return fmt.Errorf("%s does not say when to come back", b.Error.Code)
	case b.Error.Retry && c.once && b.Error.Ran != apierr.NotRun.String() && b.Error.Code != apierr.IdempotencyInProgress.String():
		return fmt.Errorf("%s asks for a repetition of what may have run", b.Error.Code)
	}
	return nil
}

// executionsOf counts the executions of the call whose body is given.
func executionsOf(calls []service.Execution, body string) int {
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
			f := startFleet(t, fleetOptions{hosts: 2, timeout: faultTimeout})
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
	if c.keyed {
		header.Set("Idempotency-Key", body)
	}
	f.platform.SetFaults(fault.store)
	f.service.SetFault(fault.upstream)
	r, err := f.do(c.method, f.url(0)+c.path, body, header)
	f.platform.SetFaults(platform.Faults{})
	f.service.SetFault(standin.Fault{})
	waitFor(func() bool { return f.service.Active() == 0 && f.hosts[0].Status().InFlight == 0 })
	executions := executionsOf(f.service.Executions(), body)
	require.NoError(f.t, checkTold(c, r, err, executions))
	require.NotEqual(f.t, apierr.StatusCallerGone, r.status, "the caller has not gone")
	f.t.Logf("told %d %s, executions %d", r.status, r.body, executions)
	if c.keyed {
		askAgain(f, c, r, body, header)
	}
	waitFor(func() bool { return f.ready(1) && f.ready(0) })
}

// askAgain repeats a keyed call on another host, without faults.
func askAgain(f *fleet, c callClass, before reply, body string, header http.Header) {
	waitFor(func() bool { return f.ready(1) })
	again, err := f.do(c.method, f.url(1)+c.path, body, header)
	require.NoError(f.t, err)
	executions := executionsOf(f.service.Executions(), body)
	require.NoError(f.t, checkTold(callClass{once: true}, again, err, executions))
	if before.status == http.StatusOK && before.readErr == nil && again.status == http.StatusOK {
		require.Equal(f.t, before.body, again.body)
	}
	f.t.Logf("again told %d, executions %d", again.status, executions)
}

// ready reports whether the host can reach the service: a fault may have taken
// the service out of use until its next report.
func (f *fleet) ready(host int) bool {
	r, err := f.do(http.MethodGet, f.url(host)+"/open/ready", "", nil)
	return err == nil && r.status == http.StatusOK
}

func TestAHostThatLeavesLeavesNoKeyInDoubt(t *testing.T) {
	f := startFleet(t, fleetOptions{hosts: 2})
	header := http.Header{"Authorization": {"Bearer " + aliceKey}, "Idempotency-Key": {"order-1"}}
	waitFor(func() bool { return f.ready(0) && f.ready(1) })
	f.service.SetFault(standin.Fault{Step: standin.BeforeExecution, Action: standin.Refuse, Times: -1})
	told := make(chan reply, 1)
	go func() {
		r, _ := f.do(http.MethodPost, f.url(0)+"/orders", "kit", header)
		told <- r
	}()
	outcomes := func() []api.Row {
		rows, err := f.client.List(t.Context(), "outcomes", "", "", 10)
		require.NoError(t, err)
		return rows
	}
	waitFor(func() bool { return len(outcomes()) == 1 })
	f.platform.SetFaults(platform.Faults{Down: true}) // the claim's end cannot be written
	r := <-told
	require.Equal(t, apierr.NotRun.String(), r.failure(t).Ran)
	f.hosts[0].Drain()
	time.AfterFunc(300*time.Millisecond, func() { f.platform.SetFaults(platform.Faults{}) })
	<-f.stopped[0]
	f.platform.SetFaults(platform.Faults{})
	require.Equal(t, int64(2), outcomes()[0].Version, "stopped before the end of the claim was written")
	f.service.SetFault(standin.Fault{})
	waitFor(func() bool { return f.ready(1) })
	r, err := f.do(http.MethodPost, f.url(1)+"/orders", "kit", header)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.status, r.body)
}

func TestCheckToldCatches(t *testing.T) {
	once := callClass{once: true}
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
		"a second execution":         {once, reply{status: 200, body: `{"number":1}`}, 2},
		"half an answer":             {once, reply{status: 200, body: `{"num`}, 1},
		"an answer of nothing":       {once, reply{status: 200, body: `{"number":1}`}, 0},
		"a false not_run":            {once, refusal(apierr.UpstreamFailed, apierr.NotRun), 1},
		"a false ran":                {once, refusal(apierr.OutcomeUnknown, apierr.HasRun), 0},
		"a call to repeat":           {once, refusal(apierr.UpstreamFailed, apierr.MayHaveRun), 1},
		"no time to come back":       {callClass{}, reply{status: 502, body: refusal(apierr.UpstreamFailed, apierr.MayHaveRun).body}, 1},
		"an error that is not typed": {once, reply{status: 502, body: "bad gateway"}, 0},
	} {
		require.Error(t, checkTold(c.class, c.reply, nil, c.executions), name)
	}
	require.NoError(t, checkTold(once, reply{status: 200, body: `{"number":1}`}, nil, 1))
	require.NoError(t, checkTold(once, refusal(apierr.OutcomeUnknown, apierr.MayHaveRun), nil, 1))
}
