package configcheck

import (
	"errors"
	"fmt"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/record"
)

// recordsCheck checks a file of records as a change of the records in force.
type recordsCheck struct {
	doc    *Document
	limits Limits
	config *record.Config
	// paths holds the path of each record of the file, records the record.
	paths   map[record.Ref]string
	records map[record.Ref]record.Envelope
	// known holds what is wrong with the records in force, and is not reported. It is filled while
	// collecting is set.
	known      map[string]bool
	collecting bool
}

// CheckRecords adds what is wrong with a file of records, an array. The records are taken as a change
// of base, the records in force; if that is empty, as a whole configuration. It returns the records of
// the file that could be decoded.
func CheckRecords(doc *Document, base []record.Envelope, limits Limits) []record.Envelope {
	var rows []record.Envelope
	doc.Decode(&rows)
	c := recordsCheck{doc: doc, limits: limits, paths: map[record.Ref]string{}, records: map[record.Ref]record.Envelope{}, known: map[string]bool{}}
	var valid []record.Envelope
	for i, e := range rows {
		if c.checkRecord(fmt.Sprintf("[%d]", i), e) {
			valid = append(valid, e)
		}
	}
	before, _ := record.NewConfig().Apply(1, base) // invalid records in force are not reported for the file
	after, _ := before.Apply(2, valid)
	c.collecting = true
	c.checkConfig(before)
	c.collecting = false
	c.checkConfig(after)
	doc.Sort()
	return valid
}

// checkConfig checks the records together.
func (c *recordsCheck) checkConfig(config *record.Config) {
	c.config = config
	c.references()
	c.routes()
	c.services()
	c.rates()
	c.keys()
	c.adapters()
}

// checkRecord checks one record and reports whether it can be decoded.
func (c *recordsCheck) checkRecord(path string, e record.Envelope) bool {
	ref := e.Ref()
	if first, twice := c.paths[ref]; twice {
		c.doc.Add(Invalid, path, "record %s is in the file twice, first at %s", ref, first)
	}
	c.paths[ref], c.records[ref] = path, e
	problems := record.Validate(e)
	for _, p := range problems {
		c.doc.Add(Invalid, path+"."+p.Field, "record %s: want %s", ref, p.Want)
	}
	for _, w := range record.Warnings(e) {
		c.doc.Add(UnknownField, path+".spec", "%s", w)
	}
	return len(problems) == 0
}

// add adds a finding at a field of a record.
func (c *recordsCheck) add(rule Rule, ref record.Ref, field, format string, args ...any) {
	message := fmt.Sprintf("record %s: ", ref) + fmt.Sprintf(format, args...)
	path, inFile := c.paths[ref]
	id := string(rule) + field + message
	switch {
	case c.collecting:
		c.known[id] = true
		return
	case c.known[id]:
		return
	case !inFile:
		c.doc.Findings = append(c.doc.Findings, Finding{c.doc.File, 0, ref.String() + "." + field, rule, message})
		return
	}
	c.doc.Add(rule, path+"."+field, "%s", message)
}

// references adds findings for references to records that do not exist, and for secrets that two keys share.
func (c *recordsCheck) references() {
	for _, err := range c.config.Check() {
		var problem *record.DecodeError
		switch {
		case !errors.As(err, &problem):
		case problem.Duplicates != record.Ref{}:
			c.add(Invalid, problem.Ref, problem.Field, "hosts take the secret for that of record %s, %s",
				problem.Duplicates, c.place(problem.Duplicates, problem.Field))
		default:
			c.add(MissingReference, problem.Ref, problem.Field, "want %s", problem.Want)
		}
	}
}

// place describes where a field of a record is.
func (c *recordsCheck) place(ref record.Ref, field string) string {
	path, inFile := c.paths[ref]
	if !inFile {
		return "which is in force"
	}
	return fmt.Sprintf("at %s in line %d", join(path, field), c.doc.lineOf(join(path, field)))
}

// routes adds findings for routes that no request reaches, and for those whose timeout exceeds the grace time.
func (c *recordsCheck) routes() {
	pools := map[string]bool{}
	for _, u := range c.config.Upstreams() {
		pools[u.Pool] = pools[u.Pool] || u.Class == record.ClassService
	}
	for _, r := range c.config.Routes() {
		ref := record.Ref{Kind: record.KindRoute, Name: r.Name}
		if winner, _ := c.config.Route(r.Prefix); winner != r {
			c.add(NeverUsed, ref, "spec.prefix", "route %s has the same prefix and takes all requests", winner.Name)
		}
		if !pools[r.Pool] {
			c.add(NeverUsed, ref, "spec.pool", "no upstream is in pool %q", r.Pool)
		}
		if c.limits.Grace > 0 && r.Timeout > c.limits.Grace {
			c.add(Contradiction, ref, c.timeoutField(ref), "the timeout %s is longer than the %s in which a host that stops must answer", r.Timeout, c.limits.Grace)
		}
	}
}

// timeoutField returns the field in which a route states its timeout.
func (c *recordsCheck) timeoutField(ref record.Ref) string {
	if c.records[ref].Schema == record.SchemaV1 {
		return "spec.timeout_seconds"
	}
	return "spec.timeout"
}

// services adds findings for upstreams of plain services that no route leads to.
func (c *recordsCheck) services() {
	routed := map[string]bool{}
	for _, r := range c.config.Routes() {
		routed[r.Pool] = true
	}
	for name, u := range c.config.Upstreams() {
		if u.Class == record.ClassService && !routed[u.Pool] {
			c.add(NeverUsed, record.Ref{Kind: record.KindUpstream, Name: name}, "spec.pool", "no route leads to pool %q", u.Pool)
		}
	}
}

// rates adds findings for bursts that are lower than the cost of one request.
func (c *recordsCheck) rates() {
	for name, rate := range c.config.Rates() {
		for _, r := range c.config.Routes() {
			if !r.Open && r.CostTokens > rate.BurstTokens {
				c.add(Contradiction, record.Ref{Kind: record.KindRate, Name: name}, "spec.burst_tokens",
					"the burst of %d is less than the %d that one request of route %s costs", rate.BurstTokens, r.CostTokens, r.Name)
			}
		}
	}
}

// keys adds findings for keys whose organisation has no rate: it may spend nothing. What costs no tokens is served all the same.
func (c *recordsCheck) keys() {
	for name, key := range c.config.Keys() {
		organisation, exists := c.config.Organisation(key.Organisation)
		if key.Withdrawn || !exists || organisation.Suspended {
			continue // its requests are refused in any case
		}
		if _, limited := c.config.Rate(key.Organisation); !limited {
			c.add(NeverUsed, record.Ref{Kind: record.KindKey, Name: name}, "spec.organisation",
				"organisation %s has no rate, so that each request of the key that costs tokens is refused as %s", key.Organisation, apierr.CostOverBurst)
		}
	}
}

// adapters adds findings for adapters without a version, which no request can name.
func (c *recordsCheck) adapters() {
	versions := map[string]bool{}
	for ref := range c.config.Versions() {
		versions[ref.Name] = true
	}
	for name := range c.config.Adapters() {
		if !versions[name] {
			c.add(NeverUsed, record.Ref{Kind: record.KindAdapter, Name: name}, "name", "the adapter has no version")
		}
	}
}

// Compare returns what a change of records changes.
func Compare(base, changes []record.Envelope) ([]Change, error) {
	after := map[record.Ref]record.Envelope{}
	for _, e := range base {
		after[e.Ref()] = e
	}
	for _, e := range changes {
		after[e.Ref()] = e
	}
	var changed []record.Envelope
	for _, e := range after {
		changed = append(changed, e)
	}
	b, err := decodedRecords(base)
	if err != nil {
		return nil, err
	}
	a, err := decodedRecords(changed)
	if err != nil {
		return nil, err
	}
	return Diff(b, a), nil
}

// decodedRecords returns the records that are not deleted as encoding/json decodes them.
func decodedRecords(records []record.Envelope) (any, error) {
	live := []any{}
	for _, e := range records {
		if e.Deleted {
			continue
		}
		spec, err := decodeJSON(e.Spec)
		if err != nil {
			return nil, fmt.Errorf("record %s: %w", e.Ref(), err)
		}
		live = append(live, map[string]any{"schema": e.Schema, "kind": string(e.Kind), "name": e.Name, "spec": spec})
	}
	return live, nil
}
