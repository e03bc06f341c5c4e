package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
)

// logLevels are the allowed values of log.level.
var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// Validate returns a problem for every field that is missing or not valid.
func (s *Settings) Validate() Problems {
	var v validator
	v.check(s.Host != "", "host", "want the host's name")
	v.check(s.Zone != "", "zone", "want the host's availability zone")
	v.check(s.Fleet.Hosts >= 1, "fleet.hosts", "want the number of hosts, 1 or more")
	v.checkAddress("listen.callers", s.Listen.Callers)
	v.checkAddress("listen.operators", s.Listen.Operators)
	v.checkPeers(s)
	v.checkAdvertised("advertise.callers", s.Advertise.Callers, s.Listen.Callers)
	v.checkAdvertised("advertise.peers", s.Advertise.Peers, s.Listen.Peers)
	v.check(isBaseURL(s.Platform.URL), "platform.url", "want an address such as http://10.0.0.1:9000, not %q", s.Platform.URL)
	v.check(s.Requests.MaxBodyBytes > 0, "requests.max_body_bytes", "want a number of bytes above 0")
	v.check(s.Requests.MaxHeaderBytes > 0, "requests.max_header_bytes", "want a number of bytes above 0")
	v.check(s.MemoryMB >= 0, "memory_mb", "want the memory in megabytes, or 0 for half of the machine's")
	v.checkCallers(&s.Callers, s.Descriptors)
	v.check(slices.Contains(logLevels, s.Log.Level), "log.level", "want one of %v, not %q", logLevels, s.Log.Level)
	// A request that arrives at the end of LocateWait may take its whole Timeout.
	needed := s.Drain.LocateWait + s.Requests.Timeout
	v.check(s.Drain.Timeout >= needed, "drain.timeout", "want %s or more, the sum of drain.locate_wait and requests.timeout, or requests would be interrupted", needed)
	return v.problems
}

// validator collects problems.
type validator struct{ problems Problems }

func (v *validator) check(ok bool, field, format string, args ...any) {
	if !ok {
		v.problems = append(v.problems, Problem{Field: field, Want: fmt.Sprintf(format, args...)})
	}
}

func (v *validator) checkAddress(field, address string) {
	_, err := netip.ParseAddrPort(address)
	v.check(err == nil, field, "want ip:port, such as 127.0.0.1:8100, not %q", address)
}

// checkPeers checks the settings of the links between hosts. Without TLS, anyone who can
// reach the listener could impersonate a host, so it must be on a loopback address.
func (v *validator) checkPeers(s *Settings) {
	v.check(!s.TLS.Enabled() || s.TLS.Cert != "", "tls.cert", "want the certificate's file, since tls is set")
	v.check(!s.TLS.Enabled() || s.TLS.Key != "", "tls.key", "want the private key's file, since tls is set")
	v.check(!s.TLS.Enabled() || s.TLS.CA != "", "tls.ca", "want the certificate authority's file, since tls is set")
	if s.Listen.Peers == "" {
		return
	}
	v.checkAddress("listen.peers", s.Listen.Peers)
	address, err := netip.ParseAddrPort(s.Listen.Peers)
	v.check(err != nil || s.TLS.Enabled() || address.Addr().IsLoopback(), "listen.peers", "want a loopback address such as 127.0.0.1:8102, or tls")
}

// checkAdvertised checks the URL announced to others. It is required if the listen
// address is a wildcard such as 0.0.0.0.
func (v *validator) checkAdvertised(field, base, listen string) {
	if base != "" {
		v.check(isBaseURL(base), field, "want an address such as http://10.0.0.1:8100, not %q", base)
		return
	}
	address, err := netip.ParseAddrPort(listen)
	v.check(err != nil || !address.Addr().IsUnspecified(), field, "want the address announced to others, since %s is a wildcard address", listen)
}

func isBaseURL(base string) bool {
	u, err := url.Parse(base)
	return err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
}
