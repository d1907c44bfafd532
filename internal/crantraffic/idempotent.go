package crantraffic

import (
	"context"
	"time"
)

// runIdempotent runs a request that may be sent more than once.
func (j *job[S]) runIdempotent(ctx context.Context) callResult {
	j.service.budget.with((*retryBudget).earn)
	slot, fault := j.group.queue.acquire(ctx, j.admission(), j.group.avoid)
	if fault != nil {
		return notRun(fault)
	}
	n := &idempotentRun[S]{job: j}
	return n.loop(ctx, slot)
}

// idempotentRun is the state of one request over its attempts.
type idempotentRun[S Slot] struct {
	*job[S]
	tried []string // instances of earlier attempts
	sent  bool     // an earlier attempt may have run
}

// step is what follows an attempt: an outcome, or another attempt on a slot.
type step[S Slot] struct {
	outcome callResult
	again   bool
	slot    S
}

func (n *idempotentRun[S]) loop(ctx context.Context, slot S) callResult {
	fresh := false
	for {
		x := n.start(slot, nil, fresh)
		n.tried = append(n.tried, x.target.id)
		s := n.await(ctx, x)
		if !s.again {
			return n.truth(s.outcome)
		}
		slot, fresh = s.slot, true
	}
}

// await waits for the end of an attempt: its result, its silence while another
// attempt can be made, or the end of the caller's time.
func (n *idempotentRun[S]) await(ctx context.Context, x *exchange) step[S] {
	silent := time.NewTicker(n.service.estimate().silentAfter(n.route.maxDuration))
	defer silent.Stop()
	for {
		select {
		case <-x.done:
			return n.afterResult(ctx, judge(x))
		case <-ctx.Done():
			return step[S]{outcome: n.giveUp(ctx, x)}
		case <-silent.C:
			if s, ok := n.afterSilence(ctx, x); ok {
				return s
			}
		}
	}
}

// giveUp abandons the attempt at the end of the caller's time.
func (n *idempotentRun[S]) giveUp(ctx context.Context, x *exchange) callResult {
	n.blame(x, healthNeutral)
	if n.front.abandon(x) {
		return unknown(stopped(ctx))
	}
	return notRun(stopped(ctx))
}

// afterResult decides on another attempt after a result.
func (n *idempotentRun[S]) afterResult(ctx context.Context, j judgement) step[S] {
	if j.retry == "" {
		return step[S]{outcome: j.outcome}
	}
	if j.retry == RetryRefused {
		n.front.counters.Refused(n.route.service, SlotsRefused)
	}
	ran := j.outcome.verdict != NotRun
	slot, ok := n.retrySlot(ctx, j.retry, ran)
	if !ok {
		return step[S]{outcome: j.outcome}
	}
	n.sent = n.sent || ran
	return step[S]{again: true, slot: slot}
}

// afterSilence gives a silent connection up if another attempt can be made. The
// other connections to the target that are idle now may be silent as well.
func (n *idempotentRun[S]) afterSilence(ctx context.Context, x *exchange) (s step[S], ok bool) {
	slot, ok := n.retrySlot(ctx, RetrySilent, true)
	if !ok {
		return s, false
	}
	n.blame(x, healthBad)
	if n.front.abandon(x) {
		n.sent = true
		n.service.learn(silentTimeGrows*time.Since(x.started), n.front.now())
	}
	x.target.closeIdle()
	return step[S]{again: true, slot: slot}, true
}

// retrySlot returns a slot for another attempt, if there may be one. An attempt
// that provably didn't run costs no budget, as repeating it adds no load.
func (n *idempotentRun[S]) retrySlot(ctx context.Context, why RetryReason, ran bool) (slot S, ok bool) {
	if len(n.tried) >= n.front.retries.attempts || ctx.Err() != nil {
		return slot, false
	}
	if ran && !ask(n.service.budget, (*retryBudget).spend) {
		n.front.counters.Refused(n.route.service, RetryBudgetExhausted)
		return slot, false
	}
	slot, ok = n.group.retrySlot(n.tried)
	switch {
	case ok:
		n.front.counters.Retried(n.route.service, why)
	case ran:
		n.service.budget.with((*retryBudget).refund)
	}
	return slot, ok
}

// truth returns the outcome as it holds for all attempts together: a request
// isn't notRun if an earlier attempt may have run.
func (n *idempotentRun[S]) truth(o callResult) callResult {
	if o.verdict == NotRun && n.sent {
		return unknown(o.fault)
	}
	return o
}

// abandon gives an exchange up for the caller, and reports whether the request
// may have reached the target. What still arrives is read and dropped.
func (f *Proxy[S]) abandon(x *exchange) (written bool) {
	written = x.cancel()
	f.threads.Go(func() {
		<-x.done
		if s := x.result.stream; s != nil {
			s.drain()
		}
	})
	return written
}
