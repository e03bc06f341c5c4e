package gateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/locate"
	"github.com/jasminelock/jasminelock/record"
)

// modelList is the response body of /v1/models, in OpenAI's format.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry is one adapter or adapter version in a modelList.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models serves /v1/models: the adapters that the caller's key may use, and each of their
// versions.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	secret := callerSecret(r.Header)
	if secret == "" {
		writeError(w, apierr.New(apierr.MissingKey, "send it as Authorization: Bearer"))
		return
	}
	config := s.board.Config.Snapshot()
	org, ok := config.Authorised(record.HashSecret(secret))
	if !ok {
		writeError(w, apierr.New(apierr.InvalidKey, ""))
		return
	}
	writeJSON(w, http.StatusOK, modelList{Object: "list", Data: modelEntries(config, org)})
}

// modelEntries returns the adapters and versions that the organisation may use, sorted by
// id. An adapter without a default version is listed by its versions only.
func modelEntries(config *record.Config, org string) []modelEntry {
	entries := []modelEntry{}
	add := func(id, owner string) {
		entries = append(entries, modelEntry{ID: id, Object: "model", OwnedBy: owner})
	}
	for a := range config.UsableBy(org) {
		if a.DefaultVersion != "" {
			add(a.Name, a.Organisation)
		}
		for ref := range config.VersionsOf(a.Name) {
			add(ref.String(), a.Organisation)
		}
	}
	slices.SortFunc(entries, func(a, b modelEntry) int { return strings.Compare(a.ID, b.ID) })
	return entries
}

// locateResponse is the response body of /v1/locate.
type locateResponse struct {
	// Hosts are the hosts to use, in order of preference.
	Hosts []locate.Choice `json:"hosts"`
	// KeepSeconds is the time in seconds for which the caller may cache the response.
	KeepSeconds int `json:"keep_seconds"`
}

// locate serves /v1/locate. It needs no key: a caller needs the hosts' addresses before it
// can present one, and the response reveals nothing about any organisation.
func (s *Server) locate(w http.ResponseWriter, r *http.Request) {
	params := r.URL.Query()
	query := locate.Query{
		Model: params.Get("model"), Organisation: params.Get("organisation"), Zone: params.Get("zone"), RandomKey: rand.Uint64(),
	}
	hosts := locate.Decide(s.locatableHosts(), query)
	if len(hosts) == 0 {
		writeError(w, apierr.New(apierr.NotReady, "no host is available"))
		return
	}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(locate.AnswerTTL.Seconds())))
	writeJSON(w, http.StatusOK, locateResponse{Hosts: hosts, KeepSeconds: int(locate.AnswerTTL.Seconds())})
}

// locatableHosts returns the hosts that /v1/locate may list: those on the member list, or those on
// the platform's host list if the member list is empty, as on a host without links to
// other hosts.
func (s *Server) locatableHosts() []locate.Host {
	if members := s.board.Members.Snapshot(); len(members) > 0 {
		return locate.FromMembers(members)
	}
	return locate.FromHostList(s.board.Hosts.Snapshot())
}
