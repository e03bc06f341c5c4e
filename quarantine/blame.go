package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Blame explains the upstreams that ended by as few suspects as possible: the suspect that explains most of them is
// blamed first, and what it explains no longer counts against any other suspect that ran there. A suspect that has
// succeeded since is not blamed. The decision depends on the entries alone, so that further evidence can withdraw it.
const (
	// FreshTime is the time after the assignment of an upstream within which an attempt that crashes it usually does
	// so. An attempt that has run for longer is more likely to be a bystander.
	FreshTime = 2 * time.Second
	// partCrashes is the number of crashes for which a part is blamed if it explains at least half of the upstreams
	// that ended meanwhile and has not succeeded shortly before. They come from as many different requests.
	partCrashes = 3
	// maxPartCrashes is the number of crashes for which a part is blamed in any case, unless it has succeeded since.
	maxPartCrashes = 5
	// unconfirmedPartCrashes is the number of interrupted attempts for which a part is blamed although too few of their
	// upstreams were seen to end.
	unconfirmedPartCrashes = 6
	// overlappingPartCrashes is the number of crashes for which a part that is not proven is blamed although others
	// explain them. They come from as many requests and from fresh attempts only. If another part explains
	// them all, a request with the one alone tells them apart.
	overlappingPartCrashes = 5
	// overlappingRequestCrashes is the same for a request, by its fresh attempts.
	overlappingRequestCrashes = 5
	// sameCauseWindow is the time within which the ends of several upstreams count as one crash for a part, unless the
	// same request ran on them: upstreams that fail together end at the same time.
	sameCauseWindow = 250 * time.Millisecond
	// ExonerationDelay is how long after the last of its crashes a part is refused. Until then, hosts that have seen
	// it succeed since can report that.
	ExonerationDelay = 600 * time.Millisecond
	// recentSuccess is how long a success makes a part a proven one. It needs maxPartCrashes to be blamed, on upstreams
	// that no other suspect may have crashed: all that use it would be refused.
	recentSuccess = 10 * time.Minute
	// PartRefusalPeriod is how long a part is refused after its last crash, provenRefusalPeriod that for a proven one.
	// The period doubles, up to maxPartRefusalPeriod, with each crash after the end of a refusal.
	PartRefusalPeriod    = 10 * time.Minute
	provenRefusalPeriod  = 20 * time.Second
	maxPartRefusalPeriod = 4 * time.Hour
	// TrialPeriod is how long after a refusal a part is on trial: its requests run one at a time, and one crash makes
	// it refused again.
	TrialPeriod = time.Hour
	// partSuspicionPeriod is how long a suspicion of a part lasts if no further crash occurs.
	partSuspicionPeriod = 30 * time.Minute
	// maxCandidates limits the suspects that are weighed, maxVerdicts those that are blamed at the same time, maxTold
	// the decisions of other hosts that are remembered.
	maxCandidates = 256
	maxVerdicts   = 32
	maxTold       = 256
	// judgeInterval is the minimum time between two passes over more than manyEntries entries: hundreds of upstreams
	// that end at once bring thousands of reports.
	judgeInterval = 200 * time.Millisecond
	manyEntries   = 256
)

// decision is the conclusion that a suspect is to blame.
type decision struct {
	// from and until limit the refusal.
	from, until time.Time
	// ended are the upstream incarnations that the suspect explains.
	ended []Incarnation
}

// The kinds of suspects, the most specific first.
const (
	kindRequest = iota
	kindPart
	kindPartOfAll
)

// candidate is a suspect that may be blamed.
type candidate struct {
	key  Key
	kind int
	// depth is that of a part: a deeper one is shared by fewer requests.
	depth     int
	clearedAt time.Time
	attempts  []InterruptedAttempt
	// byOrganisation holds the attempts with a part for each organisation, for kindPartOfAll.
	byOrganisation [][]InterruptedAttempt
	// endedOn and freshOn hold the incarnations that ended under an attempt, and under a fresh one. requests is the
	// number of different requests.
	endedOn, freshOn map[Incarnation]bool
	requests         int
	// outdated is set if the fields that weigh sets may have changed.
	outdated bool
	// proven is set for a part that has succeeded not long before its first crash.
	proven bool
	blamed bool

	// The fields below are set by weigh. ended are the attempts whose upstream ended and is not explained yet.
	ended []InterruptedAttempt
	// suffices is set if these are enough to blame the candidate, decidedAt is the time of the crash since when.
	suffices  bool
	decidedAt time.Time
	// weight counts the upstreams that ended and are not explained, twice if a fresh attempt ran there.
	weight int
	ran    time.Duration
}

// judge brings the verdicts up to date, unless there are many entries and it has done so just now.
func (l *Ledger) judge(now time.Time) {
	if !l.stale || len(l.entries) > manyEntries && now.Sub(l.judgedAt).Abs() < judgeInterval {
		return
	}
	l.stale, l.judgedAt = false, now
	clear(l.verdicts)
	ended := l.endedAttempts()
	j := judgement{endedAt: ended, explained: maps.Clone(l.pardoned), candidates: l.candidates(ended)}
	j.index()
	j.findSuspected()
	for len(l.verdicts) < maxVerdicts {
		c := j.best()
		if c == nil {
			break
		}
		l.verdicts[c.key] = j.blame(c)
	}
	l.explained = j.explained
}

// best returns the candidate that explains most and suffices for a verdict, nil if there is none. A candidate waits if
// one that ranks higher, but does not suffice yet, may explain the same ends.
func (j *judgement) best() *candidate {
	var ranked []*candidate
	insufficient := map[*candidate]bool{}
	for _, c := range j.candidates {
		if !c.blamed {
			if c.outdated {
				j.weigh(c)
			}
			ranked = append(ranked, c)
		}
	}
	slices.SortFunc(ranked, compareCandidates)
	for _, c := range ranked {
		switch {
		case !c.suffices:
			insufficient[c] = true
		case len(c.ended) == 0 || !slices.ContainsFunc(j.byIncarnation[c.ended[0].Incarnation], func(other *candidate) bool {
			return insufficient[other] && covers(other.endedOn, c.ended)
		}):
			return c
		}
	}
	return nil
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// covers reports whether the incarnations include all that the attempts ran on.
func covers(incarnations map[Incarnation]bool, attempts []InterruptedAttempt) bool {
	return !slices.ContainsFunc(attempts, func(a InterruptedAttempt) bool { return !incarnations[a.Incarnation] })
}

// compareCandidates orders candidates by what they explain, then by how soon their attempts ended, then by how few
// requests a refusal would affect.
func compareCandidates(x, y *candidate) int {
	return cmp.Or(compareBool(x.proven, y.proven), cmp.Compare(y.weight, x.weight), cmp.Compare(x.ran, y.ran), cmp.Compare(x.kind, y.kind),
		cmp.Compare(y.depth, x.depth), slices.Compare(x.key[:], y.key[:]))
}

// endedAttempts returns the incarnations that any entry says have ended, with the time of an attempt there. Reports of
// one host know of the end before those of another.
func (l *Ledger) endedAttempts() map[Incarnation]time.Time {
	out := map[Incarnation]time.Time{}
	for _, e := range l.entries {
		for _, a := range e.Interrupted {
			if a.UpstreamEnded {
				out[a.Incarnation] = a.At
			}
		}
	}
	return out
}

// candidates returns the suspects with enough interrupted attempts to be blamed.
func (l *Ledger) candidates(ended map[Incarnation]time.Time) []*candidate {
	var out []*candidate
	add := func(c *candidate, attempts []InterruptedAttempt, period time.Duration) {
		if c.attempts = latest(attempts, period); len(c.attempts) == 0 {
			return
		}
		for i := range c.attempts {
			_, c.attempts[i].UpstreamEnded = ended[c.attempts[i].Incarnation]
		}
		c.proven = c.kind != kindRequest && !c.clearedAt.IsZero() && c.attempts[0].At.Sub(c.clearedAt) <= recentSuccess
		out = append(out, c)
	}
	for k, e := range l.entries {
		part, isPart := k.Part()
		switch {
		case len(e.Interrupted) >= SoleSuspectCrashes && isPart:
			add(&candidate{key: k, kind: kindPart, depth: e.Depth, clearedAt: l.clearedAt(e, part)}, e.Interrupted, partEvidencePeriod)
		case len(e.Interrupted) >= SoleSuspectCrashes:
			add(&candidate{key: k, kind: kindRequest}, e.Interrupted, RefusalPeriod)
		}
		if isPart && l.byPart[part][0] == k && len(l.byPart[part]) > 1 {
			c, attempts := l.partOfAll(part)
			add(c, attempts, partEvidencePeriod)
		}
	}
	slices.SortFunc(out, func(x, y *candidate) int {
		return cmp.Or(cmp.Compare(len(y.attempts), len(x.attempts)), slices.Compare(x.key[:], y.key[:]))
	})
	return out[:min(len(out), maxCandidates)]
}

// clearedAt returns the time of the last success that is known of a part.
func (l *Ledger) clearedAt(e *Entry, part Part) time.Time {
	if at := l.successes.get(part); at.After(e.ClearedAt) {
		return at
	}
	return e.ClearedAt
}

// partOfAll returns the candidate that stands for a part in the requests of all organisations, and their attempts.
func (l *Ledger) partOfAll(part Part) (*candidate, []InterruptedAttempt) {
	c := &candidate{key: part.AnyOrganisation(), kind: kindPartOfAll}
	byIncarnation := map[Incarnation]*InterruptedAttempt{}
	for _, k := range l.byPart[part] {
		e := l.entries[k]
		c.depth = max(c.depth, e.Depth)
		if at := l.clearedAt(e, part); at.After(c.clearedAt) {
			c.clearedAt = at
		}
		c.byOrganisation = append(c.byOrganisation, e.Interrupted)
		for _, a := range e.Interrupted {
			if known, ok := byIncarnation[a.Incarnation]; ok {
				known.merge(a)
				continue
			}
			byIncarnation[a.Incarnation] = &a
		}
	}
	var attempts []InterruptedAttempt
	for _, a := range byIncarnation {
		attempts = append(attempts, *a)
	}
	return c, attempts
}

// latest returns the attempts by time, without those that are older than the latest one by more than the period.
func latest(attempts []InterruptedAttempt, period time.Duration) []InterruptedAttempt {
	out := slices.SortedFunc(slices.Values(attempts), compareAttempts)
	for len(out) > 0 && out[len(out)-1].At.Sub(out[0].At) > period {
		out = out[1:]
	}
	return out
}

// judgement is one pass over the evidence.
type judgement struct {
	candidates []*candidate
	// explained holds the incarnations whose end is explained by a suspect that has been blamed.
	explained map[Incarnation]bool
	// byIncarnation holds the candidates that ran on each incarnation that ended.
	byIncarnation map[Incarnation][]*candidate
	// suspected holds the incarnations whose end a suspect may explain that is not a proven part.
	suspected map[Incarnation]bool
	// endedAt holds the incarnations that ended, and the time of an attempt that was interrupted there.
	endedAt map[Incarnation]time.Time
	// ends holds the same by time.
	ends []InterruptedAttempt
}

// blame returns the decision that a candidate is to blame, which explains the ends of its upstreams.
func (j *judgement) blame(c *candidate) decision {
	c.blamed = true
	v := decision{}
	for _, a := range c.attempts {
		if a.UpstreamEnded || c.kind == kindRequest {
			v.ended = append(v.ended, a.Incarnation)
			j.explained[a.Incarnation] = true
		}
	}
	for _, incarnation := range v.ended {
		for _, other := range j.byIncarnation[incarnation] {
			other.outdated = true
		}
	}
	for _, other := range j.candidates {
		// A part may now explain most of what is left.
		other.outdated = other.outdated || other.kind != kindRequest && !other.suffices
	}
	last := c.attempts[len(c.attempts)-1].At
	if c.kind == kindRequest {
		v.until = last.Add(RefusalPeriod)
	} else {
		v.from, v.until = c.decidedAt.Add(ExonerationDelay), c.refusalEnd()
	}
	return v
}

// index sets what is looked up for each candidate.
func (j *judgement) index() {
	for incarnation, at := range j.endedAt {
		j.ends = append(j.ends, InterruptedAttempt{Incarnation: incarnation, At: at})
	}
	slices.SortFunc(j.ends, compareAttempts)
	j.byIncarnation = map[Incarnation][]*candidate{}
	for _, c := range j.candidates {
		c.outdated = true
		c.endedOn, c.freshOn, c.requests = map[Incarnation]bool{}, map[Incarnation]bool{}, requests(c.attempts)
		for _, a := range c.attempts {
			if !a.UpstreamEnded {
				continue
			}
			c.endedOn[a.Incarnation] = true
			if a.Ran <= FreshTime {
				c.freshOn[a.Incarnation] = true
			}
			j.byIncarnation[a.Incarnation] = append(j.byIncarnation[a.Incarnation], c)
		}
	}
}

// findSuspected sets suspected: a part that is not proven counts from two ends, a request from three, since each attempt
// at a harmless request with a harmful part ends an upstream.
func (j *judgement) findSuspected() {
	j.suspected = map[Incarnation]bool{}
	for _, c := range j.candidates {
		ended := endedOf(c.attempts)
		if c.proven || c.kind == kindPartOfAll || len(ended) < SoleSuspectCrashes || c.kind == kindRequest && len(ended) < MaxCrashes {
			continue
		}
		for _, a := range freshOf(ended) {
			j.suspected[a.Incarnation] = true
		}
	}
}

// refusalEnd returns the end of the refusal of a part.
func (c *candidate) refusalEnd() time.Time {
	period, last := PartRefusalPeriod, time.Time{}
	if c.proven {
		period = provenRefusalPeriod
	}
	for _, a := range c.attempts {
		if !a.UpstreamEnded {
			continue
		}
		if !last.IsZero() && a.At.Sub(last) >= period {
			period = min(2*period, maxPartRefusalPeriod)
		}
		last = a.At
	}
	if last.IsZero() {
		last = c.attempts[len(c.attempts)-1].At // no upstream was seen to end
	}
	return last.Add(period)
}
