package settings

import (
	"cmp"
	"os"
	"slices"
	"time"
)

// Entry is the settings of an entry host on the users' platform.
type Entry struct {
	// Host is the host's unique name.
	Host string `json:"host"`
	// Zone is the host's availability zone.
	Zone   string      `json:"zone"`
	Listen EntryListen `json:"listen"`
	// Advertise is what other hosts are told in place of what is listened on.
	Advertise EntryAdvertise `json:"advertise,omitzero"`
	// Store is the "ip:port" of the platform's table service.
	Store string `json:"store"`
	// MemoryMB is the memory that the process may take, in megabytes.
	MemoryMB int `json:"memory_mb"`
	// Cores is the processor time that the process may take, in cores. Hosts with
	// more of it are given more to do.
	Cores float64    `json:"cores"`
	Fleet EntryFleet `json:"fleet"`
	// Grace is the time from the first signal to end to the last one.
	Grace Duration `json:"grace"`
	Log   Log      `json:"log,omitzero"`
}

// EntryListen holds the addresses to listen on, "ip:port".
type EntryListen struct {
	// Callers is where callers connect.
	Callers string `json:"callers"`
	// Readiness answers whether the host may be given callers.
	Readiness string `json:"readiness"`
	// Directory tells callers which hosts to use.
	Directory string `json:"directory"`
	// Peers is where other hosts link to this one.
	Peers string `json:"peers"`
	// Metrics serves counters and histograms. Empty serves none.
	Metrics string `json:"metrics,omitempty"`
}

// EntryAdvertise holds the addresses that others are told, "ip:port".
type EntryAdvertise struct {
	// Peers is where other hosts link to this one, listen.peers where empty.
	Peers string `json:"peers,omitempty"`
}

// PeerAddress is where other hosts link to this one.
func (s *Entry) PeerAddress() string { return cmp.Or(s.Advertise.Peers, s.Listen.Peers) }

// EntryFleet holds what the deployment states for all hosts.
type EntryFleet struct {
	// RetryRatio and RetrySlack bound how many requests are sent again.
	RetryRatio float64 `json:"retry_ratio"`
	RetrySlack float64 `json:"retry_slack"`
	// RateWindow is the time in which an organisation may use its rate and its
	// burst. RateOver and RateSlackTokens are how far it may go beyond that: a
	// part of it, and a number of tokens.
	RateWindow      Duration `json:"rate_window"`
	RateTolerance        float64  `json:"rate_over"`
	RateSlackTokens float64  `json:"rate_slack_tokens"`
	// Fenced says that engines refuse orders with an older fencing token.
	Fenced bool `json:"fenced,omitempty"`
	// HolderPause is how long engines must have had no order of a host before
	// another one's orders in between count as settled.
	HolderPause Duration `json:"holder_pause"`
	// MaxConfigDelay and DrainWithin are how soon a change of the configuration must be
	// in force and an upstream that leaves be left alone, everywhere.
	MaxConfigDelay Duration `json:"config_within"`
	MaxDrainDelay  Duration `json:"drain_within"`
	// MaxDirectoryTTL is the longest time for which callers keep an answer of the
	// directory.
	MaxDirectoryTTL Duration `json:"answer_life"`
}

// LoadEntry reads, completes and checks an entry host's settings file.
func LoadEntry(path string) (*Entry, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseEntry(path, raw)
}

// ParseEntry completes and checks an entry host's settings. Where they are not
// valid, the error is a Problems that holds every problem.
func ParseEntry(name string, raw []byte) (*Entry, error) {
	var s Entry
	tree, problems := decode(name, raw, &s)
	if len(problems) > 0 {
		return nil, problems
	}
	setDefault(&s.Log.Level, "info")
	if problems = s.Validate(); len(problems) > 0 {
		return nil, tree.locate(problems)
	}
	return &s, nil
}

// leastGrace is the least time in which a host can send its callers elsewhere.
const leastGrace = Duration(time.Second)

// Validate reports every field that is missing or not valid.
func (s *Entry) Validate() Problems {
	var c checker
	c.check(s.Host != "", "host", "want the host's name")
	c.check(s.Zone != "", "zone", "want the host's availability zone")
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.readiness", s.Listen.Readiness)
	c.address("listen.directory", s.Listen.Directory)
	c.address("listen.peers", s.Listen.Peers)
	if s.Advertise.Peers != "" {
		c.address("advertise.peers", s.Advertise.Peers)
	}
	if s.Listen.Metrics != "" {
		c.address("listen.metrics", s.Listen.Metrics)
	}
	c.address("store", s.Store)
	c.check(s.MemoryMB > 0, "memory_mb", "want the memory in megabytes, above 0")
	c.check(s.Cores > 0, "cores", "want a number of cores above 0")
	c.check(s.Fleet.RetryRatio >= 0 && s.Fleet.RetrySlack >= 0, "fleet.retry_ratio", "want 0 or more")
	c.check(s.Fleet.RateWindow > 0, "fleet.rate_window", "want a duration above 0")
	c.check(s.Grace >= leastGrace, "grace", "want %s or more", leastGrace)
	c.check(s.Fleet.HolderPause >= 0, "fleet.holder_pause", "want a duration of 0 or more")
	c.check(s.Fleet.MaxConfigDelay >= 0, "fleet.config_within", "want a duration of 0 or more")
	c.check(s.Fleet.MaxDrainDelay >= 0, "fleet.drain_within", "want a duration of 0 or more")
	c.check(s.Fleet.MaxDirectoryTTL > 0, "fleet.answer_life", "want a duration above 0")
	c.check(slices.Contains(logLevels, s.Log.Level), "log.level", "want one of %v, not %q", logLevels, s.Log.Level)
	return c.problems
}
