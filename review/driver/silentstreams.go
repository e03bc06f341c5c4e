//go:build review

package main

import (
	"fmt"
	"time"
)

// overlapAllowed is how long a replica may go on with a request that goes on at another one.
const overlapAllowed = 400 * time.Millisecond

// silentStreams lets the open connections to the replicas go silent, while new ones work. The host's own time-out ends
// them, and the replicas hear nothing of it: they are sound, and go on with their runs.
func silentStreams(w *world) (bool, error) {
	const pause, events = 320 * time.Millisecond, 24
	const timeOut = 3300 * time.Millisecond
	if err := w.startStore(); err != nil {
		return false, err
	}
	for i := range 3 {
		if err := w.addEngine(fmt.Sprintf("i-%d", i+1), pause, "a1", "a2", "a3"); err != nil {
			return false, err
		}
	}
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	for k := range 6 {
		w.start(w.newCall(w.hosts[k%3], "special-draft", fmt.Sprintf("a%d", k%3+1), events, 12*time.Second))
	}
	time.Sleep(1200 * time.Millisecond)
	at := time.Now()
	if w.trouble {
		w.record.line("the open connections to the replicas go silent")
		var silenced [][]*pair
		for _, l := range w.links {
			open := l.open()
			l.silence(open)
			silenced = append(silenced, open)
		}
		time.Sleep(timeOut)
		w.record.line("the time-out of the hosts ends the silent connections")
		for i, l := range w.links {
			l.timeOut(silenced[i])
		}
	}
	w.calls.Wait()
	time.Sleep(time.Until(at.Add(10 * time.Second)))
	broken := false
	for _, c := range w.all {
		runs := w.runsOf(c)
		overlap := time.Duration(0)
		for _, first := range runs {
			for _, second := range runs {
				if first.began.Before(second.began) && first.replica != second.replica {
					overlap = max(overlap, first.ended.Sub(second.began))
				}
			}
		}
		w.record.line("verdict on %s: %d runs, which overlap for %.3f s; answer whole %t with %d events",
			c.id, len(runs), overlap.Seconds(), c.whole, c.events)
		broken = broken || overlap > overlapAllowed
	}
	return broken, nil
}
