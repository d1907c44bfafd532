package cranplatform

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

const (
	// defaultCallTimeout bounds one call, beyond the wait of a long poll.
	defaultCallTimeout = 10 * time.Second
	// maxAnswerBytes bounds one answer of the platform.
	maxAnswerBytes = 64 << 20
	// clientHeader carries the name of the caller.
	clientHeader = "X-Client"
	// idleConnections is how many unused connections a client keeps.
	idleConnections = 16
	// idleConnectionTime is how long an unused connection is kept.
	idleConnectionTime = 30 * time.Second
)

// Client meets a platform over its published protocol. It implements Log and
// Fleet and is safe for concurrent use.
//
// The protocol's bodies are JSON. An append sends {"payloads": [base64]} and
// is answered by {"first": offset, "next": offset}. A read is answered by a
// Batch, the list by {"instances": [Instance]}, the outcome of an action by
// an ActionStatus, and a refusal by {"kind", "message", "remedy"}.
//
// Errors are typed. A read below the oldest kept offset (status 410) is
// cranfault.RecordsExpired. A log call that is refused, times out, breaks off
// or is answered by a status of 500 or more is cranfault.LogUnavailable; such
// a call of the fleet is cranfault.NotReady, or cranfault.Timeout when it ran
// out of time. Cancellation is cranfault.Cancelled. Every other refusal has
// the kind that the platform names.
//
// A client sends each call at most once. The standard transport may replay a
// request on a fresh connection after a kept one broke, if the method is
// idempotent, if an Idempotency-Key header is set, or if nothing was written
// and the body can be rewound. A client's POST is none of these: it carries
// no such header and its body has no GetBody. Redirects are not followed.
type Client struct {
	baseURL   string
	name      string
	timeout   time.Duration
	transport http.RoundTripper
	http      *http.Client

	// closing is cancelled by Close; every call ends with it.
	closing context.Context
	cancel  context.CancelFunc
	// mu guards closed, so that no call starts after Close.
	mu     sync.Mutex
	closed bool
	calls  sync.WaitGroup
}

var (
	_ Log   = (*Client)(nil)
	_ Fleet = (*Client)(nil)
)

// ClientOption changes how a client is built.
type ClientOption func(*Client)

// WithName names the client to the platform, in the header X-Client.
func WithName(name string) ClientOption {
	return func(c *Client) { c.name = name }
}

// WithCallTimeout bounds each call; a long poll may take its wait on top. The
// default is 10 seconds.
func WithCallTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.timeout = timeout }
}

// WithTransport replaces the transport, for instance to reach a platform in
// the same process. The transport must not replay a POST by itself.
func WithTransport(transport http.RoundTripper) ClientOption {
	return func(c *Client) { c.transport = transport }
}

// NewClient returns a client of the platform at baseURL, such as
// http://127.0.0.1:7000. Close releases it.
func NewClient(baseURL string, options ...ClientOption) *Client {
	c := &Client{
		baseURL: strings.TrimRight(baseURL, "/"),
		timeout: defaultCallTimeout,
	}
	c.closing, c.cancel = context.WithCancel(context.Background())
	for _, option := range options {
		option(c)
	}
	if c.transport == nil {
		c.transport = newTransport()
	}
	c.http = &http.Client{Transport: c.transport, CheckRedirect: refuseRedirect}
	return c
}

// newTransport returns a transport that speaks HTTP/1.1 without a proxy.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleConnectionTime,
		DisableCompression:  true,
	}
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close ends the calls in progress, waits for them and drops the kept
// connections. It may be called more than once.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.calls.Wait()
	c.http.CloseIdleConnections()
	return nil
}

// begin registers a call; the caller ends it with c.calls.Done.
func (c *Client) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return cranfault.New(cranfault.Cancelled, "make a new client", "the platform client is closed")
	}
	c.calls.Add(1)
	return nil
}
