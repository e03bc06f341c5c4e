//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// Bounds of the users' sheet.
const (
	grace     = 8 * time.Second
	lossSlack = 200 * time.Millisecond
)

// stoppedWhileWaiting stops a host in a planned way, as an operator does, while the adapter slots of all engines are in
// use by long streams. Requests for other adapters wait meanwhile. A host that is being stopped has to answer those that
// it has read.
func stoppedWhileWaiting(w *world) (bool, error) {
	const pause, longEvents = 60 * time.Millisecond, 185
	if err := w.startStore(); err != nil {
		return false, err
	}
	for i := range 2 {
		var held []string
		for k := range engineSlots {
			held = append(held, fmt.Sprintf("a%d", i*engineSlots+k+1))
		}
		if err := w.addEngine(fmt.Sprintf("i-%d", i+1), pause, held...); err != nil {
			return false, err
		}
	}
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	stopped := w.follower()
	var others []*host
	for _, h := range w.hosts {
		if h != stopped {
			others = append(others, h)
		}
	}
	w.record.line("streams of %d events take every adapter slot of the engines", longEvents)
	for k := range 2 * engineSlots {
		w.start(w.newCall(others[k%2], "layout-plan", fmt.Sprintf("a%d", k+1), longEvents, 15*time.Second))
	}
	time.Sleep(time.Second)
	at := time.Now()
	if w.trouble {
		w.record.line("SIGTERM to %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
	}
	// Clients keep the directory's answer, which lives for 2 s, and some three times as long.
	var waiting []*call
	for k := range 4 {
		time.Sleep(500 * time.Millisecond)
		waiting = append(waiting, w.start(w.newCall(stopped, "layout-plan", fmt.Sprintf("a%d", 2*engineSlots+k+1), 8, 15*time.Second)))
	}
	if w.trouble {
		select {
		case <-stopped.ended:
		case <-time.After(grace - time.Since(at)):
			w.record.line("SIGKILL to %s", stopped.name)
			stopped.signal(syscall.SIGKILL)
			<-stopped.ended
		}
		w.record.line("%s has ended %.3f s after SIGTERM", stopped.name, time.Since(at).Seconds())
	}
	w.calls.Wait()
	broken := false
	for _, c := range waiting {
		lost := !c.whole && c.endedAt.Sub(c.sentAt) > lossSlack && c.endedAt.Sub(c.sentAt) < c.budget && len(w.runsOf(c)) == 0
		w.record.line("verdict on %s: sent %.3f s after the begin of the shutdown, ended after %.3f s, status %d, whole %t, runs %d, lost %t",
			c.id, c.sentAt.Sub(at).Seconds(), c.endedAt.Sub(c.sentAt).Seconds(), c.status, c.whole, len(w.runsOf(c)), lost)
		for _, line := range stopped.log.lines(c.id) {
			w.record.line("log of %s: %s", stopped.name, line)
		}
		broken = broken || lost
	}
	return broken, nil
}
