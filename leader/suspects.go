package leader

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/quarantine"
	"github.com/jasminelock/jasminelock/wire"
)

const (
	// minSuspectIncarnations is the number of upstream incarnations on which attempts must have been interrupted
	// for the leader to report the suspect to every host.
	minSuspectIncarnations = 2
	// maxHeartbeatSuspects is the maximum number of suspects in a heartbeat, maxRecordedSuspects in the lease's
	// row, and maxReportedSuspects in a host's report to a new leader.
	maxHeartbeatSuspects = 16
	maxRecordedSuspects  = 64
	maxReportedSuspects  = 128
	// maxRecordedAttempts is the maximum number of a suspect's attempts in the lease's row, maxHeartbeatAttempts in
	// the leader's heartbeats.
	maxRecordedAttempts  = 12
	maxHeartbeatAttempts = 3
	// unconfirmedRetention is how long the lease's row keeps a request of which only one attempt was interrupted.
	// Within that time the crash is confirmed or a second attempt has been interrupted.
	unconfirmedRetention = quarantine.ConfirmWindow
	// suspectReportInterval is the minimum time between two reports of this host, each of at most maxReportSuspects.
	suspectReportInterval = 20 * time.Millisecond
	maxReportSuspects     = 32
	// maxPendingSuspects limits the suspects that wait to be reported.
	maxPendingSuspects = 1024
	// suspectFanout is the number of hosts to which a host without a leader passes on what is new to it.
	suspectFanout = 6
	// clearedTolerance is by how much a success must be later than the one that the leader knows to be reported.
	clearedTolerance = 100 * time.Millisecond
	// releaseRetention is how long the leader's heartbeats repeat that a suspect is no longer refused.
	releaseRetention = 10 * time.Second
	// maxUpstreamNames limits the upstream incarnations whose names are kept for logs, maxEvidenceNames the names in a
	// log line or message.
	maxUpstreamNames = 8192
	maxEvidenceNames = 4
)

// suspectState is what a host keeps of suspects beside the ledger.
type suspectState struct {
	// leaderDecides is set while there is a leader that decides for all hosts which suspects are refused.
	leaderDecides bool
	// refused holds the refusals that have been logged, with their ends. released holds those that were withdrawn and
	// the times of that.
	refused  map[quarantine.Key]time.Time
	released map[quarantine.Key]time.Time
	// upstreams holds the names of some upstreams that ended, for each refusal.
	upstreams map[quarantine.Key][]string
	names     map[quarantine.Incarnation]string
	// delisted holds when incarnations left the list of upstreams without another sign that they had ended.
	delisted map[quarantine.Incarnation]time.Time
	// trials holds the time at which the next request with a part on trial may run.
	trials map[quarantine.Key]time.Time
	// pending are the suspects to be reported, cleared the parts that have succeeded later than the leader knows.
	pending    map[quarantine.Key]bool
	cleared    map[quarantine.Key]time.Time
	reportedAt time.Time
	reportDue  bool
	// nextRefusal is when the timer for the next refusal fires, zero if none is set.
	nextRefusal time.Time
}

func newSuspectState() suspectState {
	return suspectState{
		refused: map[quarantine.Key]time.Time{}, released: map[quarantine.Key]time.Time{}, upstreams: map[quarantine.Key][]string{},
		names: map[quarantine.Incarnation]string{}, delisted: map[quarantine.Incarnation]time.Time{}, trials: map[quarantine.Key]time.Time{},
		pending: map[quarantine.Key]bool{}, cleared: map[quarantine.Key]time.Time{},
	}
}

// nameUpstream remembers the name of an incarnation.
func (s *suspectState) nameUpstream(incarnation quarantine.Incarnation, id string) {
	if len(s.names) >= maxUpstreamNames {
		clear(s.names)
	}
	s.names[incarnation] = id
}

// delistedRetention is how long an incarnation that left the list may take to be listed again as one that was cut off.
const delistedRetention = 30 * time.Second

// recordDelisted records that an incarnation has left the list.
func (s *suspectState) recordDelisted(now time.Time, incarnation quarantine.Incarnation) {
	for other, at := range s.delisted {
		if now.Sub(at) > delistedRetention {
			delete(s.delisted, other)
		}
	}
	s.delisted[incarnation] = now
}

// evidence names the upstreams whose end is the reason for a refusal, "" if they are not known here.
func (s *suspectState) evidence(key quarantine.Key) string {
	if len(s.upstreams[key]) == 0 {
		return ""
	}
	return ", upstreams " + strings.Join(s.upstreams[key], " ")
}

// beginTrial records that a request with a part on trial runs.
func (s *suspectState) beginTrial(now time.Time, key quarantine.Key) {
	for other, next := range s.trials {
		if !now.Before(next) {
			delete(s.trials, other)
		}
	}
	s.trials[key] = now.Add(trialInterval)
}

// describe returns a name of a suspect for logs.
func describe(key quarantine.Key) string {
	if part, ok := key.Part(); ok {
		return "part:" + hex.EncodeToString(part[:8])
	}
	return assign.Fingerprint(key).String()
}

// decidesSuspects reports whether this host decides which suspects are refused: as the leader, or as no leader does.
func (b *Broker) decidesSuspects() bool {
	return b.leading != nil || b.leader.host == "" || !b.suspects.leaderDecides
}

// updateRefusals logs the refusals that have begun or ended, and announces them if this host leads.
func (b *Broker) updateRefusals(now time.Time) {
	s := &b.suspects
	current := b.refusals(now)
	if b.decidesSuspects() {
		b.awaitNextRefusal(now)
	}
	if len(current) == 0 && len(s.refused) == 0 {
		return
	}
	m := &wire.Suspects{}
	listed := map[quarantine.Key]bool{}
	for i := range current {
		r := &current[i]
		listed[r.Key] = true
		delete(s.released, r.Key)
		if _, known := s.refused[r.Key]; !known {
			b.refusalBegun(now, r)
			m.Suspects = append(m.Suspects, b.refusedSuspect(now, r))
		}
		s.refused[r.Key] = r.Until
	}
	for key, until := range s.refused {
		if listed[key] {
			continue
		}
		delete(s.refused, key)
		delete(s.upstreams, key)
		b.log.Info("suspect no longer refused", "suspect", describe(key), "left_s", int(max(until.Sub(now), 0).Seconds()))
		if now.Before(until) {
			s.released[key] = now
			m.Suspects = append(m.Suspects, wire.Suspect{Key: key[:], Released: true})
		}
	}
	if b.leading != nil && len(m.Suspects) > 0 {
		b.suspectCache = suspectCache{}
		for host := range b.members {
			b.sendTo(host, m)
		}
	}
}

// keepRefusals keeps the refusals that this host, which stops leading, has decided until the next leader withdraws them.
func (b *Broker) keepRefusals(now time.Time) {
	for _, r := range b.ledger.Refusals(now) {
		b.ledger.LearnRefusal(now, r.Key, r.Until)
	}
}

// reportRefusals sends a host that has just joined what this host, the leader, refuses.
func (b *Broker) reportRefusals(now time.Time, host string) {
	m := &wire.Suspects{}
	for _, r := range b.ledger.Refusals(now) {
		m.Suspects = append(m.Suspects, b.refusedSuspect(now, &r))
	}
	if len(m.Suspects) > 0 {
		b.sendTo(host, m)
	}
}

// refusalBegun records the evidence of a new refusal and logs it.
func (b *Broker) refusalBegun(now time.Time, r *quarantine.Refusal) {
	s := &b.suspects
	if len(r.Ended) > 0 {
		for id, u := range b.view.Upstreams {
			s.nameUpstream(quarantine.IncarnationOf(id, u.StartedAt), id)
		}
		s.upstreams[r.Key] = nil
		for _, incarnation := range r.Ended {
			if name, ok := s.names[incarnation]; ok && len(s.upstreams[r.Key]) < maxEvidenceNames {
				s.upstreams[r.Key] = append(s.upstreams[r.Key], name)
			}
		}
	}
	e, _ := b.ledger.Entry(now, r.Key)
	decidedBy := b.options.Host
	if !b.decidesSuspects() {
		decidedBy = b.leader.host
	}
	rule, message := CrashesUpstreams, "request quarantined"
	if _, isPart := r.Key.Part(); isPart {
		rule, message = PartCrashesUpstreams, "part of prompts quarantined"
	}
	b.log.Warn(message, "rule", rule, "suspect", describe(r.Key), "key", hex.EncodeToString(r.Key[:]), "part", e.Name,
		"broke_off", len(e.Interrupted), "ended", max(e.ConfirmedCrashes(), len(r.Ended)),
		"upstreams", strings.Join(s.upstreams[r.Key], " "), "for_s", int(r.Until.Sub(now).Seconds()), "decided_by", decidedBy)
}

// awaitNextRefusal sets a timer for the next refusal that is decided but has not begun.
func (b *Broker) awaitNextRefusal(now time.Time) {
	next := b.ledger.NextRefusal(now)
	if next.IsZero() || next.Equal(b.suspects.nextRefusal) {
		return
	}
	b.suspects.nextRefusal = next
	time.AfterFunc(next.Sub(now), func() { b.update(b.updateRefusals) })
}

// refusedSuspect encodes a refusal.
func (b *Broker) refusedSuspect(now time.Time, r *quarantine.Refusal) wire.Suspect {
	e, _ := b.ledger.Entry(now, r.Key)
	return wire.Suspect{
		Key: r.Key[:], Name: e.Name, RefusedMillis: max(r.Until.Sub(now).Milliseconds(), 1), Upstreams: b.suspects.upstreams[r.Key],
	}
}

// reportSuspect reports what is new about a suspect to the leader or, without one, to some hosts.
func (b *Broker) reportSuspect(now time.Time, key quarantine.Key) {
	if b.leading == nil && len(b.suspects.pending) < maxPendingSuspects {
		b.suspects.pending[key] = true
		b.flushReports(now)
	}
}

// reportCleared reports that a part has succeeded, or was cleared by an operator, at the given time.
func (b *Broker) reportCleared(at time.Time, key quarantine.Key) {
	if b.leading == nil && len(b.suspects.cleared) < maxPendingSuspects {
		b.suspects.cleared[key] = at
		b.flushReports(time.Now())
	}
}

// flushReports sends what is to be reported, unless the last report was sent less than suspectReportInterval ago.
func (b *Broker) flushReports(now time.Time) {
	s := &b.suspects
	if s.reportDue || len(s.pending)+len(s.cleared) == 0 {
		return
	}
	if wait := s.reportedAt.Add(suspectReportInterval).Sub(now); wait > 0 {
		s.reportDue = true
		time.AfterFunc(wait, func() {
			b.update(func(now time.Time) {
				b.suspects.reportDue = false
				b.flushReports(now)
			})
		})
		return
	}
	s.reportedAt = now
	m := &wire.Suspects{}
	for key := range s.pending {
		if len(m.Suspects) >= maxReportSuspects {
			break
		}
		delete(s.pending, key)
		if e, ok := b.ledger.Entry(now, key); ok {
			m.Suspects = append(m.Suspects, wireSuspect(now, &e))
		}
	}
	for key, at := range s.cleared {
		if len(m.Suspects) >= 2*maxReportSuspects {
			break
		}
		delete(s.cleared, key)
		m.Suspects = append(m.Suspects, wire.Suspect{Key: key[:], Cleared: true, ClearedAgeMillis: max(now.Sub(at).Milliseconds(), 0)})
	}
	b.sendReport(m)
	b.flushReports(now)
}

// sendReport sends suspects to the leader or, without one, to some hosts.
func (b *Broker) sendReport(m *wire.Suspects) {
	switch {
	case len(m.Suspects) == 0 || b.leading != nil:
	case b.leader.host != "":
		b.sendToLeader(m)
	default:
		b.sendToSome(m, suspectFanout)
	}
}

// sendToSome sends a message to some of the other hosts, drawn at random.
func (b *Broker) sendToSome(m wire.Message, count int) {
	for _, i := range b.options.Random.Perm(len(b.hosts)) {
		if host := b.hosts[i].Name; host != b.options.Host && count > 0 {
			b.sendTo(host, m)
			count--
		}
	}
}

// receiveSuspects handles the suspects that another host reports. A host that does not lead learns them from its
// leader, or from hosts without a leader; the latter it passes on.
func (b *Broker) receiveSuspects(now time.Time, from string, m *wire.Suspects) {
	if member, ok := b.members[from]; ok {
		member.heardAt = now
	}
	if b.leading != nil || from == b.leader.host {
		b.mergeSuspects(now, from, m.Suspects)
		return
	}
	for i := range m.Suspects {
		e, err := decodeSuspect(now, &m.Suspects[i])
		if err != nil {
			b.log.Warn("reported suspect is invalid; ignoring it", "told_by", from, "error", err)
			continue
		}
		if b.ledger.Learn(now, e) {
			b.reportSuspect(now, e.Key)
		}
	}
	b.updateRefusals(now)
}

// mergeSuspects merges the suspects reported by another host, or read from the store, into the ledger.
func (b *Broker) mergeSuspects(now time.Time, from string, reported []wire.Suspect) {
	b.mergeAged(now, from, reported, 0)
}

// mergeAged is mergeSuspects for a report of the given age.
func (b *Broker) mergeAged(now time.Time, from string, reported []wire.Suspect, age time.Duration) {
	for i := range reported {
		e, err := decodeSuspect(now.Add(-age), &reported[i])
		if err != nil {
			b.log.Warn("reported suspect is invalid; ignoring it", "told_by", from, "error", err)
			continue
		}
		b.mergeSuspect(now, &e)
		if len(reported[i].Upstreams) > 0 {
			b.suspects.upstreams[e.Key] = reported[i].Upstreams[:min(len(reported[i].Upstreams), maxEvidenceNames)]
		}
	}
	b.updateRefusals(now)
}

func (b *Broker) mergeSuspect(now time.Time, e *quarantine.Entry) {
	if e.Released && b.leading != nil {
		b.ledger.Lift(now, e.Key) // an operator has lifted the refusal at the sender
	}
	part, isPart := e.Key.Part()
	if isPart && b.leading == nil && len(e.Interrupted) > 0 {
		if at := b.ledger.PartSucceededAt(part); at.Sub(e.ClearedAt) > clearedTolerance {
			b.reportCleared(at, e.Key) // the sender does not know that this host has seen the part succeed since
		}
	}
	if isPart && !e.ClearedAt.IsZero() {
		b.ledger.RecordPartSuccess(e.ClearedAt, part)
	}
	b.ledger.Learn(now, *e)
	if e.Released {
		b.ledger.LearnRelease(e.Key)
	}
	if e.RefusedUntil.After(now) {
		b.ledger.LearnRefusal(now, e.Key, e.RefusedUntil)
	}
}

// reportSuspects reports this host's suspects and refusals to a new leader.
func (b *Broker) reportSuspects(now time.Time) {
	all := b.ledger.Entries(now, maxReportedSuspects, func(*quarantine.Entry) bool { return true })
	m := &wire.Suspects{Suspects: wireSuspects(now, all)}
	for _, r := range b.ledger.ToldRefusals(now) {
		m.Suspects = append(m.Suspects, b.refusedSuspect(now, &r))
	}
	b.sendReport(m)
}

// suspectCache holds the suspects that the leader's heartbeats report, as of the time at.
type suspectCache struct {
	at       time.Time
	suspects []wire.Suspect
}

// heartbeatSuspects returns the suspects that the leader reports to every host: refusals, the end of refusals, and
// evidence that hosts may contradict. The list is built once for the heartbeats to many hosts.
func (b *Broker) heartbeatSuspects(now time.Time) []wire.Suspect {
	if !b.suspectCache.at.IsZero() && now.Sub(b.suspectCache.at) < heartbeatInterval/2 {
		return b.suspectCache.suspects
	}
	var out []wire.Suspect
	refused := map[quarantine.Key]int64{}
	for _, r := range b.ledger.Refusals(now) {
		refused[r.Key] = max(r.Until.Sub(now).Milliseconds(), 1)
		if _, isPart := r.Key.Part(); isPart {
			out = append(out, wire.Suspect{Key: r.Key[:], RefusedMillis: refused[r.Key]})
		}
	}
	for key, at := range b.suspects.released {
		if now.Sub(at) > releaseRetention {
			delete(b.suspects.released, key)
			continue
		}
		out = append(out, wire.Suspect{Key: key[:], Released: true})
	}
	for _, e := range b.ledger.Entries(now, maxHeartbeatSuspects, func(e *quarantine.Entry) bool {
		_, isPart := e.Key.Part()
		return (!isPart || refused[e.Key] == 0) && (len(e.Interrupted) >= minSuspectIncarnations || !e.ClearedAt.IsZero())
	}) {
		kept := maxHeartbeatAttempts // hosts of builds that decide by themselves need them
		if _, isPart := e.Key.Part(); isPart {
			kept = 1 // hosts only need to know since when a success speaks for the part
		}
		e.Interrupted = latestAttempts(e.Interrupted, kept)
		s := wireSuspect(now, &e)
		s.RefusedMillis = refused[e.Key]
		out = append(out, s)
	}
	b.suspectCache = suspectCache{at: now, suspects: out[:min(len(out), maxHeartbeatSuspects)]}
	return b.suspectCache.suspects
}

// latestAttempts returns the latest n attempts.
func latestAttempts(attempts []quarantine.InterruptedAttempt, n int) []quarantine.InterruptedAttempt {
	if len(attempts) <= n {
		return attempts
	}
	sorted := slices.SortedFunc(slices.Values(attempts), func(x, y quarantine.InterruptedAttempt) int { return y.At.Compare(x.At) })
	return sorted[:n]
}
