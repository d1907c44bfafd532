package crantraffic

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Errors with which an exchange refuses a write.
var (
	errSealed = eris.New("crantraffic: the exchange was sealed before its first write")
	errReplay = eris.New("crantraffic: the request was already written to another connection")
)

// exchange is one attempt to send one request to one target.
type exchange struct {
	target         *target
	request        *request
	id             string       // X-Request-Id of this attempt
	fresh          bool         // uses a connection that no earlier exchange has used
	probe          bool         // probes an ejected instance
	limit          int64        // bytes of the answer that are buffered
	guard          func() error // called right before the first write
	onResult       func()       // called once the result is set
	onEnd          func()       // called once the target has ended the run, or its time is over
	started        time.Time    // when run began
	healthReported atomic.Bool  // true: the health of the instance has been reported

	done   chan struct{} // closed once result is set
	result exchangeResult

	mu        sync.Mutex
	conn      *trackedConn // connection that carries the exchange; nil until there is one
	writeConn *trackedConn // only connection it may write to; nil before the first write
	sentAt    time.Time    // time of the first write; zero before it
	sealed    bool         // true: a first write may no longer begin
	refusal   error        // error of the guard
	expiry    *time.Timer  // ends the exchange maxDuration after the first write
}

// exchangeResult is the result of one exchange. Exactly one of answer, stream
// and err is set.
type exchangeResult struct {
	answer  *Answer
	stream  *stream
	err     error // error of the connection or of the guard
	broken  bool  // the answer began but was incomplete or for another request
	written bool  // a byte may have reached the target
}

// allowWrite decides whether the exchange may write to c. The guard decides on
// the first write. Later writes are allowed only on the connection of the
// first.
func (x *exchange) allowWrite(c *trackedConn) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.writeConn != nil {
		if x.writeConn != c {
			return errReplay
		}
		return nil
	}
	if x.sealed {
		return errSealed
	}
	if err := x.guard(); err != nil {
		x.refusal = err
		x.sealed = true
		return err
	}
	x.writeConn = c
	x.sentAt = time.Now()
	x.expiry = time.AfterFunc(x.request.route.maxDuration, x.expire)
	return nil
}

// seal forbids the first write if it has not begun. It reports whether it had
// begun.
func (x *exchange) seal() (written bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sealed = true
	return x.writeConn != nil
}

// cancel seals the exchange and closes the write side of its connection, which
// tells the target that the caller is gone. The exchange continues until the
// target has ended the run or the maximum duration has passed.
func (x *exchange) cancel() (written bool) {
	written = x.seal()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil && x.conn.retire(x) {
		x.conn.closeWrite()
	}
	return written
}

// expire ends the exchange when the maximum duration of its route has passed.
func (x *exchange) expire() {
	x.mu.Lock()
	c := x.writeConn
	x.mu.Unlock()
	if c.retire(x) {
		c.abort()
	}
}

// bindConn makes the exchange the owner of its connection.
func (x *exchange) bindConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	x.mu.Lock()
	x.conn = c
	x.mu.Unlock()
	c.setOwner(x)
}

// run sends the request and reads the answer. It returns once the target has
// ended the run, or once maxDuration has passed since the first write.
func (x *exchange) run() {
	x.started = time.Now()
	res, err := x.target.transport(x.fresh).RoundTrip(x.outgoingRequest())
	if err != nil {
		x.fail(err, false)
		return
	}
	if !x.matches(res) {
		x.fail(eris.New("crantraffic: the answer belongs to another request"), true)
		_ = res.Body.Close()
		return
	}
	var body bytes.Buffer
	n, err := io.Copy(&body, io.LimitReader(res.Body, x.limit+1))
	if err != nil {
		x.fail(err, true)
		_ = res.Body.Close()
		return
	}
	header := endToEnd(res.Header)
	if x.request.method == http.MethodHead && res.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	if n > x.limit {
		x.streamAnswer(res, header, body.Bytes())
		return
	}
	_ = res.Body.Close()
	x.result = exchangeResult{answer: NewAnswer(res.StatusCode, header, body.Bytes()), written: true}
	x.onResult()
	x.finish()
	close(x.done)
}

// streamAnswer hands a long answer to the caller's goroutine and waits until
// the stream is closed. If the answer was cut short, the target may still be
// running the request, so the exchange lasts until the maximum duration has
// passed.
func (x *exchange) streamAnswer(res *http.Response, header http.Header, head []byte) {
	s := newStream(res, header, head)
	x.publishResult(exchangeResult{stream: s, written: true})
	<-s.closed
	if s.complete {
		x.finish()
		return
	}
	x.waitMaxDuration()
	x.finish()
}

// fail publishes an error. If the request may have reached the target and the
// end of the run can't be detected, the exchange lasts until the maximum
// duration has passed.
func (x *exchange) fail(err error, broken bool) {
	written := x.seal()
	if x.refusal != nil {
		err = x.refusal
	}
	x.publishResult(exchangeResult{err: err, broken: broken, written: written})
	if written && !x.writeConn.targetHasClosed() {
		x.waitMaxDuration()
	}
	x.finish()
}

func (x *exchange) publishResult(r exchangeResult) {
	x.result = r
	x.onResult()
	close(x.done)
}

// waitMaxDuration waits until the maximum duration of the route has passed.
func (x *exchange) waitMaxDuration() {
	time.Sleep(time.Until(x.sentAt.Add(x.request.route.maxDuration)))
}

// finish stops the expiry timer, closes the connection if it is retired and
// reports the end of the exchange.
func (x *exchange) finish() {
	x.mu.Lock()
	if x.expiry != nil {
		x.expiry.Stop()
	}
	c := x.conn
	x.mu.Unlock()
	if c != nil {
		c.closeRetired(x)
	}
	x.onEnd()
}

// matches reports whether the answer belongs to this exchange. An answer
// without a request id is accepted.
func (x *exchange) matches(res *http.Response) bool {
	id := res.Header.Get(headerRequestID)
	return id == "" || id == x.id
}

// outgoingRequest builds the request for the transport. The transport can't
// replay it: the body has no GetBody, and a request without a body gets a
// reader that returns no bytes.
func (x *exchange) outgoingRequest() *http.Request {
	r := x.request
	trace := &httptrace.ClientTrace{GotConn: x.bindConn}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	out := &http.Request{
		Method:        r.method,
		URL:           r.targetURL(x.target.address),
		Host:          x.target.address,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        r.targetHeader(x.id),
		ContentLength: int64(len(r.body)),
	}
	if len(r.body) > 0 || omitsEmptyBodyLength(r.method) {
		out.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	return out.WithContext(ctx)
}

// omitsEmptyBodyLength reports whether net/http sends no Content-Length for an
// empty body with this method.
func omitsEmptyBodyLength(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		return true
	}
	return false
}
