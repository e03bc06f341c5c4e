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
	// completion is a streamed chat completion, which may be repeated.
	completion requestKind = iota
	// stockCheck is a call of a plain service, which may be repeated.
	stockCheck
	// keyedOrder is a call that may not be run twice and has an idempotency key.
	keyedOrder
	// plainOrder is a call that may not be run twice and has no idempotency key.
	plainOrder
)

// outcome is one attempt of a request, with the answer that the caller received.
type outcome struct {
	marker  string
	kind    requestKind
	org     string
	adapter string
	secret  string
	host    string
	sentAt  time.Time
	endedAt time.Time
	// firstByteAt is when the first data event of a stream or the end of a plain answer came.
	firstByteAt time.Time
	status      int
	code        string
	ran         string
	retryAfter  string
	// complete is true if the whole answer arrived; mismatch describes a wrong content.
	complete   bool
	mismatch   string
	usedTokens int64
	// connErr is the error of a connection that ended before the end of the answer.
	connErr error
}

// Bounds and shares of the load.
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

// load sends callers' requests at a fixed mean rate, independently of the answers. Requests beyond
// maxInFlight are skipped and counted.
type load struct {
	deployment        *deployment
	client            *http.Client
	cumulativeWeights []float64

	// mu guards the fields below.
	mu          sync.Mutex
	rng         *rand.Rand
	lastMarker  int
	secrets     map[string]string
	outcomes    []*outcome
	locateCache map[string]cachedLocate
	rateFactor  float64 // scales the total rate; the extra requests are the first organisation's
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
		sum += math.Pow(float64(rank+1), -d.shape.ZipfExponent)
		l.cumulativeWeights = append(l.cumulativeWeights, sum)
	}
	return l
}

// run sends requests until the context ends, and then waits for the last answers.
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

// startRequest draws a request and sends it in a goroutine, unless maxInFlight are in flight.
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

// drawRequest returns a random request and its caller's availability zone. l.mu must be held.
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

// send sends a request as a caller does, and records each attempt. Only an order with an
// idempotency key is sent again, after a broken connection or a refusal, and at most
// keyedOrderAttempts times in all.
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

// attempt sends a request to the first located host that accepts a connection.
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

// cancelBody cancels a request's context when its body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context of the request.
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

// locate returns the URLs of the hosts to use for a request, in order of preference. It queries
// /v1/locate at a random host, then at the others, and caches the answer for locateCacheTime.
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

// errorBody is the body of a refusal.
type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// readAnswer reads the answer to its end and checks it.
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
		o.mismatch = fmt.Sprintf("answer %s does not contain the marker %s", raw, o.marker)
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

// streamEvent is the data of one event of a streamed completion: a chunk or an error.
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
		o.mismatch = "event of the stream is not JSON: " + data
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

// checkText compares a complete answer with the text that the stand-in engine generates for the
// requested adapter and its version.
func (o *outcome) checkText(got string) {
	var want strings.Builder
	for i := range answerTokens {
		fmt.Fprintf(&want, "%s@1-%d ", o.adapter, i)
	}
	if got != want.String() {
		o.mismatch = fmt.Sprintf("requested adapter %s, got the text %q", o.adapter, got)
	}
}

// setSecret makes the organisation's callers use the secret of another key from now on.
func (l *load) setSecret(org, secret string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.secrets[org] = secret
}

// setRateFactor scales the rate of the load; the extra requests are the first organisation's.
func (l *load) setRateFactor(f float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rateFactor = f
}
