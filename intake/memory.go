package intake

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// progress is how a request's body arrives.
type progress struct {
	// reading is set while the body is being read.
	reading bool
	// expected is the length of the body, -1 if it is not known, and limit the largest that is accepted.
	expected, limit int64
	// markedAt is the end of the last observation, and marked the number of bytes that had arrived then. Rate is the number of
	// bytes per second during that observation; rateKnown is set once the first one has lasted for minObservation.
	markedAt  time.Time
	marked    int64
	rate      float64
	rateKnown bool
}

const (
	// minObservation is the time over which the progress of a head or a body is measured, and after which one that does not
	// arrive counts as stopped.
	minObservation = 500 * time.Millisecond
	// paceTime is the time within which a body must be on the way to arrive, while memory is short: in this time, as much as
	// is held for it must arrive. It is the time-out of a body while memory is not short.
	paceTime = 10 * time.Second
	// slowReaderTime is how long a write to a caller may make no progress while memory is short, or while all connections have a
	// request under way. Once the handler has ended, when only the end of a response is left, this is minObservation: callers
	// that pipeline requests and read nothing come back at once, and would leave others no turn.
	slowReaderTime = 3 * time.Second
	// blockedTime is slowReaderTime while at least blockedCrowd callers that read nothing hold more than blockedShare of the limit
	// together. With slowReaderTime, a crowd that comes back at once would leave others one turn in hundreds.
	blockedTime  = time.Second
	blockedCrowd = 32
	blockedShare = 0.5
	// minRemaining is the least number of bytes that a body is taken to lack.
	minRemaining = 16 << 10
	// advantage is how many times more another body must lack before it is given up for one that arrives as well.
	advantage = 2
)

// ReadBody marks that the body of the request is being read, expected being its length, -1 if it is not known, and limit the
// largest that is accepted.
func (b *Budget) ReadBody(now time.Time, c *Conn, expected, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.received.Store(0)
	c.receivedAt.Store(now.UnixNano())
	c.body = progress{reading: true, expected: expected, limit: limit, markedAt: now}
}

// BodyRead marks the end of reading the body. It reports false if the request was given up meanwhile and must be refused.
// After it reported true, the connection is closed only once the caller does not read the response.
func (b *Budget) BodyRead(c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.body.reading = false
	return c.open && !c.evicted.Load()
}

// SetKey charges what a request holds to a key, "" for none. The request must be refused if it is not granted: the key's requests
// hold their share. As for new requests, part of the share is for the bodies of those that have begun.
func (b *Budget) SetKey(now time.Time, c *Conn, key string) (victims []*Conn, v Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.open || c.evicted.Load() {
		return nil, Refused
	}
	b.addToKey(c.key, -c.total)
	c.key = key
	b.addToKey(key, c.total)
	if over := b.keys[key] - int64(newShare*float64(b.limits.PerKey)); key != "" && over > 0 {
		var ok bool
		if victims, ok = b.makeRoom(now, c, over, key); !ok {
			b.refused[overKeyShare]++
			return victims, Refused
		}
	}
	return victims, Granted
}

func (b *Budget) addToKey(key string, n int64) {
	if key == "" || n == 0 {
		return
	}
	if b.keys[key] += n; b.keys[key] <= 0 {
		delete(b.keys, key)
	}
}

// Verdict is the answer to a reservation.
type Verdict uint8

// The verdicts.
const (
	// Refused means that nothing was reserved.
	Refused Verdict = iota
	// Granted means that the bytes were reserved.
	Granted
	// Pending means that nothing was reserved, but that connections which are being closed will soon release enough.
	Pending
)

// HeadArrived reserves memory for a part of a head. If it is refused, the connection must be closed.
func (b *Budget) HeadArrived(now time.Time, c *Conn, n int64) (victims []*Conn, v Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.open || c.evicted.Load() {
		return nil, Refused
	}
	if c.state == underWay { // net/http reads ahead
		return nil, Granted
	}
	if c.state != readingHead {
		b.setState(now, c, readingHead)
	}
	return b.reserve(now, c, Head, n)
}

// Reserve reserves n bytes. It returns the connections that are to be closed for it.
func (b *Budget) Reserve(now time.Time, c *Conn, k Kind, n int64) (victims []*Conn, v Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.open || c.evicted.Load() {
		return nil, Refused
	}
	return b.reserve(now, c, k, n)
}

const (
	// shortShare is the share of the limit above which memory is short. Above it, other connections are closed for what is
	// granted, and what they hold is free only when they have ended.
	shortShare = 0.75
	// smallBytes is what is granted above shortShare although nothing can be closed for it, so that an ordinary request is
	// served beside large ones that are sound.
	smallBytes = RequestBytes
	// newShare is the share of the limit up to which memory is granted for heads and for the state of new requests. The rest is for
	// bodies and responses: a request that has begun was refused for its body otherwise, since new heads took what became free.
	newShare = 0.9
	// replaceableShare is the share of a limit up to which memory is granted to keep responses replaceable.
	replaceableShare = 0.5
)

func (b *Budget) reserve(now time.Time, c *Conn, k Kind, n int64) (victims []*Conn, v Verdict) {
	if c.total+n > b.limits.PerConnection {
		b.refused[overConnectionShare]++
		return nil, Refused
	}
	if k == Replaceable && (b.total+n > int64(replaceableShare*float64(b.limits.Bytes)) ||
		b.keys[c.key]+n > int64(replaceableShare*float64(b.limits.PerKey))) {
		return nil, Refused // not counted: nothing is refused to the caller
	}
	if over := b.keys[c.key] + n - b.limits.PerKey; c.key != "" && over > 0 {
		var ok bool
		if victims, ok = b.makeRoom(now, c, over, c.key); !ok {
			b.refused[overKeyShare]++
			return victims, Refused
		}
	}
	if over := b.total - b.leaving + n - int64(shortShare*float64(b.limits.Bytes)); over > 0 {
		more, found := b.makeRoom(now, c, over, "")
		victims = append(victims, more...)
		if !found && n > smallBytes && !c.mostlyReceived() {
			b.refused[memoryFull]++
			return victims, Refused
		}
	}
	limit := b.limits.Bytes
	if k == Head || k == Request {
		limit = int64(newShare * float64(limit))
	}
	switch {
	case b.total+n <= limit:
		b.add(c, k, n)
		return victims, Granted
	case b.total-b.leaving+n <= limit:
		return victims, Pending
	}
	b.refused[memoryFull]++
	return victims, Refused
}

// mostlyReceived reports whether at least half of the body that is being read has arrived.
func (c *Conn) mostlyReceived() bool { return c.body.reading && c.received.Load() >= c.remaining() }

func (b *Budget) add(c *Conn, k Kind, n int64) {
	c.held[k] += n
	c.total += n
	b.held[k] += n
	b.total += n
	b.addToKey(c.key, n)
	if c.evicted.Load() {
		b.leaving += n
	}
	b.track(c)
}

// track keeps conns up to date.
func (b *Budget) track(c *Conn) {
	if c.total > 0 || (c.open && c.state == underWay) {
		b.conns[c] = struct{}{}
	} else {
		delete(b.conns, c)
	}
}

// Release releases n bytes of a kind.
func (b *Budget) Release(c *Conn, k Kind, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(c, k, -min(n, c.held[k]))
}

// ReleaseAll releases all that is held of a kind.
func (b *Budget) ReleaseAll(c *Conn, k Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(c, k, -c.held[k])
}

func (b *Budget) releaseAll(c *Conn) {
	for k := range kinds {
		b.add(c, k, -c.held[k])
	}
	c.key = ""
}

// candidate is a connection that can be closed, and what it lacks. Those that have stopped are closed first, those that hold
// most before others; then those that lack most.
type candidate struct {
	conn      *Conn
	stopped   bool
	remaining int64
}

func compareCandidates(a, b candidate) int {
	switch {
	case a.stopped != b.stopped:
		if a.stopped {
			return -1
		}
		return 1
	case a.stopped:
		return int(min(1, max(-1, b.conn.total-a.conn.total)))
	}
	return int(min(1, max(-1, b.remaining-a.remaining)))
}

// makeRoom evicts connections that hold n bytes in sum, all of the key unless it is "", in favour of one. If those that may be
// evicted do not hold that much, it reports false and evicts only those that have stopped.
func (b *Budget) makeRoom(now time.Time, favoured *Conn, n int64, key string) (victims []*Conn, ok bool) {
	all, possibleRoom, blocked := b.candidates(now, favoured, key)
	if possibleRoom < n && blocked.crowd(b.limit(key)) {
		longest := blocked.longest(n - possibleRoom)
		all = append(all, longest...)
		for _, c := range longest {
			possibleRoom += c.conn.total
		}
	}
	ok = possibleRoom >= n
	slices.SortFunc(all, compareCandidates)
	for room := int64(0); len(all) > 0 && room < n && (ok || all[0].stopped); all = all[1:] {
		victim := all[0].conn
		room += victim.total
		b.evict(victim, noProgress)
		victims = append(victims, victim)
	}
	return victims, ok
}

// candidates returns the connections, of the key unless it is "", that may be closed in favour of one, what they hold, and the
// others whose callers do not read.
func (b *Budget) candidates(now time.Time, favoured *Conn, key string) (all []candidate, room int64, blocked blockedReaders) {
	own := favoured.remaining()
	for c := range b.conns {
		if c == favoured || c.total == 0 || c.evicted.Load() || (key != "" && c.key != key) {
			continue
		}
		stopped, possible := c.stopped(now)
		remaining := c.remaining()
		switch {
		case !possible:
			blocked.add(now, c)
		case stopped || remaining > advantage*own:
			all = append(all, candidate{c, stopped, remaining})
			room += c.total
		}
	}
	return all, room, blocked
}

// limit returns the limit for a key, or that for all kinds together if the key is "".
func (b *Budget) limit(key string) int64 {
	if key != "" {
		return b.limits.PerKey
	}
	return b.limits.Bytes
}

// blockedReaders are connections whose callers have read nothing of their responses for blockedTime.
type blockedReaders struct {
	conns []*Conn
	bytes int64
}

func (r *blockedReaders) add(now time.Time, c *Conn) {
	if c.blockedFor(now) >= blockedTime {
		r.conns = append(r.conns, c)
		r.bytes += c.total
	}
}

// crowd reports whether the connections are many and hold much of a limit.
func (r *blockedReaders) crowd(limit int64) bool {
	return len(r.conns) >= blockedCrowd && float64(r.bytes) > blockedShare*float64(limit)
}

// longest returns the connections that have been blocked for longest and hold n bytes together, or all of them.
func (r *blockedReaders) longest(n int64) (all []candidate) {
	slices.SortFunc(r.conns, func(a, b *Conn) int { return cmp.Compare(a.writingSince.Load(), b.writingSince.Load()) })
	for _, c := range r.conns {
		if n <= 0 {
			break
		}
		all = append(all, candidate{conn: c, stopped: true})
		n -= c.total
	}
	return all
}

// remaining returns the number of bytes that a request lacks until its body is complete.
func (c *Conn) remaining() int64 {
	received := c.received.Load()
	switch {
	case !c.body.reading:
		return minRemaining
	case c.body.expected >= 0:
		return max(minRemaining, c.body.expected-received)
	}
	return max(minRemaining, min(received, c.body.limit-received))
}

// stopped reports whether what a connection sends or receives makes too little progress while memory is short, and whether
// it may be closed at all: while it sends a head or a body, or does not read its response.
func (c *Conn) stopped(now time.Time) (stopped, possible bool) {
	switch {
	case c.state == readingHead:
		return now.Sub(c.since) >= minObservation, true
	case c.body.reading:
		silent := now.UnixNano()-c.receivedAt.Load() >= int64(minObservation)
		return silent || c.body.observe(now, c.received.Load())*paceTime.Seconds() < float64(c.total), true
	}
	slow := c.slowReader(now)
	return slow, slow
}

// slowReader reports whether the caller does not read its response.
func (c *Conn) slowReader(now time.Time) bool {
	limit := slowReaderTime
	if c.finished {
		limit = minObservation
	}
	return c.state == underWay && c.blockedFor(now) >= limit
}

// blockedFor returns how long a write to the caller has made no progress, -1 if there is none.
func (c *Conn) blockedFor(now time.Time) time.Duration {
	since := c.writingSince.Load()
	if since == 0 {
		return -1
	}
	return time.Duration(now.UnixNano() - since)
}

// observe returns the bytes of a body that arrive in a second.
func (p *progress) observe(now time.Time, received int64) float64 {
	if elapsed := now.Sub(p.markedAt); elapsed >= minObservation {
		p.rate, p.rateKnown = float64(received-p.marked)/elapsed.Seconds(), true
		p.markedAt, p.marked = now, received
	}
	if !p.rateKnown {
		return math.Inf(1)
	}
	return p.rate
}

// evict marks that a connection is to be closed. What it holds is counted in leaving until it has been closed, so that no
// further connections are evicted for the same bytes. It is not listed any more, so that it is not evicted again in favour of a new
// connection.
func (b *Budget) evict(c *Conn, r Reason) {
	if c.state != underWay {
		b.waiting[c.state].remove(c)
		c.state = underWay
	}
	c.evicted.Store(true)
	b.leaving += c.total
	b.refused[r]++
}
