package crannode

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// appendTimeout bounds one attempt of an append.
	appendTimeout = 1500 * time.Millisecond
	// maxAppendBytes bounds the records of one append. On a link of 10 Mbit/s they take
	// 0.2 s; the store's own limit for a call is several times as high.
	maxAppendBytes = 256 << 10
	// latencyMemory is how long the latency of an append says something about the next.
	latencyMemory = 2 * time.Second
	// appendRetryPause is the pause after a failed attempt.
	appendRetryPause = 80 * time.Millisecond
)

// fencedWriter appends an owner's records to a topic, under the epoch of its claim and one
// batch at a time. Only the control goroutine uses it.
type fencedWriter struct {
	topic cranstore.Topic
	// producer and epoch fence the appends; sequence is the number of the newest one.
	producer string
	epoch    uint64
	sequence uint64
	// busy is true while a batch is being appended. The next one begins no earlier than
	// nextAt, which is interval after the end of the last one.
	busy     bool
	nextAt   time.Duration
	interval time.Duration
	// begunAt is when the append in flight was begun.
	begunAt time.Duration
	// latency is how long the newest append took.
	latency time.Duration
}

// age returns how long the append in flight has taken; 0 if there is none.
func (w *fencedWriter) age(now time.Duration) time.Duration {
	if !w.busy {
		return 0
	}
	return max(now-w.begunAt, 0)
}

// recentLatency returns how long the newest append took; 0 if it ended longer than latencyMemory ago.
func (w *fencedWriter) recentLatency(now time.Duration) time.Duration {
	if now-w.nextAt > latencyMemory {
		return 0
	}
	return w.latency
}

// splitBatch divides records into parts of at most maxBytes, or of one record if that is
// larger.
func splitBatch(records []cranstore.Record, maxBytes int) [][]cranstore.Record {
	var parts [][]cranstore.Record
	first, size := 0, 0
	for i, r := range records {
		bytes := len(r.Key) + len(r.Value)
		if i > first && size+bytes > maxBytes {
			parts = append(parts, records[first:i:i])
			first, size = i, 0
		}
		size += bytes
	}
	if first < len(records) {
		parts = append(parts, records[first:len(records):len(records)])
	}
	return parts
}

// attempts says when an append was sent: for the first time, and for the last, which was
// answered. A repeat adds no record, so what is stored may be as old as the first attempt.
type attempts struct{ first, last time.Duration }

// write appends records, of which there must be one at least, and calls done in the control goroutine unless the ownership has
// ended by then. A large batch is appended in parts, since the store refuses a call above its
// limit and a slow link can't carry it in the time of one attempt. The time passed to done is
// when the last part was first sent, before which that part can't have been stored.
func (w *fencedWriter) write(o *ownership, records []cranstore.Record, done func(sent time.Duration, err error)) {
	n := o.shard.node
	parts := splitBatch(records, maxAppendBytes)
	options := cranstore.AppendOptions{Producer: w.producer, Epoch: w.epoch, Sequence: w.sequence + 1}
	w.sequence += uint64(len(parts))
	w.busy, w.begunAt = true, n.now().Steady
	n.control.group.Go(func() {
		sent, err := n.appendParts(o.ctx, w.topic, parts, options)
		n.post(n.control.runCtx, func() {
			if o.shard.owner != o {
				return
			}
			now := n.now().Steady
			w.busy, w.nextAt, w.latency = false, now+w.interval, now-sent.last
			done(sent.first, err)
		})
	})
}

// appendParts appends the parts of a batch one after the other. It returns when the last
// part was sent.
func (n *Node) appendParts(ctx context.Context, t cranstore.Topic, parts [][]cranstore.Record, o cranstore.AppendOptions) (sent attempts, err error) {
	for _, part := range parts {
		if sent, err = n.appendUntilAnswered(ctx, t, part, o); err != nil {
			return sent, err
		}
		o.Sequence++
	}
	return sent, nil
}

// appendUntilAnswered repeats an append until its outcome is known. The sequence number
// makes repeats safe.
func (n *Node) appendUntilAnswered(ctx context.Context, t cranstore.Topic, records []cranstore.Record, o cranstore.AppendOptions) (attempts, error) {
	sent := attempts{first: n.now().Steady}
	for {
		sent.last = n.now().Steady
		limited, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := t.Append(limited, records, o)
		cancel()
		var fenced *cranstore.FencedError
		var sequence *cranstore.SequenceError
		if err == nil || errors.As(err, &fenced) || errors.As(err, &sequence) || ctx.Err() != nil {
			return sent, err
		}
		n.metrics.Retried(cranstore.IsRefused(err))
		n.log.Emit(cranevent.AppendRepeated, cranevent.Epoch(o.Epoch), cranevent.Err(err))
		cranpause.Sleep(ctx, appendRetryPause)
	}
}
