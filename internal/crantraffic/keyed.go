package crantraffic

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// keyedCalls holds the non-idempotent requests in progress at this entry.
type keyedCalls struct {
	mu    sync.Mutex
	byKey map[string]*call
}

func newKeyedCalls() *keyedCalls { return &keyedCalls{byKey: make(map[string]*call)} }

// join returns the call in progress for the key of the request, or a new one.
func (k *keyedCalls) join(r *request) (c *call, first bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := r.claimKey()
	if c, ok := k.byKey[key]; ok {
		c.addWaiter()
		return c, false
	}
	c = &call{request: r, done: make(chan struct{}), waiters: 1}
	k.byKey[key] = c
	return c, true
}

// remove removes a call that has ended.
func (k *keyedCalls) remove(c *call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.byKey, c.request.claimKey())
}

// call is a non-idempotent request in progress. Its run continues after its
// callers have left.
type call struct {
	request *request
	done    chan struct{} // closed once result is set

	mu          sync.Mutex
	current     *exchange // the latest exchange; earlier ones provably didn't run
	sealed      bool      // true: no further exchange may begin
	waiters     int       // callers that wait for the result
	streamTaken bool      // true: the stream of the result has a reader
	result      callResult
}

// fingerprint distinguishes requests with the same key.
func (r *request) fingerprint() uint64 {
	h := xxhash.New()
	for _, s := range []string{r.method, r.path, r.query} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.body)
	return h.Sum64()
}

func (c *call) addWaiter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters++
}

// beginExchange starts the next exchange, or returns nil if the call is sealed.
func (c *call) beginExchange(start func() *exchange) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return nil
	}
	c.current = start()
	return c.current
}

// finish publishes the result. It reports whether the caller must drain the
// stream of the result, because nobody else will read it.
func (c *call) finish(o callResult) (unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result = o
	close(c.done)
	return c.takeUnreadStream()
}

// takeUnreadStream reports whether the result has a stream that nobody will
// read, and marks the stream as taken. The caller of takeUnreadStream, which
// holds the lock, must then read the stream.
func (c *call) takeUnreadStream() bool {
	if c.result.stream == nil || c.streamTaken || c.waiters > 0 {
		return false
	}
	c.streamTaken = true
	return true
}

// takeResult returns the result for one waiting caller. Only the first caller
// gets the stream of a result.
func (c *call) takeResult() callResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters--
	if c.result.stream == nil {
		return c.result
	}
	if c.streamTaken {
		return unknown(answerNotCached())
	}
	c.streamTaken = true
	return c.result
}

// leave returns the result for a caller whose context has ended. If this caller
// began the call, the call is sealed and nothing more is sent.
func (c *call) leave(ctx context.Context, first bool) (o callResult, unread *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters--
	if c.takeUnreadStream() {
		unread = c.result.stream
	}
	if !first {
		return unknown(contextFault(ctx)), unread
	}
	c.sealed = true
	if c.current == nil || !c.current.seal() {
		return notRun(contextFault(ctx)), unread
	}
	return unknown(stillRunningFault(contextFault(ctx).Kind(), c.request)), unread
}

func answerNotCached() *cranfault.Fault {
	return cranfault.New(AnswerNotCached, "look the result up by other means; the request has run once",
		"the request has run, and its answer was too large to be cached")
}

func stillRunningFault(kind cranfault.Kind, r *request) *cranfault.Fault {
	return cranfault.New(kind, remedyForUnknown(r), "the request was sent, and its answer hasn't arrived")
}
