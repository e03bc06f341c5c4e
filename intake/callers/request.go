package callers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/jasminelock/jasminelock/intake"
)

// Request is what a request under way holds. The methods of a nil Request grant everything; it stands for a request that did
// not arrive through a gate.
type Request struct {
	conn *conn
	// bodyLeft is set until the body was read to its end.
	bodyLeft bool
}

// Begin returns the account of a request, nil if it did not arrive through a gate. It returns ErrRefused, and an account, if
// there is no memory for the request. End must be called for an account.
func Begin(r *http.Request) (*Request, error) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil, nil
	}
	request := &Request{conn: c, bodyLeft: r.ContentLength != 0}
	_ = c.SetWriteDeadline(time.Time{}) // that of End; fails only on a closed connection
	if !c.gate.granted(func(now time.Time) ([]*intake.Conn, intake.Verdict) { return c.gate.budget.Begin(now, &c.account) }) {
		return request, ErrRefused
	}
	return request, nil
}

// maxDiscardTime is how long net/http may read on around the response, for a body that was not read to its end. It has no limit
// of its own, so that a caller that stops sending would keep the connection, and would not get the response.
const maxDiscardTime = 500 * time.Millisecond

// End releases what the request holds, except its head, which net/http keeps until the connection is idle.
func (r *Request) End() {
	if r == nil {
		return
	}
	r.conn.gate.budget.Finish(&r.conn.account)
	r.LimitDiscard()
	_ = r.conn.SetWriteDeadline(time.Now().Add(maxFlushTime)) // fails only on a closed connection
}

// maxFlushTime is how long net/http may write the end of a response after the handler has ended. It has no limit of its own, so
// that a caller which does not read would keep the connection.
const maxFlushTime = 10 * time.Second

// Handler returns a handler that counts the requests to another one that does not do it itself.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := Begin(r)
		defer request.End()
		if err != nil || request.MustClose() {
			w.Header().Set("Connection", "close")
		}
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// MustClose reports whether the response must ask the caller to close its connection, since there are as many as the limit. One
// that pipelines requests would be under way all the time, and keep its place.
func (r *Request) MustClose() bool { return r != nil && r.conn.gate.budget.ConnectionsFull() }

// ResetOnClose sets whether the caller's connection is reset when it is closed. It is set while a response is being written
// whose end only the end of the connection marks: whatever else ends the connection, the end of the process too, must not look
// like the end of the response.
func (r *Request) ResetOnClose(reset bool) {
	if r != nil {
		r.conn.setResetOnClose(reset)
	}
}

// LimitDiscard limits how long net/http reads the rest of a body that was not read to its end. It is called before the response
// is written.
func (r *Request) LimitDiscard() {
	if r != nil && r.bodyLeft {
		_ = r.conn.SetReadDeadline(time.Now().Add(maxDiscardTime)) // fails only on a closed connection
	}
}

// SetKey sets the caller's key, to which what the request holds is charged. It reports false if the request must be refused, since
// the requests with the key hold their share.
func (r *Request) SetKey(key string) bool {
	if r == nil {
		return true
	}
	return r.conn.gate.granted(func(now time.Time) ([]*intake.Conn, intake.Verdict) {
		return r.conn.gate.budget.SetKey(now, &r.conn.account, key)
	})
}

// Reserve reserves n bytes, and reports whether they were granted.
func (r *Request) Reserve(k intake.Kind, n int64) bool {
	if r == nil {
		return true
	}
	return r.conn.gate.granted(func(now time.Time) ([]*intake.Conn, intake.Verdict) {
		return r.conn.gate.budget.Reserve(now, &r.conn.account, k, n)
	})
}

// Release releases n bytes.
func (r *Request) Release(k intake.Kind, n int64) {
	if r != nil {
		r.conn.gate.budget.Release(&r.conn.account, k, n)
	}
}

// ReleaseAll releases all that is held of a kind.
func (r *Request) ReleaseAll(k intake.Kind) {
	if r != nil {
		r.conn.gate.budget.ReleaseAll(&r.conn.account, k)
	}
}

// ReadBody reads a body to its end. Length is its length, -1 if it is not known, and limit the largest that body returns. It
// returns ErrRefused if there is no memory for it or if the request was given up, and else the error of body.
func (r *Request) ReadBody(body io.Reader, length, limit int64) ([]byte, error) {
	if r == nil {
		return readWhole(r, body, length, limit)
	}
	budget, account := r.conn.gate.budget, &r.conn.account
	r.conn.setReadingBody(true)
	budget.ReadBody(time.Now(), account, length, limit)
	raw, err := readWhole(r, &countedReader{Reader: body, account: account}, length, limit)
	if !budget.BodyRead(account) {
		// The connection still counts as being read from, so that it is not closed before the answer is written.
		budget.ReleaseAll(account, intake.Body)
		return nil, ErrRefused
	}
	r.conn.setReadingBody(false)
	if err != nil {
		budget.ReleaseAll(account, intake.Body)
		return nil, err
	}
	r.bodyLeft = false
	return raw, nil
}

// readWhole reads a body to its end.
func readWhole(r *Request, body io.Reader, length, limit int64) ([]byte, error) {
	raw, err := Read(r, intake.Body, body, length, limit)
	if err == nil {
		err = readEnd(body)
	}
	if !errors.Is(err, io.EOF) {
		return nil, err
	}
	return raw, nil
}

// yieldBytes is the number of bytes of a body after which its connection yields the processor. A large body that is there already
// would be read for a whole time slice, and with hundreds of them an ordinary request waits for seconds.
const yieldBytes = 64 << 10

// countedReader counts what it reads as received.
type countedReader struct {
	io.Reader
	account *intake.Conn
	// sinceYield is the number of bytes that were read since the connection has yielded the processor.
	sinceYield int
}

func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.account.Received(time.Now(), n)
	}
	if r.sinceYield += n; r.sinceYield >= yieldBytes {
		r.sinceYield = 0
		runtime.Gosched()
	}
	return n, err
}

// firstStep is the size of the first buffer for a body, firstStepUnknown that for one of unknown length.
const (
	firstStep        = 16 << 10
	firstStepUnknown = 4 << 10
)

// Read reads from in to its end or to limit bytes, with memory that is reserved as the bytes arrive: in steps that double, up
// to the length if it is known, else -1. It returns what was read with io.EOF at the end, with nil if there may be more than
// limit bytes, with ErrRefused if no memory was granted for more, or with the error of in.
func Read(r *Request, k intake.Kind, in io.Reader, length, limit int64) ([]byte, error) {
	end, size := limit, int64(firstStepUnknown)
	if length >= 0 {
		end, size = min(length, limit), firstStep
	}
	size = min(end, size)
	if !r.Reserve(k, size) {
		return nil, ErrRefused
	}
	buf := make([]byte, 0, size)
	for {
		if int64(len(buf)) == end {
			if length >= 0 && length < limit {
				return buf, readEnd(in)
			}
			return buf, nil
		}
		if len(buf) == cap(buf) {
			next := min(end, 2*int64(cap(buf)))
			if !r.Reserve(k, next) {
				return buf, ErrRefused
			}
			grown := make([]byte, len(buf), next)
			copy(grown, buf)
			r.Release(k, int64(cap(buf)))
			buf = grown
		}
		n, err := in.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, err
		}
	}
}

// readEnd reads the end of a body of which all bytes that are expected have been read. It returns io.EOF, or another error.
func readEnd(in io.Reader) error {
	var b [1]byte
	for {
		n, err := in.Read(b[:])
		switch {
		case n > 0:
			return ErrTooLong
		case err != nil:
			return err
		}
	}
}

// ErrTooLong reports that there are more bytes than the length or the limit.
var ErrTooLong = errors.New("callers: more bytes than expected")

type requestKey struct{}

// WithRequest returns a context with the account of a request.
func WithRequest(ctx context.Context, r *Request) context.Context {
	return context.WithValue(ctx, requestKey{}, r)
}

// FromContext returns the account of a request from its context, nil if there is none.
func FromContext(ctx context.Context) *Request {
	r, _ := ctx.Value(requestKey{}).(*Request)
	return r
}
