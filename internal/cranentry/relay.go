package cranentry

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranpeer"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// relayLog is the platform's log with a fallback: if an append fails because
// the log is unavailable, it is repeated through a peer, since only this entry
// may have lost its connection to the log.
type relayLog struct {
	cranplatform.Log
	client *cranpeer.Client
	peers  func() []cranpeer.Peer
	// timeout bounds one append through a peer.
	timeout time.Duration
	mu      sync.Mutex
	// relayCount is the number of appends relayed so far. Modulo the number of
	// peers, it is the index of the peer that was asked last.
	relayCount int
}

// Append appends directly or, if the log is unavailable, through one peer. After
// an error the append may still have taken effect. Records carry identifiers, so
// a record that is appended both ways is applied once.
func (l *relayLog) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	first, err := l.Log.Append(ctx, stream, payloads)
	if err == nil || cranfault.KindOf(err) != cranfault.LogUnavailable {
		return first, err
	}
	p, ok := l.nextPeer()
	if !ok {
		return 0, err
	}
	relayCtx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	first, relayErr := l.client.Append(relayCtx, p, stream, payloads)
	if relayErr != nil {
		return 0, err
	}
	return first, nil
}

// nextPeer chooses peers in turn.
func (l *relayLog) nextPeer() (cranpeer.Peer, bool) {
	peers := l.peers()
	if len(peers) == 0 {
		return cranpeer.Peer{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relayCount++
	return peers[l.relayCount%len(peers)], true
}
