// Package standin holds the code that the stand-ins for outside systems share.
// Stand-ins are fakes of the platform, model engines, plain services and others.
// They exist for tests and the demo; no package of the product imports them.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Server is a stand-in that listens on loopback.
type Server struct {
	// URL is the stand-in's base address.
	URL      string
	listener net.Listener
	http     *http.Server
}

// Serve starts a stand-in that listens on the address. Use "127.0.0.1:0" for a free
// port.
func Serve(address string, h http.Handler) (*Server, error) {
	var listen net.ListenConfig
	l, err := listen.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{URL: "http://" + l.Addr().String(), listener: l, http: &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Close stops the stand-in and closes its connections at once, as a crash would.
func (s *Server) Close() {
	_ = s.http.Close()
}

// WriteJSON writes a response with the status and the body as JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
