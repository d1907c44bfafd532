package cranentry

import (
	"context"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// outcome is what the reducer made of a proposal.
type outcome struct {
	offset uint64
	fault  *cranfault.Fault
}

// waiters hold those who wait for the outcome of a record of this entry. The
// control thread alone uses them.
type waiters struct {
	// bySeq is keyed by the sequence number of the record.
	bySeq map[uint64]chan outcome
}

func newWaiters() *waiters { return &waiters{bySeq: map[uint64]chan outcome{}} }

func (w *waiters) settle(seq uint64, o outcome) {
	if ch, ok := w.bySeq[seq]; ok {
		delete(w.bySeq, seq)
		ch <- o
	}
}

// Propose appends an event and waits until the reducer has decided on it. It
// returns the offset of the record, or the fault that refused it. A fault of
// kind timeout says that the outcome is unknown: the record may be accepted
// later.
func (e *Entry) Propose(ctx context.Context, event cranstate.Event) (uint64, error) {
	body, err := cranstate.EncodeEvent(event)
	if err != nil {
		return 0, err
	}
	ch := make(chan outcome, 1)
	var seq uint64
	var refused error
	err = e.control.do(ctx, func(*cranstate.State) {
		seq, refused = e.writer.Submit(ctx, body)
		if refused == nil {
			e.waiters.bySeq[seq] = ch
		}
	})
	if err != nil {
		return 0, err
	}
	if refused != nil {
		return 0, refused
	}
	select {
	case o := <-ch:
		if o.fault != nil {
			return o.offset, o.fault
		}
		return o.offset, nil
	case <-ctx.Done():
		_ = e.control.do(context.Background(), func(*cranstate.State) { delete(e.waiters.bySeq, seq) })
		return 0, cranfault.New(cranfault.Timeout, "look at the status: the proposal may still be accepted", "no outcome in time")
	case <-e.control.done:
		return 0, cranfault.New(cranfault.Cancelled, "look at the status of another entry: the proposal may still be accepted", "this entry has stopped")
	}
}

// submit appends an event without waiting for its outcome. It runs on the
// control thread and returns the record's sequence number, zero if it was
// refused.
func (e *Entry) submit(event cranstate.Event) uint64 {
	body, err := cranstate.EncodeEvent(event)
	if err != nil {
		return 0
	}
	seq, err := e.writer.Submit(context.Background(), body)
	if err != nil {
		return 0
	}
	return seq
}
