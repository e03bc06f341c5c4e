package throttle

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// uncoordinatedFraction is the part of a limit that hosts without a leader use together. A leader that
	// they do not reach may hand out the whole limit meanwhile.
	uncoordinatedFraction = 0.4
	// maxUncoordinatedHosts is the number of hosts without a leader that may send requests to one upstream.
	// Each of them may send one at once, so that a larger number would exceed a low limit.
	maxUncoordinatedHosts = 3
)

// Share returns the share of an upstream's limit that a host may use without a leader, given the
// names of all hosts. Hosts that know the same names agree on which of them may use the upstream;
// these differ between upstreams.
func Share(upstream, host string, hosts []string) float64 {
	var chosen []rankedHost // the lowest ranks, in order
	for _, name := range hosts {
		h := rankedHost{rank(upstream, name), name}
		i, known := slices.BinarySearchFunc(chosen, h, compareRanks)
		if known || i == maxUncoordinatedHosts {
			continue
		}
		chosen = slices.Insert(chosen, i, h)
		chosen = chosen[:min(len(chosen), maxUncoordinatedHosts)]
	}
	if !slices.ContainsFunc(chosen, func(h rankedHost) bool { return h.name == host }) {
		return 0
	}
	return uncoordinatedFraction / float64(len(chosen))
}

// rankedHost is a host with its rank for an upstream.
type rankedHost struct {
	rank uint64
	name string
}

func compareRanks(x, y rankedHost) int {
	return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.name, y.name))
}

// rank is the order in which a host is chosen for an upstream.
func rank(upstream, host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(upstream + "\x00" + host)) // writing to a hash never fails
	sum := h.Sum64()
	// The finaliser spreads names that differ in their last byte only.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}
