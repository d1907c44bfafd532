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

// Supervisor runs successive incarnations of an entry in one process. It replaces
// an entry that was removed from the members, or that needs records which the log
// no longer keeps.
type Supervisor struct {
	log     cranplatform.Log
	fleet   cranplatform.Fleet
	peers   PeerAddress
	options []Option

	mu      sync.Mutex
	current *Entry
}

// PeerAddress holds the addresses at which an entry accepts connections from peers.
type PeerAddress struct {
	Listen netip.AddrPort
	// Advertise is the IP address that peers connect to. If it is invalid, they
	// use the address of Listen.
	Advertise netip.Addr
}

// NewSupervisor returns a supervisor and starts its first incarnation.
func NewSupervisor(log cranplatform.Log, fleet cranplatform.Fleet, peers PeerAddress, options ...Option) (*Supervisor, error) {
	s := &Supervisor{log: log, fleet: fleet, peers: peers, options: options}
	return s, s.startIncarnation()
}

// startIncarnation starts an incarnation. Later ones listen on the port of the
// first.
func (s *Supervisor) startIncarnation() error {
	listener, err := net.Listen("tcp", s.peers.Listen.String())
	if err != nil {
		return eris.Wrapf(err, "listen on %s for peers; free the address or configure another", s.peers.Listen)
	}
	bound := netip.MustParseAddrPort(listener.Addr().String())
	s.peers.Listen = bound
	address := bound
	if s.peers.Advertise.IsValid() {
		address = netip.AddrPortFrom(s.peers.Advertise, bound.Port())
	}
	e, err := New(s.log, s.fleet, listener, address.String(), s.options...)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = e
	return nil
}

func (s *Supervisor) currentEntry() *Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Run replaces incarnations that have ended until ctx is done, and then closes
// the current one gracefully.
func (s *Supervisor) Run(ctx context.Context) error {
	for {
		e := s.currentEntry()
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
		if err := s.startIncarnation(); err != nil {
			return err
		}
	}
}

// Abort stops the current incarnation at once, without ending its membership. It
// must not be called while Run is running.
func (s *Supervisor) Abort() { s.currentEntry().Abort() }

// replaceable reports whether a new incarnation can continue after the error.
func replaceable(err error) bool {
	kind := cranfault.KindOf(err)
	return kind == cranfault.UnknownMember || kind == cranfault.RecordsExpired
}

// Handler returns the handler for callers' requests.
func (s *Supervisor) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.currentEntry().Handler().ServeHTTP(w, r)
	})
}

// PeerAddress returns the address on which this process listens for peers.
func (s *Supervisor) PeerAddress() netip.AddrPort { return s.peers.Listen }

// PeerBytes returns the number of bytes that the current incarnation has
// exchanged with peers.
func (s *Supervisor) PeerBytes() int64 { return s.currentEntry().PeerBytes() }

// Ready returns nil if the entry accepts requests, or else the fault that
// prevents it.
func (s *Supervisor) Ready() error { return s.currentEntry().Ready() }

// Status returns the status of the fleet as this entry knows it.
func (s *Supervisor) Status(ctx context.Context) (cranadmin.Status, error) {
	return s.currentEntry().Status(ctx)
}

// Explain returns the blockers of an instance or a wave, or all blockers if
// subject is empty.
func (s *Supervisor) Explain(ctx context.Context, subject string) ([]cranstate.Blocker, error) {
	return s.currentEntry().Explain(ctx, subject)
}

// Propose appends an event and waits for the reducer's decision.
func (s *Supervisor) Propose(ctx context.Context, event cranstate.Event) (uint64, error) {
	return s.currentEntry().Propose(ctx, event)
}
