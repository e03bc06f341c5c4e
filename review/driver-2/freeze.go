//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	freezeMachines = 5
	freezeLength   = 100 * time.Second
	// freezeFor is how long a machine stands still.
	freezeFor = 2500 * time.Millisecond
)

func freezeConfig() map[string]any {
	c, b := handoverConfig(), bookingConfig(&hotDay{})
	c["routes"] = append(c["routes"].([]any), b["routes"].([]any)...)
	c["services"] = append(c["services"].([]any), b["services"].([]any)...)
	return c
}

// playFreeze has the leading machine stand still as the answer to its renewal is on its way, again and again. No process may end
// by itself.
func playFreeze(rec *recorder, dir string, trouble bool) int {
	store := newTableStore()
	store.put("op", "config", freezeConfig())
	for i := range 2 {
		if _, err := startEngine(rec, store, engineSettings{
			id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), service: "ringkas-llm", zone: fmt.Sprintf("z%d", i%3), model: "m0", slots: 64,
			adapterSlots: 6, kvTotal: 149132, tokensPerMS: 25.8, eventEvery: 27 * time.Millisecond,
			coldLoad: 250 * time.Millisecond, warmLoad: 25 * time.Millisecond, reportLag: 200 * time.Millisecond,
		}); err != nil {
			rec.say("engine not started: %v", err)
			return exitNotRun
		}
	}
	b := smallBounds
	b.unfenced = true
	var mu sync.Mutex
	var leader *machine
	var machines []*machine
	for i := range freezeMachines {
		name := fmt.Sprintf("edge-%d", i+1)
		address, err := store.listen(name)
		if err != nil {
			return exitNotRun
		}
		m := newMachine(rec, dir, name, fmt.Sprintf("z%d", i%3), address, b)
		m.onLine = func(m *machine, line string) {
			now, noMore := leads(line)
			mu.Lock()
			defer mu.Unlock()
			if now {
				leader = m
				rec.line("machine %s leads", m.name)
			}
			if noMore {
				if leader == m {
					leader = nil
				}
				rec.line("machine %s leads no more: %s", m.name, line[max(0, strings.Index(line, "reason")):])
			}
		}
		machines = append(machines, m)
		if err := m.start(); err != nil {
			return exitNotRun
		}
		defer m.kill()
	}
	if !waitReady(machines, 15*time.Second) {
		return exitNotRun
	}
	stop := make(chan struct{})
	d := &directory{machines: machines, host: "notes.example"}
	go d.run(stop)
	time.Sleep(3 * time.Second)
	tally := newTally(rec, machines, nil)
	end := time.Now().Add(freezeLength)
	var users sync.WaitGroup
	for range 25 {
		users.Go(func() {
			u := &user{directory: d, failed: map[string]time.Time{}, done: tally.done}
			for time.Now().Before(end) {
				u.do(drawRequest("key-one"))
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second)))
			}
		})
	}
	armed := false
	freezes := 0
	store.onCommit = func(name string) { // the store is locked
		mu.Lock()
		defer mu.Unlock()
		if !armed || leader == nil || leader.name != name {
			return
		}
		armed = false
		freezes++
		m := leader
		m.signal(syscall.SIGSTOP, false)
		time.AfterFunc(freezeFor, func() { m.signal(syscall.SIGCONT, false) })
	}
	crashed := func() (n int) {
		for _, m := range machines {
			n += m.crashCount()
		}
		return n
	}
	for time.Now().Before(end.Add(-4*time.Second)) && crashed() == 0 {
		time.Sleep(freezeFor + 2*time.Second + time.Duration(rand.IntN(300))*time.Millisecond)
		mu.Lock()
		armed = trouble
		mu.Unlock()
	}
	if crashed() == 0 {
		users.Wait()
	}
	close(stop)
	rec.say("freezes: %d; answers by status: %v; processes that ended by themselves: %d", freezes, tally.statuses, crashed())
	if crashed() > 0 {
		return exitBroken
	}
	return exitHeld
}
