// Package soak runs a whole deployment as processes on loopback, puts a bounded
// load and a seeded schedule of faults on it, and checks from outside what must
// always hold: by what callers were told and what upstreams saw.
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

// Shape is a deployment's size.
type Shape struct {
	Name          string
	Zones         []string
	Hosts         int
	Engines       int
	Services      int
	AdapterSlots         int
	Adapters      int
	LoadsPerSecond  float64
	LoadsInFlight int
	Organisations []string
	// ZipfExponent is the exponent of the adapters' popularity.
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

// Names and limits of every deployment.
const (
	model      = "base"
	stockRoute = "/stock"
	orderRoute = "/order"
	poolName   = "portal"
	// tokensPerSecond and burstTokens are each organisation's limit.
	tokensPerSecond = 4000
	burstTokens     = 20000
	// orderTokens is what one call of a plain service costs.
	orderTokens = 10
	// standinLoadTime is how long an engine takes for one load.
	standinLoadTime = "250ms"
	// writeTries bounds how often an operator repeats a change that failed.
	writeTries = 40
	writePause = 500 * time.Millisecond
)

// host is one host of the deployment.
type host struct {
	name      string
	zone      string
	process   *process
	callers   string
	operators string
	// link is the switch of the relay that other hosts reach this one through.
	link     string
	relay    *process
	settings string
}

// upstreamProcess is an engine or a plain service.
type upstreamProcess struct {
	name    string
	zone    string
	url     string
	engine  bool
	process *process
}

// deployment is everything that was started.
type deployment struct {
	shape     Shape
	dir       string
	bin       string
	platform  *process
	tables    *store.Client
	url       string
	hosts     []*host
	upstreams []*upstreamProcess
	// accepted is told the revision of each change that was accepted.
	accepted func(revision int64)
}

// startDeployment starts every process and writes the records.
func startDeployment(s Shape, bin, dir string) (*deployment, error) {
	d := &deployment{shape: s, dir: dir, bin: bin}
	var err error
	if d.platform, d.url, err = startStandin(dir, d.standin(), "platform", "platform"); err != nil {
		return d, err
	}
	d.tables = store.NewClient(d.url, store.DefaultTimeout)
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

func (d *deployment) standin() string { return filepath.Join(d.bin, "jasminelock-standin") }

func (d *deployment) startUpstreams() error {
	for i := range d.shape.Engines {
		name := "engine-" + strconv.Itoa(i)
		args := []string{"engine", "--model", model, "--slots", strconv.Itoa(d.shape.AdapterSlots), "--load-time", standinLoadTime}
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
	p, url, err := startStandin(d.dir, d.standin(), name, args...)
	if err != nil {
		return err
	}
	d.upstreams = append(d.upstreams, &upstreamProcess{name: name, zone: d.shape.Zones[i%len(d.shape.Zones)], url: url, engine: engine, process: p})
	return nil
}

// hostSettings are a host's settings as they are written to its file.
type hostSettings struct {
	Host      string            `json:"host"`
	Zone      string            `json:"zone"`
	Listen    map[string]string `json:"listen"`
	Advertise map[string]string `json:"advertise"`
	Platform  map[string]string `json:"platform"`
	Fleet     map[string]int    `json:"fleet"`
	Drain     map[string]string `json:"drain"`
}

// locateWait is how long a leaving host still serves new callers. Callers of
// the soak keep an answer for less.
const locateWait = 3 * time.Second

func (d *deployment) addHost(i int) error {
	h := &host{name: "host-" + strconv.Itoa(i), zone: d.shape.Zones[i%len(d.shape.Zones)]}
	addresses := make([]string, 4) // callers, operators, peers and the peers' relay
	for j := range addresses {
		var err error
		if addresses[j], err = freeAddress(); err != nil {
			return err
		}
	}
	h.callers, h.operators = "http://"+addresses[0], "http://"+addresses[1]
	var err error
	h.relay, h.link, err = startStandin(d.dir, d.standin(), "link-"+h.name, "link", "--relay", addresses[3], "--target", addresses[2])
	if err != nil {
		return err
	}
	raw, err := json.Marshal(hostSettings{
		Host: h.name, Zone: h.zone,
		Listen:    map[string]string{"callers": addresses[0], "operators": addresses[1], "peers": addresses[2]},
		Advertise: map[string]string{"peers": "http://" + addresses[3]},
		Platform:  map[string]string{"url": d.url},
		Fleet:     map[string]int{"hosts": d.shape.Hosts},
		Drain:     map[string]string{"locate_wait": locateWait.String()},
	})
	if err != nil {
		return err
	}
	h.settings = filepath.Join(d.dir, h.name+".jsonc")
	if err := os.WriteFile(h.settings, raw, 0o600); err != nil {
		return err
	}
	h.process = &process{
		name: h.name, path: filepath.Join(d.bin, "jasminelockd"), args: []string{"--config", h.settings},
		log: filepath.Join(d.dir, h.name+".log"),
	}
	d.hosts = append(d.hosts, h)
	return h.process.start()
}

// stop ends every process that was started.
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

// spec is a record's spec as it is written.
type spec map[string]any

func envelope(kind record.Kind, name string, s spec) record.Envelope {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err) // a spec holds only what JSON can hold
	}
	return record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: raw}
}

func keyRecord(org, name, secret string, withdrawn bool) record.Envelope {
	return envelope(record.KindKey, name, spec{"organisation": org, "hash": record.HashSecret(secret).String(), "withdrawn": withdrawn})
}

func (d *deployment) upstreamRecord(u *upstreamProcess, leaving bool) record.Envelope {
	s := spec{"url": u.url, "zone": u.zone, "adapter_slots": d.shape.AdapterSlots, "leaving": leaving}
	if u.engine {
		s["class"], s["model"], s["checks_fence"] = record.ClassEngine, model, u.name[len(u.name)-1]%2 == 0
	} else {
		s["class"], s["pool"] = record.ClassService, poolName
	}
	return envelope(record.KindUpstream, u.name, s)
}

func adapterName(i int) string { return "adapter-" + strconv.Itoa(i) }

// records are the deployment's first records, without keys.
func (d *deployment) records() []record.Envelope {
	s := d.shape
	all := []record.Envelope{
		envelope(record.KindModel, model, spec{"loads_per_second": s.LoadsPerSecond, "loads_in_flight": s.LoadsInFlight}),
		envelope(record.KindRoute, "stock", spec{"prefix": stockRoute, "pool": poolName, "repeatable": true, "cost_tokens": orderTokens}),
		envelope(record.KindRoute, "order", spec{"prefix": orderRoute, "pool": poolName, "cost_tokens": orderTokens}),
	}
	for _, org := range s.Organisations {
		all = append(all, envelope(record.KindOrganisation, org, spec{}),
			envelope(record.KindRate, org, spec{"tokens_per_second": tokensPerSecond, "burst_tokens": burstTokens}))
	}
	for i := range s.Adapters {
		owner := s.Organisations[i%len(s.Organisations)]
		all = append(all, envelope(record.KindAdapter, adapterName(i), spec{"organisation": owner, "model": model, "default_version": "1"}),
			envelope(record.KindVersion, adapterName(i)+"@1", spec{}))
	}
	for _, u := range d.upstreams {
		all = append(all, d.upstreamRecord(u, false))
	}
	return all
}

// apply writes records as an operator does: again with the same operation id
// until the outcome is known. It returns the revision and when the write was
// known to be accepted.
func (d *deployment) apply(ctx context.Context, records ...record.Envelope) (int64, error) {
	change := configstore.Change{Operation: uuid.NewString(), Records: records}
	var err error
	for range writeTries {
		var revision int64
		revision, err = configstore.Write(ctx, d.tables, change)
		var conflict *configstore.ConflictError
		if err == nil {
			d.accepted(revision)
			return revision, nil
		}
		if errors.As(err, &conflict) {
			return 0, err
		}
		time.Sleep(writePause)
	}
	return 0, fmt.Errorf("soak: the change was not accepted: %w", err)
}
