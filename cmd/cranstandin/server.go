package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
)

const (
	// shutdownTimeout limits the wait for requests in progress at a stop.
	shutdownTimeout = 5 * time.Second
	// readHeaderTimeout limits the time to read a request's header.
	readHeaderTimeout = 10 * time.Second
)

// server serves a simulated platform or target until a signal. Its functions may
// be nil.
type server struct {
	handler   http.Handler
	configure func(*http.Server)
	// started is called with the server's address once it listens.
	started func(ctx context.Context, address string) error
	// beforeStop is called at the start of a stop, while requests may be in
	// progress.
	beforeStop func() error
	// afterStop is called when all requests have ended or shutdownTimeout has
	// passed.
	afterStop func() error
}

// run serves on an address until SIGTERM or SIGINT.
func (s *server) run(address string, out io.Writer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen; choose a free address")
	}
	httpServer := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	if s.configure != nil {
		s.configure(httpServer)
	}
	signals, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stopSignals()
	_, _ = fmt.Fprintln(out, "listening", listener.Addr())
	ctx, cancel := context.WithCancel(signals)
	defer cancel()
	var group run.Group
	group.Add(run.ContextHandler(signals))
	group.Add(func() error { return httpServer.Serve(listener) }, func(error) { s.stop(httpServer) })
	if s.started != nil {
		group.Add(s.startedActor(ctx, listener.Addr().String(), cancel))
	}
	err = group.Run()
	if signals.Err() != nil {
		return nil
	}
	return err
}

// startedActor returns an actor of a run.Group. It calls started and then waits
// until the context ends.
func (s *server) startedActor(ctx context.Context, address string, cancel func()) (func() error, func(error)) {
	execute := func() error {
		if err := s.started(ctx, address); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}
	return execute, func(error) { cancel() }
}

// stop shuts the server down and waits up to shutdownTimeout for requests in
// progress.
func (s *server) stop(httpServer *http.Server) {
	if s.beforeStop != nil {
		_ = s.beforeStop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = httpServer.Shutdown(ctx)
	if s.afterStop != nil {
		_ = s.afterStop()
	}
	_ = httpServer.Close()
}
