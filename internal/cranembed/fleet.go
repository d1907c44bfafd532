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
	// Service is how long a request runs unless it says otherwise.
	Service time.Duration
}

// Fleet is a whole system in one process. Its methods are called from one
// goroutine.
type Fleet struct {
	platform *cranstandin.Platform
	targets  map[string]*target
	entries  map[string]*Entry
}

type target struct {
	*cranstandin.Target
	server   *http.Server
	listener net.Listener
}

// Entry is an entry instance of the fleet.
type Entry struct {
	host     *cranentry.Supervisor
	server   *http.Server
	listener net.Listener
	meter    *Meter
	cancel   context.CancelFunc
	done     chan error
}

// NewFleet starts a platform without targets and entries.
func NewFleet(options ...cranstandin.PlatformOption) *Fleet {
	return &Fleet{
		platform: cranstandin.NewPlatform(options...),
		targets:  map[string]*target{},
		entries:  map[string]*Entry{},
	}
}

// Platform returns the stand-in for the platform.
func (f *Fleet) Platform() *cranstandin.Platform { return f.platform }

// Target returns a target of that id, nil if there is none.
func (f *Fleet) Target(id string) *cranstandin.Target {
	if t, ok := f.targets[id]; ok {
		return t.Target
	}
	return nil
}

// Targets returns every target by id.
func (f *Fleet) Targets() map[string]*cranstandin.Target {
	m := make(map[string]*cranstandin.Target, len(f.targets))
	for id, t := range f.targets {
		m[id] = t.Target
	}
	return m
}

// StartTarget starts a target and lists it with the platform.
func (f *Fleet) StartTarget(spec TargetSpec) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen for a target")
	}
	t := &target{
		Target:   cranstandin.NewTarget(spec.ID, spec.Slots, spec.Connections, cranstandin.WithServiceTime(spec.Service)),
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

// StartEntry starts an entry instance.
func (f *Fleet) StartEntry(id string, options ...cranentry.Option) error {
	meter := &Meter{Log: f.platform.LogFor(id)}
	options = append([]cranentry.Option{cranentry.WithIdentity(id, "dc1")}, options...)
	peers := cranentry.PeerAddress{Listen: netip.MustParseAddrPort("127.0.0.1:0")}
	host, err := cranentry.NewSupervisor(meter, f.platform.FleetFor(id), peers, options...)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		host.Abort()
		return eris.Wrap(err, "listen for callers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{host: host, listener: listener, meter: meter, cancel: cancel, done: make(chan error, 1)}
	e.server = &http.Server{Handler: host.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = e.server.Serve(listener) }()
	go func() { e.done <- host.Run(ctx) }()
	f.entries[id] = e
	return f.platform.Fleet().Add(cranplatform.Instance{ID: id, Address: listener.Addr().String(), Role: "entry"}, nowhere{})
}

// nowhere is the controller of an instance that nobody reboots.
type nowhere struct{}

// Reboot does nothing.
func (nowhere) Reboot(context.Context, time.Duration) (int, error) { return 0, nil }

// Stop does nothing.
func (nowhere) Stop(context.Context) (int, error) { return 0, nil }

// Entry returns an entry of that id, nil if there is none.
func (f *Fleet) Entry(id string) *Entry { return f.entries[id] }

// URL returns where callers reach the entry.
func (e *Entry) URL() string { return "http://" + e.listener.Addr().String() }

// Meter returns what the entry exchanged with the log.
func (e *Entry) Meter() *Meter { return e.meter }

// PeerBytes returns how many bytes the entry exchanged with its peers.
func (e *Entry) PeerBytes() int64 { return e.host.PeerBytes() }

// Status returns what the entry knows of the fleet.
func (e *Entry) Status(ctx context.Context) (cranadmin.Status, error) { return e.host.Status(ctx) }

// Propose appends an event and waits for the reducer's decision.
func (e *Entry) Propose(ctx context.Context, event cranstate.Event) (uint64, error) {
	return e.host.Propose(ctx, event)
}

// StopEntry stops an entry gracefully.
func (f *Fleet) StopEntry(id string) error {
	e := f.entries[id]
	delete(f.entries, id)
	e.cancel()
	err := <-e.done
	return errors.Join(err, e.server.Close())
}

// KillEntry ends an entry at once, as the death of its process would.
func (f *Fleet) KillEntry(id string) error {
	e := f.entries[id]
	delete(f.entries, id)
	err := e.server.Close()
	e.host.Abort()
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

// Close stops everything.
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
