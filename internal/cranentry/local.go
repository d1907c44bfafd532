package cranentry

import (
	"context"
	"net/netip"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranpeer"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// local is the entry as its peers see it.
type local Entry

// Admit lets members in from the address that they joined with, and those
// that the settings name.
func (l *local) Admit(member string, from netip.Addr) error {
	e := (*Entry)(l)
	if p, ok := e.peer(member); ok {
		if a, err := netip.ParseAddrPort(p.Address); err == nil && a.Addr() == from {
			return nil
		}
	}
	for _, p := range e.seeds {
		if a, err := netip.ParseAddrPort(p.Address); err == nil && a.Addr() == from {
			return nil
		}
	}
	return cranfault.New(cranfault.UnknownPeer, "join through the log first, with the address that is called from",
		"%q at %s is no member here", member, from)
}

// Status says how far the entry is.
func (l *local) Status() cranpeer.Status {
	e := (*Entry)(l)
	t := e.tailer.Load()
	if t == nil {
		return cranpeer.Status{}
	}
	return e.contact.status(t)
}

// Records returns recent records.
func (l *local) Records(from uint64) ([]cranplatform.Record, bool) {
	t := (*Entry)(l).tailer.Load()
	if t == nil {
		return nil, false
	}
	return t.Since(from)
}

// Append appends to the log on behalf of a peer, directly.
func (l *local) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	return (*Entry)(l).log.Append(ctx, stream, payloads)
}

// Snapshot returns the control state.
func (l *local) Snapshot(ctx context.Context) (cranpeer.Snapshot, error) {
	snap, err := (*Entry)(l).snapshot(ctx)
	return cranpeer.Snapshot{Next: snap.Offset(), State: snap.State(), Digest: snap.Digest()}, err
}

// HandleSlotMessage takes a message about slots.
func (l *local) HandleSlotMessage(from string, m cranslot.Message) {
	(*Entry)(l).broker.Handle(from, m)
}

// Answer returns an answer kept here.
func (l *local) Answer(key string) cranpeer.Answer {
	a, ok := (*Entry)(l).front.CachedAnswer(key)
	if !ok {
		return cranpeer.Answer{}
	}
	return cranpeer.Answer{Found: true, Status: a.Status(), Header: a.Header(), Body: a.Body()}
}
