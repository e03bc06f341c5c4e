// Package watch follows the platform's tables in the store and holds their current content:
// the configuration, the announced versions of adapters, the evacuated availability zones and
// the upstreams. A host may also receive that content from another host that relays it.
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

// Intervals of reads and retries.
const (
	// longPollTimeout is how long the store is asked to wait for a change before it answers
	// (long polling). It bounds the time after which a dead connection is noticed.
	longPollTimeout = time.Second
	// upstreamReadInterval is the least time between two reads of the upstreams, which change
	// often. It is small compared with the 2 s within which a host must stop using an
	// upstream that leaves.
	upstreamReadInterval = 250 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the wait after a failed read. maxRetryDelay is
	// below the 2 s within which a change must be in force after the store is back.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	// secondTableRetryDelay is how long the reader of the second table waits while reads of the
	// first table fail too. It is woken earlier when a read of the first table succeeds.
	secondTableRetryDelay = 3 * time.Second
	// expiredEntryGrace is how long upstreams whose entries expired during an outage of the
	// store are kept: live upstreams register again within 2 s of the store's return.
	expiredEntryGrace = 2 * time.Second
	// minExpiryOutage is the shortest outage during which entries may have expired.
	minExpiryOutage = time.Second
)

// Decoder decodes the rows of the platform's tables.
type Decoder interface {
	// Tables returns the names of the operator's table and of the upstreams' table.
	Tables() (operator, upstreams string)
	// Config decodes a configuration. It returns false for a row that holds none.
	Config(key string, value []byte) (*catalog.Config, bool, error)
	// Version decodes the announced version of an adapter. It returns false for a row
	// that holds none.
	Version(key string, value []byte) (catalog.AdapterRef, int64, bool, error)
	// Evacuated returns the name of the availability zone that is evacuated for as long as
	// a row with the key exists. It returns false for a key that evacuates none.
	Evacuated(key string) (zone string, ok bool)
	// Upstream decodes the entry of an upstream.
	Upstream(key string, value []byte) (*catalog.Upstream, error)
}

// Evacuations holds the evacuated availability zones. No request is sent to upstreams in them.
type Evacuations struct {
	Zones map[string]bool
	// StoreVersion is the position of the store up to which Zones is known.
	StoreVersion store.Position
	// Continuous means that Zones takes into account what was known before the store was
	// last restored from a copy.
	Continuous bool
}

// View is the content of the tables at one time. It must not be modified.
type View struct {
	// Config is nil until a configuration has been read.
	Config *catalog.Config
	// RawConfig is the row from which Config was decoded.
	RawConfig store.Row
	Versions  catalog.Versions
	Evacuated Evacuations
	Upstreams map[string]*catalog.Upstream
	// UpstreamsRead is true once the whole table of upstreams has been read or relayed. Before,
	// Upstreams may lack upstreams that are running.
	UpstreamsRead bool
	// UpstreamsVersion is the position of the store up to which Upstreams is known.
	UpstreamsVersion store.Position
	// Checksum is a checksum over the parts of the view that hosts relay.
	Checksum uint64
}

// Watcher follows the tables and publishes a View for each change.
type Watcher struct {
	log      hclog.Logger
	feed     store.Feed
	decoder  Decoder
	onChange func(*View)
	// relaxedReadInterval is the least time between two reads of the upstreams, and
	// relaxedMaxRetryDelay the longest wait after failed reads, both only while lowLatency is
	// false.
	relaxedReadInterval  time.Duration
	relaxedMaxRetryDelay time.Duration
	lowLatency           atomic.Bool

	view atomic.Pointer[View]

	// mu serialises the building of new views. Readers use only the pointer.
	mu sync.Mutex
	// expired holds, for each upstream whose entry expired during an outage, until when the
	// upstream is kept.
	expired map[string]time.Time
	// lastReads holds the time of the last successful read of each table, in nanoseconds
	// since startedAt.
	lastReads [2]atomic.Int64
	startedAt time.Time
	// relayed is true while another host relays changes. relayEnded signals the reader
	// of each table when relaying has ended.
	relayed    atomic.Bool
	relayEnded [2]chan struct{}
	// failing is true for each table whose reads fail. firstTableBack wakes the reader of
	// the second table when reads of the first one succeed again.
	failing        [2]atomic.Bool
	firstTableBack chan struct{}
	// knownVersions holds the positions of the store up to which the tables are known.
	knownVersions [2]atomic.Int64
	// unconfirmed is true if upstreams were relayed and no version has been confirmed for them
	// since, so that the next read of their table has to be of the whole table.
	unconfirmed atomic.Bool
	// era is the highest era of the store that this host knows of, and tableEras holds the latest
	// era in which each table was compared with what was known before. drills counts the changes of era since the start.
	era       atomic.Int64
	tableEras [2]atomic.Int64
	drills    atomic.Int64
	// evacuations and known are guarded by mu.
	evacuations evacuationMemory
	known       upstreamMemory
}

// Options holds the dependencies and settings of a Watcher.
type Options struct {
	Log     hclog.Logger
	Feed    store.Feed
	Decoder Decoder
	// OnChange is called with each new view while the Watcher is locked. It must not block.
	OnChange func(*View)
	// RelaxedReadInterval is the least time between two reads of the upstreams, and
	// RelaxedMaxRetryDelay the longest wait after failed reads, on a host that will not lead.
	// Values below the defaults, upstreamReadInterval and maxRetryDelay, have no effect.
	RelaxedReadInterval  time.Duration
	RelaxedMaxRetryDelay time.Duration
}

// New returns a Watcher whose view is empty until Run is called.
func New(o Options) *Watcher {
	w := &Watcher{
		log: o.Log, feed: o.Feed, decoder: o.Decoder, onChange: o.OnChange,
		relaxedReadInterval: o.RelaxedReadInterval, relaxedMaxRetryDelay: o.RelaxedMaxRetryDelay,
		expired: map[string]time.Time{}, startedAt: time.Now(),
		firstTableBack: make(chan struct{}, 1), evacuations: newEvacuationMemory(), known: newUpstreamMemory(),
	}
	for i := range w.relayEnded {
		w.relayEnded[i] = make(chan struct{}, 1)
	}
	w.lowLatency.Store(true)
	w.view.Store(&View{Versions: catalog.Versions{}, Upstreams: map[string]*catalog.Upstream{}})
	return w
}

// View returns the current view.
func (w *Watcher) View() *View { return w.view.Load() }

// StoreAge returns the time since the last successful read of a table, the longer one of the two
// tables.
func (w *Watcher) StoreAge() time.Duration {
	oldest := min(w.lastReads[0].Load(), w.lastReads[1].Load())
	return time.Since(w.startedAt) - time.Duration(oldest)
}

// Run follows the tables until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	operator, upstreams := w.decoder.Tables()
	var group sync.WaitGroup
	group.Go(func() { w.follow(ctx, &tableReader{watcher: w, index: 0, table: operator, apply: w.applyOperator}) })
	group.Go(func() {
		w.follow(ctx, &tableReader{
			watcher: w, index: 1, table: upstreams, readInterval: upstreamReadInterval, apply: w.applyUpstreams,
		})
	})
	group.Wait()
}

// applyOperator publishes a view with the rows read from the operator's table.
func (w *Watcher) applyOperator(c store.Changes, whole bool, _ time.Duration) {
	w.mu.Lock()
	next := *w.view.Load()
	if store.EraOf(c.Version) < store.EraOf(next.Evacuated.StoreVersion) {
		w.mu.Unlock()
		return // newer ones were relayed meanwhile
	}
	w.applyEvacuations(&next, c, whole)
	copied := false
	for _, row := range c.Rows {
		if row.Deleted {
			continue
		}
		w.applyConfig(&next, row.Row)
		ref, version, ok, err := w.decoder.Version(row.Key, row.Value)
		switch {
		case err != nil:
			w.log.Warn("announced adapter version cannot be decoded; row ignored", "key", row.Key, "error", err)
		case ok && next.Versions[ref] < version:
			if !copied {
				next.Versions, copied = maps.Clone(next.Versions), true
			}
			next.Versions[ref] = version
			w.log.Info("adapter version announced", "model", ref.Model, "adapter", ref.Adapter, "version", version)
		}
	}
	if whole {
		raise(&w.tableEras[0], store.EraOf(c.Version))
	}
	w.publish(&next)
}

// applyConfig sets the configuration of a new view if the row holds one that is newer. A host
// never returns to an older configuration.
func (w *Watcher) applyConfig(next *View, row store.Row) {
	config, ok, err := w.decoder.Config(row.Key, row.Value)
	switch {
	case !ok:
	case err != nil:
		w.log.Error("configuration cannot be decoded; the previous one stays in force", "error", err)
	case next.Config != nil && config.Version <= next.Config.Version:
	default:
		w.logRates(next.Config, config)
		next.Config, next.RawConfig = config, row
		w.log.Info("configuration in force", "version", config.Version, "routes", config.RouteCount())
	}
}

// logRates logs each organisation whose rate differs between two configurations.
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

// publish makes a view the current one and releases w.mu, which the caller must hold.
func (w *Watcher) publish(v *View) {
	v.Checksum = checksum(v)
	w.lowLatency.Store(true)
	w.view.Store(v)
	w.onChange(v)
	w.mu.Unlock()
}

// signal unblocks the receiver that waits on c, or the next one to do so. c has a buffer of one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d or until the context ends, whichever is first.
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
