package crantraffic

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// grantRecordTimeout limits how long releasing a grant or recording its outcome
// may take.
const grantRecordTimeout = 5 * time.Second

// runClaimed runs a non-idempotent request, or waits for the run that is
// already in progress for its key.
func (j *job[S]) runClaimed(ctx context.Context) callResult {
	p, r := j.proxy, j.request
	if cached := p.cache.get(r.claimKey()); cached != nil {
		return cached.resultFor(r)
	}
	c, first := p.calls.join(r)
	if first {
		p.background.Go(func() { j.execute(ctx, c) })
	} else if c.request.fingerprint() != r.fingerprint() {
		p.leaveCall(ctx, c, false)
		return notRun(keyConflict())
	}
	return p.waitForResult(ctx, c, first)
}

// resultFor returns the result of a request whose key has a cached answer.
func (c *cachedAnswer) resultFor(r *request) callResult {
	switch {
	case c.fingerprint != r.fingerprint():
		return notRun(keyConflict())
	case c.answer == nil:
		return unknown(answerNotCached())
	}
	return answeredBy(c.answer)
}

func keyConflict() *cranfault.Fault {
	return cranfault.New(cranfault.Conflict, "use a new key for a new request",
		"the %s belongs to another request", headerKey)
}

// waitForResult returns the result of the call for one caller. First is true for
// the caller that began the call.
func (p *Proxy[S]) waitForResult(ctx context.Context, c *call, first bool) callResult {
	select {
	case <-c.done:
		return c.takeResult()
	case <-ctx.Done():
	}
	return p.leaveCall(ctx, c, first)
}

// leaveCall removes a caller from the call and returns the result for that
// caller.
func (p *Proxy[S]) leaveCall(ctx context.Context, c *call, first bool) callResult {
	o, unread := c.leave(ctx, first)
	if unread != nil {
		p.background.Go(unread.drain)
	}
	return o
}

// execute runs the call until it has a result. A request that the queue would
// refuse is refused before its key is claimed.
func (j *job[S]) execute(ctx context.Context, c *call) {
	p := j.proxy
	defer p.calls.remove(c)
	if fault := j.group.queue.checkAdmission(j.admission()); fault != nil {
		c.finish(notRun(fault))
		return
	}
	grant, o, ok := p.claim(ctx, c.request)
	if !ok {
		c.finish(o)
		return
	}
	o = j.sendClaimed(ctx, c, grant)
	if o.outcome == Answered {
		p.cache.put(c.request.claimKey(), c.request.fingerprint(), o.answer)
	}
	if c.finish(o) {
		o.stream.drain()
	}
	ctx, cancel := context.WithTimeout(context.Background(), grantRecordTimeout)
	defer cancel()
	if o.outcome == NotRun {
		grant.Release(ctx)
		return
	}
	grant.RecordOutcome(ctx, o.outcome)
}

// claim claims the key of the request. If the claim fails, ok is false and o is
// the result for the caller.
func (p *Proxy[S]) claim(ctx context.Context, r *request) (grant Grant, o callResult, ok bool) {
	grant, err := p.claims.Claim(ctx, r.claimKey(), r.fingerprint())
	if err == nil {
		return grant, o, true
	}
	fault, typed := faultOf(err)
	if !typed {
		fault = cranfault.New(cranfault.LogUnavailable, "try again later with the same key",
			"the key could not be claimed")
	}
	if fault.Kind() == cranfault.AlreadyClaimed {
		return nil, p.answerFromPeer(ctx, r, err, fault), false
	}
	return nil, notRun(fault), false
}

// answerFromPeer returns the result of a request whose key is already claimed.
// It asks the entry that holds the claim for the answer.
func (p *Proxy[S]) answerFromPeer(ctx context.Context, r *request, err error, fault *cranfault.Fault) callResult {
	claimer := ""
	var c Claimer
	if errors.As(err, &c) {
		claimer = c.Claimer()
	}
	a, ok := p.peers.Lookup(ctx, r.claimKey(), claimer)
	if !ok {
		return unknown(fault)
	}
	return answeredBy(a)
}

// sendClaimed sends the claimed request until it is answered, may have run, or
// can't be sent again.
func (j *job[S]) sendClaimed(ctx context.Context, c *call, grant Grant) callResult {
	var tried []string
	for {
		slot, fault := j.group.queue.acquire(ctx, j.admission(), j.group.avoidAlso(tried))
		if fault != nil {
			return notRun(fault)
		}
		x := c.beginExchange(func() *exchange { return j.start(slot, grant, true) })
		if x == nil {
			j.proxy.slots.Release(slot)
			j.group.queue.dispatch()
			return notRun(contextFault(ctx))
		}
		<-x.done
		end := classify(x)
		tried = append(tried, x.target.id)
		if end.retryReason == RetryRefused {
			j.proxy.counters.Refused(j.route.service, SlotsRefused)
		}
		if end.result.outcome != NotRun || end.retryReason == "" || len(tried) >= j.proxy.retries.maxAttempts {
			return end.result
		}
		j.proxy.counters.Retried(j.route.service, end.retryReason)
	}
}
