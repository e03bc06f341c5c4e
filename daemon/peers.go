package daemon

import (
	"context"
	"net"

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
	self := d.hello()
	var listen net.ListenConfig
	listener, err := listen.Listen(context.Background(), "tcp", d.settings.Listen.Peers)
	if err != nil {
		return eris.Wrap(err, "listen.peers")
	}
	d.links, err = peer.New(peer.Options{
		Log: d.log, Self: self, Listener: listener, Certificates: certificates,
		Lookup: func(host string) (string, bool) { return d.fleet.address(host) }, Receive: d.receive,
	})
	if err != nil {
		_ = listener.Close()
	}
	return err
}

// hello is what this host says of itself when a link opens.
func (d *Daemon) hello() wire.Hello {
	return wire.Hello{
		Host: d.settings.Host, Zone: d.settings.Zone, Incarnation: d.incarnation,
		MinVersion: wire.MinVersion, MaxVersion: wire.Version,
	}
}

// entry is this host's entry on the roster.
func (d *Daemon) entry() wire.HostEntry {
	return wire.HostEntry{
		Name: d.settings.Host, Zone: d.settings.Zone, Incarnation: d.incarnation,
		CallerURL: d.CallerURL(), PeerURL: d.PeerURL(),
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

// peerCounts returns the traffic with other hosts.
func (d *Daemon) peerCounts() peer.Counts {
	if d.links == nil {
		return peer.Counts{}
	}
	return d.links.Counts()
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
	switch {
	case m.WireType() >= wire.FirstLimitType:
		d.runtime.Handle(core.PeerMessageReceived{From: from, Message: m})
	default:
		d.fleet.receive(from, m)
	}
}
