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

// told is what a caller learned of its request.
type told struct {
	// receipt is the number of the execution that the answer is of, 0 for none.
	receipt int
	// notRun says that the request was refused as not run.
	notRun bool
}

// keyModel says what callers of one idempotency key may be told: there is one
// execution at the most, every answer is of it, and a caller that was not told
// can have caused it.
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
		executed, out := state.(int), output.(told)
		switch {
		case out.notRun:
			return []any{executed}
		case out.receipt == 0:
			return []any{executed, 1}
		case out.receipt == 1:
			return []any{1}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// hostStep is a step of a keyed request's life on a host.
type hostStep int

const (
	beforeInsert hostStep = iota
	afterInsert
	afterExecution
	afterOutcome
	hostSteps
)

// world is several hosts that serve keyed requests over one faulty store.
type world struct {
	memory *memory
	stores []*Store
	// careless breaks the mechanism, as a mutant.
	careless bool

	mu         sync.Mutex
	random     *rand.Rand
	executions map[int]int
	history    []porcupine.Operation
	client     int
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// execute is the upstream.
func (w *world) execute(key int) int {
	time.Sleep(time.Duration(w.draw(500)) * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions[key]++
	return w.executions[key]
}

// serve runs one request on a host that dies at a step, or at none.
func (w *world) serve(t *testing.T, key, host int, diesAt hostStep) told {
	s := w.stores[host]
	if diesAt == beforeInsert {
		return told{}
	}
	r := Request{Organisation: "o", Key: strconv.Itoa(key), Fingerprint: []byte("x"), Deadline: time.Now().Add(10 * time.Second)}
	claim, answer, err := s.Begin(t.Context(), r)
	switch {
	case err != nil && err.Ran == apierr.NotRun && w.careless:
		return told{receipt: w.execute(key)}
	case err != nil:
		return told{notRun: err.Ran == apierr.NotRun}
	case answer != nil:
		n, _ := strconv.Atoi(string(answer.Body))
		return told{receipt: n}
	case diesAt == afterInsert:
		return told{}
	}
	switch w.draw(6) {
	case 0: // the upstream refuses
		claim.Release(apierr.NotRun)
		return told{notRun: true}
	case 1: // the upstream's answer is lost
		w.execute(key)
		claim.Release(apierr.MayHaveRun)
		return told{}
	}
	receipt := w.execute(key)
	if diesAt == afterExecution {
		return told{}
	}
	claim.Complete(t.Context(), Answer{Status: 200, Body: []byte(strconv.Itoa(receipt))})
	if diesAt == afterOutcome {
		return told{}
	}
	return told{receipt: receipt}
}

// call sends a request and notes what was told.
func (w *world) call(t *testing.T, key, host int, diesAt hostStep) {
	w.mu.Lock()
	w.client++
	client := w.client
	w.mu.Unlock()
	at := time.Now().UnixNano()
	out := w.serve(t, key, host, diesAt)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, porcupine.Operation{ClientId: client, Input: key, Call: at, Output: out, Return: time.Now().UnixNano()})
}

const (
	historyHosts = 3
	historyKeys  = 8
	historyCalls = 60
)

// runWorld runs a random history with a seed: faults of the store, hosts that
// die at each step, and callers that ask again on any host.
func runWorld(t *testing.T, seed uint64, careless bool) *world {
	w := &world{
		memory: newMemory(), careless: careless, random: rand.New(rand.NewPCG(seed, seed)), executions: map[int]int{},
	}
	for range historyHosts {
		w.stores = append(w.stores, w.memory.store())
	}
	synctest.Test(t, func(t *testing.T) {
		w.memory.setFault(func(bool) fault {
			if n := w.draw(10); n < int(late)+1 {
				return fault(n)
			}
			return noFault
		})
		var callers sync.WaitGroup
		for range historyCalls {
			key, host := w.draw(historyKeys), w.draw(historyHosts)
			diesAt := hostStep(w.draw(4 * int(hostSteps)))
			callers.Go(func() { w.call(t, key, host, diesAt) })
			time.Sleep(time.Duration(w.draw(400)) * time.Millisecond)
		}
		callers.Wait()
		for _, s := range w.stores {
			s.Wait()
		}
		time.Sleep(2 * lateBy)
	})
	return w
}

func (w *world) check() error {
	for key, n := range w.executions {
		if n > 1 {
			return fmt.Errorf("key %d executed %d times", key, n)
		}
	}
	if !porcupine.CheckOperations(keyModel, w.history) {
		return fmt.Errorf("what callers were told fits no order of the requests")
	}
	return nil
}

func TestKeyedHistoriesAreLinearizable(t *testing.T) {
	answered := 0
	for seed := range uint64(40) {
		w := runWorld(t, seed, false)
		require.NoError(t, w.check(), "seed %d", seed)
		for _, op := range w.history {
			answered += min(op.Output.(told).receipt, 1)
		}
	}
	require.NotZero(t, answered)
	t.Logf("%d of %d calls answered", answered, 40*historyCalls)
}

func TestTheHistoryCheckCatchesARequestRunWithoutAClaim(t *testing.T) {
	caught := 0
	for seed := range uint64(40) {
		if runWorld(t, seed, true).check() != nil {
			caught++
		}
	}
	require.NotZero(t, caught)
}

func TestTheModelRefusesTwoReceipts(t *testing.T) {
	at := func(call, end int64, out told) porcupine.Operation {
		return porcupine.Operation{ClientId: int(call), Input: 1, Call: call, Return: end, Output: out}
	}
	for name, history := range map[string][]porcupine.Operation{
		"a second execution":      {at(1, 2, told{receipt: 1}), at(3, 4, told{receipt: 2})},
		"an answer of nobody's":   {at(1, 2, told{receipt: 2})},
		"a second one, unordered": {at(1, 4, told{receipt: 1}), at(2, 3, told{receipt: 2})},
	} {
		require.False(t, porcupine.CheckOperations(keyModel, history), name)
	}
	require.True(t, porcupine.CheckOperations(keyModel, []porcupine.Operation{
		at(1, 2, told{}), at(3, 4, told{receipt: 1}), at(5, 6, told{notRun: true}), at(7, 8, told{receipt: 1}),
	}))
}

// TestAHostThatDiesBlocksAKeyForABoundedTime walks through the steps.
func TestAHostThatDiesBlocksAKeyForABoundedTime(t *testing.T) {
	for step := beforeInsert; step < hostSteps; step++ {
		synctest.Test(t, func(t *testing.T) {
			w := &world{memory: newMemory(), random: rand.New(rand.NewPCG(3, 3)), executions: map[int]int{}}
			w.stores = []*Store{w.memory.store(), w.memory.store()}
			w.call(t, 1, 0, step)
			time.Sleep(10*time.Second + MaxClockSkew + time.Second) // the request's deadline and the clocks' skew
			_, _, err := w.stores[1].Begin(t.Context(), Request{
				Organisation: "o", Key: "1", Fingerprint: []byte("x"), Deadline: time.Now().Add(10 * time.Second),
			})
			if err != nil {
				require.Equal(t, apierr.OutcomeUnknown, err.Kind, "step %d", step)
			}
		})
	}
}
