// Package cranserver runs HTTP servers as actors of a process.
package cranserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
)

const (
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a connection without a request stays open.
	idleTimeout = 90 * time.Second
)

// Add adds an HTTP server to the group. It is interrupted after everything
// added behind it has ended, and then waits up to drain for its requests.
func Add(group *run.Group, l net.Listener, h http.Handler, maxHeader int, drain time.Duration) {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	group.Add(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), drain)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
}
