package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"
)

// requestKind is the kind of a caller's request.
type requestKind uint8

const (
	// completion is a streamed completion. It may be repeated.
	completion requestKind = iota
	// stockCheck is a call of a plain service that may be repeated.
	stockCheck
	// keyedOrder may not be repeated and has an idempotency key.
	keyedOrder
	// plainOrder may not be repeated and has none.
	plainOrder
)

// outcome is what a caller was told of one request.
type outcome struct {
	marker  string
	kind    requestKind
	org     string
	adapter string
	secret  string
	host    string
	sentAt  time.Time
	endedAt time.Time
	// first is when the first byte of the answer came.
	firstByteAt time.Time
	status      int
	code        string
	ran         string
	retryAfter  string
	// whole says that the answer came whole and right.
	complete   bool
	mismatch   string
	usedTokens int64
	// broken is a connection that ended without an answer.
	connErr error
}

// Bounds of the load.
const (
	requestTimeout     = 60 * time.Second
	locateCacheTime    = 2 * time.Second
	maxInFlight        = 400
	connectTimeout     = 2 * time.Second
	answerTokens       = 8
	keyedOrderAttempts = 3
	keyedOrderPause    = 300 * time.Millisecond
	completionShare    = 0.6
	stockCheckShare    = 0.2
	keyedOrderShare    = 0.1
)

// load makes callers' requests at a fixed mean rate, whatever comes back.
type load struct {
	deployment        *deployment
	client            *http.Client
	cumulativeWeights []float64

	// mu guards all below.
	mu          sync.Mutex
	rng         *rand.Rand
	lastMarker  int
	secrets     map[string]string
	outcomes    []*outcome
	locateCache map[string]cachedLocate
	rateFactor  float64 // how many times the usual rate the first organisation asks for
	skipped     int
	inFlight    int
	group       sync.WaitGroup
}

type cachedLocate struct {
	at    time.Time
	hosts []string
}

func newLoad(d *deployment, seed uint64) *load {
	dialer := &net.Dialer{Timeout: connectTimeout}
	l := &load{
		deployment: d, rng: rand.New(rand.NewPCG(seed, 1)), secrets: map[string]string{},
		locateCache: map[string]cachedLocate{}, rateFactor: 1,
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxInFlight, DisableCompression: true,
		}},
	}
	sum := 0.0
	for rank := range d.shape.Adapters / len(d.shape.Organisations) {
		sum += math.Pow(float64(rank+1), -d.shape.Skew)
		l.cumulativeWeights = append(l.cumulativeWeights, sum)
	}
	return l
}

// run sends requests until the context ends, then waits for the last answers.
func (l *load) run(ctx context.Context, perSecond float64) {
	for ctx.Err() == nil {
		l.mu.Lock()
		gap := l.rng.ExpFloat64() / (perSecond * l.rateFactor)
		l.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(gap * float64(time.Second))):
			l.startRequest()
		}
	}
	l.group.Wait()
}

// one draws a request and sends it on its own goroutine.
func (l *load) startRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= maxInFlight {
		l.skipped++
		return
	}
	l.inFlight++
	o, zone := l.drawRequest()
	l.group.Go(func() {
		l.send(o, zone)
		l.mu.Lock()
		l.inFlight--
		l.mu.Unlock()
	})
}

// draw is called with mu held.
func (l *load) drawRequest() (*outcome, string) {
	orgs := l.deployment.shape.Organisations
	i := l.rng.IntN(len(orgs))
	if l.rateFactor > 1 && l.rng.Float64() < 1-1/l.rateFactor {
		i = 0
	}
	l.lastMarker++
	o := &outcome{marker: fmt.Sprintf("mk-%d-", l.lastMarker), org: orgs[i], secret: l.secrets[orgs[i]]}
	u := l.rng.Float64() * l.cumulativeWeights[len(l.cumulativeWeights)-1]
	rank, _ := slices.BinarySearch(l.cumulativeWeights, u)
	o.adapter = adapterName(rank*len(orgs) + i)
	switch p := l.rng.Float64(); {
	case p < completionShare:
		o.kind = completion
	case p < completionShare+stockCheckShare:
		o.kind = stockCheck
	case p < completionShare+stockCheckShare+keyedOrderShare:
		o.kind = keyedOrder
	default:
		o.kind = plainOrder
	}
	return o, l.deployment.shape.Zones[l.rng.IntN(len(l.deployment.shape.Zones))]
}

// send makes the request as a caller would: at the first host that takes the
// connection. Only an order with an idempotency key is made again after a
// broken connection or a refusal that says so.
func (l *load) send(o *outcome, zone string) {
	attempts := 1
	if o.kind == keyedOrder {
		attempts = keyedOrderAttempts
	}
	for range attempts {
		attempt := *o
		l.attempt(&attempt, zone)
		l.mu.Lock()
		l.outcomes = append(l.outcomes, &attempt)
		l.mu.Unlock()
		if attempt.complete || attempt.code == "idempotency_key_reused" {
			return
		}
		time.Sleep(keyedOrderPause)
	}
}

func (l *load) attempt(o *outcome, zone string) {
	o.sentAt = time.Now()
	defer func() { o.endedAt = time.Now() }()
	for _, host := range l.locate(o, zone) {
		o.host = host
		resp, err := l.do(o, host) //nolint:bodyclose // closed by read
		if err != nil {
			var op *net.OpError
			if errors.As(err, &op) && op.Op == "dial" {
				o.connErr = err
				continue
			}
			o.connErr = err
			return
		}
		o.connErr = nil
		o.readAnswer(resp)
		return
	}
}

func (l *load) do(o *outcome, host string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	req, err := l.newRequest(ctx, o, host)
	if err != nil {
		cancel()
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+o.secret)
	resp, err := l.client.Do(req)
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = &cancelBody{resp.Body, cancel}
	return resp, nil
}

// cancelBody ends a request's context with its body.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

func (l *load) newRequest(ctx context.Context, o *outcome, host string) (*http.Request, error) {
	if o.kind == completion {
		body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"%s draft"}]}`,
			o.adapter, answerTokens, o.marker)
		return http.NewRequestWithContext(ctx, http.MethodPost, host+"/v1/chat/completions", strings.NewReader(body))
	}
	if o.kind == stockCheck {
		return http.NewRequestWithContext(ctx, http.MethodGet, host+stockRoute+"/"+o.marker, nil)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, host+orderRoute, strings.NewReader(o.marker))
	if err == nil && o.kind == keyedOrder {
		req.Header.Set("Idempotency-Key", o.marker)
	}
	return req, err
}

// locate asks any host which hosts to use, and keeps the answer for a while.
func (l *load) locate(o *outcome, zone string) []string {
	key := zone + "/" + o.adapter
	l.mu.Lock()
	cached, ok := l.locateCache[key]
	start := l.rng.IntN(len(l.deployment.hosts))
	l.mu.Unlock()
	if ok && time.Since(cached.at) < locateCacheTime {
		return cached.hosts
	}
	q := url.Values{"model": {o.adapter}, "zone": {zone}}
	for i := range l.deployment.hosts {
		h := l.deployment.hosts[(start+i)%len(l.deployment.hosts)]
		if hosts, err := l.queryLocate(h.callerURL + "/v1/locate?" + q.Encode()); err == nil && len(hosts) > 0 {
			l.mu.Lock()
			l.locateCache[key] = cachedLocate{time.Now(), hosts}
			l.mu.Unlock()
			return hosts
		}
	}
	return nil
}

type locateBody struct {
	Hosts []struct {
		URL string `json:"url"`
	} `json:"hosts"`
}

func (l *load) queryLocate(address string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body locateBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, err
	}
	var hosts []string
	for _, h := range body.Hosts {
		hosts = append(hosts, h.URL)
	}
	return hosts, nil
}

// errorBody is a refusal as callers see it.
type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// read reads the answer to its end and judges it.
func (o *outcome) readAnswer(resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	o.retryAfter = resp.Header.Get("Retry-After")
	if resp.StatusCode >= http.StatusBadRequest {
		o.readError(resp.Body)
		return
	}
	if o.kind == completion {
		o.readStream(resp.Body)
		return
	}
	raw, err := io.ReadAll(resp.Body)
	o.firstByteAt = time.Now()
	if err != nil {
		o.connErr = err
		return
	}
	o.usedTokens = orderTokens
	o.complete = json.Valid(raw)
	if o.kind == stockCheck && !bytes.Contains(raw, []byte(o.marker)) {
		o.mismatch = fmt.Sprintf("answer %s is not for %s", raw, o.marker)
	}
}

func (o *outcome) readError(body io.Reader) {
	var e errorBody
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		o.connErr = err
		return
	}
	o.code, o.ran = e.Error.Code, e.Error.Ran
}

// streamEvent is one event of a stream.
type streamEvent struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		TotalTokens int64 `json:"total_tokens"`
	} `json:"usage"`
	errorBody
}

func (o *outcome) readStream(body io.Reader) {
	scanner := bufio.NewScanner(body)
	var text strings.Builder
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if o.firstByteAt.IsZero() {
			o.firstByteAt = time.Now()
		}
		if data == "[DONE]" {
			o.complete = true
			o.checkText(text.String())
			return
		}
		o.readEvent(data, &text)
		if o.code != "" {
			return
		}
	}
	o.connErr = errors.Join(errors.New("the stream ended without its last event"), scanner.Err())
}

func (o *outcome) readEvent(data string, text *strings.Builder) {
	var c streamEvent
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		o.mismatch = "event is not JSON: " + data
		return
	}
	if c.Error.Code != "" {
		o.code, o.ran = c.Error.Code, c.Error.Ran
		return
	}
	if c.Usage != nil {
		o.usedTokens = c.Usage.TotalTokens
	}
	for _, choice := range c.Choices {
		text.WriteString(choice.Delta.Content)
	}
}

// checkText compares a whole answer with what the stand-in engine says for the
// adapter and version that was asked for.
func (o *outcome) checkText(got string) {
	var want strings.Builder
	for i := range answerTokens {
		fmt.Fprintf(&want, "%s@1-%d ", o.adapter, i)
	}
	if got != want.String() {
		o.mismatch = fmt.Sprintf("asked %s, got %q", o.adapter, got)
	}
}

// setSecret makes the organisation's callers use another key from now on.
func (l *load) setSecret(org, secret string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.secrets[org] = secret
}

// setFactor makes the first organisation ask for more.
func (l *load) setRateFactor(f float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rateFactor = f
}
