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

// modelList is the answer of /v1/models, in OpenAI's shape.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists what the caller's key may use: each adapter, and each of its
// versions.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	secret := bearer(r.Header)
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

// locateAnswer is the answer of /v1/locate.
type locateAnswer struct {
	// Hosts are the hosts to use, best first.
	Hosts []locate.Choice `json:"hosts"`
	// KeepSeconds is how long the answer may be kept.
	KeepSeconds int `json:"keep_seconds"`
}

// locate needs no key: it tells addresses that a caller must know before it
// can present one, and nothing of any organisation.
func (s *Server) locate(w http.ResponseWriter, r *http.Request) {
	asked := r.URL.Query()
	q := locate.Query{
		Model: asked.Get("model"), Organisation: asked.Get("organisation"), Zone: asked.Get("zone"), RandomKey: rand.Uint64(),
	}
	hosts := locate.Decide(s.located(), q)
	if len(hosts) == 0 {
		writeError(w, apierr.New(apierr.NotReady, "no host is known"))
		return
	}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(locate.AnswerTTL.Seconds())))
	writeJSON(w, http.StatusOK, locateAnswer{Hosts: hosts, KeepSeconds: int(locate.AnswerTTL.Seconds())})
}

// located returns the hosts that callers may be sent to. Without links to
// others, there is no roster and the platform's list has to do.
func (s *Server) located() []locate.Host {
	if roster := s.board.Members.Snapshot(); len(roster) > 0 {
		return locate.FromMembers(roster)
	}
	return locate.FromHostList(s.board.Hosts.Snapshot())
}
