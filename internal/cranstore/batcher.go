package cranstore

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

const (
	// batchTry bounds one try of an append: a partition lets up to 2 s of
	// appends wait, and the answer travels.
	batchTry = 2500 * time.Millisecond
	// batchPause is the pause between two tries of a batch.
	batchPause = 120 * time.Millisecond
	// batchBytes bounds the values of one append, well below what a call may
	// carry.
	batchBytes = 256 << 10
)

// ErrUnanswered is returned for records that may have been stored, now or later.
var ErrUnanswered = errors.New("the store has not answered in time")

// Batcher appends the records of many callers with one append at a time: a
// partition takes appends in turn, so that a slow one serves more callers the
// fewer appends they need. Records must be such that storing them twice does
// no harm.
type Batcher struct {
	topic  Topic
	ctx    context.Context
	cancel context.CancelFunc
	// retried is told of each repeat, and whether the try before it certainly
	// had no effect.
	retried func(refused bool)
	writers sync.WaitGroup

	mu sync.Mutex
	// waiting holds what the next append carries, flying what the present one
	// does. A goroutine writes while writing is set.
	waiting, flying []*queued
	writing         bool
	// landed ends the present append once all its records were read back.
	landed context.CancelFunc
}

// queued is a record that waits for an append.
type queued struct {
	record Record
	// result gets the outcome; it has room for it.
	result chan stored
	// left is true once the caller has gone, settled once it was answered.
	left, settled bool
}

type stored struct {
	offset uint64
	err    error
}

// NewBatcher returns a batcher that tells a function of its repeats.
func NewBatcher(topic Topic, retried func(refused bool)) *Batcher {
	b := &Batcher{topic: topic, retried: retried}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	return b
}

// Append stores a record and returns its offset. An error that isn't one of a
// call without effect leaves open whether the record is stored.
func (b *Batcher) Append(ctx context.Context, r Record) (uint64, error) {
	q := &queued{record: r, result: make(chan stored, 1)}
	b.mu.Lock()
	b.waiting = append(b.waiting, q)
	if !b.writing {
		b.writing = true
		b.writers.Go(b.write)
	}
	b.mu.Unlock()
	select {
	case s := <-q.result:
		return s.offset, s.err
	case <-ctx.Done():
		return b.leave(q)
	}
}

// leave gives up waiting for a record.
func (b *Batcher) leave(q *queued) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q.settled {
		s := <-q.result
		return s.offset, s.err
	}
	q.left = true
	for i, other := range b.waiting {
		if other == q {
			b.waiting = append(b.waiting[:i:i], b.waiting[i+1:]...)
			return 0, Refused(ErrUnanswered)
		}
	}
	return 0, ErrUnanswered
}

// Observe takes in records that were read: an append whose answer is lost has
// succeeded if its records are there.
func (b *Batcher) Observe(records []Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := 0
	for _, q := range b.flying {
		for _, r := range records {
			if r.Key == q.record.Key && bytes.Equal(r.Value, q.record.Value) {
				q.settle(r.Offset, nil)
				break
			}
		}
		if !q.settled {
			open++
		}
	}
	if open == 0 && b.landed != nil {
		b.landed()
	}
}

// settle answers the caller. The batcher's lock is held.
func (q *queued) settle(offset uint64, err error) {
	if !q.settled {
		q.settled = true
		q.result <- stored{offset, err}
	}
}

// Close ends the appends and waits for that.
func (b *Batcher) Close() {
	b.cancel()
	b.writers.Wait()
}

// write appends what waits, batch after batch.
func (b *Batcher) write() {
	for b.next() {
		b.appendBatch()
	}
}

// next takes the next batch, and ends the writing if there is none.
func (b *Batcher) next() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, size := 0, 0
	for n < len(b.waiting) && (n == 0 || size < batchBytes) {
		size += len(b.waiting[n].record.Value)
		n++
	}
	b.flying = b.waiting[:n:n]
	b.waiting = b.waiting[n:]
	b.writing = n > 0
	return b.writing
}

// appendBatch tries until the batch is stored, certainly isn't, or no caller
// waits any more.
func (b *Batcher) appendBatch() {
	doubtful := false
	for {
		records, try, cancel := b.try()
		if len(records) == 0 {
			cancel()
			return
		}
		first, err := b.topic.Append(try, records, AppendOptions{})
		cancel()
		refused := IsRefused(err)
		if err == nil || refused && !doubtful || b.ctx.Err() != nil {
			b.settle(first, err)
			return
		}
		doubtful = doubtful || !refused
		b.retried(refused)
		cranpause.For(b.ctx, batchPause)
	}
}

// try returns the records of the batch that callers still wait for.
func (b *Batcher) try() ([]Record, context.Context, context.CancelFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := b.flying[:0:0]
	var records []Record
	for _, q := range b.flying {
		if !q.left && !q.settled {
			open = append(open, q)
			records = append(records, q.record)
		}
	}
	b.flying = open
	try, cancel := context.WithTimeout(b.ctx, batchTry)
	b.landed = cancel
	return records, try, cancel
}

// settle answers the callers of the batch, whose records lie from an offset on.
func (b *Batcher) settle(first uint64, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, q := range b.flying {
		q.settle(first+uint64(i), err)
	}
	b.flying, b.landed = nil, nil
}
