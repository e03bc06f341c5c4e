package soak

import (
	"context"
	"sync"
	"time"
)

// pollInterval is how often every host's status is read.
const pollInterval = 200 * time.Millisecond

// configWatch reads every host's revision again and again.
type configWatch struct {
	s *soak

	// mu guards all below.
	mu      sync.Mutex
	seen    map[string][]revisionSeen
	changes []acceptedChange
}

// revisionSeen is a host's revision at one time.
type revisionSeen struct {
	asked, answered time.Time
	revision        int64
	ready           bool
	incarnation     int64
}

// acceptedChange is a change that an operator was told is accepted.
type acceptedChange struct {
	revision int64
	at       time.Time
}

// hostStatus is the part of a host's status that is read.
type hostStatus struct {
	Revision int64 `json:"revision"`
	Ready    bool  `json:"ready"`
}

func newConfigWatch(s *soak) *configWatch {
	w := &configWatch{s: s, seen: map[string][]revisionSeen{}}
	s.d.accepted = func(revision int64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.changes = append(w.changes, acceptedChange{revision, time.Now()})
	}
	return w
}

// allAt reports whether every host is ready and has the revision.
func (w *configWatch) allAt(revision int64) bool {
	for _, h := range w.s.d.hosts {
		var st hostStatus
		if !w.s.get(h.operators+"/status", &st) || st.Revision < revision || !st.Ready {
			return false
		}
	}
	return true
}

func (w *configWatch) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, h := range w.s.d.hosts {
		group.Go(func() {
			for ctx.Err() == nil {
				w.poll(h)
				time.Sleep(pollInterval)
			}
		})
	}
	group.Wait()
}

func (w *configWatch) poll(h *host) {
	asked := time.Now()
	started := h.process.startedAt()
	var st hostStatus
	if !w.s.get(h.operators+"/status", &st) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen[h.name] = append(w.seen[h.name], revisionSeen{asked, time.Now(), st.Revision, st.Ready, started.UnixNano()})
}

// reverted lists hosts whose revision went back while the same process ran.
func (w *configWatch) reverted() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for name, seen := range w.seen {
		for i := 1; i < len(seen); i++ {
			same := seen[i].incarnation == seen[i-1].incarnation
			if same && seen[i].revision < seen[i-1].revision {
				found = append(found, name)
			}
		}
	}
	return found
}

// late lists the changes that a whole host did not have in force in time, and
// counts those that were checked.
func (w *configWatch) late() (found []lateChange, checked int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.changes {
		due := c.at.Add(configBound)
		if w.s.wasDisturbed("store", c.at, due) || w.s.wasDisturbed("links", c.at, due) {
			continue
		}
		for _, h := range w.s.d.hosts {
			if w.s.wasDisturbed(h.callers, c.at.Add(-settleTime), due) {
				continue
			}
			checked++
			if after := firstAfter(w.seen[h.name], due); after != nil && after.revision < c.revision {
				found = append(found, lateChange{h.name, c.revision, after.revision})
			}
		}
	}
	return found, checked
}

// lateChange is a change that a host did not have in force in time.
type lateChange struct {
	host      string
	want, got int64
}

func firstAfter(seen []revisionSeen, due time.Time) *revisionSeen {
	for i := range seen {
		if !seen[i].asked.Before(due) {
			return &seen[i]
		}
	}
	return nil
}
