// Package cranserver runs HTTP servers as actors of a run.Group, which starts and stops
// the components of a process together.
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
	// headerTimeout is the time in which a request's header must be received.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time for which a connection without a request is kept open.
	idleTimeout = 90 * time.Second
)

// Add adds an HTTP server for the listener to the group. When the group stops, it
// interrupts its actors in the order in which they were added. The server then accepts
// no more connections and waits up to drain for its requests, before actors that were
// added later are interrupted.
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
