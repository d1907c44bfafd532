package cranentry

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranpeer"
)

// logContact tracks whether this entry can read the log.
type logContact struct {
	lease time.Duration
	mu    sync.Mutex
	// since is when the current uninterrupted contact began. It is zero while
	// the log is unreachable.
	since time.Time
}

func newLogContact(lease time.Duration) *logContact { return &logContact{lease: lease} }

// update takes the time of the last successful read and reports whether the
// log counts as reachable.
func (c *logContact) update(now, last time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last.IsZero() || now.Sub(last) >= contactTimeout(c.lease) {
		c.since = time.Time{}
		return false
	}
	if c.since.IsZero() {
		c.since = now
	}
	return true
}

// status returns the status that this entry reports to its peers.
func (c *logContact) status(t *cranlog.Tailer) cranpeer.Status {
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

// peerLoop fetches records from the peers while this entry can't reach the log,
// and finds out whether the outage affects all members. It sends nothing while
// the log is reachable.
func (e *Entry) peerLoop(ctx context.Context) {
	ticker := time.NewTicker(e.heartbeatInterval / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if t := e.tailer.Load(); t != nil {
				e.checkContact(ctx, t, now)
			}
		}
	}
}

// checkContact syncs with the peers if the log is unreachable, and reports when
// contact is lost or restored.
func (e *Entry) checkContact(ctx context.Context, t *cranlog.Tailer, now time.Time) {
	last := t.LastContact()
	if lost := now.Sub(last) >= contactTimeout(e.leaseDuration); lost {
		e.syncWithPeers(ctx, t)
	}
	e.reporter.onContact(e.logContact.update(now, last))
}

// syncWithPeers asks every peer for its status, fetches records from the peer
// that has applied the most, and extends this entry's right to serve if the log
// outage affects all members.
func (e *Entry) syncWithPeers(ctx context.Context, t *cranlog.Tailer) {
	peers := e.Peers()
	reports, ahead := e.queryPeers(ctx, peers, t.Next())
	if ahead != nil {
		e.pullRecords(ctx, t, *ahead)
	}
	if !e.guard.ready.Load() {
		return
	}
	if end := outageLeaseEnd(time.Now(), e.leaseDuration, len(peers)+1, reports); !end.IsZero() {
		e.guard.extend(end)
	}
}

// queryPeers returns the reports of the peers that answered, and the peer with
// the highest next offset if that exceeds maxNext, the offset of this entry.
func (e *Entry) queryPeers(ctx context.Context, peers []cranpeer.Peer, maxNext uint64) (reports []peerReport, ahead *cranpeer.Peer) {
	boundedCtx, cancel := context.WithTimeout(ctx, e.heartbeatInterval/2)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() {
			askedAt := time.Now()
			s, err := e.client.Status(boundedCtx, p)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, peerReport{
				askedAt:    askedAt,
				contactFor: time.Duration(s.ContactDurationMs) * time.Millisecond,
				contactAge: time.Duration(s.ContactAgeMs) * time.Millisecond,
			})
			if s.Next > maxNext {
				maxNext, ahead = s.Next, &p
			}
		})
	}
	wg.Wait()
	return reports, ahead
}

// pullRecords fetches a peer's recent records in portions and passes them to the tailer.
func (e *Entry) pullRecords(ctx context.Context, t *cranlog.Tailer, p cranpeer.Peer) {
	boundedCtx, cancel := context.WithTimeout(ctx, e.heartbeatInterval)
	defer cancel()
	for {
		records, complete, err := e.client.Records(boundedCtx, p, t.Next())
		if err != nil || !complete || len(records) == 0 {
			return
		}
		// The tailer rejects records that would leave a gap. The next tick asks
		// again from the offset that it then needs.
		if _, err := t.DeliverRelayed(records); err != nil {
			return
		}
	}
}
