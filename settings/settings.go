// Package settings reads and validates a host's settings file, which is JSON with
// comments.
package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "250ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler. The duration must be positive.
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

// String returns the duration in the format of the settings file.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Settings holds the settings of one host.
type Settings struct {
	// Host is the host's unique name.
	Host string `json:"host"`
	// Zone is the host's availability zone.
	Zone string `json:"zone"`
	// Listen holds the listen addresses, "ip:port".
	Listen Listen `json:"listen"`
	// Advertise holds the addresses announced to callers and other hosts. Each defaults
	// to the listen address.
	Advertise Advertise `json:"advertise,omitzero"`
	// TLS holds the certificates for the links between hosts.
	TLS TLS `json:"tls,omitzero"`
	// Platform holds the address of the platform's services and how they are called.
	Platform Platform `json:"platform"`
	// Fleet holds the settings that are the same on all hosts.
	Fleet Fleet `json:"fleet"`
	// Requests holds the limits of one request.
	Requests Requests `json:"requests,omitzero"`
	// MemoryMB is the memory available to the process, in megabytes. Default: half of the machine's.
	MemoryMB int `json:"memory_mb,omitzero"`
	// Descriptors is the number of file descriptors that the process may open. Default: its own limit (RLIMIT_NOFILE).
	Descriptors int `json:"descriptors,omitzero"`
	// Callers holds the shares of memory and descriptors for callers.
	Callers Callers `json:"callers,omitzero"`
	// Log selects the log level and format.
	Log Log `json:"log,omitzero"`
	// Drain holds the time limits of a graceful shutdown.
	Drain Drain `json:"drain,omitzero"`
}

// Listen holds the listen addresses, "ip:port". Port 0 selects a free port.
type Listen struct {
	// Callers is the address to which callers connect.
	Callers string `json:"callers"`
	// Operators is the address that serves metrics, status and explain.
	Operators string `json:"operators"`
	// Peers is the address to which other hosts connect. Without TLS it must be a
	// loopback address. If it is empty, there are no links to other hosts.
	Peers string `json:"peers,omitempty"`
}

// Advertise holds the base URLs announced to callers and other hosts.
type Advertise struct {
	Callers string `json:"callers,omitempty"`
	Peers   string `json:"peers,omitempty"`
}

// TLS holds the names of the PEM files with which hosts authenticate each other.
// Either all three are set or none. Without them, listen.peers must be a loopback
// address.
type TLS struct {
	// Cert is the file of this host's certificate.
	Cert string `json:"cert,omitempty"`
	// Key is the file of the certificate's private key.
	Key string `json:"key,omitempty"`
	// CA is the file of the certificate authority that signs every host's certificate.
	CA string `json:"ca,omitempty"`
}

// Enabled reports whether links between hosts use TLS.
func (t TLS) Enabled() bool { return t != TLS{} }

// Platform holds the address of the platform's services and how they are called.
type Platform struct {
	// URL is the base URL of the services.
	URL string `json:"url"`
	// Timeout bounds one call. Default 2s.
	Timeout Duration `json:"timeout,omitzero"`
	// PollInterval is the interval at which the configuration's head is read. Default
	// 500ms.
	PollInterval Duration `json:"poll_interval,omitzero"`
}

// Fleet holds the settings that are the same on all hosts.
type Fleet struct {
	// Hosts is the maximum number of hosts that serve at the same time.
	Hosts int `json:"hosts"`
}

// Requests holds the limits of one request.
type Requests struct {
	// MaxBodyBytes is the maximum size of a request's body. Default 4 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitzero"`
	// MaxHeaderBytes is the maximum size of a request's header. Default 32 KiB.
	MaxHeaderBytes int `json:"max_header_bytes,omitzero"`
	// ReadTimeout bounds how long a request may take to arrive. Default 15s.
	ReadTimeout Duration `json:"read_timeout,omitzero"`
	// WriteTimeout bounds how long a caller may take to receive one part of an answer.
	// Default 30s.
	WriteTimeout Duration `json:"write_timeout,omitzero"`
	// Timeout bounds how long a request may take. Default 2m.
	Timeout Duration `json:"timeout,omitzero"`
}

// Log selects the log level and format.
type Log struct {
	// Level is trace, debug, info, warn or error. Default info.
	Level string `json:"level,omitempty"`
	// JSON selects output of one JSON object per line.
	JSON bool `json:"json,omitempty"`
}

// Drain holds the time limits of a graceful shutdown.
type Drain struct {
	// Timeout is the time after which requests that still run are interrupted. Default 3m.
	Timeout Duration `json:"timeout,omitzero"`
	// LocateWait is how long new requests are still served after the host is no longer
	// announced to callers, because callers cache the announced hosts. Default 20s.
	LocateWait Duration `json:"locate_wait,omitzero"`
}

// Load reads a settings file, sets defaults and validates it.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse parses settings, sets defaults and validates them. The name is the file name
// in errors. If the settings are not valid, the error is a Problems with every problem
// found.
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

// setDefaults sets the fields that are unset and have a default.
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
	s.Callers.setDefaults()
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
