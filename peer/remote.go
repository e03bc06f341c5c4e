package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
)

// Bounds of the wait before a link is tried again. Each wait is jittered.
const (
	firstRedial = 100 * time.Millisecond
	maxRedial   = 5 * time.Second
)

// remote is another host: what waits for it and the links to it.
type remote struct {
	links *Links
	host  string
	queue *queue
	ctx   context.Context
	stop  context.CancelFunc

	// linked has room for one signal: a link was opened by the other side.
	linked chan struct{}

	// mu guards all below.
	mu    sync.Mutex
	open  []*link
	since time.Time
}

func newRemote(l *Links, host string) *remote {
	r := &remote{links: l, host: host, queue: newQueue(), linked: make(chan struct{}, 1), since: time.Now()}
	r.ctx, r.stop = context.WithCancel(l.ctx)
	return r
}

// attach adds an open link and reports false where the host has been
// forgotten meanwhile.
func (r *remote) attach(k *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false
	}
	r.open = append(r.open, k)
	r.since = time.Now()
	r.links.counts.open.Add(1)
	select {
	case r.linked <- struct{}{}:
	default:
	}
	return true
}

func (r *remote) detach(k *link) {
	if r.remove(k) {
		r.links.options.LinkLost(r.host)
	}
}

// remove takes a link out and reports whether it was the last.
func (r *remote) remove(k *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.open {
		if other == k {
			r.open = append(r.open[:i:i], r.open[i+1:]...)
			r.links.counts.open.Add(-1)
			r.since = time.Now()
			return len(r.open) == 0
		}
	}
	return false
}

// closeAll ends every link. Their readers then detach them.
func (r *remote) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.open {
		r.links.group.Go(k.close)
	}
}

// current returns the oldest open link: both sides settle on it, and a second
// one falls out of use.
func (r *remote) current() *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.open) == 0 {
		return nil
	}
	return r.open[0]
}

// unused closes links that carry nothing, and reports whether the host can be
// forgotten.
func (r *remote) unused(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.open {
		if k.idleSince(now) > idleClose {
			// Closing may wait for the reader, which must not hold up senders.
			r.links.group.Go(k.close)
		}
	}
	return len(r.open) == 0 && r.queue.len() == 0 && now.Sub(r.since) > idleClose
}

// write sends what waits until the context ends.
func (r *remote) write(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstRedial
	wait.MaxInterval = r.links.options.MaxRedialDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.queue.wake:
		}
		if r.flush(ctx) {
			wait.Reset()
			continue
		}
		// What waits is told again by its protocol; sent late, it would only
		// be in the way.
		r.links.counts.dropped.Add(int64(r.queue.clear()))
		r.pause(ctx, wait.NextBackOff())
	}
}

// flush sends what waits and reports false where there is no link.
func (r *remote) flush(ctx context.Context) bool {
	for r.queue.len() > 0 {
		k := r.current()
		if k == nil {
			if k = r.dial(ctx); k == nil {
				return false
			}
		}
		frame, ok := r.queue.take()
		if !ok {
			return true
		}
		if err := k.send(ctx, frame); err != nil {
			r.links.counts.dropped.Add(1)
			r.detach(k)
			k.close()
		}
	}
	return true
}

// dial opens a link and starts to read it.
func (r *remote) dial(ctx context.Context) *link {
	l := r.links
	url, ok := l.options.Lookup(r.host)
	if !ok {
		return nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, l.options.DialTimeout)
	defer cancel()
	k, err := l.open(dialCtx, r.host, url)
	if err != nil {
		l.options.Log.Debug("link not opened", "peer", r.host, "url", url, "error", err)
		return nil
	}
	if !r.attach(k) {
		k.close()
		return nil
	}
	l.group.Go(func() { k.read(ctx, r) })
	return k
}

// pause waits before the next dial, or until the other side has opened a link.
func (r *remote) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-r.linked:
	case <-t.C:
	}
}

// close ends the link at once. Its reader then detaches it.
func (k *link) close() {
	_ = k.conn.CloseNow()
}

func (k *link) send(ctx context.Context, frame []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := k.conn.Write(ctx, websocket.MessageBinary, frame); err != nil {
		return err
	}
	k.used()
	k.counts.sentFrames.Add(1)
	k.counts.sentBytes.Add(frameBytes(len(frame), k.dialled))
	return nil
}
