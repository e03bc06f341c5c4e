package bench

import (
	"encoding/json"
	"strconv"

	"github.com/jasminelock/jasminelock/record"
)

// baseModel is the only base model of a deployment.
const baseModel = "base"

// servicePool and servicePrefix are the pool and the route prefix of the plain
// services.
const (
	servicePool   = "portal"
	servicePrefix = "/stock"
)

// upstreamName returns the name of upstream i. The engines come first, then the
// services.
func upstreamName(d Deployment, i int) string {
	if i < d.Engines {
		return "engine-" + strconv.Itoa(i)
	}
	return "service-" + strconv.Itoa(i-d.Engines)
}

func secretOf(organisation string) string { return "secret of " + organisation }

// spec is a record's spec before it is encoded.
type spec map[string]any

func envelope(kind record.Kind, name string, s spec) record.Envelope {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: raw}
}

// rateLimit returns an organisation's rate in tokens per second and its burst in
// tokens.
func (f *fleet) rateLimit(o Organisation) (perSecond float64, burst int64) {
	perSecond = f.deployment.meanTokens(o) * o.Headroom
	return perSecond, int64(perSecond*burstSeconds) + minBurstTokens
}

// A burst is burstSeconds of the rate plus minBurstTokens, which is thus also its
// least size.
const (
	burstSeconds   = 20
	minBurstTokens = 20000
)

// buildConfig returns the deployment's configuration. leaving is empty, or names
// the one upstream that is marked as leaving.
func (f *fleet) buildConfig(leaving []string) *record.Config {
	d := f.deployment
	records := []record.Envelope{
		envelope(record.KindModel, baseModel, spec{"loads_per_second": d.LoadsPerSecond, "loads_in_flight": d.LoadsInFlight}),
		envelope(record.KindRoute, servicePool, spec{"prefix": servicePrefix, "pool": servicePool, "repeatable": true, "cost_tokens": serviceTokens}),
	}
	for _, o := range d.Organisations {
		perSecond, burst := f.rateLimit(o)
		records = append(records,
			envelope(record.KindOrganisation, o.Name, spec{}),
			envelope(record.KindKey, o.Name, spec{"organisation": o.Name, "hash": record.HashSecret(secretOf(o.Name)).String()}),
			envelope(record.KindRate, o.Name, spec{"tokens_per_second": perSecond, "burst_tokens": burst}))
	}
	for i := range d.Adapters {
		owner := d.Organisations[i%len(d.Organisations)].Name
		records = append(records,
			envelope(record.KindAdapter, adapterName(i), spec{"organisation": owner, "model": baseModel, "default_version": "1"}),
			envelope(record.KindVersion, adapterRef(i).String(), spec{}))
	}
	for i := range d.Engines + d.Services {
		records = append(records, f.upstreamRecord(i, leaving))
	}
	config, problems := record.NewConfig().Apply(int64(1+len(leaving)), records)
	if len(problems) > 0 {
		panic(problems[0])
	}
	return config
}

func (f *fleet) upstreamRecord(i int, leaving []string) record.Envelope {
	name := upstreamName(f.deployment, i)
	s := spec{
		"url": "http://" + name, "zone": f.deployment.Zones[i%len(f.deployment.Zones)], "max_batch": f.deployment.MaxBatch,
		"adapter_slots": f.deployment.AdapterSlots, "leaving": len(leaving) > 0 && leaving[0] == name,
		"checks_fence": i%2 == 0, // some engines check fences, others do not
	}
	if i < f.deployment.Engines {
		s["class"], s["model"] = record.ClassEngine, baseModel
	} else {
		s["class"], s["pool"] = record.ClassService, servicePool
	}
	return envelope(record.KindUpstream, name, s)
}
