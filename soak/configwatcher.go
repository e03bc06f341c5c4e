package soak

import (
	"context"
	"sync"
	"time"
)

// pollInterval is the pause between two reads of a host's status.
const pollInterval = 200 * time.Millisecond

// configWatcher polls the configuration revision of every host.
type configWatcher struct {
	soak *soakRun

	// mu guards the fields below.
	mu      sync.Mutex
	samples map[string][]revisionSample
	changes []acceptedChange
}

// revisionSample is the revision of a host in one answer to a status request.
type revisionSample struct {
	requestedAt, answeredAt time.Time
	revision                int64
	ready                   bool
	incarnation             int64 // start time of the process, in Unix nanoseconds
}

// acceptedChange is a change whose acceptance was reported to the operator.
type acceptedChange struct {
	revision int64
	at       time.Time
}

// hostStatus is the part of a host's status that configWatcher uses.
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

// allHaveRevision reports whether every host is ready and has the revision or a later one.
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

// reverted lists the hosts whose revision decreased within one process.
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

// lateChanges lists the changes that a host did not have in force within configDeadline, and counts
// the checked pairs of change and host. Changes during a disruption of the store or the links, and
// hosts that were disrupted, are not checked.
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

// lateChange is a change that a host did not have in force within configDeadline. want is its
// revision, got the revision of the host.
type lateChange struct {
	host      string
	want, got int64
}

// firstSampleAfter returns the first sample that was requested at or after due, or nil.
func firstSampleAfter(samples []revisionSample, due time.Time) *revisionSample {
	for i := range samples {
		if !samples[i].requestedAt.Before(due) {
			return &samples[i]
		}
	}
	return nil
}
