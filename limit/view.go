package limit

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/wire"
)

// view is the set of hosts that may lead organisations, as agreed on in one row
// of the table service. Every host computes the same leader for an organisation.
type view struct {
	epoch    int64
	members  ring
	previous ring
}

func newView(v *wire.LimitView) *view {
	return &view{epoch: v.Epoch, members: newRing(v.Members), previous: newRing(v.Previous)}
}

func (v *view) message() *wire.LimitView {
	return &wire.LimitView{Epoch: v.epoch, Members: v.members.list, Previous: v.previous.list}
}

// ring assigns organisations to members by rendezvous hashing: when a member
// joins or leaves, only its own organisations move.
type ring struct {
	list   []wire.LimitMember
	hashes []uint64
}

func newRing(list []wire.LimitMember) ring {
	r := ring{list: list, hashes: make([]uint64, len(list))}
	for i, m := range list {
		r.hashes[i] = xxhash.Sum64String(m.Host)
	}
	return r
}

// leader returns the member that leads an organisation, or false if there is no
// member.
func (r ring) leader(org string) (wire.LimitMember, bool) {
	h := xxhash.Sum64String(org)
	best, top := -1, uint64(0)
	for i, own := range r.hashes {
		if weight := mix(h ^ own); best < 0 || weight > top {
			best, top = i, weight
		}
	}
	if best < 0 {
		return wire.LimitMember{}, false
	}
	return r.list[best], true
}

// mix spreads the bits of a combined hash (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func (r ring) has(m wire.LimitMember) bool {
	return slices.Contains(r.list, m)
}

func (r ring) hasHost(host string) bool {
	return slices.ContainsFunc(r.list, func(m wire.LimitMember) bool { return m.Host == host })
}

// majority returns the smallest number of members such that any two sets of that
// size share a member.
func (r ring) majority() int { return len(r.list)/2 + 1 }
