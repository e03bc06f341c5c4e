package outcome

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/apierr"
)

// callResult is the response of one call as the caller sees it.
type callResult struct {
	// execution is the number of the execution that produced the answer, 0 if the
	// caller received none.
	execution int
	// notRun means that the request was rejected as not run.
	notRun bool
}

// keyModel is the sequential model of one idempotency key: there is at most one
// execution, every answer comes from that execution, and a call without an answer
// may have caused it.
var keyModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input.(int)] = append(byKey[op.Input.(int)], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{0} },
	Step: func(state, _, output any) []any {
		executed, out := state.(int), output.(callResult)
		switch {
		case out.notRun:
			return []any{executed}
		case out.execution == 0:
			return []any{executed, 1}
		case out.execution == 1:
			return []any{1}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// crashPoint is a point in the processing of a keyed request at which the host can
// crash.
type crashPoint int

const (
	beforeInsert crashPoint = iota
	afterInsert
	afterExecution
	afterOutcome
	crashPoints
)

// cluster is a set of hosts that serve keyed requests on one faulty platform.
type cluster struct {
	platform *fakePlatform
	stores   []*Store
	// executeUnclaimed makes a host execute a request whose claim was rejected as not
	// run, a deliberate fault that the check must detect.
	executeUnclaimed bool

	mu         sync.Mutex
	random     *rand.Rand
	executions map[int]int
	history    []porcupine.Operation
	lastClient int
}

func (c *cluster) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// execute runs the request on the upstream and returns the number of the execution
// of its key.
func (c *cluster) execute(key int) int {
	time.Sleep(time.Duration(c.randomInt(500)) * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[key]++
	return c.executions[key]
}

// serve processes one request on a host that crashes at the given point; no crash
// point matches if crashAt is crashPoints or above.
func (c *cluster) serve(t *testing.T, key, host int, crashAt crashPoint) callResult {
	s := c.stores[host]
	if crashAt == beforeInsert {
		return callResult{}
	}
	r := Request{Organisation: "o", Key: strconv.Itoa(key), Fingerprint: []byte("x"), Deadline: time.Now().Add(10 * time.Second)}
	claim, answer, err := s.Begin(t.Context(), r)
	switch {
	case err != nil && err.Ran == apierr.NotRun && c.executeUnclaimed:
		return callResult{execution: c.execute(key)}
	case err != nil:
		return callResult{notRun: err.Ran == apierr.NotRun}
	case answer != nil:
		n, _ := strconv.Atoi(string(answer.Body))
		return callResult{execution: n}
	case crashAt == afterInsert:
		return callResult{}
	}
	switch c.randomInt(6) {
	case 0: // the upstream rejects the request
		claim.Release(apierr.NotRun)
		return callResult{notRun: true}
	case 1: // the upstream's response is lost
		c.execute(key)
		claim.Release(apierr.MayHaveRun)
		return callResult{}
	}
	execution := c.execute(key)
	if crashAt == afterExecution {
		return callResult{}
	}
	claim.Complete(t.Context(), Answer{Status: 200, Body: []byte(strconv.Itoa(execution))})
	if crashAt == afterOutcome {
		return callResult{}
	}
	return callResult{execution: execution}
}

// call sends a request and appends its result to the history.
func (c *cluster) call(t *testing.T, key, host int, crashAt crashPoint) {
	c.mu.Lock()
	c.lastClient++
	client := c.lastClient
	c.mu.Unlock()
	at := time.Now().UnixNano()
	out := c.serve(t, key, host, crashAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, porcupine.Operation{ClientId: client, Input: key, Call: at, Output: out, Return: time.Now().UnixNano()})
}

const (
	historyHosts = 3
	historyKeys  = 8
	historyCalls = 60
)

// runCluster runs a random history from a seed: platform faults, host crashes at
// each crash point, and repeated requests on any host.
func runCluster(t *testing.T, seed uint64, executeUnclaimed bool) *cluster {
	c := &cluster{
		platform: newFakePlatform(), executeUnclaimed: executeUnclaimed,
		random: rand.New(rand.NewPCG(seed, seed)), executions: map[int]int{},
	}
	for range historyHosts {
		c.stores = append(c.stores, c.platform.newStore())
	}
	synctest.Test(t, func(t *testing.T) {
		c.platform.setFault(func(bool) fault {
			if n := c.randomInt(10); n < int(appliedLate)+1 {
				return fault(n)
			}
			return noFault
		})
		var callers sync.WaitGroup
		for range historyCalls {
			key, host := c.randomInt(historyKeys), c.randomInt(historyHosts)
			crashAt := crashPoint(c.randomInt(4 * int(crashPoints)))
			callers.Go(func() { c.call(t, key, host, crashAt) })
			time.Sleep(time.Duration(c.randomInt(400)) * time.Millisecond)
		}
		callers.Wait()
		for _, s := range c.stores {
			s.Wait()
		}
		time.Sleep(2 * lateApplyDelay)
	})
	return c
}

func (c *cluster) check() error {
	for key, n := range c.executions {
		if n > 1 {
			return fmt.Errorf("key %d executed %d times", key, n)
		}
	}
	if !porcupine.CheckOperations(keyModel, c.history) {
		return fmt.Errorf("the responses match no sequential order of the requests")
	}
	return nil
}

func TestKeyedRequests_Linearizable(t *testing.T) {
	answered := 0
	for seed := range uint64(40) {
		c := runCluster(t, seed, false)
		require.NoError(t, c.check(), "seed %d", seed)
		for _, op := range c.history {
			answered += min(op.Output.(callResult).execution, 1)
		}
	}
	require.NotZero(t, answered)
	t.Logf("%d of %d calls answered", answered, 40*historyCalls)
}

func TestHistoryCheck_DetectsUnclaimedExecution(t *testing.T) {
	detected := 0
	for seed := range uint64(40) {
		if runCluster(t, seed, true).check() != nil {
			detected++
		}
	}
	require.NotZero(t, detected)
}

func TestKeyModel_RejectsSecondExecution(t *testing.T) {
	at := func(call, end int64, out callResult) porcupine.Operation {
		return porcupine.Operation{ClientId: int(call), Input: 1, Call: call, Return: end, Output: out}
	}
	for name, history := range map[string][]porcupine.Operation{
		"answers of two executions":                   {at(1, 2, callResult{execution: 1}), at(3, 4, callResult{execution: 2})},
		"answer of no execution":                      {at(1, 2, callResult{execution: 2})},
		"answers of two executions, concurrent calls": {at(1, 4, callResult{execution: 1}), at(2, 3, callResult{execution: 2})},
	} {
		require.False(t, porcupine.CheckOperations(keyModel, history), name)
	}
	require.True(t, porcupine.CheckOperations(keyModel, []porcupine.Operation{
		at(1, 2, callResult{}), at(3, 4, callResult{execution: 1}), at(5, 6, callResult{notRun: true}), at(7, 8, callResult{execution: 1}),
	}))
}

// TestHostCrash_KeyBlockedForBoundedTime guards against a key that stays claimed forever
// after the host that holds it crashed, at each crash point.
func TestHostCrash_KeyBlockedForBoundedTime(t *testing.T) {
	for crashAt := beforeInsert; crashAt < crashPoints; crashAt++ {
		synctest.Test(t, func(t *testing.T) {
			c := &cluster{platform: newFakePlatform(), random: rand.New(rand.NewPCG(3, 3)), executions: map[int]int{}}
			c.stores = []*Store{c.platform.newStore(), c.platform.newStore()}
			c.call(t, 1, 0, crashAt)
			time.Sleep(10*time.Second + MaxClockSkew + time.Second) // past the request's deadline and the clock skew
			_, _, err := c.stores[1].Begin(t.Context(), Request{
				Organisation: "o", Key: "1", Fingerprint: []byte("x"), Deadline: time.Now().Add(10 * time.Second),
			})
			if err != nil {
				require.Equal(t, apierr.OutcomeUnknown, err.Kind, "step %d", crashAt)
			}
		})
	}
}
