//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// acceptedTimeOut is when a host that has accepted a connection ends it as silent: its TCP_USER_TIMEOUT is 3 s.
const acceptedTimeOut = 3300 * time.Millisecond

// silentAfterHandover removes the host that leads, in a planned way. The next leader opens links to the others. Then the
// open connections between the hosts go silent, while new ones work. The ends that accepted them time out; those that
// opened them set no time-out of their own.
func silentAfterHandover(w *world) (bool, error) {
	const perHost = 5
	if err := w.startStore(); err != nil {
		return false, err
	}
	for i := range 3 {
		if err := w.addEngine(fmt.Sprintf("i-%d", i+1), 50*time.Millisecond, "a1", "a2", "a3"); err != nil {
			return false, err
		}
	}
	if err := w.startHosts(7); err != nil {
		return false, err
	}
	removed := w.leader()
	w.record.line("SIGTERM to %s, which leads and is removed", removed.name)
	removed.signal(syscall.SIGTERM)
	<-removed.ended
	w.hosts = w.without(removed)
	time.Sleep(6 * time.Second)
	if w.leader() == nil {
		return false, fmt.Errorf("no host leads after the removal of %s", removed.name)
	}
	w.record.line("%s leads", w.leader().name)
	before := w.phase("before", 101, perHost*len(w.hosts))
	if w.trouble {
		w.record.line("the open connections between hosts go silent")
		silenced := map[*host][]*pair{}
		for _, h := range w.hosts {
			silenced[h] = h.peers.open()
			h.peers.silence(silenced[h])
		}
		time.Sleep(acceptedTimeOut)
		w.record.line("the ends that accepted them time out")
		for _, h := range w.hosts {
			h.peers.timeOutAccepted(silenced[h])
		}
	} else {
		time.Sleep(acceptedTimeOut)
	}
	time.Sleep(recoverTime + contactTime)
	after := w.phase("after", 201, perHost*len(w.hosts))
	for _, h := range w.hosts {
		w.record.line("%s: leads %t, has found a leader %d times and lost one %d times",
			h.name, h.leads(), len(h.log.lines("lead found")), len(h.log.lines("lead lost")))
	}
	time.Sleep(10 * time.Second)
	later := w.phase("later", 301, perHost*len(w.hosts))
	w.record.line("served: %.2f before, %.2f from %s after the silence on, %.2f later", before, after, recoverTime+contactTime+acceptedTimeOut, later)
	return before >= 0.25 && after < 0.25, nil
}

// contactTime is contact_ms of the users' sheet.
const contactTime = 3 * time.Second

// without returns the hosts but one.
func (w *world) without(h *host) []*host {
	var out []*host
	for _, other := range w.hosts {
		if other != h {
			out = append(out, other)
		}
	}
	return out
}
