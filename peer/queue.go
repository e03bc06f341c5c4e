package peer

import "sync"

// Bounds of what waits for one host.
const (
	maxQueuedFrames = 512
	maxQueuedBytes  = 4 << 20
)

// queue holds the encoded frames that wait for one host. Where it is full, the
// oldest frame gives way: every protocol between hosts repeats what matters,
// and the newest frame tells most.
type queue struct {
	mu     sync.Mutex
	frames [][]byte
	bytes  int
	// wake has room for one signal.
	frameAdded chan struct{}
}

func newQueue() *queue {
	return &queue{frameAdded: make(chan struct{}, 1)}
}

// add never waits. It returns how many frames gave way.
func (q *queue) add(frame []byte) (dropped int) {
	q.mu.Lock()
	q.frames = append(q.frames, frame)
	q.bytes += len(frame)
	for len(q.frames) > maxQueuedFrames || q.bytes > maxQueuedBytes {
		q.removeFirst()
		dropped++
	}
	q.mu.Unlock()
	select {
	case q.frameAdded <- struct{}{}:
	default:
	}
	return dropped
}

func (q *queue) take() ([]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) == 0 {
		return nil, false
	}
	return q.removeFirst(), true
}

// removeFirst is called with mu held.
func (q *queue) removeFirst() []byte {
	first := q.frames[0]
	q.frames[0] = nil
	q.frames = q.frames[1:]
	q.bytes -= len(first)
	return first
}

// clear empties the queue and returns how many frames it held.
func (q *queue) clear() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.frames)
	q.frames, q.bytes = nil, 0
	return n
}

func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.frames)
}
