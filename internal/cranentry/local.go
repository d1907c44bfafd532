package cranentry

import (
	"context"
	"net/netip"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranpeer"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// peerHandler handles the calls of peers to an entry.
type peerHandler Entry

// Admit admits a member that connects from the IP address with which it joined,
// and anybody that connects from the IP address of a seed peer.
func (h *peerHandler) Admit(member string, from netip.Addr) error {
	e := (*Entry)(h)
	if p, ok := e.findPeer(member); ok {
		if a, err := netip.ParseAddrPort(p.Address); err == nil && a.Addr() == from {
			return nil
		}
	}
	for _, p := range e.seeds {
		if a, err := netip.ParseAddrPort(p.Address); err == nil && a.Addr() == from {
			return nil
		}
	}
	return cranfault.New(cranfault.UnknownPeer, "join through the log first, with the address that the connection comes from",
		"%q at %s is not a member", member, from)
}

// Status returns the next offset of this entry and the state of its contact with
// the log.
func (h *peerHandler) Status() cranpeer.Status {
	e := (*Entry)(h)
	t := e.tailer.Load()
	if t == nil {
		return cranpeer.Status{}
	}
	return e.logContact.status(t)
}

// Records returns the recent records from an offset on. It reports false if they
// are not kept that far back.
func (h *peerHandler) Records(from uint64) ([]cranplatform.Record, bool) {
	t := (*Entry)(h).tailer.Load()
	if t == nil {
		return nil, false
	}
	return t.RecentFrom(from)
}

// Append appends to the log on behalf of a peer. It never relays the append again.
func (h *peerHandler) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	return (*Entry)(h).log.Append(ctx, stream, payloads)
}

// Snapshot returns a snapshot of the control state.
func (h *peerHandler) Snapshot(ctx context.Context) (cranpeer.Snapshot, error) {
	snap, err := (*Entry)(h).snapshot(ctx)
	return cranpeer.Snapshot{Next: snap.Offset(), State: snap.State(), Digest: snap.Digest()}, err
}

// HandleSlotMessage passes a message of a peer to the slot broker.
func (h *peerHandler) HandleSlotMessage(from string, m cranslot.Message) {
	(*Entry)(h).broker.Handle(from, m)
}

// Answer returns the answer that this entry caches for a key.
func (h *peerHandler) Answer(key string) cranpeer.Answer {
	a, ok := (*Entry)(h).proxy.CachedAnswer(key)
	if !ok {
		return cranpeer.Answer{}
	}
	return cranpeer.Answer{Found: true, Status: a.Status(), Header: a.Header(), Body: a.Body()}
}
