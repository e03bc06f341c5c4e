package outcome

import (
	"sync"
	"time"
)

// Bounds of a host's memory of its claims.
const (
	// MemoryTime is how long a claim is remembered after its row was written, not counting outages of the table service. A
	// copy from which the store is restored is some seconds old, so rows written earlier are in it.
	MemoryTime = time.Minute
	// maxMemoryClaims and maxMemoryBytes bound the claims and the bodies of their answers. The oldest claims are forgotten
	// first; a body that exceeds the bound is left to the store.
	maxMemoryClaims = 1 << 16
	maxMemoryBytes  = 32 << 20
	// claimBytes is the memory that a claim takes besides the body of its answer.
	claimBytes = 1 << 10
)

// memory holds the last state of each claim of this host, so that a restore of the store does not revert it.
type memory struct {
	mu     sync.Mutex
	claims map[string]*remembered
	// queue holds the keys in the order in which they were set, with the number of the setting. Entries that were set again
	// or forgotten are skipped.
	queue []queued
	count uint64
	bytes int
	// maxClaims and maxBytes bound the claims and the bodies.
	maxClaims, maxBytes int
}

type queued struct {
	key    string
	number uint64
}

// remembered is the last state of one claim. body is the body of the answer, whether or not the row holds it.
type remembered struct {
	row    row
	body   []byte
	at     time.Time
	number uint64
	// bodyless means that only the store has the body.
	bodyless bool
}

func newMemory() *memory {
	return &memory{claims: map[string]*remembered{}, maxClaims: maxMemoryClaims, maxBytes: maxMemoryBytes}
}

// LimitMemory bounds what the claims that this host remembers take, half of it for their answers. It is called before the first
// Begin.
func (s *Store) LimitMemory(bytes int64) {
	s.memory.maxClaims = int(min(bytes/2/claimBytes, maxMemoryClaims))
	s.memory.maxBytes = int(min(bytes/2, maxMemoryBytes))
}

// set records the state of a claim and forgets what exceeds the bounds.
func (m *memory) set(key string, r row, body []byte, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remove(key)
	c := &remembered{row: r, body: body}
	if m.bytes+len(body) > m.maxBytes {
		c.body, c.row.Body, c.bodyless = nil, nil, true
	}
	m.bytes += len(c.body)
	m.add(key, c, now)
	for len(m.claims) > m.maxClaims || len(m.queue) > 4*m.maxClaims {
		m.forgetOldest()
	}
}

// add records c as set now.
func (m *memory) add(key string, c *remembered, now time.Time) {
	m.count++
	c.at, c.number = now, m.count
	m.claims[key] = c
	m.queue = append(m.queue, queued{key, c.number})
}

// refresh records that the row of a claim was written now.
func (m *memory) refresh(key, operation string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.claims[key]; c != nil && c.row.Operation == operation {
		m.add(key, c, now)
	}
}

// get returns the state of a claim, nil if it is not remembered.
func (m *memory) get(key string) *remembered {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.claims[key]; ok {
		found := *c
		return &found
	}
	return nil
}

// isFree reports whether the claim with the given operation is remembered as one whose request did not run.
func (m *memory) isFree(key, operation string) bool {
	c := m.get(key)
	return c != nil && c.row.Operation == operation && c.row.State == stateFree
}

// keys returns the keys of all claims.
func (m *memory) keys() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	keys := make([]string, 0, len(m.claims))
	for key := range m.claims {
		keys = append(keys, key)
	}
	return keys
}

// forget forgets the claims whose state was recorded before a time, except those that may still run then.
func (m *memory) forget(before time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for range len(m.queue) {
		c := m.claims[m.queue[0].key]
		switch {
		case c == nil || c.number != m.queue[0].number:
			m.queue = m.queue[1:]
		case !c.at.Before(before):
			return
		case c.row.State == stateRunning && !c.row.Deadline.Add(MaxClockSkew).Before(before):
			m.add(m.queue[0].key, c, c.at)
			m.queue = m.queue[1:]
		default:
			m.forgetOldest()
		}
	}
}

// forgetOldest forgets the claim at the head of the queue, or only skips a head that is outdated.
func (m *memory) forgetOldest() {
	head := m.queue[0]
	m.queue = m.queue[1:]
	if c := m.claims[head.key]; c != nil && c.number == head.number {
		m.remove(head.key)
	}
}

func (m *memory) remove(key string) {
	if c, ok := m.claims[key]; ok {
		m.bytes -= len(c.body)
		delete(m.claims, key)
	}
}
