package limit

import "time"

// hostList is the latest known version of the platform's host list, which lags
// behind the actual state.
type hostList struct {
	seen map[string]bool
	// missingSince holds, for hosts that were listed or are members, the time at
	// which they were first found missing.
	missingSince map[string]time.Time
}

func newHostList() hostList {
	return hostList{seen: map[string]bool{}, missingSince: map[string]time.Time{}}
}

// update applies a new host list. Members of the view are tracked even if they
// were never listed.
func (h *hostList) update(now time.Time, hosts []string, v *view) {
	seen := make(map[string]bool, len(hosts))
	for _, name := range hosts {
		seen[name] = true
		delete(h.missingSince, name)
	}
	note := func(name string) {
		if _, noted := h.missingSince[name]; !seen[name] && !noted {
			h.missingSince[name] = now
		}
	}
	if v != nil {
		for _, m := range v.members.list {
			note(m.Host)
		}
		for name := range h.missingSince {
			if !v.members.hasHost(name) {
				delete(h.missingSince, name)
			}
		}
	}
	h.seen = seen
}

// gone reports whether a host has been missing for at least goneAfter, so that
// it may be left out of the next view.
func (h *hostList) gone(now time.Time, host string) bool {
	since, noted := h.missingSince[host]
	return noted && now.Sub(since) >= goneAfter
}
