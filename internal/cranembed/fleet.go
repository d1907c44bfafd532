package cranembed

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranadmin"
	"github.com/cranberrypick/cranberrypick/internal/cranentry"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

const (
	headerTimeout = 10 * time.Second
	pollInterval  = 10 * time.Millisecond
)

// TargetSpec describes a target to start.
type TargetSpec struct {
	ID          string
	Pool        string
	Domain      string
	DataCentre  string
	Slots       int
	Connections int
	// ServiceTime is the default duration of a request.
	ServiceTime time.Duration
}

// Fleet is a whole system in one process: a platform, targets and entry instances. It
// isn't safe for concurrent use.
type Fleet struct {
	platform *cranstandin.Platform
	targets  map[string]*target
	entries  map[string]*Entry
}

// target is a stand-in for a target with its HTTP server.
type target struct {
	*cranstandin.Target
	server   *http.Server
	listener net.Listener
}

// Entry is an entry instance of the fleet.
type Entry struct {
	entry    *cranentry.Supervisor
	server   *http.Server
	listener net.Listener
	meter    *Meter
	cancel   context.CancelFunc
	done     chan error
}

// NewFleet starts a platform without targets and entry instances.
func NewFleet(options ...cranstandin.PlatformOption) *Fleet {
	return &Fleet{
		platform: cranstandin.NewPlatform(options...),
		targets:  map[string]*target{},
		entries:  map[string]*Entry{},
	}
}

// Platform returns the stand-in for the platform.
func (f *Fleet) Platform() *cranstandin.Platform { return f.platform }

// Target returns the target with an id, or nil if there is none.
func (f *Fleet) Target(id string) *cranstandin.Target {
	if t, ok := f.targets[id]; ok {
		return t.Target
	}
	return nil
}

// Targets returns all targets, by id.
func (f *Fleet) Targets() map[string]*cranstandin.Target {
	m := make(map[string]*cranstandin.Target, len(f.targets))
	for id, t := range f.targets {
		m[id] = t.Target
	}
	return m
}

// StartTarget starts a target and adds it to the platform's list.
func (f *Fleet) StartTarget(spec TargetSpec) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen for a target")
	}
	t := &target{
		Target:   cranstandin.NewTarget(spec.ID, spec.Slots, spec.Connections, cranstandin.WithServiceTime(spec.ServiceTime)),
		listener: listener,
	}
	t.server = &http.Server{Handler: t.Target, ReadHeaderTimeout: headerTimeout}
	t.ConfigureServer(t.server)
	go func() { _ = t.server.Serve(listener) }()
	f.targets[spec.ID] = t
	return f.platform.Fleet().Add(cranplatform.Instance{
		ID: spec.ID, Address: listener.Addr().String(), Domain: spec.Domain, DataCentre: spec.DataCentre,
		Pool: spec.Pool, Slots: spec.Slots, Connections: spec.Connections, Role: "target",
	}, t.Target)
}

// StartEntry starts an entry instance and adds it to the platform's list.
func (f *Fleet) StartEntry(id string, options ...cranentry.Option) error {
	meter := &Meter{Log: f.platform.LogForClient(id)}
	options = append([]cranentry.Option{cranentry.WithIdentity(id, "dc1")}, options...)
	peers := cranentry.PeerAddress{Listen: netip.MustParseAddrPort("127.0.0.1:0")}
	supervisor, err := cranentry.NewSupervisor(meter, f.platform.FleetForClient(id), peers, options...)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		supervisor.Abort()
		return eris.Wrap(err, "listen for callers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{entry: supervisor, listener: listener, meter: meter, cancel: cancel, done: make(chan error, 1)}
	e.server = &http.Server{Handler: supervisor.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = e.server.Serve(listener) }()
	go func() { e.done <- supervisor.Run(ctx) }()
	f.entries[id] = e
	return f.platform.Fleet().Add(cranplatform.Instance{ID: id, Address: listener.Addr().String(), Role: "entry"}, noopController{})
}

// noopController is the controller of an entry instance. The platform never reboots or
// stops one.
type noopController struct{}

// Reboot does nothing.
func (noopController) Reboot(context.Context, time.Duration) (int, error) { return 0, nil }

// Stop does nothing.
func (noopController) Stop(context.Context) (int, error) { return 0, nil }

// Entry returns the entry instance with an id, or nil if there is none.
func (f *Fleet) Entry(id string) *Entry { return f.entries[id] }

// URL returns the base URL at which callers reach the entry.
func (e *Entry) URL() string { return "http://" + e.listener.Addr().String() }

// Meter returns the meter of the traffic between the entry and the log.
func (e *Entry) Meter() *Meter { return e.meter }

// PeerBytes returns the number of bytes that the entry exchanged with other entry
// instances.
func (e *Entry) PeerBytes() int64 { return e.entry.PeerBytes() }

// Status returns the status of the fleet as known to the entry.
func (e *Entry) Status(ctx context.Context) (cranadmin.Status, error) { return e.entry.Status(ctx) }

// Propose appends an event to the log and waits until the reducer has applied or refused
// it.
func (e *Entry) Propose(ctx context.Context, event cranstate.Event) (uint64, error) {
	return e.entry.Propose(ctx, event)
}

// StopEntry stops an entry gracefully.
func (f *Fleet) StopEntry(id string) error {
	e := f.entries[id]
	delete(f.entries, id)
	e.cancel()
	err := <-e.done
	return errors.Join(err, e.server.Close())
}

// KillEntry stops an entry immediately, as if its process had crashed.
func (f *Fleet) KillEntry(id string) error {
	e := f.entries[id]
	delete(f.entries, id)
	err := e.server.Close()
	e.entry.Abort()
	return errors.Join(err, f.platform.Fleet().Lose(id))
}

// Await waits until the condition holds for the status of every entry.
func (f *Fleet) Await(ctx context.Context, ok func(cranadmin.Status) bool) error {
	for _, e := range f.entries {
		if err := e.Await(ctx, ok); err != nil {
			return err
		}
	}
	return nil
}

// Await waits until the condition holds for the status of the entry.
func (e *Entry) Await(ctx context.Context, ok func(cranadmin.Status) bool) error {
	for {
		s, err := e.Status(ctx)
		if err == nil && ok(s) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait for an entry")
		case <-time.After(pollInterval):
		}
	}
}

// Close stops all entry instances, the platform and all targets.
func (f *Fleet) Close() error {
	var errs []error
	for id := range f.entries {
		errs = append(errs, f.StopEntry(id))
	}
	errs = append(errs, f.platform.Close())
	for _, t := range f.targets {
		errs = append(errs, t.server.Close(), t.Close())
	}
	return errors.Join(errs...)
}
