package cranlog

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

// run appends one batch after another until the writer is closed.
func (w *Writer) run(ctx context.Context) {
	defer close(w.done)
	var lastStart time.Time
	for {
		batch := w.nextBatch(ctx, lastStart)
		if ctx.Err() != nil {
			return
		}
		lastStart = time.Now()
		if len(batch) > 0 {
			w.commit(ctx, batch)
		}
	}
}

// nextBatch waits until a record is queued, then until the batch spacing since
// the start of the previous batch has passed, then for the batch window. It then
// removes a batch from the queue. The batch may be empty, since a wake-up may be
// left over from records that an earlier batch has taken.
func (w *Writer) nextBatch(ctx context.Context, lastStart time.Time) []queuedRecord {
	if !w.hasQueued() {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		}
	}
	remaining := w.settings.batchSpacing - time.Since(lastStart)
	if remaining > 0 {
		cranpause.Sleep(ctx, remaining)
	}
	w.awaitBatchWindow(ctx)
	return w.dequeueBatch()
}

// awaitBatchWindow waits for the batch window to pass, or until the queue holds
// a full batch.
func (w *Writer) awaitBatchWindow(ctx context.Context) {
	if w.settings.batchWindow <= 0 {
		return
	}
	timer := time.NewTimer(w.settings.batchWindow)
	defer timer.Stop()
	for !w.hasFullBatch() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-w.wake:
		}
	}
}

func (w *Writer) hasQueued() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > 0
}

func (w *Writer) hasFullBatch() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) >= w.settings.maxBatchRecords || w.queueBytes >= w.settings.maxBatchBytes
}

// dequeueBatch removes as many records from the head of the queue as fit into
// one batch.
func (w *Writer) dequeueBatch() []queuedRecord {
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

// commit repeats the append of the batch until the log has confirmed it or all
// its records were read back. The next batch must not be sent earlier:
// otherwise a delayed append of this batch could take effect after the next
// batch, and the first occurrences of its records would be out of order.
func (w *Writer) commit(ctx context.Context, batch []queuedRecord) {
	payloads := make([][]byte, len(batch))
	for i, record := range batch {
		payloads[i] = record.payload
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !w.startInFlight(batch[len(batch)-1].seq, cancel) {
		return
	}
	defer w.clearInFlight()
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

// confirm records that the log has confirmed a batch. The arguments are the
// sequence number of its last record and the offset after that record.
func (w *Writer) confirm(last, end uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmed = append(w.confirmed, confirmation{last: last, end: end})
	w.resolveConfirmed()
}

// resolveConfirmed removes the confirmed batches whose records were all read
// back. It resolves the records of batches that the owner has skipped, since
// they will never be read back.
func (w *Writer) resolveConfirmed() {
	for len(w.confirmed) > 0 {
		head := w.confirmed[0]
		if head.end <= w.skipped {
			w.resolveUnread(head.last)
		}
		if head.last > w.observed {
			return
		}
		w.confirmed = w.confirmed[1:]
	}
}

// startInFlight records the batch in flight, so that Observe can cancel its
// append. It reports false if the batch's records were already read back.
func (w *Writer) startInFlight(last uint64, cancel context.CancelFunc) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.observed >= last {
		return false
	}
	w.inFlight = inFlightBatch{last: last, since: time.Now(), cancel: cancel}
	return true
}

func (w *Writer) clearInFlight() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight = inFlightBatch{}
}

// Observe must be called with every entry that the tailer of the writer's stream
// delivers, in order. It ignores entries of other writers. An owner that applies
// entries to a state calls Observe after applying, so that a caller of Append
// finds its own record applied when Append returns.
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
	w.resolveUnread(seq - 1)
	w.resolve(seq, result{outcome: Outcome{offset: entry.Offset(), timeMs: entry.TimeMs(), seq: seq}})
	w.resolveConfirmed()
	w.cancelInFlight()
}

// ObserveSnapshot tells the writer that its records up to the sequence number
// seq are included in a state that the owner loaded from a snapshot instead of
// reading the records. Callers of Append that wait for one of them get
// cranfault.RecordsExpired.
func (w *Writer) ObserveSnapshot(seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resolveUnread(min(seq, w.assigned))
	w.resolveConfirmed()
	w.cancelInFlight()
}

// ObserveSkip tells the writer that its owner continues reading at an offset
// without having read all records before it. Records that the log confirmed
// below that offset will never be read back: callers of Append that wait for
// one of them get cranfault.RecordsExpired. A record that took effect below the
// offset, but whose append got no response, is appended again, and the duplicate
// counts as its first occurrence. To prevent that, an owner whose snapshot contains
// the high-water mark of this writer calls ObserveSnapshot first.
func (w *Writer) ObserveSkip(offset uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.skipped = max(w.skipped, offset)
	w.resolveConfirmed()
}

// resolveUnread resolves the records up to seq that were not read back. Callers
// that wait for one of them get an error, since its offset is unknown.
func (w *Writer) resolveUnread(seq uint64) {
	for w.observed < seq {
		next := w.observed + 1
		w.resolve(next, result{err: cranfault.New(cranfault.RecordsExpired,
			"look for its effect in the state loaded from the snapshot",
			"record %d to %s took effect at an offset that was not read", next, w.stream)})
	}
}

// resolve marks the record seq as observed and sends the result to its waiters.
func (w *Writer) resolve(seq uint64, r result) {
	w.observed = seq
	for _, waiter := range w.waiters[seq] {
		waiter <- r
	}
	delete(w.waiters, seq)
}

// cancelInFlight cancels the append in flight once its records were all observed.
func (w *Writer) cancelInFlight() {
	if w.inFlight.cancel != nil && w.observed >= w.inFlight.last {
		w.inFlight.cancel()
	}
}
