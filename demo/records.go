package demo

import (
	"encoding/json"

	"github.com/jasminelock/jasminelock/record"
)

// The base model and the routes of the deployment.
const (
	modelName   = "base-7b"
	ordersRoute = "/orders"
	stockRoute  = "/stock"
	pool        = "portal"
)

// organisation is an organisation of the deployment. secret is the secret of its key.
type organisation struct {
	name     string
	secret   string
	adapters []string
}

var organisations = []organisation{
	{"north", record.SecretPrefix + "demo-north-0123456789abcdefghijklmnopqr", []string{"north-support", "north-mail"}},
	{"south", record.SecretPrefix + "demo-south-0123456789abcdefghijklmnopqr", []string{"south-search", "south-summary"}},
}

// temporaryKey is the secret of the key that is withdrawn.
var temporaryKey = record.SecretPrefix + "demo-temporary-0123456789abcdefghijklmn"

const temporaryKeyName = "north-temporary"

// The adapter that gets a second version, and the names of the two versions.
const (
	updatedAdapter = "north-support"
	firstVersion   = "1"
	secondVersion  = "2"
)

// The specs of the records that the demo writes, in schema 2.
type (
	displaySpec struct {
		DisplayName string `json:"display_name"`
	}
	modelSpec struct {
		MaxContextTokens int64 `json:"max_context_tokens"`
	}
	keySpec struct {
		Organisation string `json:"organisation"`
		Hash         string `json:"hash"`
		Withdrawn    bool   `json:"withdrawn,omitempty"`
	}
	rateSpec struct {
		TokensPerSecond float64 `json:"tokens_per_second"`
		BurstTokens     int64   `json:"burst_tokens"`
	}
	adapterSpec struct {
		Organisation   string `json:"organisation"`
		Model          string `json:"model"`
		DefaultVersion string `json:"default_version"`
	}
	versionSpec struct {
		Source string `json:"source"`
	}
	upstreamSpec struct {
		Class        string `json:"class"`
		URL          string `json:"url"`
		Zone         string `json:"zone"`
		Model        string `json:"model,omitempty"`
		Pool         string `json:"pool,omitempty"`
		AdapterSlots int    `json:"adapter_slots,omitempty"`
		ChecksFence  bool   `json:"checks_fence,omitempty"`
	}
	routeSpec struct {
		Prefix     string `json:"prefix"`
		Pool       string `json:"pool"`
		Open       bool   `json:"open,omitempty"`
		Repeatable bool   `json:"repeatable,omitempty"`
		CostTokens int64  `json:"cost_tokens,omitempty"`
	}
)

// The rate of each organisation in tokens, the cost of an order in tokens, and the
// context length of the base model in tokens.
const (
	tokensPerSecond = 100_000
	burstTokens     = 400_000
	orderCostTokens = 10
	maxContext      = 8192
)

func newRecord(kind record.Kind, name string, spec any) record.Envelope {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the specs above can always be encoded
	}
	return record.Envelope{Schema: record.SchemaV2, Kind: kind, Name: name, Spec: raw}
}

// deployment returns the initial records of the deployment.
func deployment(upstreams []upstreamServer) []record.Envelope {
	records := []record.Envelope{
		newRecord(record.KindModel, modelName, modelSpec{maxContext}),
		keyRecord(temporaryKeyName, organisations[0].name, temporaryKey, false),
		newRecord(record.KindRoute, "orders", routeSpec{Prefix: ordersRoute, Pool: pool, CostTokens: orderCostTokens}),
		newRecord(record.KindRoute, "stock", routeSpec{Prefix: stockRoute, Pool: pool, Open: true, Repeatable: true}),
	}
	for _, o := range organisations {
		records = append(records, organisationRecords(o)...)
	}
	for _, u := range upstreams {
		records = append(records, upstreamRecord(u))
	}
	return records
}

func organisationRecords(o organisation) []record.Envelope {
	records := []record.Envelope{
		newRecord(record.KindOrganisation, o.name, displaySpec{o.name}),
		keyRecord(o.name+"-main", o.name, o.secret, false),
		newRecord(record.KindRate, o.name, rateSpec{tokensPerSecond, burstTokens}),
	}
	for _, a := range o.adapters {
		records = append(records, adapterRecord(a, o.name, firstVersion), versionRecord(a, firstVersion))
	}
	return records
}

func keyRecord(name, org, secret string, withdrawn bool) record.Envelope {
	return newRecord(record.KindKey, name, keySpec{Organisation: org, Hash: record.HashSecret(secret).String(), Withdrawn: withdrawn})
}

func adapterRecord(name, org, version string) record.Envelope {
	return newRecord(record.KindAdapter, name, adapterSpec{org, modelName, version})
}

func versionRecord(adapter, version string) record.Envelope {
	ref := record.AdapterRef{Name: adapter, Version: version}
	return newRecord(record.KindVersion, ref.String(), versionSpec{"weights/" + ref.String()})
}

func upstreamRecord(u upstreamServer) record.Envelope {
	spec := upstreamSpec{Class: u.class, URL: u.url, Zone: u.zone}
	if u.class == string(record.ClassEngine) {
		spec.Model = modelName
		spec.AdapterSlots = adapterSlots
	} else {
		spec.Pool = pool
	}
	return newRecord(record.KindUpstream, u.name, spec)
}
