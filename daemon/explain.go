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

// The decisions that an Explanation can tell.
const (
	decisionRefuse   = "refuse"
	decisionDispatch = "dispatch"
	decisionWait     = "wait"
)

// Explanation says how a request would be decided, and why.
type Explanation struct {
	// Decision is dispatch, wait or refuse.
	Decision string `json:"decision"`
	// Rule names the rule that decided.
	Rule string `json:"rule"`
	// Code and Message are those of the error that a refused caller is given.
	Code    string `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
	// Alternatives are the upstreams that were weighed, best first.
	Alternatives []ExplainedUpstream `json:"alternatives,omitempty"`
	Revision     int64               `json:"revision"`
}

// ExplainedUpstream is one upstream that was weighed.
type ExplainedUpstream struct {
	Upstream string `json:"upstream"`
	// Expected is the expected time to the first token.
	Expected string `json:"expected"`
	Note     string `json:"note"`
}

// serveExplain answers how a request would be decided. The question carries a
// hash of a key or an organisation, never a key.
func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	req, err := d.explainedRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, d.Explain(req))
}

// Explain says how a request would be decided now, without deciding it. It
// does not ask whether the organisation's rate is used up.
func (d *Daemon) Explain(req core.Request) Explanation {
	var why sched.Reason
	var refused *apierr.Error
	d.runtime.View(func(c *core.Core) { why, refused = c.Explain(time.Now(), req) })
	e := Explanation{Decision: decisionDispatch, Rule: why.Rule, Revision: d.board.Config.Snapshot().Revision}
	if refused != nil {
		e.Decision, e.Code, e.Message = decisionRefuse, refused.Kind.String(), refused.Message()
		return e
	}
	for _, a := range why.Alternatives {
		e.Alternatives = append(e.Alternatives, ExplainedUpstream{a.Upstream, a.Expected.String(), a.Note})
	}
	if len(e.Alternatives) == 0 {
		e.Decision, e.Message = decisionWait, "no upstream can take the request at this moment: it waits for a free one or for a load"
	}
	return e
}

func (d *Daemon) explainedRequest(q url.Values) (core.Request, error) {
	req := core.Request{Model: q.Get("model"), Path: q.Get("path"), Deadline: time.Now().Add(time.Duration(d.settings.Requests.Timeout))}
	method := q.Get("method")
	req.Safe = method == http.MethodGet || method == http.MethodHead
	if text := q.Get("tokens"); text != "" {
		tokens, err := strconv.ParseInt(text, 10, 64)
		if err != nil || tokens < 0 {
			return req, fmt.Errorf("tokens: want a whole number of 0 or more")
		}
		req.Tokens = tokens
	}
	if (req.Model == "") == (req.Path == "") {
		return req, fmt.Errorf("want one of model and path")
	}
	return req, d.explainedKey(q, &req)
}

// explainedKey sets the key that the question is asked with.
func (d *Daemon) explainedKey(q url.Values, req *core.Request) error {
	if text := q.Get("key_hash"); text != "" {
		hash, err := hex.DecodeString(text)
		if err != nil || len(hash) != len(record.KeyHash{}) {
			return fmt.Errorf("key_hash: want 64 hexadecimal digits (SHA-256 of the secret)")
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
		return fmt.Errorf("organisation %q: it has no key that works", org)
	}
	req.HasKey, req.KeyHash = true, key.Hash
	return nil
}
