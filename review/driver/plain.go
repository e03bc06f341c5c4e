//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// plain is a stand-in for a replica of a plain service. It is sound.
type plain struct {
	id      string
	running atomic.Int64
}

// workTime is how long a replica of the plain service works on a request (sheet: 15 ms).
const workTime = 15 * time.Millisecond

// addPlain starts a replica of the plain service and writes its row.
func (w *world) addPlain(id, zone string) error {
	address, err := serve(&plain{id: id})
	if err != nil {
		return err
	}
	w.store.put("servers", id, map[string]any{
		"service": plainService, "address": address, "zone": zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// ServeHTTP implements http.Handler.
func (x *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(p("attempt"))
	h := w.Header()
	h.Set(p("attempt"), id)
	h.Set(p("instance"), x.id)
	h.Set(p("load"), fmt.Sprintf("%d,0,6", x.running.Add(1)))
	defer x.running.Add(-1)
	if want := r.Header.Get(p("expect")); want != "" && want != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(workTime)
	h.Set(p("signature"), "sig."+x.id+"."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", x.id, id)
}
