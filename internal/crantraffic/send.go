package crantraffic

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// job is a request together with the proxy's state for its service and pool.
type job[S Slot] struct {
	*request
	proxy   *Proxy[S]
	group   *group[S]
	service *serviceStats
}

// admission returns the current inputs of the admission check.
func (j *job[S]) admission() admission {
	return admission{
		route:    j.route,
		left:     j.deadline.Sub(j.proxy.now()),
		inUse:    int(j.group.inUse.Load()),
		estimate: j.service.estimate(),
	}
}

// start begins an exchange on a slot. The slot is released when the exchange
// has ended.
func (j *job[S]) start(slot S, grant Grant, fresh bool) *exchange {
	p := j.proxy
	t := p.state.Load().targets[slot.Instance()]
	if t == nil {
		t = newTarget(NewInstance(slot.Instance(), "", j.group.name, 1, false), p.dialTimeout)
	}
	t.inFlight.Add(1)
	x := &exchange{
		target:  t,
		request: j.request,
		id:      rand.Text(),
		fresh:   fresh,
		probe:   j.group.beginRequest(t.id),
		limit:   p.answerLimit,
		guard:   func() error { return j.checkWrite(t.id, grant) },
		done:    make(chan struct{}),
	}
	x.onResult = func() { j.recordResult(x) }
	x.onEnd = func() {
		t.inFlight.Add(-1)
		j.releaseSlot(x, slot)
	}
	p.background.Go(x.run)
	return x
}

// recordResult updates the health of the instance and the latency of the
// service from an exchange whose result is set.
func (j *job[S]) recordResult(x *exchange) {
	j.reportHealth(x, healthOf(x))
	if a := x.result.answer; a != nil && a.status < http.StatusInternalServerError {
		j.service.recordLatency(time.Since(x.sentAt), j.proxy.now())
	}
}

// reportHealth reports the health from an exchange to the ejector, at most
// once.
func (j *job[S]) reportHealth(x *exchange, h health) {
	if x.healthReported.CompareAndSwap(false, true) {
		j.group.observe(x.target.id, h, x.probe)
	}
}

// releaseSlot releases the slot of an exchange that has ended. If the exchange
// failed faster than requests usually run, the slot is held for the median
// latency. A target that fails fast therefore gets no more requests than one
// that works.
func (j *job[S]) releaseSlot(x *exchange, slot S) {
	left := j.service.estimate().median - time.Since(x.started)
	if healthOf(x) != healthBad || left <= 0 {
		j.group.release(slot)
		return
	}
	j.proxy.background.Go(func() {
		time.Sleep(left)
		j.group.release(slot)
	})
}

// checkWrite is the guard of an exchange. It returns nil if the first write may
// begin. A request that has waited so long that its answer would usually miss
// the deadline isn't sent: the target would run it, but no caller would get the
// answer. A request whose deadline was too short on arrival is sent, because
// the latency estimate is computed only from requests that are sent.
func (j *job[S]) checkWrite(instance string, grant Grant) error {
	median, remaining := j.service.estimate().median, j.deadline.Sub(j.proxy.now())
	if remaining < median && median <= j.timeout {
		return cranfault.New(cranfault.DeadlineTooShort, "try again later, or with a later deadline",
			"%s remain until the deadline, and the service usually takes %s", remaining.Round(time.Millisecond), median)
	}
	return j.proxy.checkWrite(j.request, instance, grant)
}

// checkWrite makes the checks that don't depend on the latency estimate.
func (p *Proxy[S]) checkWrite(r *request, instance string, grant Grant) error {
	v := p.state.Load().view
	if !v.accepts(r.route.group, instance) {
		return cranfault.New(cranfault.NoTarget, "try again", "instance %s accepts no new requests", instance)
	}
	if err := v.checkMayStart(); err != nil {
		return asFault(err)
	}
	if grant != nil && !grant.Usable() {
		return cranfault.New(cranfault.LeaseLost, "try again with the same key",
			"the claim for the key may no longer be used")
	}
	if p.now().After(r.deadline) {
		return cranfault.New(cranfault.Timeout, "try again with a later deadline",
			"the deadline passed before the request was sent")
	}
	return nil
}

// asFault returns the typed fault in the chain of err, which checkMayStart
// returned. An error without one becomes a NotReady fault.
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

// contextFault returns the fault of a request whose context has ended.
func contextFault(ctx context.Context) *cranfault.Fault {
	if errors.Is(ctx.Err(), context.Canceled) {
		return cranfault.New(cranfault.Cancelled, "send the request again if it is still wanted",
			"the caller cancelled the request")
	}
	return cranfault.New(cranfault.Timeout, "try again with a later deadline",
		"the deadline passed")
}
