// Package settings reads and checks a host's settings file, JSON with comments.
package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Duration is a time.Duration written as a string such as "250ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf(`want a duration in quotes with its unit, such as "2s"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil || v <= 0 {
		return fmt.Errorf(`want a duration above 0 with its unit, such as "2s", not %q`, s)
	}
	*d = Duration(v)
	return nil
}

// String returns the duration as it is written in a file.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Settings are one host's settings.
type Settings struct {
	// Host is the host's unique name.
	Host string `json:"host"`
	// Zone is the host's availability zone.
	Zone string `json:"zone"`
	// Listen holds the addresses to listen on, "ip:port".
	Listen Listen `json:"listen"`
	// Advertise holds the addresses that are told to others. Each defaults to
	// the address listened on.
	Advertise Advertise `json:"advertise,omitzero"`
	// TLS secures the links between hosts.
	TLS TLS `json:"tls,omitzero"`
	// Platform says where the platform's services are.
	Platform Platform `json:"platform"`
	// Fleet says what all hosts share.
	Fleet Fleet `json:"fleet"`
	// Requests bounds what one caller can use.
	Requests Requests `json:"requests,omitzero"`
	// Log says what is logged.
	Log Log `json:"log,omitzero"`
	// Drain bounds a graceful shutdown.
	Drain Drain `json:"drain,omitzero"`
}

// Listen holds the addresses to listen on, "ip:port". Port 0 takes a free one.
type Listen struct {
	// Callers is where callers connect.
	Callers string `json:"callers"`
	// Operators serves metrics, status and explain.
	Operators string `json:"operators"`
	// Peers is where other hosts connect. Without TLS it must be a loopback
	// address. Empty means no peer links.
	Peers string `json:"peers,omitempty"`
}

// Advertise holds the base URLs that are told to others.
type Advertise struct {
	Callers string `json:"callers,omitempty"`
	Peers   string `json:"peers,omitempty"`
}

// TLS names the PEM files by which hosts prove themselves to one another. All
// three are set, or none. Without them listen.peers must be a loopback address.
type TLS struct {
	// Cert is the file of this host's certificate.
	Cert string `json:"cert,omitempty"`
	// Key is the file of the certificate's private key.
	Key string `json:"key,omitempty"`
	// CA is the file of the authority that signs every host's certificate.
	CA string `json:"ca,omitempty"`
}

// Enabled reports whether links between hosts are secured.
func (t TLS) Enabled() bool { return t != TLS{} }

// Platform says where the platform's services are.
type Platform struct {
	// URL is the services' base address.
	URL string `json:"url"`
	// Timeout bounds one call. Default 2s.
	Timeout Duration `json:"timeout,omitzero"`
	// PollInterval is how often the configuration's head is read. Default 500ms.
	PollInterval Duration `json:"poll_interval,omitzero"`
}

// Fleet says what all hosts share.
type Fleet struct {
	// Hosts is the number of hosts that may serve at once.
	Hosts int `json:"hosts"`
}

// Requests bounds what one caller can use.
type Requests struct {
	// MaxBodyBytes bounds a request's body. Default 4 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitzero"`
	// MaxHeaderBytes bounds a request's header. Default 32 KiB.
	MaxHeaderBytes int `json:"max_header_bytes,omitzero"`
	// ReadTimeout bounds how long a request may take to arrive. Default 15s.
	ReadTimeout Duration `json:"read_timeout,omitzero"`
	// WriteTimeout bounds how long a caller may take over one part of an
	// answer. Default 30s.
	WriteTimeout Duration `json:"write_timeout,omitzero"`
	// Timeout is a request's deadline. Default 2m.
	Timeout Duration `json:"timeout,omitzero"`
}

// Log says what is logged.
type Log struct {
	// Level is trace, debug, info, warn or error. Default info.
	Level string `json:"level,omitempty"`
	// JSON writes one JSON object a line.
	JSON bool `json:"json,omitempty"`
}

// Drain bounds a graceful shutdown.
type Drain struct {
	// Timeout is when requests that still run are cut. Default 3m.
	Timeout Duration `json:"timeout,omitzero"`
	// LocateWait is how long new callers are still served after the host is no
	// longer told to callers, since they keep answers. Default 20s.
	LocateWait Duration `json:"locate_wait,omitzero"`
}

// Load reads, completes and checks a settings file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse completes and checks settings. The name is used in errors. Where the
// settings are not valid, the error is a Problems that holds every problem.
func Parse(name string, raw []byte) (*Settings, error) {
	var s Settings
	parsed, problems := decodeFile(name, raw, &s)
	if len(problems) > 0 {
		return nil, problems
	}
	s.setDefaults()
	problems = s.Validate()
	if len(problems) > 0 {
		return nil, parsed.addPositions(problems)
	}
	return &s, nil
}

// complete fills in the defaults.
func (s *Settings) setDefaults() {
	setDefault(&s.Platform.Timeout, Duration(2*time.Second))
	setDefault(&s.Platform.PollInterval, Duration(500*time.Millisecond))
	setDefault(&s.Requests.MaxBodyBytes, 4<<20)
	setDefault(&s.Requests.MaxHeaderBytes, 32<<10)
	setDefault(&s.Requests.ReadTimeout, Duration(15*time.Second))
	setDefault(&s.Requests.WriteTimeout, Duration(30*time.Second))
	setDefault(&s.Requests.Timeout, Duration(2*time.Minute))
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Drain.Timeout, Duration(3*time.Minute))
	setDefault(&s.Drain.LocateWait, Duration(20*time.Second))
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
