package assign

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

// displacement is a run in which requests of 280 ms each wait for one engine and others displace them.
type displacement struct {
	w             *simulation
	organisations int
}

func newDisplacement(t *testing.T, organisations int) *displacement {
	w := newRankedSimulation(t, 1, 1, "a", "b")
	w.prefillOfTokens = true
	return &displacement{w, organisations}
}

// send submits requests of a priority, for two adapters in turn, with the given numbers.
func (d *displacement) send(from, count, priority int, timeout time.Duration, change ...func(*Request)) {
	for n := from; n < from+count; n++ {
		d.w.submit(uint64(n), string("ab"[n%2]), append([]func(*Request){func(r *Request) {
			r.Organisation, r.Priority, r.PromptTokens = "org"+strconv.Itoa(n/2%d.organisations), priority, 7000
			r.Target, r.Deadline = d.w.now.Add(timeout/2), d.w.now.Add(timeout)
		}}, change...)...)
	}
}

// keepWaiting has the waiting requests kept until their last useful moments, whatever puts back their turns.
func (d *displacement) keepWaiting() {
	for _, e := range d.w.assigner.requests {
		if e.upstream == nil {
			e.pushedAtAdmission = math.MaxInt64 / 2
		}
	}
}

// requireToldAtOnce requires that an event displaces some of the requests with numbers from from to below to and no others,
// that all of them are told within 10 ms, and that no more are displaced than cannot be served: as many as in a run in which
// they wait for their turns until their last useful moments.
// It returns their number.
func requireToldAtOnce(t *testing.T, from, to uint64, start func() *displacement, event func(d *displacement)) int {
	t.Helper()
	unserved := 0
	for _, kept := range []bool{true, false} {
		d := start()
		w, before := d.w, maps.Clone(d.w.refused)
		if kept {
			d.keepWaiting()
		}
		event(d)
		w.run(10 * time.Millisecond)
		atOnce := len(w.refused) - len(before)
		w.run(30 * time.Second)
		if kept {
			unserved = len(w.refused) - len(before)
			continue
		}
		late := len(w.refused) - len(before) - atOnce
		t.Logf("%d displaced, told within 10 ms; %d later; %d cannot be served", atOnce, late, unserved)
		for id, r := range w.refused {
			if _, ok := before[id]; !ok {
				require.Equal(t, Displaced, r.Rule, "%v", id)
				require.True(t, id.Number >= from && id.Number < to, "%v", id)
			}
		}
		require.Zero(t, late, "told late")
		require.Equal(t, unserved, atOnce, "displaced, and cannot be served")
	}
	return unserved
}

// A queue of routine requests is full when urgent ones arrive that take up all capacity. Guards against callers that
// are told late, and against urgent or admitted requests that are refused beside them.
func TestRanked_DisplacedAreToldAtOnce(t *testing.T) {
	for _, urgent := range []int{5, 8, 10, 15, 20} {
		t.Run(strconv.Itoa(urgent)+" urgent", func(t *testing.T) {
			start := func() *displacement {
				w := newRankedSimulation(t, 1, 1, "a", "b")
				for n := range uint64(200) {
					w.submit(n+1, "a", func(r *Request) {
						r.Priority, r.Target, r.Deadline = 2, w.now.Add(2*time.Second), w.now.Add(6*time.Second)
					})
				}
				w.run(time.Second)
				require.Greater(t, w.assigner.Waiting(), 30)
				return &displacement{w: w}
			}
			displaced := requireToldAtOnce(t, 1, 201, start, func(d *displacement) {
				for n := range uint64(urgent) {
					d.w.submit(1000+n, "b", func(r *Request) {
						r.Priority, r.Target, r.Deadline = 0, d.w.now.Add(3*time.Second), d.w.now.Add(5*time.Second)
					})
				}
			})
			// The first ones go before others without a loss for them.
			require.Equal(t, urgent > 5, displaced > 0)
		})
	}
}

// The cost of requests varies unknown to the Assigner, so that its estimates vary. Guards against waiting requests that are
// displaced since an estimate has changed: there are none without urgent requests, and else no more than urgent ones.
func TestRanked_VaryingEstimatesDisplaceNone(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		for _, sendsUrgent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d, urgent %t", seed, sendsUrgent), func(t *testing.T) { testVaryingEstimates(t, seed, sendsUrgent) })
		}
	}
}

func testVaryingEstimates(t *testing.T, seed uint64, sendsUrgent bool) {
	w := newRankedSimulation(t, seed, 1, "a", "b")
	w.prefillOfTokens, w.hidesCost = true, true
	const usefulFor = 6*time.Second - 2000*assumedPrefillPerToken - 50*typicalTokenTime
	random := rand.New(rand.NewPCG(seed, 3))
	number, urgent, early, told := uint64(0), 0, 0, map[RequestID]bool{}
	for step := range 600 {
		for range 2 {
			number++
			w.submit(number, "a", func(r *Request) {
				r.Priority, r.PromptTokens = 2, int(2000*math.Exp(0.5*random.NormFloat64()-0.125))
				r.Target, r.Deadline = w.now.Add(2*time.Second), w.now.Add(6*time.Second)
			})
		}
		if sendsUrgent && step%10 == 5 {
			urgent++
			w.submit(1_000_000+number, "b", func(r *Request) {
				r.PromptTokens, r.Target, r.Deadline = 2000, w.now.Add(2*time.Second), w.now.Add(4*time.Second)
			})
		}
		for range 10 {
			w.run(10 * time.Millisecond)
			for id, refusal := range w.refused {
				if refusal.Rule == Displaced && !told[id] {
					told[id] = true
					if w.now.Sub(w.submittedAt[id]) < usefulFor-20*time.Millisecond {
						early++
					}
				}
			}
		}
	}
	for id := range w.refused {
		require.Less(t, id.Number, uint64(1_000_000))
	}
	t.Logf("%d urgent requests, %d displaced, %d of them before their last useful moment, %d granted", urgent, len(told), early, len(w.granted))
	require.LessOrEqual(t, early, urgent)
}

// Waiting requests have aged, or are about to age again, when urgent ones arrive. Guards against callers of displaced
// requests that are told only at their last useful moment, and are told then that nothing has displaced them.
func TestRanked_AgedAreToldAtOnce(t *testing.T) {
	for _, organisations := range []int{1, 2, 4} {
		for _, wait := range []time.Duration{agingTime - 5*time.Millisecond, agingTime + time.Second} {
			t.Run(fmt.Sprintf("%d organisations, %s", organisations, wait), func(t *testing.T) {
				start := func() *displacement {
					d := newDisplacement(t, organisations)
					d.send(1, 100, 2, 30*time.Second)
					d.w.run(wait)
					return d
				}
				require.Positive(t, requireToldAtOnce(t, 1, 101, start, func(d *displacement) { d.send(1000, 40, 0, 15*time.Second) }))
			})
		}
	}
}

// Requests that move up by aging displace requests of the ranks that they pass. Guards against callers of displaced requests
// that are told late.
func TestRanked_DisplacedByAgedAreToldAtOnce(t *testing.T) {
	for _, organisations := range []int{1, 2, 4} {
		t.Run(strconv.Itoa(organisations)+" organisations", func(t *testing.T) {
			start := func() *displacement {
				d := newDisplacement(t, organisations)
				d.send(1, 80, 3, 40*time.Second)
				d.w.run(agingTime - time.Second)
				d.send(1000, 20, 2, 9*time.Second, func(r *Request) { r.RoutePriority = 1 })
				return d
			}
			displaced := requireToldAtOnce(t, 1000, 1020, start, func(d *displacement) {
				for range 2000 {
					if d.w.run(time.Millisecond); d.w.assigner.service("s").line.ranks[2*routeRanks].count > 0 {
						return
					}
				}
				t.Fatal("no request ages")
			})
			require.Positive(t, displaced)
		})
	}
}

// The operator gives an organisation a less urgent priority than that of the others. Guards against callers of displaced
// requests that are told late since their requests have changed their rank.
func TestRanked_DisplacedByConfigurationAreToldAtOnce(t *testing.T) {
	start := func() *displacement {
		d := newDisplacement(t, 2)
		d.send(1, 64, 1, 25*time.Second, func(r *Request) {
			if r.Organisation == "org1" {
				r.Target, r.Deadline = d.w.now.Add(5*time.Second), d.w.now.Add(12*time.Second)
			}
		})
		d.w.run(time.Second)
		return d
	}
	displaced := requireToldAtOnce(t, 1, 65, start, func(d *displacement) {
		d.w.config = catalog.NewConfig(catalog.ConfigParts{Version: 5, Services: []catalog.Service{*d.w.config.Service("s")}, Organisations: []catalog.Organisation{
			{Name: "org0"}, {Name: "org1", HasPriority: true, Priority: 3},
		}})
		d.w.handle(ConfigUpdated{d.w.config})
	})
	require.Positive(t, displaced)
}
