package lead

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/quarantine"
	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/watch"
	"github.com/jasminelock/jasminelock/wire"
)

// A request that crashes the upstreams which begin to run it comes at any host, and no
// host lives for as long as it comes. Each host notes which starts of upstreams its own
// attempts broke off on and tells the lead, which tells all hosts of those requests that
// have broken off more than once. The lease's row holds them too, so that they outlive
// every host.
const (
	// suspectStarts is on how many starts attempts must have broken off for the lead to
	// tell every host of the request.
	suspectStarts = 2
	// toldSuspects bounds what a beat tells, recordedSuspects what the lease's row holds,
	// and retoldSuspects what a host tells a new lead.
	toldSuspects     = 16
	recordedSuspects = 64
	retoldSuspects   = 128
	// recordedFor is how long the row holds a request of which only one attempt has
	// broken off: a crash is confirmed in that time, or a second one has come.
	recordedFor = quarantine.ConfirmWindow
)

// CrashesUpstreams names the rule by which a request is refused.
const CrashesUpstreams = "crashes_upstreams"

// noteAttempt takes how an attempt of this host ended, as far as it tells of requests
// that crash upstreams.
func (b *Broker) noteAttempt(now time.Time, t *Ticket, ev *assign.AttemptEnded) {
	if t.upstream == "" {
		return
	}
	start := quarantine.IncarnationOf(t.upstream, t.born)
	if ev.NoListener {
		b.noteEnd(now, t.upstream, t.born)
	}
	for _, key := range suspectKeys(&t.request) {
		changed := false
		switch {
		case ev.Succeeded:
			changed = b.ledger.RecordSuccess(now, key)
		case ev.Outcome == assign.Lost:
			changed = b.ledger.RecordInterrupted(now, key, start)
		case ev.Outcome == assign.TimedOut || ev.Outcome == assign.CallerLeft:
			changed = b.ledger.RecordAbandoned(now, key, start)
		}
		if changed {
			b.suspectChanged(now, key)
		}
	}
}

// suspectKeys returns by what the attempts at a request are counted: itself, and all of
// its organisation at the same path with the same body, which any success clears.
func suspectKeys(r *assign.Request) []quarantine.Key {
	var keys []quarantine.Key
	for _, f := range []assign.Fingerprint{r.Fingerprint, r.Resource} {
		if f != (assign.Fingerprint{}) {
			keys = append(keys, quarantine.Key(f))
		}
	}
	return keys
}

// noteEnd takes that an upstream was seen to have ended.
func (b *Broker) noteEnd(now time.Time, id string, born int64) {
	blamed := b.ledger.RecordUpstreamEnd(now, quarantine.IncarnationOf(id, born))
	if len(blamed) > 0 {
		b.log.Info("upstream ended under requests", "upstream", id, "born", born, "requests", len(blamed))
	}
	for _, key := range blamed {
		b.suspectChanged(now, key)
	}
}

// noteEnds holds the upstreams that have ended since the view before against the
// requests that ran on them. One that was about to leave has not crashed.
func (b *Broker) noteEnds(now time.Time, before *watch.View) {
	for id, u := range before.Upstreams {
		listed, ok := b.view.Upstreams[id]
		_, leaving := b.upstreams.leaving[upstreamStart{id, u.StartedAt}]
		if (!ok || listed.StartedAt != u.StartedAt) && !u.Draining && !leaving {
			b.noteEnd(now, id, u.StartedAt)
		}
	}
}

// suspectChanged logs what is held against a request, and tells the lead.
func (b *Broker) suspectChanged(now time.Time, key quarantine.Key) {
	b.logSuspect(now, key, b.options.Host)
	e, ok := b.ledger.Entry(now, key)
	if ok && b.leading == nil && b.lead.host != "" {
		b.sendLead(&wire.Suspects{Suspects: []wire.Suspect{wireSuspect(now, &e)}})
	}
}

// logSuspect logs that a request is refused from now on, as from tells.
func (b *Broker) logSuspect(now time.Time, key quarantine.Key, from string) {
	if left, refused := b.ledger.Refused(now, key); refused {
		e, _ := b.ledger.Entry(now, key)
		b.log.Warn("request quarantined", "fingerprint", assign.Fingerprint(key).String(), "broke_off", len(e.Interrupted), "ended", e.ConfirmedCrashes(),
			"for_s", int(left.Seconds()), "told_by", from)
	}
}

// Refused reports whether a request is refused since it crashes upstreams, and for how
// long.
func (b *Broker) Refused(r *assign.Request) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d, refused := b.refusal(time.Now(), r)
	return d.RetryAfter, refused
}

// refusal returns the refusal of a request that crashes upstreams.
func (b *Broker) refusal(now time.Time, r *assign.Request) (assign.Refuse, bool) {
	for _, key := range suspectKeys(r) {
		if left, refused := b.ledger.Refused(now, key); refused {
			return assign.Refuse{ID: r.ID, Kind: apierr.NoUpstream, RetryAfter: left, Rule: CrashesUpstreams}, true
		}
	}
	return assign.Refuse{}, false
}

// learnSuspects takes what another host, or the lease's row, holds against requests. age
// is added to what is told of when.
func (b *Broker) learnSuspects(now time.Time, from string, told []wire.Suspect, age time.Duration) {
	for i := range told {
		e, err := toldEntry(now.Add(-age), &told[i])
		if err != nil {
			b.log.Warn("suspected request not taken", "told_by", from, "error", err)
			continue
		}
		if b.ledger.Learn(now, e) {
			b.logSuspect(now, e.Key, from)
		}
	}
}

// tellSuspects tells a new lead what this host holds against requests.
func (b *Broker) tellSuspects(now time.Time) {
	all := b.ledger.Entries(now, retoldSuspects, func(*quarantine.Entry) bool { return true })
	if len(all) > 0 && b.leading == nil {
		b.sendLead(&wire.Suspects{Suspects: wireSuspects(now, all)})
	}
}

// beatList is what the lead's beats tell of suspects, as of a time.
type beatList struct {
	at       time.Time
	suspects []wire.Suspect
}

// beatSuspects returns the requests that the lead tells every host of. The list is made
// once for the beats of many hosts.
func (b *Broker) beatSuspects(now time.Time) []wire.Suspect {
	if b.beatList.at.IsZero() || now.Sub(b.beatList.at) >= beatEvery/2 {
		b.beatList.at = now
		b.beatList.suspects = wireSuspects(now, b.ledger.Entries(now, toldSuspects, func(e *quarantine.Entry) bool {
			return len(e.Interrupted) >= suspectStarts || !e.ClearedAt.IsZero()
		}))
	}
	return b.beatList.suspects
}

// suspectRecord is what is held against requests, as it lies in the lease's row.
type suspectRecord struct {
	// ClockMS is the store's clock when the record was made, 0 where it was not known.
	ClockMS  int64          `cbor:"1,keyasint"`
	Suspects []wire.Suspect `cbor:"2,keyasint,omitempty"`
}

// recordedEntries returns what is held against requests and worth being kept.
func (b *Broker) recordedEntries(now time.Time) []quarantine.Entry {
	return b.ledger.Entries(now, recordedSuspects, func(e *quarantine.Entry) bool {
		return len(e.Interrupted) >= suspectStarts || now.Sub(e.ChangedAt()) < recordedFor
	})
}

// recordSuspects returns what is to be kept with the lease.
func (b *Broker) recordSuspects(now time.Time) suspectRecord {
	r := suspectRecord{Suspects: wireSuspects(now, b.recordedEntries(now))}
	if b.lead.row.clock > 0 {
		r.ClockMS = b.lead.row.storeClock(b.options.Clock()).Milliseconds()
	}
	return r
}

// recallSuspects takes up what the store holds, as it was read with the lease.
func (b *Broker) recallSuspects(now time.Time, row *leaseView) {
	for _, record := range []*suspectRecord{&row.suspects, &row.shared} {
		b.learnSuspects(now, "store", record.Suspects, b.recordAge(row, record))
	}
}

// recordAge is how long ago a record was made, 0 where that is not known.
func (b *Broker) recordAge(row *leaseView, record *suspectRecord) time.Duration {
	if row.clock == 0 || record.ClockMS == 0 {
		return 0
	}
	return max(row.storeClock(b.options.Clock())-milliseconds(record.ClockMS), 0)
}

// shareAfter is how long a host is without a lead before it tells others through the
// store what it holds against requests: a lead that is lost is usually replaced sooner.
const shareAfter = 1500 * time.Millisecond

// shareSuspects writes what this host holds against requests to the store, where it has
// no lead to tell, and the row as it was just read does not say so.
func (b *Broker) shareSuspects(ctx context.Context, row *leaseView) {
	b.mu.Lock()
	now := time.Now()
	alone := b.leading == nil && b.lead.host == "" && now.Sub(b.aloneSince) > shareAfter
	var record suspectRecord
	if alone && b.unshared(now, row) {
		record = b.recordSuspects(now)
	}
	b.mu.Unlock()
	if len(record.Suspects) == 0 {
		return
	}
	raw, err := cbor.Marshal(record)
	if err != nil {
		b.log.Error("suspects not shared", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = b.options.Tables.CommitStamped(ctx, store.Txn{
		Conditions: []store.Condition{{Table: leaseTable, Key: suspectsKey, Version: row.sharedVersion}},
		Writes:     []store.Write{{Table: leaseTable, Key: suspectsKey, Value: raw}},
	})
	if err != nil { // it is tried again with the next look
		b.log.Debug("suspects not shared", "error", err)
		return
	}
	b.log.Info("suspects shared through the store", "requests", len(record.Suspects))
}

// unshared reports whether this host knows of an attempt that broke off, or of an end,
// which the shared row does not hold.
func (b *Broker) unshared(now time.Time, row *leaseView) bool {
	known := quarantine.NewLedger()
	made := now.Add(-b.recordAge(row, &row.shared))
	for i := range row.shared.Suspects {
		if e, err := toldEntry(made, &row.shared.Suspects[i]); err == nil {
			known.Learn(now, e)
		}
	}
	news := false
	for _, e := range b.recordedEntries(now) {
		e.ClearedAt = time.Time{}
		news = known.Learn(now, e) || news
	}
	return news
}
