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
	// cachedPrefixes is how many prefixes an engine holds.
	cachedPrefixes = 64
	// keptEvents is how many cache events it keeps for readers.
	keptEvents = 256
	// prefixBytes is how much of a prompt makes its prefix.
	prefixBytes = 256
)

// prefixCache holds the prefixes of the latest prompts and tells of each that
// enters or leaves.
type prefixCache struct {
	held     []upstream.CacheEvent
	events   []upstream.CacheEvent
	sequence int64
}

// store takes in the prefix of a request's prompt. Every gap-th event is lost.
func (c *prefixCache) store(adapter string, body []byte, gap int64) {
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
	for _, h := range c.held {
		if h.Adapter == adapter && h.Prefix == prefix {
			return
		}
	}
	entry := upstream.CacheEvent{Adapter: adapter, Prefix: prefix, Stored: true}
	c.held = append(c.held, entry)
	c.tell(entry, gap)
	if len(c.held) > cachedPrefixes {
		gone := c.held[0]
		c.held = c.held[1:]
		gone.Stored = false
		c.tell(gone, gap)
	}
}

func (c *prefixCache) tell(e upstream.CacheEvent, gap int64) {
	c.sequence++
	if gap > 0 && c.sequence%gap == 0 {
		return
	}
	e.Sequence = c.sequence
	c.events = append(c.events, e)
	if len(c.events) > keptEvents {
		c.events = c.events[1:]
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64) // 0 where it is missing
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
