package leader

import (
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/assign"
	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/wire"
)

const rateLimited = apierr.RateLimited

// exhaustedRetryAfter is the Retry-After time for a caller whose organisation has exhausted its rate according to
// the leader. The leader reports exhausted rates again within that time.
const exhaustedRetryAfter = time.Second

// requestMessage encodes a request for the leader.
func requestMessage(now time.Time, r *assign.Request) *wire.AssignRequest {
	m := &wire.AssignRequest{
		Number: r.ID.Number, Service: r.Service, Route: r.Route, Organisation: r.Organisation,
		Model: r.Adapter.Model, Adapter: r.Adapter.Adapter, PromptTokens: r.PromptTokens,
		OutputTokens: r.OutputTokens, ExpectedOutput: r.ExpectedOutput,
		Cost: r.Cost, Priority: r.Priority, RoutePriority: r.RoutePriority, Zone: r.Zone,
		AgeMillis: now.Sub(r.Arrived).Milliseconds(), TargetMillis: r.Target.Sub(now).Milliseconds(),
		DeadlineMillis: r.Deadline.Sub(now).Milliseconds(), Avoid: r.Avoid, Charged: r.Charged, Fingerprint: r.Fingerprint[:],
		Admitted: r.Admitted,
	}
	if !r.FirstEventDeadline.IsZero() {
		m.FirstEventMillis = r.FirstEventDeadline.Sub(now).Milliseconds()
	}
	if r.Resource != (assign.Fingerprint{}) {
		m.Resource = r.Resource[:]
	}
	for _, p := range r.PrefixBlocks {
		m.PrefixBlocks = append(m.PrefixBlocks, wire.PrefixBlock{ID: p.ID, Tokens: p.Tokens})
	}
	return m
}

// decodeRequest decodes the request in another host's message.
func decodeRequest(now time.Time, host string, m *wire.AssignRequest) assign.Request {
	r := assign.Request{
		ID:      assign.RequestID{Host: host, Number: m.Number},
		Service: m.Service, Route: m.Route, Organisation: m.Organisation, Adapter: catalog.AdapterRef{Model: m.Model, Adapter: m.Adapter},
		PromptTokens: m.PromptTokens, OutputTokens: m.OutputTokens,
		ExpectedOutput: m.ExpectedOutput, Cost: m.Cost, Priority: m.Priority, RoutePriority: m.RoutePriority,
		Zone: m.Zone, Avoid: m.Avoid, Charged: m.Charged, Admitted: m.Admitted,
		Arrived: now.Add(-milliseconds(m.AgeMillis)), Target: now.Add(milliseconds(m.TargetMillis)),
		Deadline: now.Add(milliseconds(m.DeadlineMillis)),
	}
	if m.FirstEventMillis != 0 {
		r.FirstEventDeadline = now.Add(milliseconds(m.FirstEventMillis))
	}
	copy(r.Fingerprint[:], m.Fingerprint)
	copy(r.Resource[:], m.Resource)
	for _, p := range m.PrefixBlocks {
		r.PrefixBlocks = append(r.PrefixBlocks, assign.PrefixBlock{ID: p.ID, Tokens: p.Tokens})
	}
	return r
}

// endedMessage encodes the end of an attempt for the leader.
func endedMessage(ev *assign.AttemptEnded) *wire.AttemptEnded {
	m := &wire.AttemptEnded{
		Number: ev.ID.Number, Outcome: uint8(ev.Outcome), EventGaps: uint8(ev.EventGaps), BackOffMillis: ev.Feedback.BackOff.Milliseconds(),
	}
	if load := ev.Feedback.Load; load != nil {
		m.HasLoad, m.Running, m.Waiting, m.PacePercent = true, load.Running, load.Waiting, pacePercent(load.Pace)
	}
	m.OutputTokens = ev.Feedback.OutputTokens
	return m
}

// endedEvent decodes the end of an attempt of another host.
func endedEvent(host string, m *wire.AttemptEnded) assign.AttemptEnded {
	ended := assign.AttemptEnded{
		ID: assign.RequestID{Host: host, Number: m.Number}, Outcome: assign.Outcome(m.Outcome),
		Feedback: assign.UpstreamFeedback{BackOff: milliseconds(m.BackOffMillis)}, EventGaps: assign.EventGaps(m.EventGaps),
	}
	if m.HasLoad {
		ended.Feedback.Load = &assign.Load{Running: m.Running, Waiting: m.Waiting, Pace: decodePace(m.PacePercent)}
	}
	ended.Feedback.OutputTokens = max(m.OutputTokens, 0)
	return ended
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// decisionMessage encodes a decision for the host that submitted the request.
func decisionMessage(d assign.Decision) (assign.RequestID, wire.Message) {
	switch d := d.(type) {
	case assign.Grant:
		return d.ID, &wire.Grant{
			Number: d.ID.Number, Upstream: d.Upstream, StartedAt: d.StartedAt, Version: d.Version, Rule: d.Rule,
			ExpectedMillis: d.Expected.Milliseconds(), HeldMillis: d.Held.Milliseconds(), RateLimit: wireRateState(d.RateLimit),
			Ranked: d.Ranked, TurnMillis: d.Turn.Milliseconds(),
		}
	case assign.Refuse:
		return d.ID, &wire.Refuse{Number: d.ID.Number, Kind: uint8(d.Kind), RetryAfterMillis: d.RetryAfter.Milliseconds(), Rule: d.Rule, Detail: d.Detail, RateLimit: wireRateState(d.RateLimit)}
	}
	return assign.RequestID{}, nil
}
