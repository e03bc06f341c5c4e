package assign

import (
	"slices"
	"time"
)

const (
	// firstTokenOverhead is the time to a first token, at usual pace, that does not depend on the prompt: the step that
	// is in progress and the one that generates the token.
	firstTokenOverhead = 14 * time.Millisecond
	// maxHeadProgress is the fraction of a prompt that is taken to be prefilled at most until its first token is there.
	// How far an engine has come is not known; with 0.9, requests were sent to engines that were slower than believed.
	maxHeadProgress = 0.3
	// overdueRatio is the ratio of the time since a prefill began to its expected time from which the engine counts as
	// slower than its pace says.
	overdueRatio = 1.2
	// minPrefillFactor and maxPrefillFactor bound one measurement of the prefill time, relative to the expected one.
	minPrefillFactor = 0.5
	maxPrefillFactor = 2
	// minPrefillPerToken is the shortest prefill time per token that is learned.
	minPrefillPerToken = assumedPrefillPerToken / 20
	// longOutputTokens is the shortest output from which the time per token is measured.
	longOutputTokens = 16
	// minPaceTokens is the smallest prefill from which the pace is measured. It is below minMeasuredTokens, since firstTokenOverhead
	// accounts for the fixed cost of a step, and slowness that lasts for momentaryPaceTime is seen only by frequent figures.
	minPaceTokens = 200
)

// byWork reports whether requests are assigned to the upstream by its remaining work and its pace.
func (u *upstream) byWork() bool {
	return u.service != nil && (u.service.statesPace || u.options.LearnPace)
}

// requestWork is what is known of the work of a request.
type requestWork struct {
	// paceAtGrant and runningAtGrant are the pace of the upstream and the number of its requests when the request was
	// assigned.
	paceAtGrant    float64
	runningAtGrant int
	// expectedTokens is the expected output and expectedTime the expected time on a plain service at usual pace, each
	// 0 until it is estimated.
	expectedTokens int
	expectedTime   time.Duration
	// firstByteAt is the time of the first byte of the answer, the zero time before. loadStated is true if the load
	// in the answer's header was received before the answer's end.
	firstByteAt time.Time
	loadStated  bool
	// adopted is true if another Assigner has assigned the request, so that its times are not known.
	adopted bool
}

// addWork records the work of a request that is assigned to an upstream.
func (a *Assigner) addWork(now time.Time, e *requestState, u *upstream, s *slot) {
	prefill := u.prefillTime(now, e.prefillTokens)
	u.recordPrefill(now, prefill)
	e.prefillAhead, e.paceAtGrant, e.runningAtGrant = u.tokensAhead(now), u.pace.current(now), len(u.running)
	u.pendingPrefillTokens += e.prefillTokens
	u.addPrefill(now, e)
	u.prefillLoad.add(now, prefill.Seconds())
	u.cacheTokens += e.request.cacheTokens()
	switch {
	case !u.byWork():
	case u.engine == nil:
		a.expectedRequestTimeOf(e)
	case s != nil:
		s.recordCopyLoad(now, prefill)
	}
}

// addPrefill records a prompt that the engine will prefill after those it was assigned before.
func (u *upstream) addPrefill(now time.Time, e *requestState) {
	if len(u.prefills) == 0 {
		u.headSince = now
	}
	u.prefills = append(u.prefills, e)
}

// removePrefill records that a prompt has been prefilled, or that the attempt has ended before.
func (u *upstream) removePrefill(now time.Time, e *requestState) {
	if i := slices.Index(u.prefills, e); i >= 0 {
		u.prefills = slices.Delete(u.prefills, i, i+1)
		if i == 0 {
			u.headSince = now
		}
	}
}

// prefillWork is the time that a number of prompt tokens takes at usual pace.
func (u *upstream) prefillWork(tokens int) time.Duration {
	return time.Duration(tokens) * u.prefillPerToken
}

// headWork is the work of the prompt that the engine prefills now, at usual pace.
func (u *upstream) headWork() time.Duration {
	return u.prefillWork(u.prefills[0].prefillTokens) + firstTokenOverhead
}

// overduePace returns the pace that explains why the prompt that the engine prefills now has no first token yet, 0 if
// it is not overdue.
func (u *upstream) overduePace(now time.Time) float64 {
	if u.engine == nil || len(u.prefills) == 0 || !u.service.streamingRoutes[u.prefills[0].request.Route] {
		return 0
	}
	elapsed, expected := now.Sub(u.headSince), u.pace.timeFor(u.headSince, u.headWork())
	if float64(elapsed) < overdueRatio*float64(expected) {
		return 0
	}
	return BoundPace(float64(elapsed) / float64(u.headWork()))
}

// timeFor returns how long work takes on the upstream from now on that takes the given time at usual pace.
func (u *upstream) timeFor(now time.Time, work time.Duration) time.Duration {
	took := u.pace.timeFor(now, work)
	if overdue := u.overduePace(now); overdue > 0 {
		took = max(took, fractionOf(work, overdue))
	}
	return took
}

// remainingPrefill returns the work, at usual pace, that is left of the prompts assigned to the engine.
func (u *upstream) remainingPrefill(now time.Time) time.Duration {
	if len(u.prefills) == 0 {
		return 0
	}
	head := u.prefillWork(u.prefills[0].prefillTokens)
	done := fractionOf(now.Sub(u.headSince), 1/u.pace.current(now))
	return u.prefillWork(u.pendingPrefillTokens) - min(done, fractionOf(head, maxHeadProgress))
}

// decodeBacklog is the number of tokens that an engine has yet to generate for its streams, as of the time at.
type decodeBacklog struct {
	tokens float64
	at     time.Time
}

// remainingDecode returns the number of tokens that are expected to be left to decode: each stream generates one in
// tokenTime. Each stream has one left at least, since its end is not known before it is there.
func (u *upstream) remainingDecode(now time.Time) float64 {
	if u.streams == 0 {
		return 0
	}
	generated := float64(u.streams) * float64(now.Sub(u.decode.at)) / float64(max(u.tokenTime(now), 1))
	return max(u.decode.tokens-generated, float64(u.streams))
}

// setStreaming records whether the answers of a route are streams. A first byte is reported for streams only, so that other
// requests are not overdue without one.
func (s *service) setStreaming(route string, streams bool) {
	if s.streamingRoutes == nil {
		s.streamingRoutes = map[string]bool{}
	}
	s.streamingRoutes[route] = streams
}

// addStream records that a request has its first token.
func (u *upstream) addStream(now time.Time, e *requestState) {
	u.decode = decodeBacklog{u.remainingDecode(now) + float64(e.expectedTokens), now}
	u.streams++
	e.streaming, e.firstByteAt = true, now
	u.service.setStreaming(e.request.Route, true)
}

// removeStream records that a stream has ended, with what was expected to be left of it.
func (u *upstream) removeStream(now time.Time, e *requestState) {
	left := float64(e.expectedTokens) - float64(now.Sub(e.firstByteAt))/float64(max(u.tokenTime(now), 1))
	u.decode = decodeBacklog{max(u.remainingDecode(now)-max(left, 0), 0), now}
	u.streams--
}

// remainingWork returns the work, at usual pace, that the upstream has yet to do for the requests assigned to it.
func (u *upstream) remainingWork(now time.Time) time.Duration {
	if u.engine == nil {
		return u.remainingPlainWork(now)
	}
	return u.remainingPrefill(now) + u.decodeWork(now)
}

// decodeWork is the work, at usual pace, of the tokens that are left to decode.
func (u *upstream) decodeWork(now time.Time) time.Duration {
	return time.Duration(u.remainingDecode(now) * float64(decodeTokenWork))
}

// tokenTime is the expected time that the engine takes to generate one token.
func (u *upstream) tokenTime(now time.Time) time.Duration {
	return fractionOf(typicalTokenTime, u.pace.slowComponent(now)*u.decodeFactor)
}

// learnPrefillPace updates the prefill speed from the time to a first token: the pace if the upstream does not state
// it, else the time per token at usual pace. Slow starts are not learned, since they end.
func (u *upstream) learnPrefillPace(now time.Time, e *requestState) {
	least := minPaceTokens
	if u.pace.stated {
		least = minMeasuredTokens
	}
	if u.engine == nil || e.adopted || e.prefillTokens+e.prefillAhead < least || u.slowStart.active(now) {
		return
	}
	expected := u.prefillWork(e.prefillTokens+e.prefillAhead) + firstTokenOverhead
	measured := float64(now.Sub(e.grantedAt)) / float64(expected)
	if !u.pace.stated {
		u.pace.observe(now, measured)
		return
	}
	factor := measured * 2 / (e.paceAtGrant + u.pace.current(now))
	factor = min(max(factor, minPrefillFactor), maxPrefillFactor)
	learned := fractionOf(u.prefillPerToken, 1+learnWeight*(factor-1))
	u.prefillPerToken = min(max(learned, minPrefillPerToken), maxPrefillPerToken)
	u.capacityChanged()
}

// learnTokenTime updates the decode speed from a complete stream.
func (u *upstream) learnTokenTime(now time.Time, e *requestState, tokens int) {
	if tokens < longOutputTokens || e.adopted || e.firstByteAt.IsZero() || u.slowStart.active(now) {
		return
	}
	expected := float64(tokens) * float64(typicalTokenTime) * u.pace.slowComponent(now)
	factor := min(max(float64(now.Sub(e.firstByteAt))/expected, minPace), maxPace)
	u.decodeFactor += learnWeight * (factor - u.decodeFactor)
}

// loadStated applies the load that an upstream has stated at the beginning of an answer. Without a pace it is applied at
// the end of the answer only, unless requests are assigned by work.
func (a *Assigner) loadStated(now time.Time, ev LoadStated) {
	u := a.upstreams[ev.Upstream]
	e, ok := a.requests[ev.ID]
	switch {
	case ok && e.upstream != nil:
		u = e.upstream
	case u == nil || u.record.StartedAt != ev.StartedAt:
		return
	}
	if BoundPace(ev.Load.Pace) == 0 && !u.byWork() {
		return
	}
	u.recordLoad(now, ev.Load)
	if ok {
		e.loadStated = true
	}
}

// recordLoad records the load and the pace that the upstream has stated in a response.
func (u *upstream) recordLoad(now time.Time, l Load) {
	u.reportedLoad, u.lastHeardAt = l, now
	u.others.record(now, float64(max(l.Running+l.Waiting-len(u.running), 0)))
	u.othersWaiting.record(now, float64(max(l.Waiting-len(u.prefills), 0)))
	figure := BoundPace(l.Pace)
	if figure == 0 {
		return
	}
	if !u.byWork() {
		u.service.resetSpeeds()
	}
	u.service.statesPace = true
	u.pace.state(now, figure, !u.slowStart.active(now))
}

// resetSpeeds discards what was learned of the speeds of the upstreams while their pace was not considered.
func (s *service) resetSpeeds() {
	for _, u := range s.upstreams {
		u.prefillPerToken, u.requestTime = assumedPrefillPerToken, assumedRequestTime
		u.capacityChanged()
	}
}
