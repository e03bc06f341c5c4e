//go:build review

package main

import (
	"fmt"
	"time"
)

// recoverTime is recover_s of the users' sheet.
const recoverTime = 12 * time.Second

// silentLinks lets the open connections between a host and the others go silent, while new ones work. After
// tcpUserTimeout, the system ends the silent ones.
func silentLinks(w *world) (bool, error) {
	const pause, events = 60 * time.Millisecond, 35
	const silentFor = 3500 * time.Millisecond
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
	before := w.phase("before", 101, 24)
	f := w.follower()
	w.record.line("requests through %s, which follows %s", f.name, w.leader().name)
	for k := range 2 * engineSlots {
		w.start(w.newCall(f, "menu-draft", fmt.Sprintf("a%d", 101+k), events, 4*time.Second))
	}
	time.Sleep(900 * time.Millisecond)
	if w.trouble {
		w.record.line("the open connections between hosts go silent")
		var silenced [][]*pair
		for _, h := range w.hosts {
			open := h.peers.open()
			h.peers.silence(open)
			silenced = append(silenced, open)
		}
		time.Sleep(silentFor)
		w.record.line("the silent connections are reset")
		for i, h := range w.hosts {
			h.peers.reset(silenced[i])
		}
	} else {
		time.Sleep(silentFor)
	}
	w.calls.Wait()
	time.Sleep(recoverTime)
	after := w.phase("after", 201, 24)
	w.record.line("served: %.2f before, %.2f later than %s after the links were back", before, after, recoverTime)
	return before >= 0.25 && after < 0.25, nil
}

// phase sends requests for different adapters through all hosts, one after the other, and returns the share that was
// served.
func (w *world) phase(name string, first, count int) float64 {
	var sent []*call
	for k := range count {
		sent = append(sent, w.start(w.newCall(w.hosts[k%len(w.hosts)], "menu-draft", fmt.Sprintf("a%d", first+k), 8, 4*time.Second)))
		time.Sleep(250 * time.Millisecond)
	}
	w.calls.Wait()
	served := 0
	for _, c := range sent {
		if c.whole && c.status == 200 {
			served++
		}
	}
	w.record.line("%s: %d of %d requests were served", name, served, count)
	return float64(served) / float64(count)
}
