package cranentry

import (
	"context"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// outcome is the decision of the reducer on a proposal.
type outcome struct {
	offset uint64
	fault  *cranfault.Fault
}

// waiters holds the calls of Propose that wait for the outcome of a record. Only
// the control thread uses it.
type waiters struct {
	// bySeq maps the sequence number of the record to the waiting call.
	bySeq map[uint64]chan outcome
}

func newWaiters() *waiters { return &waiters{bySeq: map[uint64]chan outcome{}} }

// resolve passes the outcome of a record to the call that waits for it, if any.
func (w *waiters) resolve(seq uint64, o outcome) {
	if ch, ok := w.bySeq[seq]; ok {
		delete(w.bySeq, seq)
		ch <- o
	}
}

// Propose appends an event and waits until the reducer has decided on it. It
// returns the offset of the record, or the fault with which it was refused. After
// a fault of kind timeout the outcome is unknown: the record may still be
// accepted later.
func (e *Entry) Propose(ctx context.Context, event cranstate.Event) (uint64, error) {
	body, err := cranstate.EncodeEvent(event)
	if err != nil {
		return 0, err
	}
	ch := make(chan outcome, 1)
	var seq uint64
	var submitErr error
	err = e.control.do(ctx, func(*cranstate.State) {
		seq, submitErr = e.writer.Submit(ctx, body)
		if submitErr == nil {
			e.waiters.bySeq[seq] = ch
		}
	})
	if err != nil {
		return 0, err
	}
	if submitErr != nil {
		return 0, submitErr
	}
	select {
	case o := <-ch:
		if o.fault != nil {
			return o.offset, o.fault
		}
		return o.offset, nil
	case <-ctx.Done():
		_ = e.control.do(context.Background(), func(*cranstate.State) { delete(e.waiters.bySeq, seq) })
		return 0, cranfault.New(cranfault.Timeout, "check the status: the proposal may still be accepted", "the proposal was not decided in time")
	case <-e.control.done:
		return 0, cranfault.New(cranfault.Cancelled, "check the status of another entry: the proposal may still be accepted", "this entry has stopped")
	}
}

// submit queues an event for the log without waiting for its outcome. It must
// run on the control thread. It returns the sequence number of the record, or
// zero if the writer refused it.
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
