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
	// memoryShare is the part of the memory limit at which the collector works
	// harder; the rest is for stacks, buffers and the program itself.
	memoryShare = 0.6
	// collectorPercent lets the heap grow by this much between collections:
	// memory at its peak is paid for.
	collectorPercent = 50
	// maxHeader bounds the header of a request, in bytes.
	maxHeader = 16 << 10
	// noticeTime is how long callers still come after readiness has ended: the
	// platform takes an entry instance out after two missed probes, a second
	// apart.
	noticeTime = 2600 * time.Millisecond
	// shutdownTimeout bounds the end of the requests in progress after that.
	shutdownTimeout = 2500 * time.Millisecond
)

// LimitMemory keeps the heap below a process's limit in MB; 0 is no limit.
func LimitMemory(limit int) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit) * (1 << 20)))
	}
	debug.SetGCPercent(collectorPercent)
}

// Endpoint is an address at which an entry instance is served.
type Endpoint struct {
	Address string
	Handler http.Handler
}

// ReadyHandler answers a readiness probe.
func (n *Node) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// Serve works and serves the endpoints until ctx ends, and then stops
// gracefully. Beside it, watch runs until the end.
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
	// The work goes on until the last request is answered.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	group.Add(func() error { return n.Run(work) }, func(error) { cancel() })
	over, finish := context.WithCancel(context.WithoutCancel(ctx))
	group.Add(func() error { watch(over); return nil }, func(error) { finish() })
	quit, leave := context.WithCancel(context.WithoutCancel(ctx))
	group.Add(func() error { n.drain(ctx, quit); return nil }, func(error) { leave() })
	err := group.Run()
	n.log.Emit(cranevent.EntryStopped, cranevent.Member(n.incarnation))
	return err
}

// drain waits for the end of ctx, and then until callers have had the time to
// go elsewhere.
func (n *Node) drain(ctx, quit context.Context) {
	select {
	case <-ctx.Done():
	case <-quit.Done():
		return
	}
	n.BeginShutdown()
	cranpause.For(quit, noticeTime)
}

// WatchSettings looks at the settings again whenever their file has changed.
// What a process takes from them holds for its life, so a difference is logged.
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
