package cranstore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Transfer measures the response to one read.
type Transfer struct {
	// Bytes is the size of the part of the response that has arrived.
	Bytes int
	// FirstByte is the time from the request until the response began; 0 if it did not.
	FirstByte time.Duration
	// Elapsed is the time from the request until the end of the response, or until
	// the read failed.
	Elapsed time.Duration
}

// StalledError is the error of a read whose response didn't begin, or stopped arriving, for
// the time Silence.
type StalledError struct {
	Silence time.Duration
	// Bytes is the size of the part of the response that has arrived.
	Bytes int
}

// Error returns a message with the time and the bytes received.
func (e *StalledError) Error() string {
	return fmt.Sprintf("no data for %v after %d bytes; check the link to the store", e.Silence, e.Bytes)
}

// stallTimeout bounds the time between two parts of a response. The duration of a whole
// response has no bound, since it depends on the rate of the link.
const stallTimeout = 1200 * time.Millisecond

// watch measures a transfer and cancels it when it makes no progress.
type watch struct {
	clock func() time.Duration
	// sent is when the request was sent, by clock.
	sent   time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc

	// mu guards the fields below, since parts of a response arrive in another goroutine.
	mu       sync.Mutex
	transfer Transfer
	// patience is the silence after which the transfer is cancelled.
	patience time.Duration
}

// newWatch returns a watch that cancels the returned context if the response hasn't begun
// within the time begin, or stalls after that. The caller calls stop after the transfer.
func newWatch(ctx context.Context, clock func() time.Duration, begin time.Duration) (context.Context, *watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{clock: clock, sent: clock(), cancel: cancel, patience: begin}
	w.timer = time.AfterFunc(begin, w.expire)
	return ctx, w
}

// expire cancels the transfer.
func (w *watch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel(&StalledError{Silence: w.patience, Bytes: w.transfer.Bytes})
}

// interrupt cancels the transfer if its response hasn't begun.
func (w *watch) interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.transfer.FirstByte == 0 {
		w.cancel(errInterrupted)
	}
}

// received records that a part of the response has arrived.
func (w *watch) received(bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.transfer.FirstByte == 0 {
		w.transfer.FirstByte = w.clock() - w.sent
	}
	w.transfer.Bytes += bytes
	w.patience = stallTimeout
	w.timer.Reset(stallTimeout)
}

// stop ends the watch and returns the measured transfer.
func (w *watch) stop() Transfer {
	w.timer.Stop()
	w.cancel(nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.transfer.Elapsed = w.clock() - w.sent
	return w.transfer
}

// errInterrupted is the error of a read whose wait was ended by Follower.Poke.
var errInterrupted = errors.New("the wait of the read was interrupted")

// failure returns why a transfer with the context of a watch has failed: the reason of the
// watch if it cancelled the transfer, or else err.
func failure(ctx context.Context, err error) error {
	var stall *StalledError
	if cause := context.Cause(ctx); err != nil && (errors.As(cause, &stall) || errors.Is(cause, errInterrupted)) {
		return cause
	}
	return err
}
