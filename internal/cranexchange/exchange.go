// Package cranexchange sends HTTP requests to processes that may stop responding
// without closing their connections. A connection ends soon if its data is not
// acknowledged, and an error tells whether the request may have been sent.
package cranexchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// dialTimeout bounds the opening of a connection. The latency between data centres
	// of a region is a few milliseconds.
	dialTimeout = 800 * time.Millisecond
	// userTimeout is the value of TCP_USER_TIMEOUT, after which unacknowledged data
	// ends a connection.
	userTimeout = 1500 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 60 * time.Second
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 4 << 20
)

// NewClient returns a client that keeps up to maxIdle unused connections to an address,
// and opens at most maxConnections; 0 means no bound.
func NewClient(maxIdle, maxConnections int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second, Control: setUserTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdle,
		MaxConnsPerHost:     maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     2 << 10,
		ReadBufferSize:      2 << 10,
	}}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// ErrTooLarge is returned for a response with a body above the limit.
var ErrTooLarge = errors.New("the response exceeds 4 MiB; request a smaller part")

// Option configures one exchange.
type Option func(*exchange)

// exchange holds the options of one call of Do.
type exchange struct {
	// received is called with the size of each part of the response.
	received func(bytes int)
}

// WithReceived sets a function that Do calls with the size of each part of the body, in
// bytes, as it arrives, and before that with 0 for the header.
func WithReceived(received func(bytes int)) Option {
	return func(e *exchange) { e.received = received }
}

// observedReader reports the size of each part that is read.
type observedReader struct {
	io.Reader
	received func(bytes int)
}

// Read reads from the underlying reader.
func (r observedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.received(n)
	}
	return n, err
}

// Do sends one request and reads the whole response. If no connection could be opened,
// the error is marked by cranstore.Refused. If the response breaks off, Do returns the
// part that has arrived along with the error.
func Do(ctx context.Context, c *http.Client, method, address string, body io.Reader, header http.Header, options ...Option) (int, []byte, error) {
	e := exchange{received: func(int) {}}
	for _, set := range options {
		set(&e)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return 0, nil, cranstore.Refused(err)
	}
	// Without GetBody the transport can't repeat a request after a connection has
	// broken.
	request.GetBody = nil
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	for k, v := range header {
		request.Header[k] = v
	}
	response, err := c.Do(request)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return 0, nil, cranstore.Refused(err)
		}
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	e.received(0)
	var text bytes.Buffer
	_, err = text.ReadFrom(io.LimitReader(observedReader{response.Body, e.received}, maxResponseBytes+1))
	if err == nil && text.Len() > maxResponseBytes {
		err = ErrTooLarge
	}
	return response.StatusCode, text.Bytes(), err
}
