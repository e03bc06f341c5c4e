package daemon

import (
	"context"
	"sync"

	"github.com/jasminelock/jasminelock/core"
)

// workersPerQueue is the number of goroutines per queue that execute decisions which need network traffic.
const workersPerQueue = 16

// workQueues has one queue for orders to engines, which may take minutes, and one for calls to the table
// service. Leases and leaderships expire if those calls are delayed by orders.
type workQueues struct {
	orders     *workQueue
	storeCalls *workQueue
}

func newWorkQueues() *workQueues {
	return &workQueues{orders: newWorkQueue(), storeCalls: newWorkQueue()}
}

// add queues a decision without blocking.
func (q *workQueues) add(d core.Decision) {
	if _, isOrder := d.(core.Order); isOrder {
		q.orders.add(d)
		return
	}
	q.storeCalls.add(d)
}

// run executes the queued decisions with do until the context ends.
func (q *workQueues) run(ctx context.Context, do func(context.Context, core.Decision)) {
	var group sync.WaitGroup
	group.Go(func() { q.orders.run(ctx, do) })
	group.Go(func() { q.storeCalls.run(ctx, do) })
	group.Wait()
}

// workQueue holds decisions until a worker is free. Its length is bounded by the operations that the core
// has pending: one order per engine and one claim per lease.
type workQueue struct {
	mu    sync.Mutex
	items []core.Decision
	// wake has capacity 1 and holds a value while a worker should check items.
	wake chan struct{}
}

func newWorkQueue() *workQueue {
	return &workQueue{wake: make(chan struct{}, 1)}
}

// add queues a decision without blocking.
func (q *workQueue) add(d core.Decision) {
	q.mu.Lock()
	q.items = append(q.items, d)
	q.mu.Unlock()
	q.signal()
}

// signal lets one worker check the queue.
func (q *workQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// pop removes and returns the first decision, and signals another worker if more are queued.
func (q *workQueue) pop() (core.Decision, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return nil, false
	}
	d := q.items[0]
	q.items = q.items[1:]
	if len(q.items) > 0 {
		q.signal()
	}
	return d, true
}

// run executes the queued decisions with do, on workers goroutines, until the context ends.
func (q *workQueue) run(ctx context.Context, do func(context.Context, core.Decision)) {
	var group sync.WaitGroup
	for range workersPerQueue {
		group.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-q.wake:
				}
				if d, ok := q.pop(); ok {
					do(ctx, d)
				}
			}
		})
	}
	group.Wait()
}
