// Package watch follows the platform's tables and holds what they say: the
// configuration, the announced versions of adapters and the upstreams.
package watch

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
)

// Intervals of the watch.
const (
	// changeWait is how long the store is asked to wait for a change. A
	// connection that has gone silent is noticed after it.
	changeWait = time.Second
	// upstreamPause is the least time between two reads of the upstreams, which
	// change often; it is small against the two seconds in which a host must
	// have stopped using one that leaves.
	upstreamPause = 250 * time.Millisecond
	// firstRetry and longestRetry bound the wait after a failed read. The longest
	// is within the two seconds in which a change must be in force after the
	// store's return.
	firstRetry   = 50 * time.Millisecond
	longestRetry = 800 * time.Millisecond
	// companionRetry is the wait of the second table's reader while the first
	// one's fails too. It is woken when the first one is answered.
	companionRetry = 3 * time.Second
	// returnGrace is how long upstreams whose entries lapsed while the store was
	// away are kept: those that live are back within two seconds of its return.
	returnGrace = 2 * time.Second
	// outageLeast is how long reads must have failed for entries to have lapsed.
	outageLeast = time.Second
)

// Decoder reads the rows of the platform's tables.
type Decoder interface {
	// Tables names the tables of the operator and of the upstreams.
	Tables() (operator, upstreams string)
	// Config reads a configuration, and reports false for a row that holds none.
	Config(key string, value []byte) (*catalog.Config, bool, error)
	// Version reads an adapter's announced version, and reports false for a row
	// that holds none.
	Version(key string, value []byte) (catalog.AdapterRef, int64, bool, error)
	// Evacuated reads the name of the availability zone that a row evacuates for as long
	// as it is there, and reports false for a row that evacuates none.
	Evacuated(key string) (zone string, ok bool)
	// Upstream reads an upstream's entry.
	Upstream(key string, value []byte) (*catalog.Upstream, error)
}

// Evacuations are the availability zones whose upstreams are sent nothing.
type Evacuations struct {
	Zones map[string]bool
	// StoreVersion is the store's version as of which they are known.
	StoreVersion int64
}

// View is what the tables say. It must not be changed.
type View struct {
	// Config is nil before the first one was read.
	Config *catalog.Config
	// RawConfig is the row that the configuration was read from.
	RawConfig store.Row
	Versions  catalog.Versions
	Evacuated Evacuations
	Upstreams map[string]*catalog.Upstream
	// UpstreamsVersion is the store's version as of which the upstreams are known.
	UpstreamsVersion int64
	// Checksum is a checksum of what hosts tell one another of all that.
	Checksum uint64
}

// Watcher follows the tables.
type Watcher struct {
	log     hclog.Logger
	feed    store.Feed
	decoder Decoder
	changed func(*View)
	// patience is the least time between two reads of the upstreams, and
	// retryPatience the longest wait after failed reads, unless the watcher is eager.
	patience      time.Duration
	retryPatience time.Duration
	eager         atomic.Bool

	view atomic.Pointer[View]

	// mu guards the building of a new view; readers take the pointer.
	mu     sync.Mutex
	lapsed map[string]time.Time
	// contacts are when the store last answered for each table, counted from the
	// start.
	contacts [2]atomic.Int64
	started  time.Time
	// relayed says that another host passes changes on, resumed that it no longer
	// does.
	relayed atomic.Bool
	resumed [2]chan struct{}
	// lost says for each table that reads fail. back wakes the second table's
	// reader when the first one's is answered again.
	lost [2]atomic.Bool
	back chan struct{}
	// at are the store's versions as of which the tables are known.
	at [2]atomic.Int64
	// doubtful says that upstreams were passed on as of an unknown version, so
	// that their table has to be read whole where it is read.
	doubtful atomic.Bool
}

// Options are what a Watcher is made of.
type Options struct {
	Log     hclog.Logger
	Feed    store.Feed
	Decoder Decoder
	// OnChange takes each new view. It must not wait.
	OnChange func(*View)
	// RelaxedReadInterval is the least time between two reads of the upstreams on a host that
	// will not lead, where it is above the usual. RetryPatience is its longest wait
	// after failed reads, where it is above the usual.
	RelaxedReadInterval      time.Duration
	RelaxedMaxRetryDelay time.Duration
}

// New returns a watcher that knows nothing before Run.
func New(o Options) *Watcher {
	w := &Watcher{
		log: o.Log, feed: o.Feed, decoder: o.Decoder, changed: o.OnChange, patience: o.RelaxedReadInterval, retryPatience: o.RelaxedMaxRetryDelay, lapsed: map[string]time.Time{}, started: time.Now(),
		back: make(chan struct{}, 1),
	}
	for i := range w.resumed {
		w.resumed[i] = make(chan struct{}, 1)
	}
	w.eager.Store(true)
	w.view.Store(&View{Versions: catalog.Versions{}, Upstreams: map[string]*catalog.Upstream{}})
	return w
}

// View returns what the tables say now.
func (w *Watcher) View() *View { return w.view.Load() }

// StoreAge returns how long ago the store last answered for the table that has
// waited longest.
func (w *Watcher) StoreAge() time.Duration {
	oldest := min(w.contacts[0].Load(), w.contacts[1].Load())
	return time.Since(w.started) - time.Duration(oldest)
}

// Run follows the tables until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	operator, upstreams := w.decoder.Tables()
	var group sync.WaitGroup
	group.Go(func() { w.follow(ctx, &tableReader{watcher: w, index: 0, table: operator, apply: w.applyOperator}) })
	group.Go(func() {
		w.follow(ctx, &tableReader{watcher: w, index: 1, table: upstreams, pause: upstreamPause, apply: w.applyUpstreams})
	})
	group.Wait()
}

// applyOperator takes rows of the operator's table.
func (w *Watcher) applyOperator(c store.Changes, whole bool, _ time.Duration) {
	w.mu.Lock()
	next := *w.view.Load()
	w.setEvacuated(&next, Evacuations{w.evacuated(next.Evacuated.Zones, c.Rows, whole), c.Version})
	copied := false
	for _, row := range c.Rows {
		if row.Deleted {
			continue
		}
		w.applyConfig(&next, row.Row)
		ref, version, ok, err := w.decoder.Version(row.Key, row.Value)
		switch {
		case err != nil:
			w.log.Warn("announced version cannot be read", "key", row.Key, "error", err)
		case ok && next.Versions[ref] < version:
			if !copied {
				next.Versions, copied = maps.Clone(next.Versions), true
			}
			next.Versions[ref] = version
			w.log.Info("adapter version announced", "model", ref.Model, "adapter", ref.Adapter, "version", version)
		}
	}
	w.publish(&next)
}

// evacuated returns the zones that are evacuated after some rows were read: those of
// before and of the rows, or of the rows alone where they are the whole table.
func (w *Watcher) evacuated(before map[string]bool, rows []store.Change, whole bool) map[string]bool {
	zones := map[string]bool{}
	if !whole {
		maps.Copy(zones, before)
	}
	for _, row := range rows {
		zone, ok := w.decoder.Evacuated(row.Key)
		switch {
		case !ok:
		case row.Deleted:
			delete(zones, zone)
		default:
			zones[zone] = true
		}
	}
	return zones
}

// setEvacuated puts the evacuated zones of a new view in place, unless newer ones are
// known, and logs what differs.
func (w *Watcher) setEvacuated(next *View, e Evacuations) {
	if e.StoreVersion < next.Evacuated.StoreVersion {
		return
	}
	for zone := range e.Zones {
		if !next.Evacuated.Zones[zone] {
			w.log.Info("availability zone evacuated", "zone", zone, "as_of", e.StoreVersion)
		}
	}
	for zone := range next.Evacuated.Zones {
		if !e.Zones[zone] {
			w.log.Info("evacuation of an availability zone is over", "zone", zone, "as_of", e.StoreVersion)
		}
	}
	next.Evacuated = e
}

// applyConfig takes a configuration. A host never goes back to an older one.
func (w *Watcher) applyConfig(next *View, row store.Row) {
	config, ok, err := w.decoder.Config(row.Key, row.Value)
	switch {
	case !ok:
	case err != nil:
		w.log.Error("configuration cannot be read; the one before stays in force", "error", err)
	case next.Config != nil && config.Version <= next.Config.Version:
	default:
		w.logRates(next.Config, config)
		next.Config, next.RawConfig = config, row
		w.log.Info("configuration in force", "version", config.Version, "routes", config.RouteCount())
	}
}

// logRates tells of each organisation whose rate differs from before.
func (w *Watcher) logRates(before, after *catalog.Config) {
	after.Organisations(func(o *catalog.Organisation) {
		var old *catalog.Organisation
		if before != nil {
			old = before.Organisation(o.Name)
		}
		if old == nil || old.TokensPerSecond != o.TokensPerSecond || old.BurstTokens != o.BurstTokens {
			w.log.Info("organisation's rate", "organisation", o.Name, "tokens_per_second", o.TokensPerSecond,
				"burst_tokens", o.BurstTokens, "priority", o.Priority, "has_priority", o.HasPriority)
		}
	})
}

// applyUpstreams takes rows of the upstreams' table.
func (w *Watcher) applyUpstreams(c store.Changes, whole bool, outage time.Duration) {
	w.mu.Lock()
	next := *w.view.Load()
	before := next.Upstreams
	next.Upstreams = maps.Clone(before)
	seen := map[string]bool{}
	for _, row := range c.Rows {
		seen[row.Key] = true
		w.applyUpstream(&next, row)
	}
	if whole {
		for id := range before {
			if !seen[id] {
				delete(next.Upstreams, id)
			}
		}
	}
	next.UpstreamsVersion = max(next.UpstreamsVersion, knownAt(c, whole))
	w.keepLapsed(&next, before, outage)
	w.publish(&next)
}

// knownAt returns the version as of which a table is known by what was read: of the
// newest row that has changed, which is the same on every host that has read it, or of
// the whole table.
func knownAt(c store.Changes, whole bool) int64 {
	if whole {
		return c.Version
	}
	at := int64(0)
	for _, row := range c.Rows {
		at = max(at, row.Version)
	}
	return at
}

func (w *Watcher) applyUpstream(next *View, row store.Change) {
	if row.Deleted {
		delete(next.Upstreams, row.Key)
		return
	}
	u, err := w.decoder.Upstream(row.Key, row.Value)
	if err != nil {
		w.log.Warn("entry names no upstream", "key", row.Key, "error", err)
		delete(next.Upstreams, row.Key)
		return
	}
	delete(w.lapsed, row.Key)
	old := next.Upstreams[row.Key]
	if old == nil || old.Draining != u.Draining || old.StartedAt != u.StartedAt {
		w.log.Info("upstream listed", "upstream", u.ID, "service", u.Service, "address", u.Address, "born", u.StartedAt, "draining", u.Draining)
	}
	next.Upstreams[row.Key] = u
}

// keepLapsed keeps the upstreams whose entries lapsed in an outage for as long
// as those that live may take to come back.
func (w *Watcher) keepLapsed(next *View, before map[string]*catalog.Upstream, outage time.Duration) {
	now := time.Now()
	for id, u := range before {
		if _, still := next.Upstreams[id]; still {
			continue
		}
		until, lapsed := w.lapsed[id]
		if !lapsed && outage >= outageLeast && !u.Draining {
			until, lapsed = now.Add(returnGrace), true
			w.lapsed[id] = until
			time.AfterFunc(returnGrace, w.expireLapsed)
		}
		if lapsed && now.Before(until) {
			next.Upstreams[id] = u
			continue
		}
		delete(w.lapsed, id)
		w.log.Info("upstream gone", "upstream", id, "service", u.Service)
	}
}

// expireLapsed drops the lapsed upstreams that have not come back.
func (w *Watcher) expireLapsed() {
	w.mu.Lock()
	next := *w.view.Load()
	before := next.Upstreams
	next.Upstreams = maps.Clone(before)
	now := time.Now()
	changed := false
	for id, until := range w.lapsed {
		if !now.Before(until) {
			delete(next.Upstreams, id)
			delete(w.lapsed, id)
			changed = true
			w.log.Info("upstream did not come back after the store did", "upstream", id)
		}
	}
	if !changed {
		w.mu.Unlock()
		return
	}
	w.publish(&next)
}

// publish puts a view in force and releases the lock that its maker holds.
func (w *Watcher) publish(v *View) {
	v.Checksum = sum(v)
	w.eager.Store(true)
	w.view.Store(v)
	w.changed(v)
	w.mu.Unlock()
}

// wake has whoever waits for c go on, or the next one who will.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
