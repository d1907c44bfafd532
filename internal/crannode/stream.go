package crannode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// Topics are the topics of the job service; in the platform's store they are two
// partitions of one topic. They are separate because each processes its appends one after
// the other, and appends of callers must not delay the scheduler while the store is slow.
type Topics struct {
	// Progress holds the scheduler's records and the claims.
	Progress cranstore.Topic
	// Submissions holds the accepted jobs and the cancellations. Every entry instance
	// appends to it.
	Submissions cranstore.Topic
}

// stream is a topic that is read into the replica, with the read position.
type stream struct {
	name  string
	topic cranstore.Topic
	// follower reads the topic.
	follower *cranstore.Follower
	// next is the offset of the next read. loaded is true after the first read. The
	// node's lock guards both.
	next   uint64
	loaded bool
	// contactAt is when the newest successful read was sent. currentAt is when the
	// newest read was sent after which no stored record was left unread.
	contactAt, currentAt atomic.Int64
}

// newStream returns a stream that pauses between reads, unless this process owns the
// scheduling.
func (n *Node) newStream(name string, topic cranstore.Topic, pause time.Duration) *stream {
	r := readOptions{topic: topic, wait: replicaReadWait, pause: pause, ownerPause: ownerPause}
	return &stream{name: name, topic: topic, follower: n.newFollower(r)}
}

// reachableFor is how long the store counts as reachable after a successful read was
// sent.
const reachableFor = 2500 * time.Millisecond

// maxStaleness bounds the age of the reported number of pending jobs: 2 s as defined by
// the platform's protocol, plus the wait of the read.
const maxStaleness = 2*time.Second + replicaReadWait

// reachable reports whether the store has answered a read recently.
func (s *stream) reachable(now time.Duration) bool {
	at := s.contactAt.Load()
	return at != 0 && now-time.Duration(at) <= reachableFor
}

// current reports whether the replica recently held everything that was stored.
func (s *stream) current(now time.Duration) bool {
	at := s.currentAt.Load()
	return at != 0 && now-time.Duration(at) <= maxStaleness
}

// followStream reads a stream into the replica until ctx ends. The control goroutine
// applies each update before the next read.
func (n *Node) followStream(ctx context.Context, s *stream, read func(cranstore.Update)) {
	n.follow(ctx, s.name, s.follower, func(u cranstore.Update) {
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

// advance records the position that a read has reached, and wakes the goroutines that
// wait for the replica to advance. The caller holds the node's lock.
func (n *Node) advance(s *stream, u cranstore.Update) {
	s.next, s.loaded = u.Next, true
	s.contactAt.Store(int64(u.Sent))
	if u.Next >= u.End {
		s.currentAt.Store(int64(u.Sent))
	}
	close(n.advanced)
	n.advanced = make(chan struct{})
}

// apply applies a record to the replica, and logs it if it is malformed. The caller
// holds the node's lock.
func (n *Node) apply(s *stream, r cranstore.Record) (cranjob.Change, bool) {
	change, err := n.replica.Apply(r.Key, r.Value, r.Offset)
	if err != nil {
		n.log.Emit(cranevent.MalformedRecord, cranevent.Stream(s.name), cranevent.Offset(r.Offset), cranevent.Err(err))
	}
	return change, err == nil
}

// loaded reports whether both topics of the replica have been read once.
func (n *Node) loaded() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.progress.loaded && n.submissions.loaded
}
