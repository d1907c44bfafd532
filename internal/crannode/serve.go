package crannode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cranserver"
)

const (
	// memoryLimitFraction is the part of the memory limit above which the garbage
	// collector works harder. The rest is for stacks, buffers and the program itself.
	memoryLimitFraction = 0.6
	// gcPercent is how much the heap may grow between collections, in percent. It is
	// low because peak memory is billed.
	gcPercent = 50
	// maxHeader bounds the header of a request, in bytes.
	maxHeader = 16 << 10
	// drainTime is how long the node still serves callers after its readiness probe has
	// begun to fail. The platform removes an entry instance after two failed probes, one second
	// apart.
	drainTime = 2600 * time.Millisecond
	// shutdownTimeout bounds how long requests in progress may take after drainTime.
	shutdownTimeout = 2500 * time.Millisecond
)

// LimitMemory configures the garbage collector for a memory limit in MB; 0 means no
// limit.
func LimitMemory(limit int) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(limit) * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
}

// Endpoint is a listen address and its handler.
type Endpoint struct {
	Address string
	Handler http.Handler
}

// ReadyHandler returns the handler of the readiness probe.
func (n *Node) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// Serve runs the node and serves the endpoints until ctx ends, and then stops
// gracefully. The function watch runs alongside, with a context that ends when the node
// stops.
func (n *Node) Serve(ctx context.Context, watch func(context.Context), endpoints ...Endpoint) error {
	var group run.Group
	var listeners []net.Listener
	for _, e := range endpoints {
		l, err := net.Listen("tcp", e.Address)
		if err != nil {
			for _, open := range listeners {
				err = errors.Join(err, open.Close())
			}
			return eris.Wrapf(err, "listen on %s; free the address", e.Address)
		}
		listeners = append(listeners, l)
		cranserver.Add(&group, l, e.Handler, maxHeader, shutdownTimeout)
	}
	n.log.Emit(cranevent.JobEntryStarting, cranevent.Member(n.incarnation), cranevent.DataCentre(n.dataCentre))
	// The node must run until the last request has been answered.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	group.Add(func() error { return n.Run(runCtx) }, func(error) { cancel() })
	watchCtx, stopWatch := context.WithCancel(context.WithoutCancel(ctx))
	group.Add(func() error { watch(watchCtx); return nil }, func(error) { stopWatch() })
	quitCtx, quit := context.WithCancel(context.WithoutCancel(ctx))
	group.Add(func() error { n.drainCallers(ctx, quitCtx); return nil }, func(error) { quit() })
	err := group.Run()
	n.log.Emit(cranevent.EntryStopped, cranevent.Member(n.incarnation))
	return err
}

// drainCallers waits for the end of ctx, begins the shutdown, and waits until callers
// have had time to switch to other entry instances. It returns early when quitCtx ends.
func (n *Node) drainCallers(ctx, quitCtx context.Context) {
	select {
	case <-ctx.Done():
	case <-quitCtx.Done():
		return
	}
	n.BeginShutdown()
	cranpause.Sleep(quitCtx, drainTime)
}

// WatchSettings checks the settings whenever reload signals that their file has
// changed. A process uses the settings that it started with, so a difference is only
// logged.
func (n *Node) WatchSettings(ctx context.Context, path string, reload <-chan os.Signal, changed func() (bool, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		switch differs, err := changed(); {
		case err != nil:
			n.log.Emit(cranevent.SettingsRefused, cranevent.File(path), cranevent.Err(err))
		case differs:
			n.log.Emit(cranevent.SettingsNeedRestart, cranevent.File(path))
		default:
			n.log.Emit(cranevent.SettingsLoaded, cranevent.File(path))
		}
	}
}
