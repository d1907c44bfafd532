package cranlog

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Outcome describes the first occurrence of an appended record in the log.
type Outcome struct {
	offset uint64
	timeMs int64
	seq    uint64
}

// Offset returns the offset of the record's first occurrence.
func (o Outcome) Offset() uint64 { return o.offset }

// TimeMs returns the platform's clock when that occurrence was appended, in
// milliseconds since the Unix epoch.
func (o Outcome) TimeMs() int64 { return o.timeMs }

// Seq returns the record's sequence number.
func (o Outcome) Seq() uint64 { return o.seq }

// Backlog describes the records that a writer has accepted and that were not read
// back yet.
type Backlog struct {
	records int
	since   time.Time
}

// Records returns the number of records not read back yet.
func (b Backlog) Records() int { return b.records }

// Since returns when the batch in flight was first appended, or the zero time
// when no batch is in flight.
func (b Backlog) Since() time.Time { return b.since }

// Writer appends records to one stream in batches. It learns the outcome of
// its records only through Observe, which the owner of the stream's tailer has to
// call.
type Writer struct {
	log         cranplatform.Log
	stream      string
	incarnation string
	settings    settings

	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// queue holds the records not sent yet, in the order of their sequence numbers.
	queue      []queuedRecord
	queueBytes int
	// assigned is the last sequence number that was assigned.
	assigned uint64
	// observed is the sequence number up to which all records were read back, or
	// resolved because they will never be read; it never exceeds assigned.
	observed uint64
	// waiters holds the result channels of callers that wait for a record, by its
	// sequence number.
	waiters  map[uint64][]chan result
	inFlight inFlightBatch
	// confirmed holds, in order, the batches that the log has confirmed and whose
	// records were not all read back.
	confirmed []confirmation
	// skipped is the offset below which the owner has skipped records.
	skipped uint64
	closed  bool
}

// confirmation is the log's confirmation of a batch.
type confirmation struct {
	// last is the sequence number of the batch's last record.
	last uint64
	// end is the offset after that record.
	end uint64
}

// queuedRecord is a record that waits to be sent.
type queuedRecord struct {
	seq     uint64
	payload []byte
}

// result is the outcome or the error that Append returns.
type result struct {
	outcome Outcome
	err     error
}

// inFlightBatch describes the batch that is being appended. The zero value means
// that no batch is.
type inFlightBatch struct {
	last   uint64
	since  time.Time
	cancel context.CancelFunc
}

// NewWriter starts a writer. The incarnation must be unique among all writers
// that ever wrote to the stream: the records of a second writer with the same
// incarnation would be treated as duplicates.
func NewWriter(log cranplatform.Log, stream, incarnation string, options ...Option) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		log:         log,
		stream:      stream,
		incarnation: incarnation,
		settings:    newSettings(options),
		wake:        make(chan struct{}, 1),
		cancel:      cancel,
		done:        make(chan struct{}),
		waiters:     map[uint64][]chan result{},
	}
	go w.run(ctx)
	return w
}

// Incarnation returns the name that identifies the writer in its records.
func (w *Writer) Incarnation() string { return w.incarnation }

// Submit accepts a body and returns its sequence number without waiting for
// the log. It refuses the body with cranfault.QueueFull, cranfault.TooLarge,
// cranfault.Timeout (when ctx has ended) or cranfault.Cancelled (after Close). A
// refused body is never appended.
func (w *Writer) Submit(ctx context.Context, body []byte) (uint64, error) {
	return w.submit(ctx, body, nil)
}

// Append accepts a body and waits until its record was read back. It refuses a
// body like Submit. When ctx ends first it fails with cranfault.Timeout, and the
// outcome is unknown: the record may already be in the log, or be appended later.
// The same holds for cranfault.Cancelled when the writer is closed first.
func (w *Writer) Append(ctx context.Context, body []byte) (Outcome, error) {
	waiter := make(chan result, 1)
	seq, err := w.submit(ctx, body, waiter)
	if err != nil {
		return Outcome{}, err
	}
	return w.await(ctx, seq, waiter)
}

// Flush waits until every record accepted so far was read back. It fails like
// Append.
func (w *Writer) Flush(ctx context.Context) error {
	waiter := make(chan result, 1)
	w.mu.Lock()
	seq := w.assigned
	flushed := seq == w.observed
	if !flushed {
		w.waiters[seq] = append(w.waiters[seq], waiter)
	}
	w.mu.Unlock()
	if flushed {
		return nil
	}
	_, err := w.await(ctx, seq, waiter)
	return err
}

// await waits for the outcome of a record.
func (w *Writer) await(ctx context.Context, seq uint64, waiter chan result) (Outcome, error) {
	var err error
	select {
	case r := <-waiter:
		return r.outcome, r.err
	case <-ctx.Done():
		err = outcomeUnknown(cranfault.Timeout, w.stream, seq, "the caller's context has ended")
	case <-w.done:
		err = outcomeUnknown(cranfault.Cancelled, w.stream, seq, "the writer was closed")
	}
	return w.abandon(seq, waiter, err)
}

// Backlog returns the state of the records that are not read back yet.
func (w *Writer) Backlog() Backlog {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Backlog{records: int(w.assigned - w.observed), since: w.inFlight.since}
}

// Close stops the writer and waits for its goroutine. Records not read back yet
// may or may not be in the log afterwards.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.cancel()
	<-w.done
	return nil
}

func (w *Writer) submit(ctx context.Context, body []byte, waiter chan result) (uint64, error) {
	if ctx.Err() != nil {
		return 0, cranfault.New(cranfault.Timeout, "send it again with a later deadline",
			"the context of an append to %s had ended before it began", w.stream)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return 0, cranfault.New(cranfault.Cancelled, "use another instance",
			"the writer to %s is closed", w.stream)
	}
	if int(w.assigned-w.observed) >= w.settings.maxPending {
		w.settings.count(ReasonQueueFull)
		return 0, cranfault.New(cranfault.QueueFull, "try again when the log answers",
			"%d accepted records of the stream %s are not read back yet", w.settings.maxPending, w.stream)
	}
	seq := w.assigned + 1
	payload, err := NewEnvelope(w.incarnation, seq, body).Encode()
	if err != nil {
		return 0, err
	}
	if len(payload) > w.settings.maxBatchBytes {
		w.settings.count(ReasonTooLarge)
		return 0, cranfault.New(cranfault.TooLarge, "split the content over several records",
			"a record of %d bytes exceeds the limit of %d", len(payload), w.settings.maxBatchBytes)
	}
	w.assigned = seq
	w.queue = append(w.queue, queuedRecord{seq: seq, payload: payload})
	w.queueBytes += len(payload)
	if waiter != nil {
		w.waiters[seq] = append(w.waiters[seq], waiter)
	}
	w.signal()
	return seq, nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// abandon removes the waiter of a caller that stops waiting, and returns err, or the
// result if the record was resolved in the meantime.
func (w *Writer) abandon(seq uint64, waiter chan result, err error) (Outcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiters[seq] = slices.DeleteFunc(w.waiters[seq], func(c chan result) bool { return c == waiter })
	if len(w.waiters[seq]) == 0 {
		delete(w.waiters, seq)
	}
	select {
	case r := <-waiter:
		return r.outcome, r.err
	default:
		return Outcome{}, err
	}
}

func outcomeUnknown(kind cranfault.Kind, stream string, seq uint64, why string) error {
	return cranfault.New(kind, "read the stream to learn whether it took effect",
		"the outcome of record %d to %s is unknown: %s", seq, stream, why)
}

// failureReason returns timeout if err is an exceeded deadline, and failed
// otherwise.
func failureReason(err error, failed, timeout Reason) Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return timeout
	}
	return failed
}
