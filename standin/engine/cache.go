package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/upstream"
)

const (
	// maxPrefixes is the number of prefixes that an engine caches.
	maxPrefixes = 64
	// maxEvents is the number of cache events that it keeps for readers.
	maxEvents = 256
	// prefixBytes is the length of a prompt's prefix in bytes.
	prefixBytes = 256
)

// prefixCache holds the prefixes of recent prompts, the oldest first, and emits an
// event for each prefix that is added or evicted.
type prefixCache struct {
	entries  []upstream.CacheEvent
	events   []upstream.CacheEvent
	sequence int64
}

// add adds the prefix of the prompt in a request's body and evicts the oldest prefix
// if the cache is full. Every gap-th event is dropped, none if gap is 0.
func (c *prefixCache) add(adapter string, body []byte, gap int64) {
	var r struct {
		Messages json.RawMessage `json:"messages"`
		Prompt   json.RawMessage `json:"prompt"`
	}
	if json.Unmarshal(body, &r) != nil {
		return
	}
	text := r.Messages
	if len(text) == 0 {
		text = r.Prompt
	}
	prefix := xxhash.Sum64(text[:min(len(text), prefixBytes)])
	for _, h := range c.entries {
		if h.Adapter == adapter && h.Prefix == prefix {
			return
		}
	}
	entry := upstream.CacheEvent{Adapter: adapter, Prefix: prefix, Stored: true}
	c.entries = append(c.entries, entry)
	c.emit(entry, gap)
	if len(c.entries) > maxPrefixes {
		gone := c.entries[0]
		c.entries = c.entries[1:]
		gone.Stored = false
		c.emit(gone, gap)
	}
}

func (c *prefixCache) emit(e upstream.CacheEvent, gap int64) {
	c.sequence++
	if gap > 0 && c.sequence%gap == 0 {
		return
	}
	e.Sequence = c.sequence
	c.events = append(c.events, e)
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64) // 0 if it is missing
	e.mu.Lock()
	defer e.mu.Unlock()
	found := []upstream.CacheEvent{}
	for _, event := range e.cache.events {
		if event.Sequence > after {
			found = append(found, event)
		}
	}
	standin.WriteJSON(w, http.StatusOK, found)
}

func (e *Engine) setRole(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Role string `json:"role"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Role == "" {
		writeError(w, http.StatusBadRequest, "InvalidUserInput", "role is missing")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkFence(w, r) {
		e.role = order.Role
	}
}
