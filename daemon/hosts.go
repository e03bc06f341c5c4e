package daemon

import (
	"context"
	"time"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/store"
)

// hostListInterval is how often this host is announced on the platform's host list and the list is read.
// announceTTL is how long the platform keeps an announcement that is not repeated.
const (
	hostListInterval = time.Second
	announceTTL      = 10 * time.Second
)

// watchHosts announces this host on the platform's host list and reads the list, at each
// hostListInterval until the context ends.
func (d *Daemon) watchHosts(ctx context.Context) {
	every(ctx, hostListInterval, func() {
		if err := d.announce(ctx); err != nil {
			d.log.Warn("host not announced on the host list; retrying at the next interval", "error", err)
		}
		sentAt := time.Now()
		hosts, err := d.platform.Hosts(ctx)
		if err != nil {
			d.log.Warn("host list not read; the previous one stays in use", "error", err)
			return
		}
		d.fleet.handleHostList(sentAt, hosts)
		d.runtime.Handle(core.HostsUpdated{Hosts: hosts})
	})
}

// announce writes this host's entry to the host list. It does nothing after withdraw.
func (d *Daemon) announce(ctx context.Context) error {
	h := store.Host{
		Name: d.settings.Host, Zone: d.settings.Zone, CallerURL: d.CallerURL(), PeerURL: d.PeerURL(), Leaving: !d.ready(),
	}
	d.announceMu.Lock()
	defer d.announceMu.Unlock()
	if d.withdrawn {
		return nil
	}
	return d.platform.Announce(ctx, h, announceTTL)
}

// withdraw removes this host from the host list and stops all further announcements.
func (d *Daemon) withdraw(ctx context.Context) error {
	d.announceMu.Lock()
	defer d.announceMu.Unlock()
	d.withdrawn = true
	return d.platform.Withdraw(ctx, d.settings.Host)
}
