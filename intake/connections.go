package intake

import "time"

// list is a doubly linked list of connections, in the order in which they were added.
type list struct{ first, last *Conn }

func (l *list) add(c *Conn) {
	c.previous, c.next = l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

func (l *list) remove(c *Conn) {
	if c.previous != nil {
		c.previous.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		l.last = c.previous
	}
	c.previous, c.next = nil, nil
}

// setState changes the state of a connection and moves it to the list of that state. Connections with a request under way
// are in no list.
func (b *Budget) setState(now time.Time, c *Conn, s state) {
	if c.state != underWay {
		b.waiting[c.state].remove(c)
	}
	c.state, c.since = s, now
	c.waiting.Store(s != underWay)
	if s != underWay {
		b.waiting[s].add(c)
	}
	b.track(c)
}

// Open adds a connection. If there are too many, it returns another one to close in its favour. It reports false if there is
// none, so that the new one must be closed.
func (b *Budget) Open(now time.Time, c *Conn) (victim *Conn, admitted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= b.limits.Connections {
		if victim = b.longestWaiting(now); victim == nil {
			b.refused[noConnection]++
			return nil, false
		}
		b.evict(victim, connectionsFull)
		b.close(victim)
	}
	b.open++
	c.open, c.state, c.since = true, unused, now
	c.waiting.Store(true)
	b.waiting[unused].add(c)
	return victim, true
}

// arrivalTime is the time within which the head of a sound caller arrives: it is sent in one piece, right after the connection
// is opened. Connections that have waited for longer are closed before those that have carried a request.
const arrivalTime = time.Second

// longestWaiting returns the connection to close in favour of a new one: a head that does not end, then a connection that was
// never used, then the one that has been idle for longest. If all have a request under way, it returns one whose caller does not
// read its response, or nil.
func (b *Budget) longestWaiting(now time.Time) *Conn {
	for _, s := range []state{readingHead, unused} {
		if c := b.waiting[s].first; c != nil && now.Sub(c.since) >= arrivalTime {
			return c
		}
	}
	for _, s := range []state{idle, unused, readingHead} {
		if c := b.waiting[s].first; c != nil {
			return c
		}
	}
	for c := range b.conns {
		if !c.evicted.Load() && c.slowReader(now) {
			return c
		}
	}
	return nil
}

// Close removes a connection. What it held is released.
func (b *Budget) Close(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.close(c)
}

func (b *Budget) close(c *Conn) {
	if !c.open {
		return
	}
	c.open = false
	b.open--
	if c.state != underWay {
		b.waiting[c.state].remove(c)
	}
	c.state = underWay // so that it is no longer listed
	b.releaseAll(c)
	b.track(c)
	c.waiting.Store(false)
}

// Begin marks that the head of a request is complete, and reserves memory for its state. The request must be refused if the
// reservation is. It is refused for a connection that is being closed.
func (b *Budget) Begin(now time.Time, c *Conn) (victims []*Conn, v Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.open || c.evicted.Load() {
		return nil, Refused
	}
	if c.state != underWay {
		b.setState(now, c, underWay)
	}
	c.body, c.finished = progress{}, false
	c.received.Store(0)
	return b.reserve(now, c, Request, RequestBytes)
}

// HeadComplete marks that the bytes that arrive from now on are no part of a head.
func (b *Budget) HeadComplete(now time.Time, c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.open && c.state != underWay {
		b.setState(now, c, underWay)
	}
}

// Finish marks that the handler of a request has ended. What the request holds is released, except its head, which net/http keeps
// until the connection is idle.
func (b *Budget) Finish(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.finished = true
	for _, k := range []Kind{Body, Response, Replaceable, Request} {
		b.add(c, k, -c.held[k])
	}
}

// End marks that the connection waits for the next request. What the last one held is released.
func (b *Budget) End(now time.Time, c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.open {
		return
	}
	b.releaseAll(c)
	c.body = progress{}
	if !c.evicted.Load() {
		b.setState(now, c, idle)
	}
}
