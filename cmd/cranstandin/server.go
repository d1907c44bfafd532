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
	// graceTime bounds the wait for requests in progress at a stop.
	graceTime = 5 * time.Second
	// headerTime bounds the arrival of a request's header.
	headerTime = 10 * time.Second
)

// server serves one stand-in until a signal. Its functions may be nil.
type server struct {
	handler   http.Handler
	configure func(*http.Server)
	// started is called with the address once the server listens.
	started func(ctx context.Context, address string) error
	// beforeStop is called at a stop, while requests may be in progress.
	beforeStop func() error
	// afterStop is called when the requests in progress had their time.
	afterStop func() error
}

// run serves on an address until SIGTERM or SIGINT.
func (s *server) run(address string, out io.Writer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen; choose a free address")
	}
	web := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTime}
	if s.configure != nil {
		s.configure(web)
	}
	signals, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	_, _ = fmt.Fprintln(out, "listening", listener.Addr())
	ctx, cancel := context.WithCancel(signals)
	defer cancel()
	var group run.Group
	group.Add(run.ContextHandler(signals))
	group.Add(func() error { return web.Serve(listener) }, func(error) { s.stop(web) })
	if s.started != nil {
		group.Add(s.announce(ctx, listener.Addr().String(), cancel))
	}
	err = group.Run()
	if signals.Err() != nil {
		return nil
	}
	return err
}

// announce returns an actor that calls started and then waits for the end.
func (s *server) announce(ctx context.Context, address string, cancel func()) (func() error, func(error)) {
	execute := func() error {
		if err := s.started(ctx, address); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}
	return execute, func(error) { cancel() }
}

// stop lets requests in progress end, within the grace time.
func (s *server) stop(web *http.Server) {
	if s.beforeStop != nil {
		_ = s.beforeStop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), graceTime)
	defer cancel()
	_ = web.Shutdown(ctx)
	if s.afterStop != nil {
		_ = s.afterStop()
	}
	_ = web.Close()
}
