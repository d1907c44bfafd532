package cranentry

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// maxApplyBatch is the maximum number of records that are applied before the
// views are published.
const maxApplyBatch = 256

// control is the control thread, the only goroutine that accesses the control
// state.
type control struct {
	state   *cranstate.State
	records chan cranlog.Entry
	calls   chan func()
	// tick is the interval between calls of onTick.
	tick time.Duration
	// The control thread calls onEffects after each record, onBatch after each
	// batch of records and onTick at each tick.
	onEffects func(cranlog.Entry, []cranstate.Effect)
	onBatch   func()
	onTick    func()
	done      chan struct{}
}

func newControl(state *cranstate.State, tick time.Duration) *control {
	return &control{
		state:   state,
		records: make(chan cranlog.Entry, maxApplyBatch),
		calls:   make(chan func()),
		tick:    tick,
		done:    make(chan struct{}),
	}
}

// run applies records and runs calls and timers until ctx ends. It returns an
// error if a record can't be applied.
func (c *control) run(ctx context.Context) error {
	defer close(c.done)
	ticker := time.NewTicker(c.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.records:
			if err := c.applyBatch(e); err != nil {
				return err
			}
		case call := <-c.calls:
			call()
		case <-ticker.C:
			c.onTick()
		}
	}
}

// applyBatch applies a record and those already queued behind it, up to
// maxApplyBatch.
func (c *control) applyBatch(e cranlog.Entry) error {
	for n := 1; ; n++ {
		if err := c.apply(e); err != nil {
			return err
		}
		if n == maxApplyBatch {
			break
		}
		select {
		case e = <-c.records:
			continue
		default:
		}
		break
	}
	c.onBatch()
	return nil
}

func (c *control) apply(e cranlog.Entry) error {
	effects, err := c.state.Apply(cranstate.Input{
		Offset:     e.Offset(),
		TimeMs:     e.TimeMs(),
		Writer:     e.Writer(),
		Seq:        e.Seq(),
		Body:       e.Body(),
		Unreadable: e.Malformed(),
	})
	if err != nil {
		return err
	}
	c.onEffects(e, effects)
	return nil
}

// post queues a record for the control thread. It drops the record once the
// control thread has ended.
func (c *control) post(e cranlog.Entry) {
	select {
	case c.records <- e:
	case <-c.done:
	}
}

// do runs a function on the control thread and waits until it has returned.
func (c *control) do(ctx context.Context, f func(*cranstate.State)) error {
	ran := make(chan struct{})
	call := func() {
		f(c.state)
		close(ran)
	}
	select {
	case c.calls <- call:
		<-ran
		return nil
	case <-ctx.Done():
		return cranfault.New(cranfault.Timeout, "try again", "the control thread did not run the call in time")
	case <-c.done:
		return cranfault.New(cranfault.Cancelled, "ask another entry", "this entry has stopped")
	}
}

// read returns a value that f computes on the control thread.
func read[T any](ctx context.Context, c *control, f func(*cranstate.State) T) (T, error) {
	var v T
	err := c.do(ctx, func(s *cranstate.State) { v = f(s) })
	return v, err
}
