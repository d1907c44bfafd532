package crantraffic

import (
	"context"
	"time"
)

// runIdempotent runs a request that may be sent more than once.
func (j *job[S]) runIdempotent(ctx context.Context) callResult {
	j.service.budget.update((*retryBudget).earn)
	slot, fault := j.group.queue.acquire(ctx, j.admission(), j.group.avoid)
	if fault != nil {
		return notRun(fault)
	}
	r := &idempotentRun[S]{job: j}
	return r.loop(ctx, slot)
}

// idempotentRun is the state of one request across its attempts.
type idempotentRun[S Slot] struct {
	*job[S]
	tried      []string // instances of earlier attempts
	mayHaveRun bool     // an earlier attempt may have run
}

// attemptDecision is what to do after an attempt: return a result, or retry on
// a slot.
type attemptDecision[S Slot] struct {
	result callResult
	retry  bool
	slot   S
}

func (r *idempotentRun[S]) loop(ctx context.Context, slot S) callResult {
	fresh := false
	for {
		x := r.start(slot, nil, fresh)
		r.tried = append(r.tried, x.target.id)
		d := r.await(ctx, x)
		if !d.retry {
			return r.combinedResult(d.result)
		}
		slot, fresh = d.slot, true
	}
}

// await waits for the end of an attempt. The attempt ends with its result, when
// the caller's context ends, or when the target has been silent for too long
// and another attempt can be made.
func (r *idempotentRun[S]) await(ctx context.Context, x *exchange) attemptDecision[S] {
	silence := time.NewTicker(r.service.estimate().silenceTimeout(r.route.maxDuration))
	defer silence.Stop()
	for {
		select {
		case <-x.done:
			return r.afterResult(ctx, classify(x))
		case <-ctx.Done():
			return attemptDecision[S]{result: r.giveUp(ctx, x)}
		case <-silence.C:
			if d, ok := r.afterSilence(ctx, x); ok {
				return d
			}
		}
	}
}

// giveUp abandons the attempt when the caller's context has ended.
func (r *idempotentRun[S]) giveUp(ctx context.Context, x *exchange) callResult {
	r.reportHealth(x, healthNeutral)
	if r.proxy.abandon(x) {
		return unknown(contextFault(ctx))
	}
	return notRun(contextFault(ctx))
}

// afterResult decides whether to retry after a result.
func (r *idempotentRun[S]) afterResult(ctx context.Context, c classification) attemptDecision[S] {
	if c.retryReason == "" {
		return attemptDecision[S]{result: c.result}
	}
	if c.retryReason == RetryRefused {
		r.proxy.counters.Refused(r.route.service, SlotsRefused)
	}
	mayHaveRun := c.result.outcome != NotRun
	slot, ok := r.retrySlot(ctx, c.retryReason, mayHaveRun)
	if !ok {
		return attemptDecision[S]{result: c.result}
	}
	r.mayHaveRun = r.mayHaveRun || mayHaveRun
	return attemptDecision[S]{retry: true, slot: slot}
}

// afterSilence abandons an attempt on a silent connection if another attempt
// can be made. It also closes the idle connections to the target, because they
// may be silent as well.
func (r *idempotentRun[S]) afterSilence(ctx context.Context, x *exchange) (d attemptDecision[S], ok bool) {
	slot, ok := r.retrySlot(ctx, RetrySilent, true)
	if !ok {
		return d, false
	}
	r.reportHealth(x, healthBad)
	if r.proxy.abandon(x) {
		r.mayHaveRun = true
		r.service.recordLatency(timeoutLatencyFactor*time.Since(x.started), r.proxy.now())
	}
	x.target.closeIdle()
	return attemptDecision[S]{retry: true, slot: slot}, true
}

// retrySlot returns a slot for another attempt if one is allowed. An attempt
// that provably didn't run costs no retry token, because repeating it adds no load.
func (r *idempotentRun[S]) retrySlot(ctx context.Context, reason RetryReason, mayHaveRun bool) (slot S, ok bool) {
	if len(r.tried) >= r.proxy.retries.maxAttempts || ctx.Err() != nil {
		return slot, false
	}
	if mayHaveRun && !query(r.service.budget, (*retryBudget).spend) {
		r.proxy.counters.Refused(r.route.service, RetryBudgetExhausted)
		return slot, false
	}
	slot, ok = r.group.retrySlot(r.tried)
	switch {
	case ok:
		r.proxy.counters.Retried(r.route.service, reason)
	case mayHaveRun:
		r.service.budget.update((*retryBudget).refund)
	}
	return slot, ok
}

// combinedResult returns the result for all attempts together. If an earlier
// attempt may have run, the outcome notRun becomes unknown.
func (r *idempotentRun[S]) combinedResult(o callResult) callResult {
	if o.outcome == NotRun && r.mayHaveRun {
		return unknown(o.fault)
	}
	return o
}

// abandon cancels an exchange for the caller, and reports whether the request
// may have reached the target. The rest of the answer is read and discarded.
func (p *Proxy[S]) abandon(x *exchange) (written bool) {
	written = x.cancel()
	p.background.Go(func() {
		<-x.done
		if s := x.result.stream; s != nil {
			s.drain()
		}
	})
	return written
}
