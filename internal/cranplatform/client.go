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
	// defaultCallTimeout is the timeout of a call. The wait of a long poll is added
	// to it.
	defaultCallTimeout = 10 * time.Second
	// maxResponseBytes is the maximum size of a response of the platform.
	maxResponseBytes = 64 << 20
	// clientHeader is the request header with the client's name.
	clientHeader = "X-Client"
	// idleConnections is the number of idle connections that a client keeps open.
	idleConnections = 16
	// idleConnectionTime is the time for which an idle connection is kept open.
	idleConnectionTime = 30 * time.Second
)

// Client calls a platform over its published HTTP protocol. It implements Log and
// Fleet and is safe for concurrent use.
//
// The bodies of requests and responses are JSON. An append sends
// {"payloads": [base64]} and returns {"first": offset, "next": offset}. A read
// returns a Batch, the list {"instances": [Instance]}, and the status of an action an
// ActionStatus. The body of a refusal is {"kind", "message", "remedy"}.
//
// Errors have a kind of cranfault. A read below the oldest offset that the log keeps
// (status 410) is RecordsExpired. A log call is LogUnavailable if the connection is
// refused or breaks, if it times out, or if the status is 500 or more. In the same
// cases a call of the fleet is NotReady, or Timeout if it timed out. A cancelled call
// is Cancelled. Every other refusal has the kind that the platform sent, or Malformed
// if that is not one of the expected kinds.
//
// A client sends each POST at most once. The standard transport may send a request
// again on a new connection after an idle connection broke, if the method is
// idempotent, if an Idempotency-Key header is set, or if nothing was written and the
// body can be rewound. None of these applies to a client's POST: it has no such
// header, and its GetBody is nil. Redirects are not followed.
type Client struct {
	baseURL   string
	name      string
	timeout   time.Duration
	transport http.RoundTripper
	http      *http.Client

	// closing is cancelled by Close, which cancels every call in progress.
	closing context.Context
	cancel  context.CancelFunc
	// mu guards closed. It ensures that no call starts after Close.
	mu     sync.Mutex
	closed bool
	calls  sync.WaitGroup
}

var (
	_ Log   = (*Client)(nil)
	_ Fleet = (*Client)(nil)
)

// ClientOption configures a client.
type ClientOption func(*Client)

// WithName sets the name that the client sends to the platform in the X-Client
// header.
func WithName(name string) ClientOption {
	return func(c *Client) { c.name = name }
}

// WithCallTimeout sets the timeout of each call, to which the wait of a long poll is
// added. The default is 10 seconds.
func WithCallTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.timeout = timeout }
}

// WithTransport replaces the transport, for example to call a platform in the same
// process. The transport must not send a POST again on its own.
func WithTransport(transport http.RoundTripper) ClientOption {
	return func(c *Client) { c.transport = transport }
}

// NewClient returns a client of the platform at baseURL, such as
// http://127.0.0.1:7000. The caller must call Close to release it.
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
	c.http = &http.Client{Transport: c.transport, CheckRedirect: ignoreRedirect}
	return c
}

// newTransport returns a transport for HTTP/1.1 without a proxy.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleConnectionTime,
		DisableCompression:  true,
	}
}

// ignoreRedirect makes the HTTP client return a redirect as a response.
func ignoreRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close cancels the calls in progress, waits until they have returned, and closes the
// idle connections. It may be called more than once.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.calls.Wait()
	c.http.CloseIdleConnections()
	return nil
}

// begin registers a call in c.calls, so that Close waits for it. If it succeeds, the
// caller must call c.calls.Done at the end of the call.
func (c *Client) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return cranfault.New(cranfault.Cancelled, "create a new client", "the platform client is closed")
	}
	c.calls.Add(1)
	return nil
}
