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
func (f *Front[S]) runClaimed(ctx context.Context, st *state[S], r *request) outcome {
	if a, ok := f.kept.get(r.claimKey()); ok {
		return answeredBy(a)
	}
	c, first := f.keyed.join(r)
	if !first && c.request.fingerprint() != r.fingerprint() {
		_, _ = c.leave(ctx, false)
		return notRun(cranfault.New(cranfault.Conflict, "use a new key for a new request",
			"the %s belongs to another request", headerKey))
	}
	if first {
		f.threads.Go(func() { f.execute(ctx, st, c) })
	}
	return f.waitFor(ctx, c, first)
}

// waitFor returns the outcome of the call for one caller.
func (f *Front[S]) waitFor(ctx context.Context, c *call, first bool) outcome {
	select {
	case <-c.final:
		return c.take()
	case <-ctx.Done():
	}
	o, unread := c.leave(ctx, first)
	if unread != nil {
		f.threads.Go(unread.drain)
	}
	return o
}

// execute runs the call to its end.
func (f *Front[S]) execute(ctx context.Context, st *state[S], c *call) {
	defer f.keyed.remove(c)
	grant, o, ok := f.claim(ctx, c.request)
	if !ok {
		c.finish(o)
		return
	}
	o = f.sendClaimed(ctx, st, c, grant)
	if o.answer != nil {
		f.kept.put(c.request.claimKey(), o.answer)
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
	grant.Done(ctx, o.verdict)
}

// claim claims the request's key. If it can't be had, ok is false and o is the
// outcome.
func (f *Front[S]) claim(ctx context.Context, r *request) (grant Grant, o outcome, ok bool) {
	grant, err := f.claims.Claim(ctx, r.claimKey())
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
func (f *Front[S]) answerOfOther(ctx context.Context, r *request, err error, fault *cranfault.Fault) outcome {
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
func (f *Front[S]) sendClaimed(ctx context.Context, st *state[S], c *call, grant Grant) outcome {
	r := c.request
	q := st.queues[r.route.group]
	var tried []string
	for {
		slot, fault := q.acquire(ctx, r.route, f.avoiding(r.route.group, tried))
		if fault != nil {
			return notRun(fault)
		}
		x := c.begin(func() *exchange { return f.start(r, slot, grant, true) })
		if x == nil {
			f.slots.Release(slot)
			q.pump()
			return notRun(stopped(ctx))
		}
		<-x.done
		j := judge(x)
		tried = append(tried, x.target.id)
		if j.outcome.verdict != NotRun || j.retry == "" || len(tried) >= maxAttempts {
			return j.outcome
		}
		f.counters.Retried(r.route.service, j.retry)
	}
}
