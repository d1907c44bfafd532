// Package cranexchange sends requests over HTTP to processes that may fall
// silent: connections whose data isn't acknowledged end soon, and an error tells
// whether the request can have left.
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
	// dialTimeout bounds the opening of a connection; data centres of a region
	// are a few milliseconds apart.
	dialTimeout = 800 * time.Millisecond
	// userTimeout is TCP_USER_TIMEOUT: unacknowledged data ends a connection.
	userTimeout = 1500 * time.Millisecond
	// idleTimeout closes connections that nobody uses.
	idleTimeout = 60 * time.Second
	// maxResponseBytes bounds an answer, in bytes.
	maxResponseBytes = 4 << 20
)

// NewClient returns a client that keeps some connections to an address open,
// and opens at most so many; 0 is no bound.
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

// Do sends one request and reads the whole answer. When no connection
// could be opened, the error is marked as cranstore.Refused.
func Do(ctx context.Context, c *http.Client, method, address string, body io.Reader, header http.Header) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return 0, nil, cranstore.Refused(err)
	}
	// Without GetBody the transport can't replay a request on a broken connection.
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
	var text bytes.Buffer
	if _, err := text.ReadFrom(io.LimitReader(response.Body, maxResponseBytes)); err != nil {
		return 0, nil, err
	}
	return response.StatusCode, text.Bytes(), nil
}
