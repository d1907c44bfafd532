package cranlog

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

// run commits one batch after another until the writer is closed.
func (w *Writer) run(ctx context.Context) {
	defer close(w.done)
	var started time.Time
	for {
		batch := w.nextBatch(ctx, started)
		if ctx.Err() != nil {
			return
		}
		started = time.Now()
		if len(batch) > 0 {
			w.commit(ctx, batch)
		}
	}
}

// nextBatch waits for a body, then until the last batch's start is far enough
// behind, then for the batch window, and cuts a batch.
func (w *Writer) nextBatch(ctx context.Context, last time.Time) []item {
	if !w.queued() {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		}
	}
	early := w.settings.batchSpacing - time.Since(last)
	if early > 0 {
		cranpause.Sleep(ctx, early)
	}
	w.waitWindow(ctx)
	return w.cut()
}

// waitWindow lets more bodies arrive, unless a whole batch waits already.
func (w *Writer) waitWindow(ctx context.Context) {
	if w.settings.batchWindow <= 0 {
		return
	}
	timer := time.NewTimer(w.settings.batchWindow)
	defer timer.Stop()
	for !w.full() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-w.wake:
		}
	}
}

func (w *Writer) queued() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > 0
}

func (w *Writer) full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) >= w.settings.maxBatchRecords || w.queueBytes >= w.settings.maxBatchBytes
}

// cut takes the head of the queue, as much as a batch holds.
func (w *Writer) cut() []item {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, bytes := 0, 0
	for n < len(w.queue) && n < w.settings.maxBatchRecords {
		size := len(w.queue[n].payload)
		if bytes+size > w.settings.maxBatchBytes {
			break
		}
		bytes += size
		n++
	}
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	w.queueBytes -= bytes
	return batch
}

// commit appends the batch until the log confirmed it or all its records were
// read back. Only then may the next batch be sent, or else a late repeat of
// this batch could be the first occurrence of its records.
func (w *Writer) commit(ctx context.Context, batch []item) {
	payloads := make([][]byte, len(batch))
	for i, it := range batch {
		payloads[i] = it.payload
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !w.takeOff(batch[len(batch)-1].seq, cancel) {
		return
	}
	defer w.land()
	for failures := 1; ; failures++ {
		first, err := w.appendOnce(ctx, payloads)
		if err == nil {
			w.confirm(batch[len(batch)-1].seq, first+uint64(len(batch)))
			return
		}
		if ctx.Err() != nil {
			return
		}
		w.settings.count(failureReason(err, ReasonAppendFailed, ReasonAppendTimeout))
		if w.settings.backoff.Wait(ctx, failures) != nil {
			return
		}
	}
}

func (w *Writer) appendOnce(ctx context.Context, payloads [][]byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, w.settings.attemptTimeout)
	defer cancel()
	return w.log.Append(ctx, w.stream, payloads)
}

// confirm notes the log's answer to a batch that is not yet read back.
func (w *Writer) confirm(last, end uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmed = append(w.confirmed, confirmation{last: last, end: end})
	w.settleConfirmed()
}

// settleConfirmed drops the batches that were read back, and resolves those
// that were passed over and will never be.
func (w *Writer) settleConfirmed() {
	for len(w.confirmed) > 0 {
		head := w.confirmed[0]
		if head.end <= w.skipped {
			w.passOver(head.last)
		}
		if head.last > w.observed {
			return
		}
		w.confirmed = w.confirmed[1:]
	}
}

// takeOff notes the batch in flight, so that Observe can end it. It reports
// false if the batch's records were read already.
func (w *Writer) takeOff(last uint64, cancel context.CancelFunc) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.observed >= last {
		return false
	}
	w.flight = flight{last: last, since: time.Now(), cancel: cancel}
	return true
}

func (w *Writer) land() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flight = flight{}
}

// Observe takes every entry that the tailer of the writer's stream delivers,
// in order; entries of other writers are ignored. Owners that apply entries
// to a state call Observe after that, so that the caller of Append finds its
// own record applied.
func (w *Writer) Observe(entry Entry) {
	if entry.Malformed() || entry.Writer() != w.incarnation {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	seq := entry.Seq()
	if seq > w.assigned {
		w.settings.count(ReasonForeignSeq)
		return
	}
	if seq <= w.observed {
		w.settings.count(ReasonOwnRepeat)
		return
	}
	w.passOver(seq - 1)
	w.advance(seq, result{outcome: Outcome{offset: entry.Offset(), timeMs: entry.TimeMs(), seq: seq}})
	w.settleConfirmed()
	w.endFlight()
}

// ObserveSnapshot tells the writer that its records up to mark are part of a
// state that the owner loaded from a snapshot instead of reading them. Callers
// of Append that wait for one of them get cranfault.RecordsExpired.
func (w *Writer) ObserveSnapshot(mark uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.passOver(min(mark, w.assigned))
	w.settleConfirmed()
	w.endFlight()
}

// ObserveSkip tells the writer that its owner goes on reading at an offset
// without having read all records before it. Records that the log confirmed
// below that offset will never be read back: callers of Append that wait for
// one of them get cranfault.RecordsExpired. A record that took effect below it
// without an answer is appended again, and its repeat is taken for the first
// occurrence; an owner that has a mark from a snapshot calls ObserveSnapshot first,
// which prevents that.
func (w *Writer) ObserveSkip(offset uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.skipped = max(w.skipped, offset)
	w.settleConfirmed()
}

// passOver resolves the records up to seq, whose offsets were not seen.
func (w *Writer) passOver(seq uint64) {
	for w.observed < seq {
		next := w.observed + 1
		w.advance(next, result{err: cranfault.New(cranfault.RecordsExpired,
			"look for its effect in the state loaded from the snapshot",
			"record %d to %s took effect at an offset that was not read", next, w.stream)})
	}
}

func (w *Writer) advance(seq uint64, r result) {
	w.observed = seq
	for _, waiter := range w.waiters[seq] {
		waiter <- r
	}
	delete(w.waiters, seq)
}

func (w *Writer) endFlight() {
	if w.flight.cancel != nil && w.observed >= w.flight.last {
		w.flight.cancel()
	}
}
