package record

import (
	"fmt"
	"slices"
	"strings"
)

// Check reports references to records that do not exist, and secrets that two keys share.
func (c *Config) Check() []error {
	r := referenceCheck{config: c}
	r.keys()
	r.rates()
	r.adapters()
	r.versions()
	r.upstreams()
	slices.SortFunc(r.problems, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return r.problems
}

type referenceCheck struct {
	config   *Config
	problems []error
}

func (r *referenceCheck) addProblem(from Ref, field, want string) {
	r.problems = append(r.problems, &DecodeError{Ref: from, Field: field, Want: want})
}

// requireExists adds a problem for the reference to the named record unless found is true.
func (r *referenceCheck) requireExists(found bool, from Ref, kind Kind, name string) {
	if !found {
		r.addProblem(from, string(kind), fmt.Sprintf("a record that exists, not %q", name))
	}
}

func (r *referenceCheck) organisation(from Ref, name string) {
	_, found := r.config.organisations[name]
	r.requireExists(found, from, KindOrganisation, name)
}

func (r *referenceCheck) model(from Ref, name string) {
	_, found := r.config.models[name]
	r.requireExists(found, from, KindModel, name)
}

func (r *referenceCheck) keys() {
	for name, k := range r.config.keysByName {
		from := Ref{KindKey, name}
		r.organisation(from, k.Organisation)
		if first := r.config.keys[k.Hash]; first != k {
			r.problems = append(r.problems, &DecodeError{
				Ref: from, Field: "spec.hash", Want: "a secret that is not already used by key " + first.Name, Duplicates: Ref{KindKey, first.Name},
			})
		}
	}
}

func (r *referenceCheck) rates() {
	for name := range r.config.rates {
		r.organisation(Ref{KindRate, name}, name)
	}
}

func (r *referenceCheck) adapters() {
	for name, a := range r.config.Adapters() {
		from := Ref{KindAdapter, name}
		r.organisation(from, a.Organisation)
		r.model(from, a.Model)
		if a.DefaultVersion == "" {
			continue
		}
		ref := AdapterRef{name, a.DefaultVersion}
		_, found := r.config.Version(ref)
		r.requireExists(found, from, KindVersion, ref.String())
	}
}

func (r *referenceCheck) versions() {
	for ref, v := range r.config.Versions() {
		_, found := r.config.Adapter(v.Adapter)
		r.requireExists(found, Ref{KindVersion, ref.String()}, KindAdapter, v.Adapter)
	}
}

func (r *referenceCheck) upstreams() {
	for name, u := range r.config.upstreams {
		if u.Class == ClassEngine {
			r.model(Ref{KindUpstream, name}, u.Model)
		}
	}
}
