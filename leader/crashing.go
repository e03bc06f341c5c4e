package leader

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

// A request that crashes the upstreams it runs on can arrive at any host, and can keep arriving for longer than
// any host runs. Each host records the upstream incarnations on which its own attempts were interrupted and
// reports them to the leader. The leader reports the requests interrupted more than once to all hosts. The lease's
// row holds these requests too, so that they survive the loss of every host.
const (
	// minSuspectIncarnations is the number of upstream incarnations on which attempts must have been interrupted
	// for the leader to report the request to every host.
	minSuspectIncarnations = 2
	// maxHeartbeatSuspects is the maximum number of suspects in a heartbeat, maxRecordedSuspects in the lease's
	// row, and maxReportedSuspects in a host's report to a new leader.
	maxHeartbeatSuspects = 16
	maxRecordedSuspects  = 64
	maxReportedSuspects  = 128
	// unconfirmedRetention is how long the lease's row keeps a request of which only one attempt was interrupted.
	// Within that time the crash is confirmed or a second attempt has been interrupted.
	unconfirmedRetention = quarantine.ConfirmWindow
)

// CrashesUpstreams is the rule that refusals of crashing requests are reported under.
const CrashesUpstreams = "crashes_upstreams"

// recordAttempt records the end of an attempt of this host in the ledger of crashing requests.
func (b *Broker) recordAttempt(now time.Time, t *Ticket, ev *assign.AttemptEnded) {
	if t.upstream == "" {
		return
	}
	start := quarantine.IncarnationOf(t.upstream, t.upstreamStartedAt)
	if ev.NoListener {
		b.recordUpstreamEnd(now, t.upstream, t.upstreamStartedAt)
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
			b.reportSuspect(now, key)
		}
	}
}

// suspectKeys returns the keys under which the attempts of a request are counted: the request's own, and that of
// all requests of its organisation with the same path and body. Any success clears a key.
func suspectKeys(r *assign.Request) []quarantine.Key {
	var keys []quarantine.Key
	for _, f := range []assign.Fingerprint{r.Fingerprint, r.Resource} {
		if f != (assign.Fingerprint{}) {
			keys = append(keys, quarantine.Key(f))
		}
	}
	return keys
}

// recordUpstreamEnd records that an upstream's incarnation is known to have ended, and reports the requests that
// are blamed for it.
func (b *Broker) recordUpstreamEnd(now time.Time, id string, startedAt int64) {
	blamed := b.ledger.RecordUpstreamEnd(now, quarantine.IncarnationOf(id, startedAt))
	if len(blamed) > 0 {
		b.log.Info("upstream ended while it ran requests", "upstream", id, "born", startedAt, "requests", len(blamed))
	}
	for _, key := range blamed {
		b.reportSuspect(now, key)
	}
}

// recordUpstreamEnds records the end of upstreams that have left the list since the previous view. An upstream
// that was draining or had announced that it is leaving has not crashed.
func (b *Broker) recordUpstreamEnds(now time.Time, before *watch.View) {
	for id, u := range before.Upstreams {
		listed, ok := b.view.Upstreams[id]
		_, leaving := b.feedback.leaving[upstreamIncarnation{id, u.StartedAt}]
		if (!ok || listed.StartedAt != u.StartedAt) && !u.Draining && !leaving {
			b.recordUpstreamEnd(now, id, u.StartedAt)
		}
	}
}

// reportSuspect logs the state of a suspected request if it is now refused, and reports it to the leader.
func (b *Broker) reportSuspect(now time.Time, key quarantine.Key) {
	b.logQuarantined(now, key, b.options.Host)
	e, ok := b.ledger.Entry(now, key)
	if ok && b.leading == nil && b.leader.host != "" {
		b.sendToLeader(&wire.Suspects{Suspects: []wire.Suspect{wireSuspect(now, &e)}})
	}
}

// logQuarantined logs that a request is refused from now on. from is the source of the last report.
func (b *Broker) logQuarantined(now time.Time, key quarantine.Key, from string) {
	if left, refused := b.ledger.Refused(now, key); refused {
		e, _ := b.ledger.Entry(now, key)
		b.log.Warn("request quarantined", "fingerprint", assign.Fingerprint(key).String(),
			"broke_off", len(e.Interrupted), "ended", e.ConfirmedCrashes(),
			"for_s", int(left.Seconds()), "told_by", from)
	}
}

// Refused reports whether a request is refused because it crashes upstreams, and for how much longer.
func (b *Broker) Refused(r *assign.Request) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d, refused := b.refusal(time.Now(), r)
	return d.RetryAfter, refused
}

// refusal returns the refusal of a request that crashes upstreams, and false if it is not refused.
func (b *Broker) refusal(now time.Time, r *assign.Request) (assign.Refuse, bool) {
	for _, key := range suspectKeys(r) {
		if left, refused := b.ledger.Refused(now, key); refused {
			return assign.Refuse{ID: r.ID, Kind: apierr.NoUpstream, RetryAfter: left, Rule: CrashesUpstreams}, true
		}
	}
	return assign.Refuse{}, false
}

// mergeSuspects adds the suspects reported by another host, or read from the store, to the ledger. age is added to
// the age of each reported attempt.
func (b *Broker) mergeSuspects(now time.Time, from string, reported []wire.Suspect, age time.Duration) {
	for i := range reported {
		e, err := decodeSuspect(now.Add(-age), &reported[i])
		if err != nil {
			b.log.Warn("reported suspect is invalid; ignoring it", "told_by", from, "error", err)
			continue
		}
		if b.ledger.Learn(now, e) {
			b.logQuarantined(now, e.Key, from)
		}
	}
}

// reportSuspects reports this host's suspects to a new leader.
func (b *Broker) reportSuspects(now time.Time) {
	all := b.ledger.Entries(now, maxReportedSuspects, func(*quarantine.Entry) bool { return true })
	if len(all) > 0 && b.leading == nil {
		b.sendToLeader(&wire.Suspects{Suspects: wireSuspects(now, all)})
	}
}

// suspectCache holds the suspects that the leader's heartbeats report, as of the time at.
type suspectCache struct {
	at       time.Time
	suspects []wire.Suspect
}

// heartbeatSuspects returns the suspects that the leader reports to every host. The list is built once for the
// heartbeats to many hosts.
func (b *Broker) heartbeatSuspects(now time.Time) []wire.Suspect {
	if b.suspectCache.at.IsZero() || now.Sub(b.suspectCache.at) >= heartbeatInterval/2 {
		b.suspectCache.at = now
		b.suspectCache.suspects = wireSuspects(now, b.ledger.Entries(now, maxHeartbeatSuspects, func(e *quarantine.Entry) bool {
			return len(e.Interrupted) >= minSuspectIncarnations || !e.ClearedAt.IsZero()
		}))
	}
	return b.suspectCache.suspects
}

// suspectRecord is a list of suspects as stored in the lease's row or the row of shared suspects.
type suspectRecord struct {
	// ClockMS is the store's clock at the time of the record, in milliseconds; 0 if it was not known.
	ClockMS  int64          `cbor:"1,keyasint"`
	Suspects []wire.Suspect `cbor:"2,keyasint,omitempty"`
}

// recordedEntries returns the ledger's entries that are to be stored.
func (b *Broker) recordedEntries(now time.Time) []quarantine.Entry {
	return b.ledger.Entries(now, maxRecordedSuspects, func(e *quarantine.Entry) bool {
		return len(e.Interrupted) >= minSuspectIncarnations || now.Sub(e.ChangedAt()) < unconfirmedRetention
	})
}

// newSuspectRecord returns the suspects to be stored with the lease.
func (b *Broker) newSuspectRecord(now time.Time) suspectRecord {
	r := suspectRecord{Suspects: wireSuspects(now, b.recordedEntries(now))}
	if b.leader.row.storeTime > 0 {
		r.ClockMS = b.leader.row.storeTimeAt(b.options.Clock()).Milliseconds()
	}
	return r
}

// restoreSuspects merges the suspects that were read with the lease, and those shared by hosts without a leader.
func (b *Broker) restoreSuspects(now time.Time, row *leaseView) {
	for _, record := range []*suspectRecord{&row.suspects, &row.shared} {
		b.mergeSuspects(now, "store", record.Suspects, b.recordAge(row, record))
	}
}

// recordAge returns the age of a record, 0 if it is not known.
func (b *Broker) recordAge(row *leaseView, record *suspectRecord) time.Duration {
	if row.storeTime == 0 || record.ClockMS == 0 {
		return 0
	}
	return max(row.storeTimeAt(b.options.Clock())-milliseconds(record.ClockMS), 0)
}

// shareSuspectsAfter is how long a host has no leader before it shares its suspects with other hosts through the
// store. A lost leader is usually replaced sooner.
const shareSuspectsAfter = 1500 * time.Millisecond

// shareSuspects writes this host's suspects to the store if it has no leader to report them to, and the shared
// row, as just read, does not hold them.
func (b *Broker) shareSuspects(ctx context.Context, row *leaseView) {
	b.mu.Lock()
	now := time.Now()
	leaderless := b.leading == nil && b.leader.host == "" && now.Sub(b.leaderlessSince) > shareSuspectsAfter
	var record suspectRecord
	if leaderless && b.hasUnshared(now, row) {
		record = b.newSuspectRecord(now)
	}
	b.mu.Unlock()
	if len(record.Suspects) == 0 {
		return
	}
	raw, err := cbor.Marshal(record)
	if err != nil {
		b.log.Error("suspects cannot be encoded; not shared with other hosts", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = b.options.Tables.CommitStamped(ctx, store.Txn{
		Conditions: []store.Condition{{Table: leaseTable, Key: suspectsKey, Version: row.sharedVersion}},
		Writes:     []store.Write{{Table: leaseTable, Key: suspectsKey, Value: raw}},
	})
	if err != nil { // retried after the next read of the lease
		b.log.Debug("suspects not written to the store; retrying after the next read of the lease", "error", err)
		return
	}
	b.log.Info("suspects shared with other hosts through the store", "requests", len(record.Suspects))
}

// hasUnshared reports whether this host knows of an interrupted attempt, or of an upstream's end, that the shared
// row does not hold.
func (b *Broker) hasUnshared(now time.Time, row *leaseView) bool {
	known := quarantine.NewLedger()
	recordedAt := now.Add(-b.recordAge(row, &row.shared))
	for i := range row.shared.Suspects {
		if e, err := decodeSuspect(recordedAt, &row.shared.Suspects[i]); err == nil {
			known.Learn(now, e)
		}
	}
	changed := false
	for _, e := range b.recordedEntries(now) {
		e.ClearedAt = time.Time{}
		changed = known.Learn(now, e) || changed
	}
	return changed
}
