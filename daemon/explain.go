package daemon

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/jasminelock/jasminelock/apierr"
	"github.com/jasminelock/jasminelock/core"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/sched"
)

// Values of Explanation.Decision.
const (
	decisionRefuse   = "refuse"
	decisionDispatch = "dispatch"
	decisionWait     = "wait"
)

// Explanation is the decision that a request would get, with its reason.
type Explanation struct {
	// Decision is "dispatch", "wait" or "refuse".
	Decision string `json:"decision"`
	// Rule is the name of the rule that made the decision.
	Rule string `json:"rule"`
	// Code and Message are those of the error that a refused caller receives. A waiting request has a
	// Message without a Code.
	Code    string `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
	// Alternatives are the upstreams that were compared, best first.
	Alternatives []ExplainedUpstream `json:"alternatives,omitempty"`
	// Revision is the revision of the configuration in force.
	Revision int64 `json:"revision"`
}

// ExplainedUpstream is an upstream that was compared for a request.
type ExplainedUpstream struct {
	Upstream string `json:"upstream"`
	// Expected is the expected time to the first token, as time.Duration prints it.
	Expected string `json:"expected"`
	// Note is the upstream's state that counted for or against it, such as "resident" or "leaving".
	Note string `json:"note"`
}

// serveExplain handles GET /explain: it answers with the Explanation of the request that the query
// describes. The query holds the hash of an API key or an organisation, never an API key.
func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	req, err := d.parseExplainQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, d.Explain(req))
}

// Explain returns the decision that a request would get now, without submitting the request. It does
// not check whether the organisation's rate is exhausted.
func (d *Daemon) Explain(req core.Request) Explanation {
	var reason sched.Reason
	var refusal *apierr.Error
	d.runtime.View(func(c *core.Core) { reason, refusal = c.Explain(time.Now(), req) })
	e := Explanation{Decision: decisionDispatch, Rule: reason.Rule, Revision: d.board.Config.Snapshot().Revision}
	if refusal != nil {
		e.Decision, e.Code, e.Message = decisionRefuse, refusal.Kind.String(), refusal.Message()
		return e
	}
	for _, a := range reason.Alternatives {
		e.Alternatives = append(e.Alternatives, ExplainedUpstream{a.Upstream, a.Expected.String(), a.Note})
	}
	if len(e.Alternatives) == 0 {
		e.Decision, e.Message = decisionWait, "no upstream can accept the request at this moment; it waits for a free upstream or for its adapter to be loaded"
	}
	return e
}

// parseExplainQuery parses the query of GET /explain. It returns an error that names the invalid parameter.
func (d *Daemon) parseExplainQuery(q url.Values) (core.Request, error) {
	req := core.Request{Model: q.Get("model"), Path: q.Get("path"), Deadline: time.Now().Add(time.Duration(d.settings.Requests.Timeout))}
	method := q.Get("method")
	req.Safe = method == http.MethodGet || method == http.MethodHead
	if text := q.Get("tokens"); text != "" {
		tokens, err := strconv.ParseInt(text, 10, 64)
		if err != nil || tokens < 0 {
			return req, fmt.Errorf("tokens: must be a whole number of 0 or more")
		}
		req.Tokens = tokens
	}
	if (req.Model == "") == (req.Path == "") {
		return req, fmt.Errorf("exactly one of model and path is required")
	}
	return req, d.parseExplainKey(q, &req)
}

// parseExplainKey sets the API key of the request from key_hash, or from the first active key by name
// of the organisation. The request has no key if the query has neither.
func (d *Daemon) parseExplainKey(q url.Values, req *core.Request) error {
	if text := q.Get("key_hash"); text != "" {
		hash, err := hex.DecodeString(text)
		if err != nil || len(hash) != len(record.KeyHash{}) {
			return fmt.Errorf("key_hash: must be 64 hexadecimal digits (SHA-256 of the secret)")
		}
		req.HasKey, req.KeyHash = true, record.KeyHash(hash)
		return nil
	}
	org := q.Get("organisation")
	if org == "" {
		return nil
	}
	key, ok := d.board.Config.Snapshot().ActiveKeyOf(org)
	if !ok {
		return fmt.Errorf("organisation %q has no active API key", org)
	}
	req.HasKey, req.KeyHash = true, key.Hash
	return nil
}
