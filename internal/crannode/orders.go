package crannode

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

const (
	// callTimeout bounds a call to a target or to the platform.
	callTimeout = 900 * time.Millisecond
	// trimTimeout bounds the append that replaces the submission of an ended job by a
	// smaller record. It queues behind the appends of callers.
	trimTimeout = 5 * time.Second
	// noTimeout is for calls that bound their time themselves.
	noTimeout time.Duration = 0
)

// sendEffect sends the call that an effect asks for.
func (o *ownership) sendEffect(effect cransched.Effect) {
	n, s := o.shard.node, o.scheduler
	switch e := effect.(type) {
	case cransched.Heartbeat:
		o.callAsync(e.Wait+callTimeout, func(ctx context.Context) func() {
			response := cransched.HeartbeatResponse{}
			o.sendOrder("hold", o.mayOrderTargets, func() cransched.CallStatus {
				response = n.orders.Heartbeat(ctx, e)
				return response.Status
			})
			return func() { s.HandleHeartbeatResponse(e.Target, response) }
		})
	case cransched.StartRun:
		// A start that is withheld has certainly not been sent. The process may have been suspended
		// since the scheduler has decided on it.
		withheld := cransched.Response{Status: cransched.StatusWithheld}
		o.sendRunOrder("start", withheld, func(ctx context.Context) cransched.Response {
			left := e.SendBy - n.now().Steady
			if left < 0 {
				return withheld
			}
			ctx, cancel := context.WithTimeout(ctx, left+minStartTime)
			defer cancel()
			return n.orders.StartRun(ctx, e)
		}, func(a cransched.Response) { s.HandleStartResponse(e, a) })
	case cransched.StopRun:
		o.sendRunOrder("stop", cransched.Response{}, func(ctx context.Context) cransched.Response { return n.orders.StopRun(ctx, e) },
			func(a cransched.Response) { s.HandleStopResponse(e, a) })
	case cransched.Throttle:
		o.sendRunOrder("pace", cransched.Response{}, func(ctx context.Context) cransched.Response { return n.orders.Throttle(ctx, e) },
			func(a cransched.Response) { s.HandleThrottleResponse(e, a) })
	case cransched.RequestTickets:
		o.requestTickets(e)
	case cransched.Maintain:
		o.sendInstanceOrder("upkeep", func(ctx context.Context) cransched.CallStatus { return n.orders.Maintain(ctx, e) },
			func(v cransched.CallStatus) { s.HandleMaintenanceResponse(e, v) })
	case cransched.MoveInstance:
		o.sendInstanceOrder("move", func(ctx context.Context) cransched.CallStatus { return n.orders.MoveInstance(ctx, e) },
			func(v cransched.CallStatus) { s.HandleMoveResponse(e, v) })
	case cransched.TrimSubmission:
		o.callAsync(trimTimeout, func(ctx context.Context) func() {
			if _, err := o.trims[o.shard.stripeOf(e.Job).number].Append(ctx, e.Record); err != nil {
				n.log.Emit(cranevent.LogUnavailable, cranevent.Stream("submissions"), cranevent.Err(err))
			}
			return func() {}
		})
	}
}

// sendRunOrder sends an order about a run and passes the response to handle. If the
// order is not sent, it passes withheld instead.
func (o *ownership) sendRunOrder(kind string, withheld cransched.Response,
	send func(context.Context) cransched.Response, handle func(cransched.Response),
) {
	o.callAsync(callTimeout, func(ctx context.Context) func() {
		response := withheld
		o.sendOrder(kind, o.mayOrderTargets, func() cransched.CallStatus {
			response = send(ctx)
			return response.Status
		})
		return func() { handle(response) }
	})
}

// sendInstanceOrder sends an order about an instance and passes the status to handle.
func (o *ownership) sendInstanceOrder(kind string,
	send func(context.Context) cransched.CallStatus, handle func(cransched.CallStatus),
) {
	o.callAsync(callTimeout, func(ctx context.Context) func() {
		status := o.sendOrder(kind, o.mayOrderInstances, func() cransched.CallStatus { return send(ctx) })
		return func() { handle(status) }
	})
}

// mayOrderTargets reports whether orders may be sent to targets.
func (o *ownership) mayOrderTargets(now time.Duration) bool {
	return now-o.heldAt() < cransched.OwnershipTimeout
}

// mayOrderInstances reports whether orders about instances may be sent. A successor repeats those that are stored after a
// time that counts from the digest, so a fallback record doesn't extend it.
func (o *ownership) mayOrderInstances(now time.Duration) bool {
	return now-time.Duration(o.confirmedAt.Load()) < cransched.OrderOwnershipTimeout
}

// sendOrder sends an order unless may refuses it, since another process may own the shard by now. It asks right before
// the call, because the process may have been suspended. An order that is not sent counts as unanswered.
func (o *ownership) sendOrder(kind string, may func(now time.Duration) bool, send func() cransched.CallStatus) cransched.CallStatus {
	n := o.shard.node
	start := n.now().Steady
	if !may(start) {
		n.metrics.Ordered(kind, "withheld", 0)
		return cransched.StatusUnanswered
	}
	status := send()
	n.metrics.Ordered(kind, status.String(), n.now().Steady-start)
	return status
}

// callAsync runs request in a goroutine of its own. The function that request returns
// then runs in the control goroutine, unless the ownership has ended by that time.
func (o *ownership) callAsync(timeout time.Duration, request func(context.Context) func()) {
	o.shard.node.control.group.Go(func() {
		ctx := o.ctx
		if timeout != noTimeout {
			limited, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			ctx = limited
		}
		deliver := request(ctx)
		n := o.shard.node
		n.post(n.control.runCtx, func() {
			if o.shard.owner != o {
				return
			}
			o.scheduler.Advance(n.now())
			deliver()
		})
	})
}
