package daemon

import (
	"context"
	"time"

	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/store"
)

// Intervals of the host list.
const (
	hostListInterval = time.Second
	announceTTL      = 10 * time.Second
)

// watchHosts announces this host and reads the host list.
func (d *Daemon) watchHosts(ctx context.Context) {
	every(ctx, hostListInterval, func() {
		if err := d.announce(ctx); err != nil {
			d.log.Warn("host not announced", "error", err)
		}
		sentAt := time.Now()
		hosts, err := d.platform.Hosts(ctx)
		if err != nil {
			d.log.Warn("host list not read", "error", err)
			return
		}
		d.fleet.hostList(sentAt, hosts)
		d.runtime.Handle(core.HostsUpdated{Hosts: hosts})
	})
}

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

// withdraw takes this host off the host list, for good.
func (d *Daemon) withdraw(ctx context.Context) error {
	d.announceMu.Lock()
	defer d.announceMu.Unlock()
	d.withdrawn = true
	return d.platform.Withdraw(ctx, d.settings.Host)
}
