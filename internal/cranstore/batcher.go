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
	// attemptTimeout bounds one attempt of an append. A partition of the store
	// queues up to 2 s of appends; the rest is for the network.
	attemptTimeout = 2500 * time.Millisecond
	// retryPause is the pause between two attempts to append a batch.
	retryPause = 120 * time.Millisecond
	// readBackInterval is how long an append may be unanswered before its records are looked
	// for in the topic, and the pause between two such reads.
	readBackInterval = 400 * time.Millisecond
	// maxBatchBytes is the total size of the values from which on no further
	// record is added to a batch. It is well below the size limit of a call.
	maxBatchBytes = 256 << 10
)

// ErrUnanswered is returned if the store has not answered in time. The records
// may be stored already, or may still be stored later, unless IsRefused reports
// that they are not.
var ErrUnanswered = errors.New("the store has not answered in time")

// ErrWithdrawn is the refusal of a record that was never sent, because the append before it has
// been unanswered for too long.
var ErrWithdrawn = errors.New("the store has not answered an earlier append")

// ErrClosed is the refusal of an append to a batcher that was closed.
var ErrClosed = errors.New("the batcher is closed")

// Batcher combines the records of many callers into batches and runs one append
// at a time. A partition of the store processes appends one after the other, so
// the fewer appends the callers need, the more callers a slow partition serves.
// Storing a record twice must be harmless, since a batch is appended again if its
// outcome is uncertain.
type Batcher struct {
	topic  Topic
	ctx    context.Context
	cancel context.CancelFunc
	// onRetry is called after each attempt that is to be repeated; refused is true
	// if that attempt certainly had no effect.
	onRetry func(refused bool)
	// readBack, if set, returns the newest records of the topic.
	readBack func(ctx context.Context) []Record
	// withdrawAfter is how long an append may be unanswered until the records that wait behind it
	// are refused; 0 if they always wait.
	withdrawAfter time.Duration
	writers       sync.WaitGroup

	mu sync.Mutex
	// waiting holds the records for later appends, inFlight those of the current
	// append. writerRunning is true while a goroutine runs writeBatches. None starts once
	// closed is true.
	waiting, inFlight     []*pendingRecord
	writerRunning, closed bool
	// overdue is true while the current append has been unanswered for withdrawAfter.
	overdue bool
	// cancelAttempt cancels the current attempt. Observe calls it once all records
	// of the batch were read back from the topic.
	cancelAttempt context.CancelFunc
}

// pendingRecord is a record whose caller waits for the outcome of its append.
type pendingRecord struct {
	record Record
	// result receives the outcome. It is buffered, so that sending never blocks.
	result chan appendResult
	// abandoned is true once the caller has stopped waiting, and answered once
	// the outcome was sent.
	abandoned, answered bool
}

type appendResult struct {
	offset uint64
	err    error
}

// NewBatcher returns a batcher that calls onRetry after each attempt that is to be
// repeated; refused is true if that attempt certainly had no effect.
func NewBatcher(topic Topic, onRetry func(refused bool), options ...BatcherOption) *Batcher {
	b := &Batcher{topic: topic, onRetry: onRetry}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	for _, set := range options {
		set(b)
	}
	return b
}

// BatcherOption configures a Batcher.
type BatcherOption func(*Batcher)

// WithReadBack sets a function that returns the newest records of the topic. It is called
// every readBackInterval while an append is unanswered, since only the response may be lost.
func WithReadBack(read func(ctx context.Context) []Record) BatcherOption {
	return func(b *Batcher) { b.readBack = read }
}

// WithWithdrawal sets how long an append may be unanswered until the records that wait behind it are
// refused, and so are later ones until it ends. None of these was sent, so the refusal is certain.
func WithWithdrawal(after time.Duration) BatcherOption {
	return func(b *Batcher) { b.withdrawAfter = after }
}

// Append stores a record and returns its offset. If it returns an error for which
// IsRefused is false, the record may or may not be stored.
func (b *Batcher) Append(ctx context.Context, r Record) (uint64, error) {
	p := &pendingRecord{record: r, result: make(chan appendResult, 1)}
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return 0, Refused(ErrClosed)
	}
	if b.overdue {
		b.mu.Unlock()
		return 0, Refused(ErrWithdrawn)
	}
	b.waiting = append(b.waiting, p)
	if !b.writerRunning {
		b.writerRunning = true
		b.writers.Go(b.writeBatches)
	}
	b.mu.Unlock()
	select {
	case outcome := <-p.result:
		return outcome.offset, outcome.err
	case <-ctx.Done():
		return b.abandon(p)
	}
}

// abandon stops waiting for a record and withdraws it if no append carries it
// yet.
func (b *Batcher) abandon(p *pendingRecord) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.answered {
		outcome := <-p.result
		return outcome.offset, outcome.err
	}
	p.abandoned = true
	for i, other := range b.waiting {
		if other == p {
			b.waiting = append(b.waiting[:i:i], b.waiting[i+1:]...)
			return 0, Refused(ErrUnanswered)
		}
	}
	return 0, ErrUnanswered
}

// Observe compares records that were read from the topic with those of the
// current append: an append whose answer was lost has succeeded if its records
// are in the topic.
func (b *Batcher) Observe(records []Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	unanswered := 0
	for _, p := range b.inFlight {
		for _, r := range records {
			if r.Key == p.record.Key && bytes.Equal(r.Value, p.record.Value) {
				p.answer(r.Offset, nil)
				break
			}
		}
		if !p.answered {
			unanswered++
		}
	}
	if unanswered == 0 && b.cancelAttempt != nil {
		b.cancelAttempt()
	}
}

// Settle answers the records of the current append that are known to be stored.
func (b *Batcher) Settle(isStored func(key string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	unanswered := 0
	for _, p := range b.inFlight {
		if isStored(p.record.Key) {
			p.answer(0, nil)
		}
		if !p.answered {
			unanswered++
		}
	}
	if unanswered == 0 && b.cancelAttempt != nil {
		b.cancelAttempt()
	}
}

// answer sends the outcome to the caller, unless that was done before. The caller
// of answer holds the batcher's lock.
func (p *pendingRecord) answer(offset uint64, err error) {
	if !p.answered {
		p.answered = true
		p.result <- appendResult{offset, err}
	}
}

// Close cancels the current append, refuses later ones, and waits until the writing goroutine
// ends.
func (b *Batcher) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.cancel()
	b.writers.Wait()
}

// writeBatches appends the waiting records, batch after batch, until none is
// left.
func (b *Batcher) writeBatches() {
	for b.nextBatch() {
		stop := b.withdrawWhileUnanswered()
		b.appendBatch()
		stop()
	}
}

// withdrawWhileUnanswered refuses the waiting records once the current append has been unanswered
// for withdrawAfter, its repeats included, until the returned function is called.
func (b *Batcher) withdrawWhileUnanswered() (stop func()) {
	if b.withdrawAfter <= 0 {
		return func() {}
	}
	ended := false
	timer := time.AfterFunc(b.withdrawAfter, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if ended {
			return
		}
		b.overdue = true
		for _, p := range b.waiting {
			p.answer(0, Refused(ErrWithdrawn))
		}
		b.waiting = nil
	})
	return func() {
		timer.Stop()
		b.mu.Lock()
		defer b.mu.Unlock()
		ended, b.overdue = true, false
	}
}

// nextBatch makes the next batch the current one. It returns false if no record
// waits; the writing goroutine then ends.
func (b *Batcher) nextBatch() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, size := 0, 0
	for n < len(b.waiting) && (n == 0 || size < maxBatchBytes) {
		size += len(b.waiting[n].record.Value)
		n++
	}
	b.inFlight = b.waiting[:n:n]
	b.waiting = b.waiting[n:]
	b.writerRunning = n > 0
	return b.writerRunning
}

// appendBatch repeats the append until the batch is stored or certainly is not,
// no caller waits any more, or the batcher is closed. A refusal is certain only
// if no earlier attempt had an uncertain outcome.
func (b *Batcher) appendBatch() {
	uncertain := false
	for {
		records, attempt, cancel := b.startAttempt()
		if len(records) == 0 {
			cancel()
			return
		}
		stop := b.readWhileUnanswered(attempt)
		first, err := b.topic.Append(attempt, records, AppendOptions{})
		stop()
		cancel()
		refused := IsRefused(err)
		if err == nil || refused && !uncertain || b.ctx.Err() != nil {
			b.answerBatch(first, err)
			return
		}
		uncertain = uncertain || !refused
		b.onRetry(refused)
		cranpause.Sleep(b.ctx, retryPause)
	}
}

// readWhileUnanswered reads the topic back until the returned function is called.
func (b *Batcher) readWhileUnanswered(attempt context.Context) (stop func()) {
	if b.readBack == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(attempt)
	b.writers.Go(func() {
		for cranpause.Sleep(ctx, readBackInterval); ctx.Err() == nil; cranpause.Sleep(ctx, readBackInterval) {
			b.Observe(b.readBack(ctx))
		}
	})
	return cancel
}

// startAttempt drops the records of the batch for which no caller waits any more,
// and returns the others with a context for the next attempt.
func (b *Batcher) startAttempt() ([]Record, context.Context, context.CancelFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.inFlight[:0:0]
	var records []Record
	for _, p := range b.inFlight {
		if !p.abandoned && !p.answered {
			remaining = append(remaining, p)
			records = append(records, p.record)
		}
	}
	b.inFlight = remaining
	attempt, cancel := context.WithTimeout(b.ctx, attemptTimeout)
	b.cancelAttempt = cancel
	return records, attempt, cancel
}

// answerBatch sends the outcome to the callers of the batch, whose records are
// stored from the offset first on if err is nil.
func (b *Batcher) answerBatch(first uint64, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, p := range b.inFlight {
		p.answer(first+uint64(i), err)
	}
	b.inFlight, b.cancelAttempt = nil, nil
}
