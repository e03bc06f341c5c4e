package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
)

// Bounds of the exponential backoff between dials. Each delay is jittered.
const (
	initialRedialDelay = 100 * time.Millisecond
	maxRedialDelay     = 5 * time.Second
)

// remoteHost is another host, with the links to it and the frames queued for it.
type remoteHost struct {
	links *Links
	host  string
	queue *queue
	ctx   context.Context
	stop  context.CancelFunc

	// linkAttached signals that a link was attached, possibly one opened by the other
	// host. It has a buffer of one.
	linkAttached chan struct{}

	// mu guards the fields below.
	mu             sync.Mutex
	openLinks      []*link
	linksChangedAt time.Time
}

func newRemoteHost(l *Links, host string) *remoteHost {
	r := &remoteHost{
		links: l, host: host, queue: newQueue(), linkAttached: make(chan struct{}, 1), linksChangedAt: time.Now(),
	}
	r.ctx, r.stop = context.WithCancel(l.ctx)
	return r
}

// attach adds an open link. It returns false if the remote host has been stopped in
// the meantime.
func (r *remoteHost) attach(k *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false
	}
	r.openLinks = append(r.openLinks, k)
	r.linksChangedAt = time.Now()
	r.links.counts.open.Add(1)
	select {
	case r.linkAttached <- struct{}{}:
	default:
	}
	return true
}

func (r *remoteHost) detach(k *link) {
	if r.remove(k) {
		r.links.options.LinkLost(r.host)
	}
}

// remove removes a link and reports whether it was the last open one.
func (r *remoteHost) remove(k *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.openLinks {
		if other == k {
			r.openLinks = append(r.openLinks[:i:i], r.openLinks[i+1:]...)
			r.links.counts.open.Add(-1)
			r.linksChangedAt = time.Now()
			return len(r.openLinks) == 0
		}
	}
	return false
}

// closeAll closes every link. The read loop of each link then detaches it.
func (r *remoteHost) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.openLinks {
		r.links.group.Go(k.close)
	}
}

// currentLink returns the oldest open link, or nil. Since both hosts use the oldest
// one, any second link becomes idle and is closed.
func (r *remoteHost) currentLink() *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.openLinks) == 0 {
		return nil
	}
	return r.openLinks[0]
}

// closeIdleLinks closes the links that have been idle for longer than idleTimeout.
// It reports whether the remote host can be removed: it has no links, no queued
// frames, and its links have not changed for idleTimeout.
func (r *remoteHost) closeIdleLinks(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.openLinks {
		if k.idleSince(now) > idleTimeout {
			// Closing may block on the read loop, which must not delay senders.
			r.links.group.Go(k.close)
		}
	}
	return len(r.openLinks) == 0 && r.queue.len() == 0 && now.Sub(r.linksChangedAt) > idleTimeout
}

// writeLoop sends queued frames until the context is done.
func (r *remoteHost) writeLoop(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = initialRedialDelay
	wait.MaxInterval = r.links.options.MaxRedialDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.queue.frameAdded:
		}
		if r.flush(ctx) {
			wait.Reset()
			continue
		}
		// The protocols repeat the dropped messages; sent late, the queued ones would
		// only delay newer messages.
		r.links.counts.dropped.Add(int64(r.queue.clear()))
		r.waitBeforeRedial(ctx, wait.NextBackOff())
	}
}

// flush sends the queued frames. It returns false if no link could be opened.
func (r *remoteHost) flush(ctx context.Context) bool {
	for r.queue.len() > 0 {
		k := r.currentLink()
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

// dial opens a link and starts its read loop. It returns nil if the URL of the host
// is unknown or the dial fails.
func (r *remoteHost) dial(ctx context.Context) *link {
	l := r.links
	url, ok := l.options.Lookup(r.host)
	if !ok {
		return nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, l.options.DialTimeout)
	defer cancel()
	k, err := l.open(dialCtx, r.host, url)
	if err != nil {
		l.options.Log.Debug("link not opened; dropping queued frames", "peer", r.host, "url", url, "error", err)
		return nil
	}
	if !r.attach(k) {
		k.close()
		return nil
	}
	l.group.Go(func() { k.readLoop(ctx, r) })
	return k
}

// waitBeforeRedial waits for d or until a link is attached.
func (r *remoteHost) waitBeforeRedial(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-r.linkAttached:
	case <-t.C:
	}
}

// close closes the connection without a closing handshake. The read loop then
// detaches the link.
func (k *link) close() {
	_ = k.conn.CloseNow()
}

func (k *link) send(ctx context.Context, frame []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := k.conn.Write(ctx, websocket.MessageBinary, frame); err != nil {
		return err
	}
	k.markUsed()
	k.counts.sentFrames.Add(1)
	k.counts.sentBytes.Add(frameBytes(len(frame), k.dialled))
	return nil
}
