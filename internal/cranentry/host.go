package cranentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranadmin"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// Supervisor runs one incarnation after another in the same process: an entry that
// was written off, or that fell behind what the log keeps, is closed and
// another takes its place.
type Supervisor struct {
	log     cranplatform.Log
	fleet   cranplatform.Fleet
	peers   PeerAddress
	options []Option

	mu      sync.Mutex
	current *Entry
}

// PeerAddress says where an entry listens for peers.
type PeerAddress struct {
	Listen netip.AddrPort
	// Advertise is the IP number that peers use; that of Listen if invalid.
	Advertise netip.Addr
}

// NewSupervisor starts the first incarnation.
func NewSupervisor(log cranplatform.Log, fleet cranplatform.Fleet, peers PeerAddress, options ...Option) (*Supervisor, error) {
	h := &Supervisor{log: log, fleet: fleet, peers: peers, options: options}
	return h, h.begin()
}

// begin starts an incarnation. Later ones keep the port of the first.
func (h *Supervisor) begin() error {
	listener, err := net.Listen("tcp", h.peers.Listen.String())
	if err != nil {
		return eris.Wrapf(err, "listen on %s for peers; free the address or set another", h.peers.Listen)
	}
	bound := netip.MustParseAddrPort(listener.Addr().String())
	h.peers.Listen = bound
	address := bound
	if h.peers.Advertise.IsValid() {
		address = netip.AddrPortFrom(h.peers.Advertise, bound.Port())
	}
	e, err := New(h.log, h.fleet, listener, address.String(), h.options...)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = e
	return nil
}

func (h *Supervisor) entry() *Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Run replaces incarnations until ctx ends, and then stops gracefully.
func (h *Supervisor) Run(ctx context.Context) error {
	for {
		e := h.entry()
		select {
		case <-ctx.Done():
			return e.Close()
		case err := <-e.Ended():
			if !replaceable(err) {
				_ = e.Close()
				return err
			}
		}
		if err := e.Close(); err != nil {
			return err
		}
		if err := h.begin(); err != nil {
			return err
		}
	}
}

// Abort ends the present incarnation at once, without a farewell. Run must
// not be running.
func (h *Supervisor) Abort() { h.entry().Abort() }

// replaceable reports whether another incarnation can go on.
func replaceable(err error) bool {
	kind := cranfault.KindOf(err)
	return kind == cranfault.UnknownMember || kind == cranfault.RecordsExpired
}

// Handler returns the handler for callers' requests.
func (h *Supervisor) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.entry().Handler().ServeHTTP(w, r)
	})
}

// PeerAddress returns where peers reach this process.
func (h *Supervisor) PeerAddress() netip.AddrPort { return h.peers.Listen }

// PeerBytes returns how many bytes the present incarnation exchanged with its
// peers.
func (h *Supervisor) PeerBytes() int64 { return h.entry().PeerBytes() }

// Ready returns nil if requests are taken.
func (h *Supervisor) Ready() error { return h.entry().Ready() }

// Status returns what the entry knows of the fleet.
func (h *Supervisor) Status(ctx context.Context) (cranadmin.Status, error) {
	return h.entry().Status(ctx)
}

// Explain returns what an instance or a wave waits for.
func (h *Supervisor) Explain(ctx context.Context, subject string) ([]cranstate.Blocker, error) {
	return h.entry().Explain(ctx, subject)
}

// Propose appends an event and waits for the reducer's decision.
func (h *Supervisor) Propose(ctx context.Context, event cranstate.Event) (uint64, error) {
	return h.entry().Propose(ctx, event)
}
