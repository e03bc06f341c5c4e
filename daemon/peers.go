package daemon

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/peer"
	"github.com/jasminelock/jasminelock/wire"
)

// listenPeers opens the listener of the links to other hosts, where there is
// to be one.
func (d *Daemon) listenPeers() error {
	if d.settings.Listen.Peers == "" {
		return nil
	}
	var certificates *peer.Certificates
	if d.settings.TLS.Enabled() {
		var err error
		if certificates, err = peer.LoadCertificates(d.settings.TLS); err != nil {
			return err
		}
	}
	var listen net.ListenConfig
	listener, err := listen.Listen(context.Background(), "tcp", d.settings.Listen.Peers)
	if err != nil {
		return eris.Wrap(err, "listen.peers")
	}
	d.links, err = peer.New(peer.Options{
		Log: d.log, Self: d.hello(), Listener: listener, Certificates: certificates,
		Lookup: d.peerURL, Receive: d.receive,
	})
	if err != nil {
		_ = listener.Close()
	}
	return err
}

// hello is what this host says of itself when a link opens. The incarnation
// grows with each start, since hosts keep nothing.
func (d *Daemon) hello() wire.Hello {
	return wire.Hello{
		Host: d.settings.Host, Zone: d.settings.Zone, Incarnation: uint64(time.Now().UnixMilli()),
		MinVersion: wire.MinVersion, MaxVersion: wire.Version,
	}
}

// PeerURL returns where other hosts connect, "" where there are no links.
func (d *Daemon) PeerURL() string {
	switch {
	case d.links == nil:
		return ""
	case d.settings.Advertise.Peers != "":
		return d.settings.Advertise.Peers
	}
	return d.links.URL()
}

// peerURL returns where the named host accepts links.
func (d *Daemon) peerURL(host string) (string, bool) {
	for _, h := range d.board.Hosts.Snapshot() {
		if h.Name == host && h.PeerURL != "" {
			return h.PeerURL, true
		}
	}
	return "", false
}

// send queues a message for another host. What cannot be sent is lost, which
// every protocol between hosts allows for.
func (d *Daemon) send(m wire.Outgoing) {
	if d.links == nil {
		return
	}
	if err := d.links.Send(m.To, m.Message); err != nil {
		d.log.Warn("message not sent", "peer", m.To, "error", err)
	}
}

// receive takes a message of another host.
func (d *Daemon) receive(from string, m wire.Message) {
	d.runtime.Handle(core.PeerReceived{From: from, Message: m})
}
