package peer

import "sync"

// Bounds of the queue for one host.
const (
	maxQueuedFrames = 512
	maxQueuedBytes  = 4 << 20
)

// queue holds the encoded frames to be sent to one host. When it is full, the oldest
// frames are dropped: every protocol between hosts repeats the messages that must
// arrive, and the newest frame has the most recent information.
type queue struct {
	mu     sync.Mutex
	frames [][]byte
	bytes  int
	// frameAdded signals the writer that a frame was added. It has a buffer of one.
	frameAdded chan struct{}
}

func newQueue() *queue {
	return &queue{frameAdded: make(chan struct{}, 1)}
}

// add appends a frame without blocking. It returns the number of frames dropped.
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

// removeFirst removes and returns the oldest frame. The caller must hold mu.
func (q *queue) removeFirst() []byte {
	first := q.frames[0]
	q.frames[0] = nil
	q.frames = q.frames[1:]
	q.bytes -= len(first)
	return first
}

// clear empties the queue and returns the number of frames removed.
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
