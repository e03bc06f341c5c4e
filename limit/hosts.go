package limit

import "time"

// hostList is the latest known version of the platform's host list, which lags
// behind the actual state.
type hostList struct {
	listed map[string]bool
	// missingSince holds, for members of the view that are not listed, the time at
	// which they were first found missing.
	missingSince map[string]time.Time
}

func newHostList() hostList {
	return hostList{listed: map[string]bool{}, missingSince: map[string]time.Time{}}
}

// update applies a new host list. Members of the view are tracked even if they
// were never listed.
func (h *hostList) update(now time.Time, hosts []string, v *view) {
	listed := make(map[string]bool, len(hosts))
	for _, name := range hosts {
		listed[name] = true
		delete(h.missingSince, name)
	}
	recordMissing := func(name string) {
		if _, noted := h.missingSince[name]; !listed[name] && !noted {
			h.missingSince[name] = now
		}
	}
	if v != nil {
		for _, m := range v.members.list {
			recordMissing(m.Host)
		}
		for name := range h.missingSince {
			if !v.members.hasHost(name) {
				delete(h.missingSince, name)
			}
		}
	}
	h.listed = listed
}

// isGone reports whether a host has been missing for at least goneAfter, so that
// it may be left out of the next view.
func (h *hostList) isGone(now time.Time, host string) bool {
	since, noted := h.missingSince[host]
	return noted && now.Sub(since) >= goneAfter
}
