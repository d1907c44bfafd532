package crantraffic

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// keyedCalls are the non-idempotent requests in progress at this entry.
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
		c.arrive()
		return c, false
	}
	c = &call{request: r, final: make(chan struct{}), waiting: 1}
	k.byKey[key] = c
	return c, true
}

// remove takes a call out that is wholly over.
func (k *keyedCalls) remove(c *call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.byKey, c.request.claimKey())
}

// call is a non-idempotent request in progress. Its run goes on when its
// callers have left.
type call struct {
	request *request
	final   chan struct{} // closed once outcome is set

	mu      sync.Mutex
	current *exchange // the latest; those before it provably didn't run
	sealed  bool      // true: no further exchange may begin
	waiting int       // callers that wait for the outcome
	taken   bool      // true: the stream of the outcome has a reader
	outcome callResult
}

// fingerprint tells requests with the same key apart.
func (r *request) fingerprint() uint64 {
	h := xxhash.New()
	for _, s := range []string{r.method, r.path, r.query} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.body)
	return h.Sum64()
}

func (c *call) arrive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting++
}

// begin starts the next exchange unless the call is sealed.
func (c *call) begin(start func() *exchange) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return nil
	}
	c.current = start()
	return c.current
}

// finish publishes the outcome. It reports whether its stream has no reader.
func (c *call) finish(o callResult) (unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcome = o
	close(c.final)
	return c.unread()
}

// unread reports whether the outcome has a stream and nobody will read it; the
// caller of it reads the stream then. The lock is held.
func (c *call) unread() bool {
	if c.outcome.stream == nil || c.taken || c.waiting > 0 {
		return false
	}
	c.taken = true
	return true
}

// take returns the outcome for one caller.
func (c *call) take() callResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	if c.outcome.stream == nil {
		return c.outcome
	}
	if c.taken {
		return unknown(notKept())
	}
	c.taken = true
	return c.outcome
}

// leave returns the outcome for a caller whose time is over. If it is the one
// that began the call, nothing is sent that hasn't been.
func (c *call) leave(ctx context.Context, first bool) (o callResult, unread *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	if c.unread() {
		unread = c.outcome.stream
	}
	if !first {
		return unknown(stopped(ctx)), unread
	}
	c.sealed = true
	if c.current == nil || !c.current.seal() {
		return notRun(stopped(ctx)), unread
	}
	return unknown(stillRunning(stopped(ctx).Kind(), c.request)), unread
}

func notKept() *cranfault.Fault {
	return cranfault.New(AnswerNotCached, "look the result up by other means; the request has run once",
		"the request has run, and its answer was too large to be kept")
}

func stillRunning(kind cranfault.Kind, r *request) *cranfault.Fault {
	return cranfault.New(kind, remedyUnknown(r), "the request was sent and its answer hasn't come")
}
