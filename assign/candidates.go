package assign

// Bounds on the number of upstreams that are evaluated for one request.
const (
	evaluateAllLimit  = 24
	sampledCandidates = 16
	// maxEvaluatedHolders is the number of engines that hold an adapter up to which all of them are evaluated. It exceeds
	// the number of engines of most deployments.
	maxEvaluatedHolders = 160
	// sampledHolders is the number of holders that are evaluated in the request's zone, and in all zones, if more than
	// maxEvaluatedHolders engines hold the adapter. With 16, 32 and 64, the 95th percentile of the time to first token on
	// 400 simulated engines was the same as with all holders.
	sampledHolders = 32
)

// candidates returns the upstreams to evaluate: all of a small service; of a large service those that hold the
// adapter, the one that held it last and a random sample, so that the cost of a choice does not grow with the
// number of upstreams. Of an adapter that many engines hold, it returns a sample of the holders.
func (a *Assigner) candidates(s *service, e *requestState) []*upstream {
	if len(s.upstreams) <= evaluateAllLimit {
		return s.upstreams
	}
	a.candidateBuffer = a.candidateBuffer[:0]
	if wide, ok := a.adapterIndex.wide[serviceAdapter{s, e.request.Adapter}]; ok {
		a.addHolderSample(s, wide, &e.request)
	} else {
		for _, held := range a.adapterIndex.slots[e.request.Adapter] {
			if held.upstream.service == s {
				a.candidateBuffer = append(a.candidateBuffer, held.upstream)
			}
		}
	}
	if last := a.adapterIndex.lastHolder[e.request.Adapter]; last != nil && last.service == s {
		a.candidateBuffer = append(a.candidateBuffer, last)
	}
	for range sampledCandidates {
		a.candidateBuffer = append(a.candidateBuffer, s.upstreams[a.options.Random.IntN(len(s.upstreams))])
	}
	return a.candidateBuffer
}

// addHolderSample adds random holders of an adapter to the candidates, and the engine that was last assigned a request with
// the longest common prefix, which random holders would rarely include.
func (a *Assigner) addHolderSample(s *service, wide *wideAdapter, r *Request) {
	for _, holders := range [][]*slot{wide.byZone[r.Zone], wide.slots} {
		for _, held := range a.sampleSlots(holders) {
			a.candidateBuffer = append(a.candidateBuffer, held.upstream)
		}
	}
	if u := a.prefixes.last(r); u != nil && u.service == s && a.upstreams[u.record.ID] == u {
		a.candidateBuffer = append(a.candidateBuffer, u)
	}
}

// sampleSlots returns sampledHolders random slots, which may repeat, or all if there are no more. The result is valid until
// the next call.
func (a *Assigner) sampleSlots(slots []*slot) []*slot {
	if len(slots) <= sampledHolders {
		return slots
	}
	a.slotBuffer = a.slotBuffer[:0]
	for range sampledHolders {
		a.slotBuffer = append(a.slotBuffer, slots[a.options.Random.IntN(len(slots))])
	}
	return a.slotBuffer
}
