package cranentry

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranpeer"
)

// contact tracks whether this entry reaches the log.
type contact struct {
	lease time.Duration
	mu    sync.Mutex
	// since is when the present contact began, zero if there is none.
	since time.Time
}

func newContact(lease time.Duration) *contact { return &contact{lease: lease} }

// observe notes how old the last contact is and reports whether there is one.
func (c *contact) observe(now, last time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last.IsZero() || now.Sub(last) >= contactBound(c.lease) {
		c.since = time.Time{}
		return false
	}
	if c.since.IsZero() {
		c.since = now
	}
	return true
}

func (c *contact) status(t *cranlog.Tailer) cranpeer.Status {
	now := time.Now()
	last := t.LastContact()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := cranpeer.Status{Next: t.Next(), ContactAgeMs: now.Sub(last).Milliseconds()}
	if !c.since.IsZero() {
		s.ContactDurationMs = now.Sub(c.since).Milliseconds()
	}
	return s
}

// peerLoop follows the log through the peers while this entry lacks it, and
// finds out whether everybody does. It sends nothing while the log answers.
func (e *Entry) peerLoop(ctx context.Context) {
	ticker := time.NewTicker(e.heartbeat / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if t := e.tailer.Load(); t != nil {
				e.watchContact(ctx, t, now)
			}
		}
	}
}

func (e *Entry) watchContact(ctx context.Context, t *cranlog.Tailer, now time.Time) {
	last := t.LastContact()
	if lost := now.Sub(last) >= contactBound(e.lease); lost {
		e.consultPeers(ctx, t)
	}
	e.report.contact(e.contact.observe(now, last))
}

// consultPeers asks every peer for its contact with the log, takes over the
// records of the one that is furthest, and goes on serving if the log is down
// for everybody.
func (e *Entry) consultPeers(ctx context.Context, t *cranlog.Tailer) {
	peers := e.Peers()
	reports, best := e.askPeers(ctx, peers, t.Next())
	if best != nil {
		e.pull(ctx, t, *best)
	}
	if !e.guard.ready.Load() {
		return
	}
	if end := outageEnd(time.Now(), e.lease, len(peers)+1, reports); !end.IsZero() {
		e.guard.extend(end)
	}
}

// askPeers returns the peers' reports and the one furthest ahead of this
// entry, if any.
func (e *Entry) askPeers(ctx context.Context, peers []cranpeer.Peer, furthest uint64) (reports []peerReport, best *cranpeer.Peer) {
	bounded, cancel := context.WithTimeout(ctx, e.heartbeat/2)
	defer cancel()
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, p := range peers {
		asked.Go(func() {
			sent := time.Now()
			s, err := e.client.Status(bounded, p)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, peerReport{
				heard:      sent,
				contactFor: time.Duration(s.ContactDurationMs) * time.Millisecond,
				contactAge: time.Duration(s.ContactAgeMs) * time.Millisecond,
			})
			if s.Next > furthest {
				furthest, best = s.Next, &p
			}
		})
	}
	asked.Wait()
	return reports, best
}

// pull takes over a peer's recent records.
func (e *Entry) pull(ctx context.Context, t *cranlog.Tailer, p cranpeer.Peer) {
	bounded, cancel := context.WithTimeout(ctx, e.heartbeat)
	defer cancel()
	records, whole, err := e.client.Records(bounded, p, t.Next())
	if err != nil || !whole {
		return
	}
	// A gap is refused and the next round asks again from where it stands.
	_, _ = t.Offer(records)
}
