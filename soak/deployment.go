// Package soak runs a whole deployment as processes on loopback under a bounded load and a
// seeded schedule of faults, and checks conditions that must always hold. The checks are
// made from outside: they use the answers that callers received and the calls that the
// stand-ins of upstreams recorded.
package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// Shape is the size and the layout of a deployment.
type Shape struct {
	Name           string
	Zones          []string
	Hosts          int
	Engines        int
	Services       int
	AdapterSlots   int
	Adapters       int
	LoadsPerSecond float64
	LoadsInFlight  int
	Organisations  []string
	// ZipfExponent is the exponent of the Zipf distribution of the adapters' popularity.
	ZipfExponent float64
}

// Shapes returns the users' two deployments.
func Shapes() []Shape {
	return []Shape{
		{
			Name: "kretatabla", Zones: []string{"hu-central-a", "hu-central-b", "hu-central-c"}, Hosts: 7, Engines: 10, Services: 3,
			AdapterSlots: 8, Adapters: 3000, LoadsPerSecond: 2, LoadsInFlight: 8, ZipfExponent: 1.6,
			Organisations: []string{"north", "west", "lakes", "plain", "south"},
		},
		{
			Name: "hoi-go", Zones: []string{"vn-south-a", "vn-south-b", "vn-south-c"}, Hosts: 7, Engines: 12, Services: 3,
			AdapterSlots: 8, Adapters: 3000, LoadsPerSecond: 3, LoadsInFlight: 8, ZipfExponent: 1.6,
			Organisations: []string{"resorts", "dealers-a", "dealers-b", "builders", "spas"},
		},
	}
}

// Names and limits that all deployments share.
const (
	modelName  = "base"
	stockRoute = "/stock"
	orderRoute = "/order"
	poolName   = "portal"
	// tokensPerSecond and burstTokens are the rate limit of each organisation.
	tokensPerSecond = 4000
	burstTokens     = 20000
	// orderTokens is the cost of one call of a plain service, in tokens.
	orderTokens = 10
	// standinLoadTime is how long a stand-in engine takes to load an adapter.
	standinLoadTime = "250ms"
	// maxWriteAttempts is how often an operator sends a change until its outcome is known, and
	// writeRetryPause the pause after each failed attempt.
	maxWriteAttempts = 40
	writeRetryPause  = 500 * time.Millisecond
)

// host is one host of the deployment.
type host struct {
	name        string
	zone        string
	process     *process
	callerURL   string
	operatorURL string
	// linkURL controls the relay through which the other hosts connect to this one.
	linkURL      string
	relay        *process
	settingsPath string
}

// upstreamProcess is the process of a stand-in engine or of a stand-in plain service.
type upstreamProcess struct {
	name    string
	zone    string
	url     string
	engine  bool
	process *process
}

// deployment is the set of processes of one soak.
type deployment struct {
	shape       Shape
	dir         string
	bin         string
	platform    *process
	tables      *store.Client
	platformURL string
	hosts       []*host
	upstreams   []*upstreamProcess
	// onAccepted is called with the revision of each change that the store accepted.
	onAccepted func(revision int64)
}

// startDeployment starts the stand-ins and the hosts. On an error it returns the deployment as
// far as it was started, which the caller stops.
func startDeployment(s Shape, bin, dir string) (*deployment, error) {
	d := &deployment{shape: s, dir: dir, bin: bin}
	var err error
	if d.platform, d.platformURL, err = startStandin(dir, d.standinPath(), "platform", "platform"); err != nil {
		return d, err
	}
	d.tables = store.NewClient(d.platformURL, store.DefaultTimeout)
	if err := d.startUpstreams(); err != nil {
		return d, err
	}
	for i := range s.Hosts {
		if err := d.addHost(i); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) standinPath() string { return filepath.Join(d.bin, "jasminelock-standin") }

func (d *deployment) startUpstreams() error {
	for i := range d.shape.Engines {
		name := "engine-" + strconv.Itoa(i)
		args := []string{"engine", "--model", modelName, "--slots", strconv.Itoa(d.shape.AdapterSlots), "--load-time", standinLoadTime}
		if i%2 == 0 {
			args = append(args, "--checks-fence")
		}
		if err := d.addUpstream(i, name, true, args); err != nil {
			return err
		}
	}
	for i := range d.shape.Services {
		if err := d.addUpstream(i, "service-"+strconv.Itoa(i), false, []string{"service"}); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) addUpstream(i int, name string, engine bool, args []string) error {
	p, url, err := startStandin(d.dir, d.standinPath(), name, args...)
	if err != nil {
		return err
	}
	d.upstreams = append(d.upstreams, &upstreamProcess{
		name: name, zone: d.shape.Zones[i%len(d.shape.Zones)], url: url, engine: engine, process: p,
	})
	return nil
}

// hostSettings is the content of a host's settings file.
type hostSettings struct {
	Host      string            `json:"host"`
	Zone      string            `json:"zone"`
	Listen    map[string]string `json:"listen"`
	Advertise map[string]string `json:"advertise"`
	Platform  map[string]string `json:"platform"`
	Fleet     map[string]int    `json:"fleet"`
	Drain     map[string]string `json:"drain"`
}

// locateWait is how long a draining host still serves new callers. It is longer than
// locateCacheTime, for which callers keep the answer of /v1/locate.
const locateWait = 3 * time.Second

func (d *deployment) addHost(i int) error {
	h := &host{name: "host-" + strconv.Itoa(i), zone: d.shape.Zones[i%len(d.shape.Zones)]}
	addresses := make([]string, 4) // callers, operators, peers and the relay to peers
	for j := range addresses {
		var err error
		if addresses[j], err = reserveAddress(); err != nil {
			return err
		}
	}
	h.callerURL, h.operatorURL = "http://"+addresses[0], "http://"+addresses[1]
	var err error
	h.relay, h.linkURL, err = startStandin(d.dir, d.standinPath(), "link-"+h.name,
		"link", "--relay", addresses[3], "--target", addresses[2])
	if err != nil {
		return err
	}
	raw, err := json.Marshal(hostSettings{
		Host: h.name, Zone: h.zone,
		Listen:    map[string]string{"callers": addresses[0], "operators": addresses[1], "peers": addresses[2]},
		Advertise: map[string]string{"peers": "http://" + addresses[3]},
		Platform:  map[string]string{"url": d.platformURL},
		Fleet:     map[string]int{"hosts": d.shape.Hosts},
		Drain:     map[string]string{"locate_wait": locateWait.String()},
	})
	if err != nil {
		return err
	}
	h.settingsPath = filepath.Join(d.dir, h.name+".jsonc")
	if err := os.WriteFile(h.settingsPath, raw, 0o600); err != nil {
		return err
	}
	h.process = &process{
		name: h.name, path: filepath.Join(d.bin, "jasminelockd"), args: []string{"--config", h.settingsPath},
		logPath: filepath.Join(d.dir, h.name+".log"),
	}
	d.hosts = append(d.hosts, h)
	return h.process.start()
}

// stop kills every process of the deployment.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.process.kill()
		h.relay.kill()
	}
	for _, u := range d.upstreams {
		u.process.kill()
	}
	if d.platform != nil {
		d.platform.kill()
	}
}

// spec is the spec of a record, which is encoded as JSON.
type spec map[string]any

func envelope(kind record.Kind, name string, s spec) record.Envelope {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err) // a spec holds only what JSON can hold
	}
	return record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: raw}
}

func keyRecord(org, name, secret string, withdrawn bool) record.Envelope {
	return envelope(record.KindKey, name, spec{
		"organisation": org, "hash": record.HashSecret(secret).String(), "withdrawn": withdrawn,
	})
}

func (d *deployment) upstreamRecord(u *upstreamProcess, leaving bool) record.Envelope {
	s := spec{"url": u.url, "zone": u.zone, "adapter_slots": d.shape.AdapterSlots, "leaving": leaving}
	if u.engine {
		s["class"], s["model"], s["checks_fence"] = record.ClassEngine, modelName, u.name[len(u.name)-1]%2 == 0
	} else {
		s["class"], s["pool"] = record.ClassService, poolName
	}
	return envelope(record.KindUpstream, u.name, s)
}

func adapterName(i int) string { return "adapter-" + strconv.Itoa(i) }

// records returns the first records of the deployment, without API keys.
func (d *deployment) records() []record.Envelope {
	s := d.shape
	all := []record.Envelope{
		envelope(record.KindModel, modelName, spec{"loads_per_second": s.LoadsPerSecond, "loads_in_flight": s.LoadsInFlight}),
		envelope(record.KindRoute, "stock", spec{
			"prefix": stockRoute, "pool": poolName, "repeatable": true, "cost_tokens": orderTokens,
		}),
		envelope(record.KindRoute, "order", spec{"prefix": orderRoute, "pool": poolName, "cost_tokens": orderTokens}),
	}
	for _, org := range s.Organisations {
		all = append(all, envelope(record.KindOrganisation, org, spec{}),
			envelope(record.KindRate, org, spec{"tokens_per_second": tokensPerSecond, "burst_tokens": burstTokens}))
	}
	for i := range s.Adapters {
		owner := s.Organisations[i%len(s.Organisations)]
		all = append(all,
			envelope(record.KindAdapter, adapterName(i), spec{
				"organisation": owner, "model": modelName, "default_version": "1",
			}),
			envelope(record.KindVersion, adapterName(i)+"@1", spec{}))
	}
	for _, u := range d.upstreams {
		all = append(all, d.upstreamRecord(u, false))
	}
	return all
}

// apply writes records as an operator does: it repeats the write with the same operation ID
// until the outcome is known, at most maxWriteAttempts times. It returns the revision of the
// accepted change, a configstore.ConflictError for a conflict, or the last error.
func (d *deployment) apply(ctx context.Context, records ...record.Envelope) (int64, error) {
	change := configstore.Change{Operation: uuid.NewString(), Records: records}
	var err error
	for range maxWriteAttempts {
		var revision int64
		revision, err = configstore.Write(ctx, d.tables, change)
		var conflict *configstore.ConflictError
		if err == nil {
			d.onAccepted(revision)
			return revision, nil
		}
		if errors.As(err, &conflict) {
			return 0, err
		}
		time.Sleep(writeRetryPause)
	}
	return 0, fmt.Errorf("soak: no attempt to write the change was accepted: %w", err)
}
