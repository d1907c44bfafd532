package crantraffic

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// start begins an exchange on a slot. The slot is released when the exchange
// has ended.
func (f *Front[S]) start(r *request, slot S, grant Grant, fresh bool) *exchange {
	t := f.state.Load().targets[slot.Instance()]
	if t == nil {
		t = newTarget(NewInstance(slot.Instance(), "", r.route.group, 1, false), f.dialTimeout)
	}
	t.inFlight.Add(1)
	x := &exchange{
		target:  t,
		request: r,
		id:      rand.Text(),
		fresh:   fresh,
		limit:   f.answerLimit,
		guard:   func() error { return f.mayWrite(r, t.id, grant) },
		done:    make(chan struct{}),
	}
	x.ended = func() {
		t.inFlight.Add(-1)
		f.slots.Release(slot)
		f.pump(r.route.group)
	}
	f.threads.Go(x.run)
	return x
}

func (f *Front[S]) pump(group string) {
	if q, ok := f.state.Load().queues[group]; ok {
		q.pump()
	}
}

// mayWrite is the guard of an exchange: whether its first write may begin.
func (f *Front[S]) mayWrite(r *request, instance string, grant Grant) error {
	v := f.state.Load().view
	if !v.accepts(r.route.group, instance) {
		return cranfault.New(cranfault.NoTarget, "try again", "instance %s takes no new work", instance)
	}
	if err := v.mayServe(); err != nil {
		return err
	}
	if grant != nil && !grant.Usable() {
		return cranfault.New(cranfault.LeaseLost, "try again with the same key",
			"the claim for the key may no longer be used")
	}
	if f.now().After(r.deadline) {
		return cranfault.New(cranfault.Timeout, "try again with a later deadline",
			"the deadline passed before the send")
	}
	return nil
}

// avoiding returns the filter of the group that leaves out instances besides.
func (f *Front[S]) avoiding(group string, instances []string) func(string) bool {
	closed := f.closedTo(group)
	return func(id string) bool { return slices.Contains(instances, id) || closed(id) }
}

// faultOf returns the typed fault in the chain of err.
func faultOf(err error) (*cranfault.Fault, bool) {
	var f *cranfault.Fault
	ok := errors.As(err, &f)
	return f, ok
}

// stopped returns the fault of a request whose context has ended.
func stopped(ctx context.Context) *cranfault.Fault {
	if errors.Is(ctx.Err(), context.Canceled) {
		return cranfault.New(cranfault.Cancelled, "send the request again if it is still wanted",
			"the caller gave up")
	}
	return cranfault.New(cranfault.Timeout, "try again with a later deadline",
		"the deadline passed")
}
