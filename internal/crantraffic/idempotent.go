package crantraffic

import (
	"context"
)

// runIdempotent runs a request that may be sent more than once.
func (f *Front[S]) runIdempotent(ctx context.Context, st *state[S], r *request) outcome {
	q := st.queues[r.route.group]
	slot, fault := q.acquire(ctx, r.route, q.avoid)
	if fault != nil {
		return notRun(fault)
	}
	run := &idempotentRun[S]{front: f, queue: q, request: r}
	return run.loop(ctx, slot)
}

// idempotentRun is the state of one request over its attempts.
type idempotentRun[S Slot] struct {
	front   *Front[S]
	queue   *queue[S]
	request *request
	tried   []string // instances of earlier attempts
	sent    bool     // an earlier attempt may have run
}

func (n *idempotentRun[S]) loop(ctx context.Context, slot S) outcome {
	fresh := false
	for {
		x := n.front.start(n.request, slot, nil, fresh)
		j := n.await(ctx, x)
		n.tried = append(n.tried, x.target.id)
		next, ok := n.retrySlot(ctx, j)
		if !ok {
			return n.truth(j.outcome)
		}
		n.front.counters.Retried(n.request.route.service, j.retry)
		n.sent = n.sent || j.outcome.verdict != NotRun
		slot, fresh = next, true
	}
}

// await returns what the exchange brought, or gives it up when the caller's
// time is over.
func (n *idempotentRun[S]) await(ctx context.Context, x *exchange) judgement {
	select {
	case <-x.done:
		return judge(x)
	case <-ctx.Done():
	}
	if n.front.abandon(x) {
		return judgement{outcome: unknown(stopped(ctx))}
	}
	return judgement{outcome: notRun(stopped(ctx))}
}

// retrySlot returns the slot for another attempt, if there should be one.
func (n *idempotentRun[S]) retrySlot(ctx context.Context, j judgement) (slot S, ok bool) {
	if j.retry == "" || len(n.tried) >= maxAttempts || ctx.Err() != nil {
		return slot, false
	}
	return n.queue.try(n.front.avoiding(n.request.route.group, n.tried))
}

// truth returns the outcome as it holds for all attempts together: a request
// isn't notRun if an earlier attempt may have run.
func (n *idempotentRun[S]) truth(o outcome) outcome {
	if o.verdict == NotRun && n.sent {
		return unknown(o.fault)
	}
	return o
}

// abandon gives an exchange up for the caller, and reports whether the request
// may have reached the target. What still arrives is read and dropped.
func (f *Front[S]) abandon(x *exchange) (written bool) {
	written = x.cancel()
	f.threads.Go(func() {
		<-x.done
		if s := x.result.stream; s != nil {
			s.drain()
		}
	})
	return written
}
