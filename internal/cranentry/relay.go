package cranentry

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranpeer"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// relayLog is the platform's log with a way round: an append that the log
// does not take is handed to a peer, since this entry alone may have lost it.
type relayLog struct {
	cranplatform.Log
	client *cranpeer.Client
	peers  func() []cranpeer.Peer
	// timeout bounds one append through a peer.
	timeout time.Duration
	mu      sync.Mutex
	// last is the index of the peer that was asked last.
	last int
}

// Append appends directly, or else through one peer. As always an error says
// nothing about whether the append took effect; records carry ids, so one
// that takes effect both ways is applied once.
func (l *relayLog) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	first, err := l.Log.Append(ctx, stream, payloads)
	if err == nil || cranfault.KindOf(err) != cranfault.LogUnavailable {
		return first, err
	}
	p, ok := l.next()
	if !ok {
		return 0, err
	}
	relayed, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	first, relayErr := l.client.Append(relayed, p, stream, payloads)
	if relayErr != nil {
		return 0, err
	}
	return first, nil
}

func (l *relayLog) next() (cranpeer.Peer, bool) {
	peers := l.peers()
	if len(peers) == 0 {
		return cranpeer.Peer{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	return peers[l.last%len(peers)], true
}
