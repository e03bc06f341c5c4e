package assign

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/catalog"
)

const (
	plainSlots    = 6
	plainHosts    = 3
	plainDuration = 30 * time.Second
	// plainWork is the median time of a request at usual pace, within the range that users' deployments state.
	plainWork = 20 * time.Millisecond
)

// plainUpstream runs up to plainSlots requests at once, each at its pace at the start.
type plainUpstream struct {
	speed   float64
	ends    []time.Time // the ends of the running requests
	waiting []*plainCall
}

type plainCall struct {
	request Request
	host    int
	work    time.Duration
	took    time.Duration
}

// plainFleet simulates hosts that assign the requests of a plain service, each by itself.
type plainFleet struct {
	random    *rand.Rand
	now       time.Time
	start     time.Time
	events    unevenEvents
	order     int
	slow      []int
	upstreams []*plainUpstream
	hosts     []*Assigner
	calls     map[RequestID]*plainCall
	times     []time.Duration
	stated    bool
}

func newPlainFleet(seed uint64, stated bool) *plainFleet {
	start := time.Unix(1_000_000, 0)
	f := &plainFleet{random: rand.New(rand.NewPCG(seed, 3)), now: start, start: start, calls: map[RequestID]*plainCall{}, stated: stated}
	records := map[string]*catalog.Upstream{}
	for i, speed := range []float64{0.7, 0.7, 1.7, 1} {
		f.upstreams = append(f.upstreams, &plainUpstream{speed: speed})
		id := strconv.Itoa(i)
		records[id] = &catalog.Upstream{ID: id, StartedAt: 1, Service: "plain", Address: "10.0.0.1:1", Zone: "z", Slots: plainSlots}
	}
	for range int(plainDuration/unevenTurn) + 2 {
		f.slow = append(f.slow, f.random.IntN(6)) // one of the upstreams in two thirds of the turns
	}
	for i := range plainHosts {
		a := New(Options{Share: 1, Random: rand.New(rand.NewPCG(seed, uint64(i))), Limits: simLimits})
		a.Handle(f.now, ConfigUpdated{catalog.NewConfig(catalog.ConfigParts{Version: 1, Services: []catalog.Service{{Name: "plain"}}})})
		a.Handle(f.now, UpstreamsUpdated{records})
		f.hosts = append(f.hosts, a)
	}
	return f
}

func (f *plainFleet) schedule(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.events, unevenEvent{f.now.Add(d), f.order, do})
}

func (f *plainFleet) pace(i int) float64 {
	if turn := int(f.now.Sub(f.start) / unevenTurn); turn < len(f.slow) && f.slow[turn] == i {
		return f.upstreams[i].speed * unevenSlowdown
	}
	return f.upstreams[i].speed
}

// begin starts waiting requests of an upstream while it has free slots.
func (f *plainFleet) begin(i int) {
	u := f.upstreams[i]
	for len(u.waiting) > 0 && len(u.ends) < plainSlots {
		c := u.waiting[0]
		u.waiting = u.waiting[1:]
		took := fractionOf(c.work, f.pace(i))
		end := f.now.Add(took)
		u.ends = append(u.ends, end)
		f.schedule(took, func() {
			u.ends = slices.DeleteFunc(u.ends, func(at time.Time) bool { return at.Equal(end) })
			c.took = f.now.Sub(c.request.Arrived)
			f.times = append(f.times, c.took)
			load := &Load{Running: len(u.ends), Waiting: len(u.waiting)}
			if f.stated {
				load.Pace = f.pace(i)
			}
			f.schedule(time.Millisecond, func() {
				f.handle(c.host, AttemptEnded{ID: c.request.ID, Outcome: Completed, Succeeded: true, Feedback: UpstreamFeedback{Load: load}})
			})
			f.begin(i)
		})
	}
}

func (f *plainFleet) handle(host int, ev Event) {
	for _, d := range f.hosts[host].Handle(f.now, ev) {
		if g, ok := d.(Grant); ok {
			i, _ := strconv.Atoi(g.Upstream)
			f.upstreams[i].waiting = append(f.upstreams[i].waiting, f.calls[g.ID])
			f.begin(i)
		}
	}
}

// oracle sends a request to the upstream that ends it first, given its true state.
func (f *plainFleet) oracle(c *plainCall) {
	best, bestEnd := 0, time.Time{}
	for i, u := range f.upstreams {
		free := slices.Clone(u.ends)
		for len(free) < plainSlots {
			free = append(free, f.now)
		}
		var end time.Time
		for _, waiting := range append(slices.Clone(u.waiting), c) {
			slices.SortFunc(free, time.Time.Compare)
			end = free[0].Add(fractionOf(waiting.work, f.pace(i)))
			free[0] = end
		}
		if bestEnd.IsZero() || end.Before(bestEnd) {
			best, bestEnd = i, end
		}
	}
	f.upstreams[best].waiting = append(f.upstreams[best].waiting, c)
	f.begin(best)
}

// run submits requests at random times and returns the 95th percentile of their times.
func (f *plainFleet) run(perSecond float64, choose func(c *plainCall)) time.Duration {
	number := uint64(0)
	var arrive func()
	arrive = func() {
		number++
		c := &plainCall{request: plainRequest(f.now, number), host: f.random.IntN(plainHosts)}
		c.work = fractionOf(plainWork, 0.75+0.75*f.random.Float64())
		f.calls[c.request.ID] = c
		choose(c)
		if f.now.Sub(f.start) < plainDuration {
			f.schedule(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		}
	}
	f.schedule(0, arrive)
	for len(f.events) > 0 {
		ev := f.events[0]
		heap.Pop(&f.events)
		f.now = ev.at
		ev.do()
	}
	return percentile95(f.times)
}

// Plain upstreams of uneven speed, some of them slower for a moment, used by hosts that do not know of one another. Guards
// against hosts that do not consider the pace. The bound is that of engines; without a stated pace it must be exceeded, so
// that the test detects an ignored pace.
func TestUnevenPlain_ResponseTime(t *testing.T) {
	t.Parallel()
	for _, perSecond := range []float64{100, 300, 600} {
		for seed := range uint64(3) {
			oracle := newPlainFleet(seed, true)
			best := float64(oracle.run(perSecond, oracle.oracle))
			result := func(stated bool) float64 {
				f := newPlainFleet(seed, stated)
				return float64(f.run(perSecond, func(c *plainCall) { f.handle(c.host, RequestSubmitted{c.request}) }))
			}
			with, without := result(true), result(false)
			t.Logf("%g per second: ratio %.2f, without the pace %.2f", perSecond, with/best, without/best)
			require.LessOrEqual(t, with, unevenRatio*best)
			require.Greater(t, without, unevenRatio*best)
		}
	}
}
