package crantraffic

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// job is a request with what the front knows of its service and pool.
type job[S Slot] struct {
	*request
	front   *Proxy[S]
	group   *group[S]
	service *service
}

// admission returns what decides now whether the request may wait.
func (j *job[S]) admission() admission {
	return admission{
		route:    j.route,
		left:     j.deadline.Sub(j.front.now()),
		inUse:    int(j.group.inUse.Load()),
		estimate: j.service.estimate(),
	}
}

// start begins an exchange on a slot. The slot is released when the exchange
// has ended.
func (j *job[S]) start(slot S, grant Grant, fresh bool) *exchange {
	f := j.front
	t := f.state.Load().targets[slot.Instance()]
	if t == nil {
		t = newTarget(NewInstance(slot.Instance(), "", j.group.name, 1, false), f.dialTimeout)
	}
	t.inFlight.Add(1)
	x := &exchange{
		target:  t,
		request: j.request,
		id:      rand.Text(),
		fresh:   fresh,
		probe:   j.group.begin(t.id),
		limit:   f.answerLimit,
		guard:   func() error { return j.mayWrite(t.id, grant) },
		done:    make(chan struct{}),
	}
	x.settled = func() { j.settled(x) }
	x.ended = func() {
		t.inFlight.Add(-1)
		j.free(x, slot)
	}
	f.threads.Go(x.run)
	return x
}

// settled learns from an exchange whose result is set.
func (j *job[S]) settled(x *exchange) {
	j.blame(x, healthOf(x))
	if a := x.result.answer; a != nil && a.status < http.StatusInternalServerError {
		j.service.learn(time.Since(x.sentAt), j.front.now())
	}
}

// blame tells the ejector about an exchange, once.
func (j *job[S]) blame(x *exchange, h health) {
	if x.blamed.CompareAndSwap(false, true) {
		j.group.observe(x.target.id, h, x.probe)
	}
}

// free releases the slot of an exchange that has ended. The slot of one that
// failed faster than requests usually run is kept for the usual time, so that a
// target that fails fast gets no more requests than one that works.
func (j *job[S]) free(x *exchange, slot S) {
	left := j.service.estimate().median - time.Since(x.started)
	if healthOf(x) != healthBad || left <= 0 {
		j.group.release(slot)
		return
	}
	j.front.threads.Go(func() {
		time.Sleep(left)
		j.group.release(slot)
	})
}

// mayWrite is the guard of an exchange: whether its first write may begin. A
// request that has waited for so long that its answer would usually come after
// the deadline isn't sent: the target would run it, and nobody would know. One
// whose deadline was too short from the start is sent, for the estimate learns
// from what is sent.
func (j *job[S]) mayWrite(instance string, grant Grant) error {
	usual, left := j.service.estimate().median, j.deadline.Sub(j.front.now())
	if left < usual && usual <= j.patience {
		return cranfault.New(cranfault.DeadlineTooShort, "try again later, or with a later deadline",
			"%s of the time are left, and the service usually takes %s", left.Round(time.Millisecond), usual)
	}
	return j.front.mayWrite(j.request, instance, grant)
}

// mayWrite is the part of the guard that needs no estimate.
func (f *Proxy[S]) mayWrite(r *request, instance string, grant Grant) error {
	v := f.state.Load().view
	if !v.accepts(r.route.group, instance) {
		return cranfault.New(cranfault.NoTarget, "try again", "instance %s takes no new work", instance)
	}
	if err := v.mayServe(); err != nil {
		return asFault(err)
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

// asFault returns the typed fault in the chain of an error of mayServe.
func asFault(err error) *cranfault.Fault {
	if f, ok := faultOf(err); ok {
		return f
	}
	return cranfault.New(cranfault.NotReady, "send the request to another entry", "%v", err)
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
