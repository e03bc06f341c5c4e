package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// conditions checks the users' conditions against the answers that callers received and
// the calls that upstreams executed.
func (f *findings) conditions() []Condition {
	return []Condition{
		f.eachOutcome("right adapter and version, whole answer of the caller's own", f.wrongAnswer),
		f.servingAdapters(),
		f.ownOrganisation(),
		f.keysNotLeaked(),
		f.eachOutcome("a withdrawn key stops working within 5 s", f.servedWithdrawnKey),
		f.rateLimits(),
		f.eachOutcome("no answer ends without a word", f.brokenConnection),
		f.notRunRefusals(),
		f.atMostOnce(),
		f.leavingUpstreams(),
		f.gracefulShutdowns(),
		f.configPropagation(),
		f.operatorConflicts(),
		f.poisonRequests(),
	}
}

// eachOutcome checks every outcome on its own. check returns a description of the
// violation, or an empty string.
func (f *findings) eachOutcome(name string, check func(o *outcome) string) Condition {
	c := Condition{Name: name}
	for _, o := range f.outcomes {
		c.Checked++
		if violation := check(o); violation != "" {
			c.Violations = append(c.Violations, fmt.Sprintf("%s at %s: %s", o.marker, o.host, violation))
		}
	}
	return c
}

func (f *findings) wrongAnswer(o *outcome) string { return o.mismatch }

func (f *findings) servedWithdrawnKey(o *outcome) string {
	at, withdrawn := f.soak.withdrawnAt[o.secret]
	if withdrawn && o.complete && o.sentAt.After(at.Add(keyDeadline)) {
		return fmt.Sprintf("request sent %s after the key was withdrawn was served", o.sentAt.Sub(at))
	}
	return ""
}

// brokenConnection reports a connection that broke although its host was not disrupted.
func (f *findings) brokenConnection(o *outcome) string {
	if o.connErr == nil || f.soak.wasDisrupted(o.host, o.sentAt, o.endedAt) {
		return ""
	}
	return "connection broken: " + o.connErr.Error()
}

func (f *findings) servingAdapters() Condition {
	c := Condition{Name: "a serving adapter is not evicted", Checked: len(f.executions)}
	if n := f.servingUnloads(); n > 0 {
		c.Violations = append(c.Violations, fmt.Sprintf("engines got %d orders to unload an adapter that was serving", n))
	}
	return c
}

// ownOrganisation checks that each execution belongs to a request of some caller and ran
// the adapter of that request, which belongs to the caller's organisation.
func (f *findings) ownOrganisation() Condition {
	c := Condition{Name: "a request runs only for its own organisation"}
	for marker, executions := range f.executionsByMarker {
		outcomes := f.outcomesByMarker[marker]
		for _, e := range executions {
			c.Checked++
			if len(outcomes) == 0 {
				c.Violations = append(c.Violations, "an upstream executed a request that no caller sent: "+marker)
				continue
			}
			if e.Model != "" && e.Model != outcomes[0].adapter+"@1" {
				c.Violations = append(c.Violations, fmt.Sprintf("%s requested adapter %s, but version %s ran",
					marker, outcomes[0].adapter, e.Model))
			}
		}
	}
	return c
}

func (f *findings) keysNotLeaked() Condition {
	c := Condition{Name: "no upstream and no log sees a caller's key", Checked: len(f.executions)}
	for _, e := range f.executions {
		for _, secret := range f.soak.issuedSecrets {
			if strings.Contains(e.raw, secret) {
				c.Violations = append(c.Violations, "a caller's key was sent to upstream "+e.upstream)
			}
		}
	}
	violations, checked := f.secretsInLogs()
	c.Violations = append(c.Violations, violations...)
	c.Checked += checked
	return c
}

// rateLimits checks each organisation over every window. Requests that were both sent and
// answered within a window were admitted within it, so their tokens count towards it.
func (f *findings) rateLimits() Condition {
	c := Condition{Name: "no organisation gets more than its rate and burst"}
	byOrg := map[string][]*outcome{}
	for _, o := range f.outcomes {
		if o.complete && o.usedTokens > 0 {
			byOrg[o.org] = append(byOrg[o.org], o)
		}
	}
	for org, outcomes := range byOrg {
		c.Checked += len(outcomes)
		if excess, at := largestExcess(outcomes); excess > 0 {
			c.Violations = append(c.Violations, fmt.Sprintf("organisation %s: %.0f tokens above rate and burst in the window that ends at %s",
				org, excess, at.Format(time.TimeOnly)))
		}
	}
	return c
}

// largestExcess returns the largest number of tokens above the organisation's rate and burst
// over all windows, and when that window ended. It sorts outcomes by their end.
func largestExcess(outcomes []*outcome) (excess float64, at time.Time) {
	slices.SortFunc(outcomes, func(a, b *outcome) int { return a.endedAt.Compare(b.endedAt) })
	for _, first := range outcomes {
		sum := 0.0
		for _, o := range outcomes {
			if o.sentAt.Before(first.sentAt) {
				continue
			}
			sum += float64(o.usedTokens)
			allowed := burstTokens + tokensPerSecond*o.endedAt.Sub(first.sentAt).Seconds()
			if sum-allowed > excess {
				excess, at = sum-allowed, o.endedAt
			}
		}
	}
	return excess, at
}

// notRunRefusals checks that a request did not run if each of its answers said that it was
// not run.
func (f *findings) notRunRefusals() Condition {
	c := Condition{Name: "a refusal that says not run is true"}
	for marker, outcomes := range f.outcomesByMarker {
		saidNotRun := slices.ContainsFunc(outcomes, func(o *outcome) bool { return o.ran == "not_run" })
		saidOther := slices.ContainsFunc(outcomes, func(o *outcome) bool { return o.ran != "not_run" })
		if !saidNotRun || saidOther {
			continue
		}
		c.Checked++
		if n := len(f.executionsByMarker[marker]); n > 0 {
			c.Violations = append(c.Violations, fmt.Sprintf("%s was refused as not run (%s) but ran %d times", marker, outcomes[0].code, n))
		}
	}
	return c
}

func (f *findings) atMostOnce() Condition {
	c := Condition{Name: "a request that may not be repeated runs at most once"}
	for marker, outcomes := range f.outcomesByMarker {
		if outcomes[0].kind != keyedOrder && outcomes[0].kind != plainOrder {
			continue
		}
		c.Checked++
		n := len(f.executionsByMarker[marker])
		if n > 1 {
			c.Violations = append(c.Violations, fmt.Sprintf("request %s may run at most once but ran %d times", marker, n))
		}
		answered := slices.ContainsFunc(outcomes, func(o *outcome) bool { return o.complete })
		if answered && n == 0 {
			c.Violations = append(c.Violations, marker+" was answered with success but no upstream executed it")
		}
	}
	return c
}

func (f *findings) leavingUpstreams() Condition {
	c := Condition{Name: "a leaving upstream gets no new work after 5 s"}
	for _, period := range f.soak.leavingPeriods {
		c.Checked++
		for _, e := range f.executions {
			if e.upstream == period.upstream && e.At.After(period.from) && e.At.Before(period.to) {
				c.Violations = append(c.Violations, fmt.Sprintf("leaving upstream %s got a request %s after the deadline",
					period.upstream, e.At.Sub(period.from)))
			}
		}
	}
	return c
}

// gracefulShutdowns checks that each drained host exited in time, and that no request to it
// was interrupted in between.
func (f *findings) gracefulShutdowns() Condition {
	c := Condition{Name: "a graceful shutdown cuts no request"}
	for _, d := range f.soak.drains {
		c.Checked++
		if !d.exited {
			c.Violations = append(c.Violations, d.host+" did not exit within the drain timeout and was killed")
		}
		for _, o := range f.outcomes {
			if o.host == d.host && o.connErr != nil && o.sentAt.Before(d.to) && o.endedAt.After(d.from) {
				c.Violations = append(c.Violations, fmt.Sprintf("%s at %s: %v", o.marker, d.host, o.connErr))
			}
		}
	}
	return c
}

func (f *findings) configPropagation() Condition {
	c := Condition{Name: "a change is in force everywhere in 3 s and never reverts"}
	lateChanges, checked := f.soak.watcher.lateChanges()
	c.Checked = checked
	for _, l := range lateChanges {
		c.Violations = append(c.Violations, fmt.Sprintf("host %s had revision %d at the deadline for revision %d", l.host, l.got, l.want))
	}
	for _, name := range f.soak.watcher.reverted() {
		c.Violations = append(c.Violations, name+" went back to an earlier revision")
	}
	return c
}

func (f *findings) operatorConflicts() Condition {
	c := Condition{Name: "of two operators in conflict one loses", Checked: f.soak.conflictCount}
	if f.soak.bothAcceptedCount > 0 {
		c.Violations = append(c.Violations, fmt.Sprintf("both operators' changes were accepted in %d conflicts", f.soak.bothAcceptedCount))
	}
	return c
}

func (f *findings) poisonRequests() Condition {
	c := Condition{
		Name:    fmt.Sprintf("a poison request takes down at most %d upstreams", maxCrashes),
		Checked: len(f.soak.crashedEngines),
	}
	for _, n := range f.soak.crashedEngines {
		if n > maxCrashes {
			c.Violations = append(c.Violations, fmt.Sprintf("one poison request crashed %d upstreams", n))
		}
	}
	return c
}
