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
	target  *target
	request *request
	id      string       // X-Request-Id of this attempt
	fresh   bool         // over a connection that no earlier exchange has used
	probe   bool         // it tries an instance that was ejected
	limit   int64        // bytes of the answer that are buffered
	guard   func() error // asked right before the first write
	settled func()       // called once the result is set
	ended   func()       // called once the target has ended the run
	started time.Time    // when run began
	blamed  atomic.Bool  // true: the instance's health has been told of it

	done   chan struct{} // closed once result is set
	result result

	mu      sync.Mutex
	conn    *trackedConn // the connection that carries it, nil before
	writer  *trackedConn // the only connection it may write to, nil before the first write
	sentAt  time.Time    // the first write; zero before
	sealed  bool         // true: it may not begin to write
	refusal error        // what the guard said
	expiry  *time.Timer  // ends it maxDuration after the first write
}

// result is what one exchange brought. Either answer or stream is set, or err.
type result struct {
	answer  *Answer
	stream  *stream
	err     error // the connection's or the guard's
	broken  bool  // the answer began and wasn't whole or not this request's
	written bool  // a byte may have reached the target
}

// beforeWrite allows the exchange to write to c. The first write is allowed by
// the guard; later ones only on the connection of the first.
func (x *exchange) beforeWrite(c *trackedConn) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.writer != nil {
		if x.writer != c {
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
	x.writer = c
	x.sentAt = time.Now()
	x.expiry = time.AfterFunc(x.request.route.maxDuration, x.expire)
	return nil
}

// seal forbids a first write that hasn't begun, and reports whether it had.
func (x *exchange) seal() (written bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sealed = true
	return x.writer != nil
}

// cancel seals the exchange and tells the target that the caller is gone. The
// exchange goes on until the target has ended or its time is over.
func (x *exchange) cancel() (written bool) {
	written = x.seal()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil && x.conn.spend(x) {
		x.conn.closeWrite()
	}
	return written
}

// expire ends the exchange when the longest run of its route is over.
func (x *exchange) expire() {
	x.mu.Lock()
	c := x.writer
	x.mu.Unlock()
	if c.spend(x) {
		c.abort()
	}
}

// own makes the exchange the owner of its connection.
func (x *exchange) own(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	x.mu.Lock()
	x.conn = c
	x.mu.Unlock()
	c.take(x)
}

// run sends the request and gathers the answer. It returns once the target has
// ended the run, or once maxDuration has passed since the first write.
func (x *exchange) run() {
	x.started = time.Now()
	res, err := x.target.transport(x.fresh).RoundTrip(x.outgoing())
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
		x.passOn(res, header, body.Bytes())
		return
	}
	_ = res.Body.Close()
	x.result = result{answer: NewAnswer(res.StatusCode, header, body.Bytes()), written: true}
	x.settled()
	x.end()
	close(x.done)
}

// passOn hands a long answer to the caller's thread and waits for its end.
func (x *exchange) passOn(res *http.Response, header http.Header, head []byte) {
	s := newStream(res, header, head)
	x.publish(result{stream: s, written: true})
	<-s.closed
	if s.whole {
		x.end()
		return
	}
	x.hold()
	x.end()
}

// fail publishes an error. If the request may have reached the target, the end
// of the run can't be seen and the exchange lasts until it must be over.
func (x *exchange) fail(err error, broken bool) {
	written := x.seal()
	if x.refusal != nil {
		err = x.refusal
	}
	x.publish(result{err: err, broken: broken, written: written})
	if written && !x.writer.targetEnded() {
		x.hold()
	}
	x.end()
}

func (x *exchange) publish(r result) {
	x.result = r
	x.settled()
	close(x.done)
}

// hold waits until the longest run of the route must be over.
func (x *exchange) hold() {
	time.Sleep(time.Until(x.sentAt.Add(x.request.route.maxDuration)))
}

// end frees what the exchange holds.
func (x *exchange) end() {
	x.mu.Lock()
	if x.expiry != nil {
		x.expiry.Stop()
	}
	c := x.conn
	x.mu.Unlock()
	if c != nil {
		c.closeSpent(x)
	}
	x.ended()
}

// matches reports whether the answer is to this exchange. A target that echoes
// no id is trusted.
func (x *exchange) matches(res *http.Response) bool {
	id := res.Header.Get(headerRequestID)
	return id == "" || id == x.id
}

// outgoing builds the request for the transport. It can't be replayed: the
// body has no GetBody, and a request without a body is given one that reads as
// empty.
func (x *exchange) outgoing() *http.Request {
	r := x.request
	trace := &httptrace.ClientTrace{GotConn: x.own}
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
	if len(r.body) > 0 || lacksBody(r.method) {
		out.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	return out.WithContext(ctx)
}

// lacksBody reports whether net/http sends no body length for an empty body of
// the method.
func lacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		return true
	}
	return false
}
