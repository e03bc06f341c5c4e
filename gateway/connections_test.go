package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/sched"
	"github.com/jasminelock/jasminelock/upstream"
)

// dispatchRuntime dispatches every request at once.
type dispatchRuntime struct {
	mu      sync.Mutex
	last    sched.RequestID
	tickets map[sched.RequestID]dispatchTicket
}

type dispatchTicket struct {
	id        sched.RequestID
	decisions chan core.Decision
}

func (t dispatchTicket) ID() sched.RequestID             { return t.id }
func (t dispatchTicket) Decisions() <-chan core.Decision { return t.decisions }

func (r *dispatchRuntime) NewTicket() Ticket {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	t := dispatchTicket{r.last, make(chan core.Decision, 2)}
	r.tickets[t.id] = t
	return t
}

func (r *dispatchRuntime) Submit(t Ticket, _ core.Request) {
	t.(dispatchTicket).decisions <- core.Dispatch{ID: t.ID(), Upstream: &record.Upstream{}, Repeatable: true, Attempt: 1}
}

func (r *dispatchRuntime) Handle(ev core.Event) {
	end, ok := ev.(core.AttemptEnded)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tickets[end.ID].decisions <- core.Finish{ID: end.ID, Err: apierr.New(apierr.AnswerCut, "").WithRan(apierr.HasRun)}
	delete(r.tickets, end.ID)
}

// pipes gives every call an answer that stays open until the pipes are closed.
type pipes struct {
	mu   sync.Mutex
	ends []*io.PipeWriter
}

func (p *pipes) Call(_ context.Context, _ string, call upstream.Call) (*upstream.Response, error) {
	if call.Method == http.MethodGet {
		return nil, upstream.ErrNotSent // nothing to resume
	}
	r, w := io.Pipe()
	p.mu.Lock()
	p.ends = append(p.ends, w)
	p.mu.Unlock()
	go func() { _, _ = io.WriteString(w, chunk) }()
	return &upstream.Response{Status: http.StatusOK, Header: http.Header{}, Body: r}, nil
}

// BenchmarkOpenConnections reports the memory of a stream that is open over a
// real connection, the caller's side of the connection included. The upstream's
// side is a pipe.
func BenchmarkOpenConnections(b *testing.B) {
	const streams = 9_000 // both ends are open files of this process
	for b.Loop() {
		runtime, caller := &dispatchRuntime{tickets: map[sched.RequestID]dispatchTicket{}}, &pipes{}
		s := New(Options{Runtime: runtime, UpstreamCaller: caller, Limits: Limits{MaxBodyBytes: 1 << 20, RequestTimeout: DefaultRequestTimeout}})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := &http.Server{Handler: s}
		go func() { _ = server.Serve(listener) }()
		before := heapInUse()
		conns := openStreams(b, listener.Addr().String(), streams)
		b.ReportMetric(float64(heapInUse()-before)/streams, "B/stream")
		for _, w := range caller.ends {
			_ = w.Close()
		}
		for _, c := range conns {
			_ = c.Close()
		}
		_ = server.Close()
	}
}

// openStreams opens streams and waits for the first event of each.
func openStreams(b *testing.B, address string, n int) []net.Conn {
	const body = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	conns := make([]net.Conn, n)
	reader := bufio.NewReader(nil)
	for i := range conns {
		c, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		conns[i] = c
		_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if err != nil {
			b.Fatal(err)
		}
		reader.Reset(c)
		for line := ""; len(line) < len("data: ") || line[:len("data: ")] != "data: "; {
			if line, err = reader.ReadString('\n'); err != nil {
				b.Fatal(err)
			}
		}
	}
	return conns
}
