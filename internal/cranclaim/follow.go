package cranclaim

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranlog"
)

// Pauses between attempts to find where a stream begins, and to submit
// records that are owed.
const (
	originBackoffBase = 50 * time.Millisecond
	originBackoffCap  = 2 * time.Second
	originTimeout     = 2 * time.Second
	owedInterval      = 100 * time.Millisecond
)

// run reads the stream from its oldest record on, again and again if records
// expire before they are read, until the keeper is closed.
func (k *Claimer) run(ctx context.Context) {
	defer close(k.done)
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		k.payOwed(ctx)
	}()
	pauses := cranlog.NewBackoff(originBackoffBase, originBackoffCap, k.settings.random)
	failures := 0
	for ctx.Err() == nil {
		o, err := k.findOrigin(ctx)
		if err != nil {
			failures++
			_ = pauses.Wait(ctx, failures)
			continue
		}
		failures = 0
		k.tail(ctx, o)
	}
	<-followed
}

// origin is where the reading of a stream begins.
type origin struct {
	oldest uint64
	// end is the offset up to which a newcomer has to read.
	end uint64
	// sinceMs is the stamp up to which records may have expired.
	sinceMs int64
}

// findOrigin asks the log where the stream begins. All records that have
// expired are stamped no later than the oldest one kept, or than the answer
// if none is.
func (k *Claimer) findOrigin(ctx context.Context) (origin, error) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	b, err := cranlog.ReadBounds(ctx, k.log, k.stream)
	if err != nil {
		return origin{}, err
	}
	o := origin{oldest: b.Oldest(), end: b.Next(), sinceMs: b.TimeMs()}
	if o.oldest == 0 || o.oldest == o.end {
		return o, nil
	}
	batch, err := k.log.Read(ctx, k.stream, o.oldest, 1, 0)
	if err != nil {
		return origin{}, err
	}
	if len(batch.Records) > 0 {
		o.sinceMs = batch.Records[0].TimeMs
	}
	return o, nil
}

// tail builds the index from the oldest record kept and keeps it up, until
// the keeper is closed or the next record has expired.
func (k *Claimer) tail(ctx context.Context, o origin) {
	k.mu.Lock()
	k.index = k.newIndex(o)
	k.readTo = o.end
	k.writer.ObserveSkip(o.oldest)
	k.forgetPending()
	k.tailer = cranlog.NewTailer(k.log, k.stream, o.oldest, k.apply, k.settings.log...)
	tailer := k.tailer
	k.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-tailer.Done():
	}
	_ = tailer.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tailer = nil
}

// newIndex returns the empty index for a stream whose oldest records may have
// expired.
func (k *Claimer) newIndex(o origin) *Index {
	if o.oldest == 0 {
		return NewIndex(k.settings.window, k.settings.late)
	}
	return NewPartialIndex(k.settings.window, k.settings.late, o.sinceMs)
}

// forgetPending gives up the claims that may have expired unread, and releases
// them in case they were granted.
func (k *Claimer) forgetPending() {
	for number, a := range k.pending {
		delete(k.pending, number)
		k.owe(record{Kind: kindRelease, Key: a.key, Attempt: number})
		if !a.abandoned {
			a.answer <- Decision{verdict: VerdictUncertain, key: a.key, attempt: number}
		}
	}
}

// apply takes the next record of the stream.
func (k *Claimer) apply(entry cranlog.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := k.index.Apply(entry)
	if entry.Writer() == k.writer.Incarnation() {
		k.answer(d)
	}
	k.writer.Observe(entry)
}

// answer tells the caller of an own claim what became of it. A grant that
// nobody waits for is released, and so is a claim that may have been granted.
func (k *Claimer) answer(d Decision) {
	a, waiting := k.pending[d.attempt]
	if !waiting || d.verdict == VerdictIgnored {
		return
	}
	delete(k.pending, d.attempt)
	unused := a.abandoned && d.verdict == VerdictGranted
	if unused || d.verdict == VerdictUncertain {
		k.owe(record{Kind: kindRelease, Key: d.key, Attempt: d.attempt})
	}
	a.answer <- d
}

// platformMs returns the platform's clock as of the last record or answer.
func (k *Claimer) platformMs() int64 {
	nowMs := k.index.NowMs()
	if k.tailer != nil {
		nowMs = max(nowMs, k.tailer.Position().PlatformMs())
	}
	return nowMs
}

// submit hands a record to the writer.
func (k *Claimer) submit(r record) error {
	body, err := cranlog.EncodeBody(r)
	if err != nil {
		return err
	}
	_, err = k.writer.Submit(context.Background(), body)
	return err
}

// owe submits a record, or leaves it to payOwed while the queue is full. The
// caller holds mu.
func (k *Claimer) owe(r record) {
	if len(k.owed) == 0 && k.submit(r) == nil {
		return
	}
	k.owed = append(k.owed, r)
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// payOwed submits the records that are owed as the queue gets room.
func (k *Claimer) payOwed(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		for !k.paid() && ctx.Err() == nil {
			_ = k.owedPause(ctx)
		}
	}
}

// paid submits what the queue has room for and reports whether nothing is
// left.
func (k *Claimer) paid() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for len(k.owed) > 0 {
		if k.submit(k.owed[0]) != nil {
			return false
		}
		k.owed = k.owed[1:]
	}
	return true
}

// owedPause waits until the queue may have room again.
func (k *Claimer) owedPause(ctx context.Context) error {
	return cranlog.NewBackoff(owedInterval, owedInterval, k.settings.random).Wait(ctx, 1)
}
