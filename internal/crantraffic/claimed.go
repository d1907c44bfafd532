package crantraffic

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// grantTime bounds how long the end of a grant may take to be recorded.
const grantTime = 5 * time.Second

// runClaimed runs a non-idempotent request, or joins its run.
func (j *job[S]) runClaimed(ctx context.Context) callResult {
	f, r := j.front, j.request
	if kept := f.kept.get(r.claimKey()); kept != nil {
		return kept.outcomeFor(r)
	}
	c, first := f.keyed.join(r)
	if first {
		f.threads.Go(func() { j.execute(ctx, c) })
	} else if c.request.fingerprint() != r.fingerprint() {
		f.depart(ctx, c, false)
		return notRun(conflict())
	}
	return f.waitFor(ctx, c, first)
}

// outcomeFor returns the outcome of a request whose key has a kept answer.
func (k *keptAnswer) outcomeFor(r *request) callResult {
	switch {
	case k.fingerprint != r.fingerprint():
		return notRun(conflict())
	case k.answer == nil:
		return unknown(notKept())
	}
	return answeredBy(k.answer)
}

func conflict() *cranfault.Fault {
	return cranfault.New(cranfault.Conflict, "use a new key for a new request",
		"the %s belongs to another request", headerKey)
}

// waitFor returns the outcome of the call for one caller.
func (f *Proxy[S]) waitFor(ctx context.Context, c *call, first bool) callResult {
	select {
	case <-c.final:
		return c.take()
	case <-ctx.Done():
	}
	return f.depart(ctx, c, first)
}

// depart takes a caller out of the call and returns its outcome.
func (f *Proxy[S]) depart(ctx context.Context, c *call, first bool) callResult {
	o, unread := c.leave(ctx, first)
	if unread != nil {
		f.threads.Go(unread.drain)
	}
	return o
}

// execute runs the call to its end.
func (j *job[S]) execute(ctx context.Context, c *call) {
	f := j.front
	defer f.keyed.remove(c)
	if fault := j.group.queue.admit(j.admission()); fault != nil {
		c.finish(notRun(fault))
		return
	}
	grant, o, ok := f.claim(ctx, c.request)
	if !ok {
		c.finish(o)
		return
	}
	o = j.sendClaimed(ctx, c, grant)
	if o.verdict == Answered {
		f.kept.put(c.request.claimKey(), c.request.fingerprint(), o.answer)
	}
	if c.finish(o) {
		o.stream.drain()
	}
	ctx, cancel := context.WithTimeout(context.Background(), grantTime)
	defer cancel()
	if o.verdict == NotRun {
		grant.Release(ctx)
		return
	}
	grant.RecordOutcome(ctx, o.verdict)
}

// claim claims the request's key. If it can't be had, ok is false and o is the
// outcome.
func (f *Proxy[S]) claim(ctx context.Context, r *request) (grant Grant, o callResult, ok bool) {
	grant, err := f.claims.Claim(ctx, r.claimKey(), r.fingerprint())
	if err == nil {
		return grant, o, true
	}
	fault, typed := faultOf(err)
	if !typed {
		fault = cranfault.New(cranfault.LogUnavailable, "try again later with the same key",
			"the claim failed")
	}
	if fault.Kind() == cranfault.AlreadyClaimed {
		return nil, f.answerOfOther(ctx, r, err, fault), false
	}
	return nil, notRun(fault), false
}

// answerOfOther returns the outcome of a request that was claimed before.
func (f *Proxy[S]) answerOfOther(ctx context.Context, r *request, err error, fault *cranfault.Fault) callResult {
	claimer := ""
	var c Claimer
	if errors.As(err, &c) {
		claimer = c.Claimer()
	}
	a, ok := f.peers.Lookup(ctx, r.claimKey(), claimer)
	if !ok {
		return unknown(fault)
	}
	return answeredBy(a)
}

// sendClaimed sends the claimed request until it is answered or may have run.
func (j *job[S]) sendClaimed(ctx context.Context, c *call, grant Grant) callResult {
	var tried []string
	for {
		slot, fault := j.group.queue.acquire(ctx, j.admission(), j.group.avoiding(tried))
		if fault != nil {
			return notRun(fault)
		}
		x := c.begin(func() *exchange { return j.start(slot, grant, true) })
		if x == nil {
			j.front.slots.Release(slot)
			j.group.queue.pump()
			return notRun(stopped(ctx))
		}
		<-x.done
		end := judge(x)
		tried = append(tried, x.target.id)
		if end.retry == RetryRefused {
			j.front.counters.Refused(j.route.service, SlotsRefused)
		}
		if end.outcome.verdict != NotRun || end.retry == "" || len(tried) >= j.front.retries.attempts {
			return end.outcome
		}
		j.front.counters.Retried(j.route.service, end.retry)
	}
}
