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

// kind is the kind of a caller's request.
type kind uint8

const (
	// completion is a streamed completion. It may be repeated.
	completion kind = iota
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
	kind    kind
	org     string
	adapter string
	secret  string
	host    string
	sent    time.Time
	ended   time.Time
	// first is when the first byte of the answer came.
	first  time.Time
	status int
	code   string
	ran    string
	retry  string
	// whole says that the answer came whole and right.
	whole bool
	wrong string
	usage int64
	// broken is a connection that ended without an answer.
	broken error
}

// Bounds of the load.
const (
	requestTimeout  = 60 * time.Second
	keepLocate      = 2 * time.Second
	maxInFlight     = 400
	connectTimeout  = 2 * time.Second
	answerTokens    = 8
	keyedRepeats    = 3
	keyedPause      = 300 * time.Millisecond
	shareCompletion = 0.6
	shareStock      = 0.2
	shareKeyed      = 0.1
)

// load makes callers' requests at a fixed mean rate, whatever comes back.
type load struct {
	d    *deployment
	http *http.Client
	zipf []float64

	// mu guards all below.
	mu       sync.Mutex
	rng      *rand.Rand
	next     int
	secrets  map[string]string
	outcomes []*outcome
	located  map[string]locatedAnswer
	factor   float64 // how many times the usual rate the first organisation asks for
	skipped  int
	inFlight int
	group    sync.WaitGroup
}

type locatedAnswer struct {
	at    time.Time
	hosts []string
}

func newLoad(d *deployment, seed uint64) *load {
	dialer := &net.Dialer{Timeout: connectTimeout}
	l := &load{
		d: d, rng: rand.New(rand.NewPCG(seed, 1)), secrets: map[string]string{}, located: map[string]locatedAnswer{}, factor: 1,
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}},
	}
	sum := 0.0
	for rank := range d.shape.Adapters / len(d.shape.Organisations) {
		sum += math.Pow(float64(rank+1), -d.shape.ZipfExponent)
		l.zipf = append(l.zipf, sum)
	}
	return l
}

// run sends requests until the context ends, then waits for the last answers.
func (l *load) run(ctx context.Context, perSecond float64) {
	for ctx.Err() == nil {
		l.mu.Lock()
		gap := l.rng.ExpFloat64() / (perSecond * l.factor)
		l.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(gap * float64(time.Second))):
			l.one()
		}
	}
	l.group.Wait()
}

// one draws a request and sends it on its own goroutine.
func (l *load) one() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= maxInFlight {
		l.skipped++
		return
	}
	l.inFlight++
	o, zone := l.draw()
	l.group.Go(func() {
		l.send(o, zone)
		l.mu.Lock()
		l.inFlight--
		l.mu.Unlock()
	})
}

// draw is called with mu held.
func (l *load) draw() (*outcome, string) {
	orgs := l.d.shape.Organisations
	i := l.rng.IntN(len(orgs))
	if l.factor > 1 && l.rng.Float64() < 1-1/l.factor {
		i = 0
	}
	l.next++
	o := &outcome{marker: fmt.Sprintf("mk-%d-", l.next), org: orgs[i], secret: l.secrets[orgs[i]]}
	u := l.rng.Float64() * l.zipf[len(l.zipf)-1]
	rank, _ := slices.BinarySearch(l.zipf, u)
	o.adapter = adapterName(rank*len(orgs) + i)
	switch p := l.rng.Float64(); {
	case p < shareCompletion:
		o.kind = completion
	case p < shareCompletion+shareStock:
		o.kind = stockCheck
	case p < shareCompletion+shareStock+shareKeyed:
		o.kind = keyedOrder
	default:
		o.kind = plainOrder
	}
	return o, l.d.shape.Zones[l.rng.IntN(len(l.d.shape.Zones))]
}

// send makes the request as a caller would: at the first host that takes the
// connection. Only an order with an idempotency key is made again after a
// broken connection or a refusal that says so.
func (l *load) send(o *outcome, zone string) {
	tries := 1
	if o.kind == keyedOrder {
		tries = keyedRepeats
	}
	for range tries {
		attempt := *o
		l.attempt(&attempt, zone)
		l.mu.Lock()
		l.outcomes = append(l.outcomes, &attempt)
		l.mu.Unlock()
		if attempt.whole || attempt.code == "idempotency_key_reused" {
			return
		}
		time.Sleep(keyedPause)
	}
}

func (l *load) attempt(o *outcome, zone string) {
	o.sent = time.Now()
	defer func() { o.ended = time.Now() }()
	for _, host := range l.locate(o, zone) {
		o.host = host
		resp, err := l.call(o, host) //nolint:bodyclose // closed by read
		if err != nil {
			var op *net.OpError
			if errors.As(err, &op) && op.Op == "dial" {
				o.broken = err
				continue
			}
			o.broken = err
			return
		}
		o.broken = nil
		o.read(resp)
		return
	}
}

func (l *load) call(o *outcome, host string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	req, err := l.request(ctx, o, host)
	if err != nil {
		cancel()
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+o.secret)
	resp, err := l.http.Do(req)
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

func (l *load) request(ctx context.Context, o *outcome, host string) (*http.Request, error) {
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
	kept, ok := l.located[key]
	start := l.rng.IntN(len(l.d.hosts))
	l.mu.Unlock()
	if ok && time.Since(kept.at) < keepLocate {
		return kept.hosts
	}
	q := url.Values{"model": {o.adapter}, "zone": {zone}}
	for i := range l.d.hosts {
		h := l.d.hosts[(start+i)%len(l.d.hosts)]
		if hosts, err := l.ask(h.callers + "/v1/locate?" + q.Encode()); err == nil && len(hosts) > 0 {
			l.mu.Lock()
			l.located[key] = locatedAnswer{time.Now(), hosts}
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

func (l *load) ask(address string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	resp, err := l.http.Do(req)
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
func (o *outcome) read(resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	o.retry = resp.Header.Get("Retry-After")
	if resp.StatusCode >= http.StatusBadRequest {
		o.readError(resp.Body)
		return
	}
	if o.kind == completion {
		o.readStream(resp.Body)
		return
	}
	raw, err := io.ReadAll(resp.Body)
	o.first = time.Now()
	if err != nil {
		o.broken = err
		return
	}
	o.usage = orderTokens
	o.whole = json.Valid(raw)
	if o.kind == stockCheck && !bytes.Contains(raw, []byte(o.marker)) {
		o.wrong = fmt.Sprintf("answer %s is not for %s", raw, o.marker)
	}
}

func (o *outcome) readError(body io.Reader) {
	var e errorBody
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		o.broken = err
		return
	}
	o.code, o.ran = e.Error.Code, e.Error.Ran
}

// chunk is one event of a stream.
type chunk struct {
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
		if o.first.IsZero() {
			o.first = time.Now()
		}
		if data == "[DONE]" {
			o.whole = true
			o.checkText(text.String())
			return
		}
		o.readChunk(data, &text)
		if o.code != "" {
			return
		}
	}
	o.broken = errors.Join(errors.New("the stream ended without its last event"), scanner.Err())
}

func (o *outcome) readChunk(data string, text *strings.Builder) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		o.wrong = "event is not JSON: " + data
		return
	}
	if c.Error.Code != "" {
		o.code, o.ran = c.Error.Code, c.Error.Ran
		return
	}
	if c.Usage != nil {
		o.usage = c.Usage.TotalTokens
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
		o.wrong = fmt.Sprintf("asked %s, got %q", o.adapter, got)
	}
}

// setSecret makes the organisation's callers use another key from now on.
func (l *load) setSecret(org, secret string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.secrets[org] = secret
}

// setFactor makes the first organisation ask for more.
func (l *load) setFactor(f float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.factor = f
}
