package settings

import (
	"cmp"
	"os"
	"slices"
	"time"
)

// Entry holds the settings of an entry host on the users' platform.
type Entry struct {
	// Host is the host's unique name.
	Host string `json:"host"`
	// Zone is the host's availability zone.
	Zone   string      `json:"zone"`
	Listen EntryListen `json:"listen"`
	// Advertise holds the addresses announced to other hosts in place of the listen
	// addresses.
	Advertise EntryAdvertise `json:"advertise,omitzero"`
	// Store is the "ip:port" of the platform's table service.
	Store string `json:"store"`
	// MemoryMB is the memory available to the process, in megabytes.
	MemoryMB int `json:"memory_mb"`
	// Cores is the processor time available to the process, in cores. Hosts with more
	// cores are assigned more work.
	Cores float64 `json:"cores"`
	// Descriptors is the number of file descriptors that the process may open. Default: its own limit (RLIMIT_NOFILE).
	Descriptors int `json:"descriptors,omitzero"`
	// Callers holds the shares of memory and descriptors for callers.
	Callers Callers    `json:"callers,omitzero"`
	Fleet   EntryFleet `json:"fleet"`
	// Features are the names of the optional parts of the platform's contract that are in force.
	Features []string `json:"features,omitempty"`
	// Grace is the time from the first termination signal to the final one.
	Grace Duration `json:"grace"`
	Log   Log      `json:"log,omitzero"`
}

// EntryListen holds the listen addresses, "ip:port".
type EntryListen struct {
	// Callers is the address to which callers connect.
	Callers string `json:"callers"`
	// Readiness is the address that reports whether the host is ready for callers.
	Readiness string `json:"readiness"`
	// Directory is the address at which callers request the hosts to connect to.
	Directory string `json:"directory"`
	// Peers is where other hosts link to this one.
	Peers string `json:"peers"`
	// Metrics is the address that serves counters and histograms. If it is empty, none
	// are served.
	Metrics string `json:"metrics,omitempty"`
}

// EntryAdvertise holds the addresses announced to other hosts, "ip:port".
type EntryAdvertise struct {
	// Peers is the address to which other hosts connect. It defaults to listen.peers.
	Peers string `json:"peers,omitempty"`
}

// PeerAddress returns the address to which other hosts connect.
func (s *Entry) PeerAddress() string { return cmp.Or(s.Advertise.Peers, s.Listen.Peers) }

// EntryFleet holds the settings that are the same on all hosts of a deployment.
type EntryFleet struct {
	// RetryRatio and RetrySlack bound the number of retries: RetryRatio retries per
	// request, and RetrySlack retries per window in addition.
	RetryRatio float64 `json:"retry_ratio"`
	RetrySlack float64 `json:"retry_slack"`
	// RateWindow is the window in which an organisation may use the tokens of its rate
	// and its burst. RateTolerance and RateSlackTokens bound how far it may exceed them:
	// by a fraction of them, and by a number of tokens in addition.
	RateWindow      Duration `json:"rate_window"`
	RateTolerance   float64  `json:"rate_over"`
	RateSlackTokens float64  `json:"rate_slack_tokens"`
	// Fenced means that engines reject orders with an older fencing token.
	Fenced bool `json:"fenced,omitempty"`
	// HolderPause is how long engines must have received no order of a host before the
	// orders that another host sent in the meantime count as settled.
	HolderPause Duration `json:"holder_pause"`
	// MaxConfigDelay is the time within which a change of the configuration must be in
	// force on all hosts. MaxDrainDelay is the time within which all hosts must have
	// stopped sending requests to an upstream that leaves.
	MaxConfigDelay Duration `json:"config_within"`
	MaxDrainDelay  Duration `json:"drain_within"`
	// MaxDirectoryTTL is the maximum time for which callers cache an answer of the directory.
	MaxDirectoryTTL Duration `json:"answer_life"`
	// Scheduling is the order of waiting requests, "arrival" or "urgency". If it is empty, Entry.Features decide.
	Scheduling string `json:"scheduling,omitempty"`
	// LearnPace has requests assigned by the remaining work and the speed of upstreams also where these do not state
	// their pace. It suits services whose upstreams differ in speed; usual ones are served better without it.
	LearnPace bool `json:"learn_pace,omitempty"`
}

// LoadEntry reads an entry host's settings file, sets defaults and validates it.
func LoadEntry(path string) (*Entry, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseEntry(path, raw)
}

// ParseEntry parses an entry host's settings, sets defaults and validates them. The
// name is the file name in errors. If the settings are not valid, the error is a
// Problems with every problem found.
func ParseEntry(name string, raw []byte) (*Entry, error) {
	var s Entry
	parsed, problems := decodeFile(name, raw, &s)
	if len(problems) > 0 {
		return nil, problems
	}
	setDefault(&s.Log.Level, "info")
	s.Callers.setDefaults()
	if problems = s.Validate(); len(problems) > 0 {
		return nil, parsed.addPositions(problems)
	}
	return &s, nil
}

// schedulings are the valid values of EntryFleet.Scheduling.
var schedulings = []string{"", "arrival", "urgency"}

// minGrace is the minimum time in which a host can redirect its callers to other hosts.
const minGrace = Duration(time.Second)

// Validate returns a problem for every field that is missing or not valid.
func (s *Entry) Validate() Problems {
	var v validator
	v.check(s.Host != "", "host", "want the host's name")
	v.check(s.Zone != "", "zone", "want the host's availability zone")
	v.checkAddress("listen.callers", s.Listen.Callers)
	v.checkAddress("listen.readiness", s.Listen.Readiness)
	v.checkAddress("listen.directory", s.Listen.Directory)
	v.checkAddress("listen.peers", s.Listen.Peers)
	if s.Advertise.Peers != "" {
		v.checkAddress("advertise.peers", s.Advertise.Peers)
	}
	if s.Listen.Metrics != "" {
		v.checkAddress("listen.metrics", s.Listen.Metrics)
	}
	v.checkAddress("store", s.Store)
	v.check(s.MemoryMB > 0, "memory_mb", "want the memory in megabytes, above 0")
	v.checkCallers(&s.Callers, s.Descriptors)
	v.check(s.Cores > 0, "cores", "want a number of cores above 0")
	v.check(s.Fleet.RetryRatio >= 0 && s.Fleet.RetrySlack >= 0, "fleet.retry_ratio", "want 0 or more")
	v.check(s.Fleet.RateWindow > 0, "fleet.rate_window", "want a duration above 0")
	v.check(s.Grace >= minGrace, "grace", "want %s or more", minGrace)
	v.check(s.Fleet.HolderPause >= 0, "fleet.holder_pause", "want a duration of 0 or more")
	v.check(s.Fleet.MaxConfigDelay >= 0, "fleet.config_within", "want a duration of 0 or more")
	v.check(s.Fleet.MaxDrainDelay >= 0, "fleet.drain_within", "want a duration of 0 or more")
	v.check(s.Fleet.MaxDirectoryTTL > 0, "fleet.answer_life", "want a duration above 0")
	v.check(slices.Contains(schedulings, s.Fleet.Scheduling), "fleet.scheduling", "want \"arrival\" or \"urgency\"")
	v.check(slices.Contains(logLevels, s.Log.Level), "log.level", "want one of %v, not %q", logLevels, s.Log.Level)
	return v.problems
}
