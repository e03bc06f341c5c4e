package leader

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/quarantine"
	"github.com/jasminelock/jasminelock/watch"
	"github.com/jasminelock/jasminelock/wire"
)

// A request that crashes the upstreams it runs on, or requests with a part of a prompt that does, can arrive at any
// host, and can keep arriving for longer than any host runs. Each host records the upstream incarnations on which its
// own attempts were interrupted, under the request and under each part that other requests may share, and reports
// them to the leader, which decides for the fleet. Hosts without a leader decide by what they know.

// CrashesUpstreams and PartCrashesUpstreams are the rules that refusals are reported under: of a request that crashes
// upstreams, and of a request with a part of a prompt that does.
const (
	CrashesUpstreams     = "crashes_upstreams"
	PartCrashesUpstreams = "part_crashes_upstreams"
)

const (
	// settleTime is how long a refused connection waits to be taken as the end of its upstream. Meanwhile, the hosts
	// whose attempts it interrupted report them.
	settleTime = 200 * time.Millisecond
	// unframedSettleTime is how long an answer whose end was marked by the end of its connection waits to be taken as
	// complete. The end of its upstream is seen within that time.
	unframedSettleTime = 4 * time.Second
	// maxCountedParts limits the parts of a prompt that attempts are counted under, half of them from its begin and
	// half from its end. maxPartName limits the ID of a part in messages and logs, in bytes.
	maxCountedParts = 64
	maxPartName     = 40
	// trialInterval is the time between two requests with parts that are on trial.
	trialInterval = 30 * time.Second
)

// recordAttempt records the end of an attempt of this host in the ledger of crashing requests.
func (b *Broker) recordAttempt(now time.Time, t *Ticket, ev *assign.AttemptEnded) {
	if t.upstream == "" {
		return
	}
	if ev.NoListener {
		b.upstreamRefuses(t.upstream, t.upstreamStartedAt)
	}
	attempt := quarantine.Attempt{
		Incarnation: quarantine.IncarnationOf(t.upstream, t.upstreamStartedAt),
		Request:     binary.LittleEndian.Uint64(t.request.Fingerprint[:]),
	}
	if !t.grantedAt.IsZero() {
		attempt.Ran = now.Sub(t.grantedAt)
	}
	b.suspects.nameUpstream(attempt.Incarnation, t.upstream)
	switch {
	case ev.Succeeded && ev.Unframed:
		b.recordUnframed(now, &t.request, attempt)
	case ev.Succeeded:
		b.recordSuccess(now, &t.request)
	case ev.Outcome == assign.Lost:
		for _, s := range subjects(&t.request) {
			if b.ledger.RecordInterruption(now, s, attempt) {
				b.reportSuspect(now, s.Key)
			}
		}
	case ev.Outcome == assign.TimedOut || ev.Outcome == assign.CallerLeft:
		b.recordAbandoned(now, &t.request, attempt)
	}
	b.updateRefusals(now)
}

// recordSuccess records a complete answer to a request, which speaks for the request and for each of its parts.
func (b *Broker) recordSuccess(now time.Time, r *assign.Request) {
	for _, key := range requestKeys(r) {
		if b.ledger.RecordSuccess(now, key) {
			b.reportSuspect(now, key)
		}
	}
	for _, block := range countedParts(r.PrefixBlocks) {
		for _, key := range b.ledger.RecordPartSuccess(now, quarantine.PartOf(block.ID)) {
			b.reportSuspect(now, key)
		}
	}
}

// recordUnframed records an answer that may have been cut off by the end of its upstream. It counts as a success once
// unframedSettleTime has passed without that end.
func (b *Broker) recordUnframed(now time.Time, r *assign.Request, attempt quarantine.Attempt) {
	b.recordAbandoned(now, r, attempt)
	request := *r
	time.AfterFunc(unframedSettleTime, func() {
		b.update(func(time.Time) {
			if !b.ledger.Ended(attempt.Incarnation) {
				b.recordSuccess(now, &request)
			}
		})
	})
}

func (b *Broker) recordAbandoned(now time.Time, r *assign.Request, attempt quarantine.Attempt) {
	for _, s := range subjects(r) {
		if b.ledger.RecordAbandonment(now, s, attempt) {
			b.reportSuspect(now, s.Key)
		}
	}
}

// requestKeys returns the keys under which the attempts at a request are counted: the request's own, and that of
// all requests of its organisation with the same path and body. Any success clears a key.
func requestKeys(r *assign.Request) []quarantine.Key {
	var keys []quarantine.Key
	for _, f := range []assign.Fingerprint{r.Fingerprint, r.Resource} {
		if f != (assign.Fingerprint{}) {
			keys = append(keys, quarantine.Key(f))
		}
	}
	return keys
}

// subjects returns all that the attempts at a request are counted under: its keys, and the parts of its prompt.
func subjects(r *assign.Request) []quarantine.Subject {
	var out []quarantine.Subject
	for _, key := range requestKeys(r) {
		out = append(out, quarantine.Subject{Key: key})
	}
	for depth, block := range countedParts(r.PrefixBlocks) {
		out = append(out, quarantine.Subject{
			Key: quarantine.PartOf(block.ID).Key(r.Organisation), Name: block.ID[:min(len(block.ID), maxPartName)], Depth: depth,
		})
	}
	return out
}

// countedParts returns the parts of a prompt that other requests may share, which are all but the last one.
func countedParts(blocks []assign.PrefixBlock) []assign.PrefixBlock {
	if len(blocks) == 0 {
		return nil
	}
	shared := blocks[:len(blocks)-1]
	if len(shared) <= maxCountedParts {
		return shared
	}
	const half = maxCountedParts / 2
	return append(shared[:half:half], shared[len(shared)-half:]...)
}

// UpstreamRefuses records that an upstream has refused a connection of this host.
func (b *Broker) UpstreamRefuses(id string, startedAt int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.upstreamRefuses(id, startedAt)
}

func (b *Broker) upstreamRefuses(id string, startedAt int64) {
	time.AfterFunc(settleTime, func() {
		b.update(func(now time.Time) {
			b.recordUpstreamEnd(now, id, startedAt)
			delete(b.suspects.delisted, quarantine.IncarnationOf(id, startedAt))
			b.updateRefusals(now)
		})
	})
}

// recordUpstreamEnd records that an upstream's incarnation is known to have ended, and reports the suspects that ran
// there.
func (b *Broker) recordUpstreamEnd(now time.Time, id string, startedAt int64) {
	incarnation := quarantine.IncarnationOf(id, startedAt)
	b.suspects.nameUpstream(incarnation, id)
	suspects := b.ledger.RecordUpstreamEnd(now, incarnation)
	if len(suspects) > 0 {
		b.log.Info("upstream ended while it ran requests", "upstream", id, "born", startedAt, "suspects", len(suspects))
	}
	for _, key := range suspects {
		b.reportSuspect(now, key)
	}
}

// recordUpstreamEnds records the end of upstreams that have left the list since the previous view, and the return of
// those that had only been cut off. An upstream that was draining or had announced that it is leaving has not crashed.
func (b *Broker) recordUpstreamEnds(now time.Time, before *watch.View) {
	for id, u := range before.Upstreams {
		listed, ok := b.view.Upstreams[id]
		_, leaving := b.feedback.leaving[upstreamIncarnation{id, u.StartedAt}]
		if ok && listed.StartedAt == u.StartedAt || u.Draining || leaving {
			continue
		}
		incarnation := quarantine.IncarnationOf(id, u.StartedAt)
		if !ok && !b.ledger.Ended(incarnation) {
			b.suspects.recordDelisted(now, incarnation)
		}
		b.recordUpstreamEnd(now, id, u.StartedAt)
	}
	for id, u := range b.view.Upstreams {
		listed, ok := before.Upstreams[id]
		if ok && listed.StartedAt == u.StartedAt {
			continue
		}
		incarnation := quarantine.IncarnationOf(id, u.StartedAt)
		if _, wasDelisted := b.suspects.delisted[incarnation]; wasDelisted {
			delete(b.suspects.delisted, incarnation)
			relieved := b.ledger.RecordUpstreamReturn(now, incarnation)
			b.log.Info("upstream is back; it had not ended", "upstream", id, "born", u.StartedAt, "suspects", len(relieved))
		}
	}
	b.updateRefusals(now)
}

// Refused reports whether a request is refused because it, or a part of its prompt, crashes upstreams.
func (b *Broker) Refused(r *assign.Request) (assign.Refuse, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusal(time.Now(), r)
}

// refusal returns the refusal of a request that crashes upstreams, and false if it is not refused.
func (b *Broker) refusal(now time.Time, r *assign.Request) (assign.Refuse, bool) {
	if b.ledger.Empty(now) {
		return assign.Refuse{}, false
	}
	refused := b.ledger.Refused
	if !b.decidesSuspects() {
		refused = b.ledger.ToldRefused
	}
	for _, key := range requestKeys(r) {
		if left, ok := refused(now, key); ok {
			return assign.Refuse{
				ID: r.ID, Kind: apierr.NoUpstream, RetryAfter: left, Rule: CrashesUpstreams,
				Detail: "request " + assign.Fingerprint(key).String() + b.suspects.evidence(key),
			}, true
		}
	}
	for _, block := range countedParts(r.PrefixBlocks) {
		part := quarantine.PartOf(block.ID)
		for _, key := range []quarantine.Key{part.Key(r.Organisation), part.AnyOrganisation()} {
			if left, ok := refused(now, key); ok {
				return b.refusePart(r, block.ID, key, left), true
			}
		}
	}
	return assign.Refuse{}, false
}

func (b *Broker) refusePart(r *assign.Request, part string, key quarantine.Key, retryAfter time.Duration) assign.Refuse {
	return assign.Refuse{
		ID: r.ID, Kind: apierr.NoUpstream, RetryAfter: retryAfter, Rule: PartCrashesUpstreams,
		Detail: "part " + part[:min(len(part), maxPartName)] + b.suspects.evidence(key),
	}
}

// refuseOrTry is refusal for a request that is about to be assigned. A request with a part that is on trial is refused
// as well unless it is the one that may run, which only a leader decides: without one, each host would try its own.
func (b *Broker) refuseOrTry(now time.Time, r *assign.Request) (assign.Refuse, bool) {
	d, refused := b.refusal(now, r)
	if refused || b.ledger.Empty(now) || !b.decidesSuspects() {
		return d, refused
	}
	var onTrial []quarantine.Key
	for _, block := range countedParts(r.PrefixBlocks) {
		part := quarantine.PartOf(block.ID)
		for _, key := range []quarantine.Key{part.Key(r.Organisation), part.AnyOrganisation()} {
			if !b.ledger.OnTrial(now, key) {
				continue
			}
			if wait := b.suspects.trials[key].Sub(now); wait > 0 || b.leading == nil {
				return b.refusePart(r, block.ID, key, max(wait, time.Second)), true
			}
			onTrial = append(onTrial, key)
		}
	}
	for _, key := range onTrial {
		b.suspects.beginTrial(now, key)
		b.log.Info("request with a part that has crashed upstreams is tried again", "part", describe(key), "next_trial_s", trialInterval.Seconds())
	}
	return assign.Refuse{}, false
}

// Refusals returns the suspects that this host refuses.
func (b *Broker) Refusals() []quarantine.Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusals(time.Now())
}

func (b *Broker) refusals(now time.Time) []quarantine.Refusal {
	if b.decidesSuspects() {
		return b.ledger.Refusals(now)
	}
	return b.ledger.ToldRefusals(now)
}

// RefusalInfo describes a refusal to operators.
type RefusalInfo struct {
	// Key identifies the suspect, in hexadecimal.
	Key  string `json:"key"`
	Rule string `json:"rule"`
	// Part is the ID of the part, "" for a request or if it is not known here.
	Part string `json:"part,omitempty"`
	// Upstreams names some of the upstreams that ended.
	Upstreams []string `json:"upstreams,omitempty"`
	// RemainingSeconds is how much longer the refusal lasts.
	RemainingSeconds float64 `json:"remaining_s"`
}

// RefusalInfos describes the suspects that this host refuses, those that end last first.
func (b *Broker) RefusalInfos() []RefusalInfo {
	refusals := b.Refusals()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	out := []RefusalInfo{}
	for _, r := range refusals {
		info := RefusalInfo{
			Key: hex.EncodeToString(r.Key[:]), Rule: CrashesUpstreams, Upstreams: b.suspects.upstreams[r.Key],
			RemainingSeconds: max(r.Until.Sub(now), 0).Seconds(),
		}
		if _, isPart := r.Key.Part(); isPart {
			e, _ := b.ledger.Entry(now, r.Key)
			info.Rule, info.Part = PartCrashesUpstreams, e.Name
		}
		out = append(out, info)
	}
	return out
}

// LiftRefusal withdraws all evidence against a request or a part, on every host.
func (b *Broker) LiftRefusal(key quarantine.Key) {
	b.update(func(now time.Time) {
		b.log.Warn("refusal lifted by an operator", "suspect", describe(key))
		b.ledger.Lift(now, key)
		b.sendReport(&wire.Suspects{Suspects: []wire.Suspect{{Key: key[:], Cleared: true, Released: true}}})
		b.updateRefusals(now)
	})
}
