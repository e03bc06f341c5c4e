package soak

import (
	"context"
	"sync"
	"time"
)

// pollInterval is how often every host's status is read.
const pollInterval = 200 * time.Millisecond

// configWatcher reads every host's revision again and again.
type configWatcher struct {
	soak *soakRun

	// mu guards all below.
	mu      sync.Mutex
	samples map[string][]revisionSample
	changes []acceptedChange
}

// revisionSample is a host's revision at one time.
type revisionSample struct {
	requestedAt, answeredAt time.Time
	revision                int64
	ready                   bool
	incarnation             int64
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

func newConfigWatcher(s *soakRun) *configWatcher {
	w := &configWatcher{soak: s, samples: map[string][]revisionSample{}}
	s.deployment.onAccepted = func(revision int64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.changes = append(w.changes, acceptedChange{revision, time.Now()})
	}
	return w
}

// allAt reports whether every host is ready and has the revision.
func (w *configWatcher) allHaveRevision(revision int64) bool {
	for _, h := range w.soak.deployment.hosts {
		var st hostStatus
		if !w.soak.getJSON(h.operatorURL+"/status", &st) || st.Revision < revision || !st.Ready {
			return false
		}
	}
	return true
}

func (w *configWatcher) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, h := range w.soak.deployment.hosts {
		group.Go(func() {
			for ctx.Err() == nil {
				w.poll(h)
				time.Sleep(pollInterval)
			}
		})
	}
	group.Wait()
}

func (w *configWatcher) poll(h *host) {
	requestedAt := time.Now()
	started := h.process.startedAt()
	var st hostStatus
	if !w.soak.getJSON(h.operatorURL+"/status", &st) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples[h.name] = append(w.samples[h.name], revisionSample{requestedAt, time.Now(), st.Revision, st.Ready, started.UnixNano()})
}

// reverted lists hosts whose revision went back while the same process ran.
func (w *configWatcher) reverted() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for name, samples := range w.samples {
		for i := 1; i < len(samples); i++ {
			same := samples[i].incarnation == samples[i-1].incarnation
			if same && samples[i].revision < samples[i-1].revision {
				found = append(found, name)
			}
		}
	}
	return found
}

// late lists the changes that a whole host did not have in force in time, and
// counts those that were checked.
func (w *configWatcher) lateChanges() (found []lateChange, checked int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.changes {
		due := c.at.Add(configDeadline)
		if w.soak.wasDisrupted("store", c.at, due) || w.soak.wasDisrupted("links", c.at, due) {
			continue
		}
		for _, h := range w.soak.deployment.hosts {
			if w.soak.wasDisrupted(h.callerURL, c.at.Add(-recoveryTime), due) {
				continue
			}
			checked++
			if after := firstSampleAfter(w.samples[h.name], due); after != nil && after.revision < c.revision {
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

func firstSampleAfter(samples []revisionSample, due time.Time) *revisionSample {
	for i := range samples {
		if !samples[i].requestedAt.Before(due) {
			return &samples[i]
		}
	}
	return nil
}
