package host

import "github.com/jasminelock/jasminelock/watch"

// knowsTables reports whether this host may serve callers by the tables that it has read. A host that has started after the
// store was restored from a copy may have read a configuration with keys that were withdrawn since the copy was taken; it
// first hears of the other hosts, if there are any.
func (h *Host) knowsTables() bool {
	if h.settled.Load() {
		return true
	}
	view := h.watcher.View()
	if view.Config == nil || !view.UpstreamsRead {
		return false
	}
	if h.watcher.Era() > 0 && !h.broker.Settled() {
		return false
	}
	h.settled.Store(true)
	return true
}

// callerView returns the view by which callers are served: an empty one until this host knows the tables.
func (h *Host) callerView() *watch.View {
	if !h.knowsTables() {
		return &watch.View{}
	}
	return h.watcher.View()
}
