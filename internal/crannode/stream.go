package crannode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// Topics are the records of the job service. They lie apart since a topic takes
// its appends in turn: while it is slow, callers must not delay the scheduler.
type Topics struct {
	// Progress has what the scheduler stores, and its claims.
	Progress cranstore.Topic
	// Submissions has the accepted jobs and the cancellations, which every entry
	// instance stores.
	Submissions cranstore.Topic
}

// stream is how far a topic was read into the book.
type stream struct {
	name  string
	topic cranstore.Topic
	// next is the offset to read from next, loaded true after the first read.
	// Both are guarded by the node's lock.
	next   uint64
	loaded bool
	// contactAt is when the newest successful read was sent, currentAt when the
	// newest one was that left nothing unread.
	contactAt, currentAt atomic.Int64
}

// reachableBound is how old the last word of the store may be.
const reachableBound = 2500 * time.Millisecond

// currentBound is how old the number of waiting jobs may be: 2 s by the
// platform's protocol, and the wait of the read that brought it.
const currentBound = 2*time.Second + bookWait

// reachable reports whether the store has answered lately.
func (s *stream) reachable(now time.Duration) bool {
	at := s.contactAt.Load()
	return at != 0 && now-time.Duration(at) <= reachableBound
}

// current reports whether the book lately held all that was stored.
func (s *stream) current(now time.Duration) bool {
	at := s.currentAt.Load()
	return at != 0 && now-time.Duration(at) <= currentBound
}

// followStream reads a stream into the book until ctx ends; the control goroutine
// takes in what it brings before more is read.
func (n *Node) followStream(ctx context.Context, s *stream, pause time.Duration, read func(cranstore.Update)) {
	n.follow(ctx, reading{s.name, s.topic, bookWait, pause, ownerPause}, func(u cranstore.Update) {
		done := make(chan struct{})
		n.post(ctx, func() {
			defer close(done)
			read(u)
		})
		select {
		case <-done:
		case <-ctx.Done():
		}
	})
}

// advance takes in how far a read has brought the book, and wakes those who
// wait for that. The caller holds the node's lock.
func (n *Node) advance(s *stream, u cranstore.Update) {
	s.next, s.loaded = u.Next, true
	s.contactAt.Store(int64(u.Sent))
	if u.Next >= u.End {
		s.currentAt.Store(int64(u.Sent))
	}
	close(n.advanced)
	n.advanced = make(chan struct{})
}

// apply applies a record to the book. The caller holds the node's lock.
func (n *Node) apply(s *stream, r cranstore.Record) (cranjob.Change, bool) {
	change, err := n.book.Apply(r.Key, r.Value, r.Offset)
	if err != nil {
		n.log.Emit(cranevent.MalformedRecord, cranevent.Stream(s.name), cranevent.Offset(r.Offset), cranevent.Err(err))
	}
	return change, err == nil
}

// loaded reports whether the book was read.
func (n *Node) loaded() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.progress.loaded && n.submissions.loaded
}
