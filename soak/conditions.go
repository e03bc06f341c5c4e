package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// conditions judges the users' conditions by what callers were told and what
// upstreams saw.
func (f *findings) conditions() []Condition {
	return []Condition{
		f.each("right adapter and version, whole answer of the caller's own", f.wrongAnswer),
		f.servingAdapters(),
		f.organisationsOwn(),
		f.keysHidden(),
		f.each("a withdrawn key stops working within 5 s", f.withdrawnKey),
		f.rates(),
		f.each("no answer ends without a word", f.cutAnswer),
		f.notRun(),
		f.atMostOnce(),
		f.leavingUpstreams(),
		f.shutdowns(),
		f.configuration(),
		f.operators(),
		f.poisonRequests(),
	}
}

// each judges every outcome by itself.
func (f *findings) each(name string, judge func(o *outcome) string) Condition {
	c := Condition{Name: name}
	for _, o := range f.outcomes {
		c.Checked++
		if broken := judge(o); broken != "" {
			c.Violations = append(c.Violations, fmt.Sprintf("%s at %s: %s", o.marker, o.host, broken))
		}
	}
	return c
}

func (f *findings) wrongAnswer(o *outcome) string { return o.wrong }

func (f *findings) withdrawnKey(o *outcome) string {
	at, withdrawn := f.s.withdrawn[o.secret]
	if withdrawn && o.whole && o.sent.After(at.Add(keyBound)) {
		return fmt.Sprintf("served %s after the key was withdrawn", o.sent.Sub(at))
	}
	return ""
}

// cutAnswer looks for a connection that broke though its host was whole.
func (f *findings) cutAnswer(o *outcome) string {
	if o.broken == nil || f.s.wasDisturbed(o.host, o.sent, o.ended) {
		return ""
	}
	return "connection broken: " + o.broken.Error()
}

func (f *findings) servingAdapters() Condition {
	c := Condition{Name: "a serving adapter is not evicted", Checked: len(f.executions)}
	if n := f.servingUnloads(); n > 0 {
		c.Violations = append(c.Violations, fmt.Sprintf("%d orders to unload an adapter that was serving", n))
	}
	return c
}

// organisationsOwn checks that each execution was for the organisation of the
// caller and the adapter that it asked for.
func (f *findings) organisationsOwn() Condition {
	c := Condition{Name: "a request runs only for its own organisation"}
	for marker, executions := range f.byMarker {
		asked := f.byCaller[marker]
		for _, e := range executions {
			c.Checked++
			if len(asked) == 0 {
				c.Violations = append(c.Violations, "nobody sent "+marker)
				continue
			}
			if e.Model != "" && e.Model != asked[0].adapter+"@1" {
				c.Violations = append(c.Violations, fmt.Sprintf("%s asked %s, ran %s", marker, asked[0].adapter, e.Model))
			}
		}
	}
	return c
}

func (f *findings) keysHidden() Condition {
	c := Condition{Name: "no upstream and no log sees a caller's key", Checked: len(f.executions)}
	for _, e := range f.executions {
		for _, secret := range f.s.secrets {
			if strings.Contains(e.raw, secret) {
				c.Violations = append(c.Violations, "a key reached "+e.upstream)
			}
		}
	}
	broken, checked := f.secretsInLogs()
	c.Violations = append(c.Violations, broken...)
	c.Checked += checked
	return c
}

// rates checks each organisation over every window: what was both sent and
// answered inside a window was admitted inside it.
func (f *findings) rates() Condition {
	c := Condition{Name: "no organisation gets more than its rate and burst"}
	byOrg := map[string][]*outcome{}
	for _, o := range f.outcomes {
		if o.whole && o.usage > 0 {
			byOrg[o.org] = append(byOrg[o.org], o)
		}
	}
	for org, outcomes := range byOrg {
		c.Checked += len(outcomes)
		if excess, at := overRate(outcomes); excess > 0 {
			c.Violations = append(c.Violations, fmt.Sprintf("%s: %.0f tokens too many in the window ending %s", org, excess, at.Format(time.TimeOnly)))
		}
	}
	return c
}

// overRate returns the largest excess over all windows.
func overRate(outcomes []*outcome) (excess float64, at time.Time) {
	slices.SortFunc(outcomes, func(a, b *outcome) int { return a.ended.Compare(b.ended) })
	for _, first := range outcomes {
		sum := 0.0
		for _, o := range outcomes {
			if o.sent.Before(first.sent) {
				continue
			}
			sum += float64(o.usage)
			allowed := burstTokens + tokensPerSecond*o.ended.Sub(first.sent).Seconds()
			if sum-allowed > excess {
				excess, at = sum-allowed, o.ended
			}
		}
	}
	return excess, at
}

// notRun checks requests all of whose answers said that they were not run.
func (f *findings) notRun() Condition {
	c := Condition{Name: "a refusal that says not run is true"}
	for marker, told := range f.byCaller {
		said := slices.ContainsFunc(told, func(o *outcome) bool { return o.ran == "not_run" })
		other := slices.ContainsFunc(told, func(o *outcome) bool { return o.ran != "not_run" })
		if !said || other {
			continue
		}
		c.Checked++
		if n := len(f.byMarker[marker]); n > 0 {
			c.Violations = append(c.Violations, fmt.Sprintf("%s was told not run (%s) and ran %d times", marker, told[0].code, n))
		}
	}
	return c
}

func (f *findings) atMostOnce() Condition {
	c := Condition{Name: "a request that may not be repeated runs at most once"}
	for marker, told := range f.byCaller {
		if told[0].kind != keyedOrder && told[0].kind != plainOrder {
			continue
		}
		c.Checked++
		n := len(f.byMarker[marker])
		if n > 1 {
			c.Violations = append(c.Violations, fmt.Sprintf("%s ran %d times", marker, n))
		}
		whole := slices.ContainsFunc(told, func(o *outcome) bool { return o.whole })
		if whole && n == 0 {
			c.Violations = append(c.Violations, marker+" was answered and did not run")
		}
	}
	return c
}

func (f *findings) leavingUpstreams() Condition {
	c := Condition{Name: "a leaving upstream gets no new work after 5 s"}
	for _, left := range f.s.left {
		c.Checked++
		for _, e := range f.executions {
			if e.upstream == left.name && e.At.After(left.from) && e.At.Before(left.to) {
				c.Violations = append(c.Violations, fmt.Sprintf("%s got work %s after the bound", left.name, e.At.Sub(left.from)))
			}
		}
	}
	return c
}

// shutdowns checks that no request of a host that was told to leave was cut.
func (f *findings) shutdowns() Condition {
	c := Condition{Name: "a graceful shutdown cuts no request"}
	for _, d := range f.s.drains {
		c.Checked++
		if !d.ended {
			c.Violations = append(c.Violations, d.host+" did not end")
		}
		for _, o := range f.outcomes {
			if o.host == d.host && o.broken != nil && o.sent.Before(d.to) && o.ended.After(d.from) {
				c.Violations = append(c.Violations, fmt.Sprintf("%s at %s: %v", o.marker, d.host, o.broken))
			}
		}
	}
	return c
}

func (f *findings) configuration() Condition {
	c := Condition{Name: "a change is in force everywhere in 3 s and never reverts"}
	late, checked := f.s.watch.late()
	c.Checked = checked
	for _, l := range late {
		c.Violations = append(c.Violations, fmt.Sprintf("%s had revision %d and not %d", l.host, l.got, l.want))
	}
	for _, name := range f.s.watch.reverted() {
		c.Violations = append(c.Violations, name+" went back")
	}
	return c
}

func (f *findings) operators() Condition {
	c := Condition{Name: "of two operators in conflict one loses", Checked: f.s.conflicts}
	if f.s.bothWon > 0 {
		c.Violations = append(c.Violations, fmt.Sprintf("both won %d times", f.s.bothWon))
	}
	return c
}

func (f *findings) poisonRequests() Condition {
	c := Condition{Name: fmt.Sprintf("a poison request takes down at most %d upstreams", maxCrashes), Checked: len(f.s.crashes)}
	for _, n := range f.s.crashes {
		if n > maxCrashes {
			c.Violations = append(c.Violations, fmt.Sprintf("%d upstreams crashed", n))
		}
	}
	return c
}
