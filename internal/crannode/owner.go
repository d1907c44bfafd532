package crannode

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// append stores the scheduler's decisions and renews the claim. Only one batch is in
// progress at a time. A large batch is appended in parts, since the store refuses a call
// above its limit and a slow link can't carry it in the time of one attempt. Each part
// renews the claim.
func (c *control) append(now time.Duration) {
	o := c.owner
	if o.appending || now < o.nextAppendAt {
		return
	}
	releasing := c.shouldHandOver(o)
	records, decided := o.scheduler.NextBatch()
	if !decided && !releasing && now-o.claimedAt < claimInterval {
		return
	}
	parts := splitBatch(records, maxAppendBytes)
	if releasing || now-o.claimedAt >= claimInterval || len(parts) != 1 {
		if len(parts) == 0 {
			parts = [][]cranstore.Record{nil}
		}
		o.claimedAt = now
		for i, part := range parts {
			o.renewals++
			parts[i] = append(part, cranstore.Record{Key: cranjob.KeyClaim, Value: cranjob.Encode(cranjob.Claim{
				Epoch: o.epoch, Node: c.node.name, Incarnation: c.node.incarnation, Renewal: o.renewals,
				Released: releasing && i == len(parts)-1, AppendMs: o.appendLatency.Milliseconds(),
			})})
		}
	}
	o.appending = true
	options := cranstore.AppendOptions{Producer: producer, Epoch: o.epoch, Sequence: o.sequence + 1}
	o.sequence += uint64(len(parts))
	go func() {
		sent, err := c.node.appendParts(o.ctx, parts, options)
		c.node.post(c.runCtx, func() { c.appendCompleted(o, sent, err, releasing) })
	}()
}

// splitBatch divides records into parts of at most maxBytes, or of one record if that is
// larger.
func splitBatch(records []cranstore.Record, maxBytes int) [][]cranstore.Record {
	var parts [][]cranstore.Record
	first, size := 0, 0
	for i, r := range records {
		bytes := len(r.Key) + len(r.Value)
		if i > first && size+bytes > maxBytes {
			parts = append(parts, records[first:i:i])
			first, size = i, 0
		}
		size += bytes
	}
	if first < len(records) {
		parts = append(parts, records[first:len(records):len(records)])
	}
	return parts
}

// appendParts appends the parts of a batch one after the other. It returns when the last
// append was sent.
func (n *Node) appendParts(ctx context.Context, parts [][]cranstore.Record, o cranstore.AppendOptions) (sent time.Duration, err error) {
	for _, part := range parts {
		if sent, err = n.appendUntilAnswered(ctx, part, o); err != nil {
			return sent, err
		}
		o.Sequence++
	}
	return sent, nil
}

// appendUntilAnswered repeats an append until its outcome is known. The sequence number
// makes repeats safe.
func (n *Node) appendUntilAnswered(ctx context.Context, records []cranstore.Record, o cranstore.AppendOptions) (time.Duration, error) {
	for {
		sent := n.now().Steady
		limited, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := n.progress.topic.Append(limited, records, o)
		cancel()
		var fenced *cranstore.FencedError
		var sequence *cranstore.SequenceError
		if err == nil || errors.As(err, &fenced) || errors.As(err, &sequence) || ctx.Err() != nil {
			return sent, err
		}
		n.metrics.Retried(cranstore.IsRefused(err))
		n.log.Emit(cranevent.AppendRepeated, cranevent.Epoch(o.Epoch), cranevent.Err(err))
		cranpause.Sleep(ctx, appendRetryPause)
	}
}

// appendCompleted handles the result of an append. The ownership ends if the append was
// refused or has released the claim.
func (c *control) appendCompleted(o *ownership, sent time.Duration, err error, releasing bool) {
	o.appending = false
	if c.owner != o {
		return
	}
	now := c.node.now()
	if err != nil || releasing {
		// In the log, "vacated" means that this process has released its claim.
		reason := "vacated"
		if err != nil {
			reason = "an append was refused: " + err.Error()
		}
		c.stopScheduling(reason)
		if c.node.stopping.Load() {
			c.doneOnce.Do(func() { close(c.handoverDone) })
		} else if releasing {
			c.nextClaimAt = now.Steady + lateOwnerPause
		}
		return
	}
	o.appendLatency = now.Steady - sent
	o.confirmedAt.Store(int64(sent))
	o.nextAppendAt = now.Steady + appendInterval
	o.scheduler.Advance(now)
	o.scheduler.ConfirmBatch()
}

// performEffects carries out the effects that the scheduler has requested.
func (c *control) performEffects(o *ownership) {
	n, s := c.node, o.scheduler
	for _, effect := range s.Effects() {
		switch e := effect.(type) {
		case cransched.Heartbeat:
			c.callAsync(o, e.Wait+callTimeout, func(ctx context.Context) func() {
				response := cransched.HeartbeatResponse{}
				c.sendOrder(o, "hold", cransched.OwnershipTimeout, func() cransched.CallStatus {
					response = n.orders.Heartbeat(ctx, e)
					return response.Status
				})
				return func() { s.HandleHeartbeatResponse(e.Target, response) }
			})
		case cransched.StartRun:
			// A start that is withheld has certainly not been sent.
			withheld := cransched.Response{Status: cransched.StatusNotSent}
			c.sendRunOrder(o, "start", withheld, func(ctx context.Context) cransched.Response { return n.orders.StartRun(ctx, e) },
				func(a cransched.Response) { s.HandleStartResponse(e, a) })
		case cransched.StopRun:
			c.sendRunOrder(o, "stop", cransched.Response{}, func(ctx context.Context) cransched.Response { return n.orders.StopRun(ctx, e) },
				func(a cransched.Response) { s.HandleStopResponse(e, a) })
		case cransched.Throttle:
			c.sendRunOrder(o, "pace", cransched.Response{}, func(ctx context.Context) cransched.Response { return n.orders.Throttle(ctx, e) },
				func(a cransched.Response) { s.HandleThrottleResponse(e, a) })
		case cransched.RequestTickets:
			c.requestTickets(o, e)
		case cransched.Maintain:
			c.sendInstanceOrder(o, "upkeep", func(ctx context.Context) cransched.CallStatus { return n.orders.Maintain(ctx, e) },
				func(v cransched.CallStatus) { s.HandleMaintenanceResponse(e, v) })
		case cransched.MoveInstance:
			c.sendInstanceOrder(o, "move", func(ctx context.Context) cransched.CallStatus { return n.orders.MoveInstance(ctx, e) },
				func(v cransched.CallStatus) { s.HandleMoveResponse(e, v) })
		case cransched.WaveStatus:
			c.writeBestEffort(o, "status", callTimeout, func(ctx context.Context) error { return n.orders.ReportWave(ctx, e) })
		case cransched.TrimSubmission:
			c.writeBestEffort(o, n.submissions.name, trimTimeout, func(ctx context.Context) error {
				_, err := n.batcher.Append(ctx, e.Record)
				return err
			})
		case cransched.LogEntry:
			n.logDecision(e)
		}
	}
}

// sendRunOrder sends an order about a run and passes the response to handle. If the
// order is not sent, it passes withheld instead.
func (c *control) sendRunOrder(o *ownership, kind string, withheld cransched.Response,
	send func(context.Context) cransched.Response, handle func(cransched.Response),
) {
	c.callAsync(o, callTimeout, func(ctx context.Context) func() {
		response := withheld
		c.sendOrder(o, kind, cransched.OwnershipTimeout, func() cransched.CallStatus {
			response = send(ctx)
			return response.Status
		})
		return func() { handle(response) }
	})
}

// sendInstanceOrder sends an order about an instance and passes the status to handle.
func (c *control) sendInstanceOrder(o *ownership, kind string,
	send func(context.Context) cransched.CallStatus, handle func(cransched.CallStatus),
) {
	c.callAsync(o, callTimeout, func(ctx context.Context) func() {
		status := c.sendOrder(o, kind, cransched.OrderOwnershipTimeout, func() cransched.CallStatus { return send(ctx) })
		return func() { handle(status) }
	})
}

// writeBestEffort stores a record that may be lost without harm. A failure is only
// logged.
func (c *control) writeBestEffort(o *ownership, stream string, timeout time.Duration, store func(context.Context) error) {
	c.callAsync(o, timeout, func(ctx context.Context) func() {
		if err := store(ctx); err != nil {
			c.node.log.Emit(cranevent.LogUnavailable, cranevent.Stream(stream), cranevent.Err(err))
		}
		return func() {}
	})
}

// ticketsTimeout bounds a request for tickets. It is longer than callTimeout because the
// request takes longer the more targets it names.
const ticketsTimeout = 3 * time.Second

func (c *control) requestTickets(o *ownership, e cransched.RequestTickets) {
	n := c.node
	c.callAsync(o, ticketsTimeout, func(ctx context.Context) func() {
		sent := n.now().Steady
		tickets, validFor, err := n.orders.RequestTickets(ctx, e)
		return func() {
			if err != nil {
				n.log.Emit(cranevent.LogUnavailable, cranevent.Stream("advice"), cranevent.Err(err))
			}
			o.scheduler.HandleTickets(e, tickets, validFor, sent)
		}
	})
}

// sendOrder sends an order unless the newest confirmed append was sent longer ago than
// bound, because another process may own the scheduling by then. It checks this right before the call, because the process may have been
// suspended. An order that is not sent counts as unanswered.
func (c *control) sendOrder(o *ownership, kind string, bound time.Duration, send func() cransched.CallStatus) cransched.CallStatus {
	n := c.node
	start := n.now().Steady
	if start-time.Duration(o.confirmedAt.Load()) >= bound {
		n.metrics.Ordered(kind, "withheld", 0)
		return cransched.StatusUnanswered
	}
	status := send()
	n.metrics.Ordered(kind, status.String(), n.now().Steady-start)
	return status
}

// callAsync runs request in a goroutine of its own. The function that request returns
// then runs in the control goroutine, unless the ownership has ended by that time.
func (c *control) callAsync(o *ownership, timeout time.Duration, request func(context.Context) func()) {
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, timeout)
		defer cancel()
		deliver := request(ctx)
		c.node.post(c.runCtx, func() {
			if c.owner != o {
				return
			}
			o.scheduler.Advance(c.node.now())
			deliver()
		})
	}()
}

// refreshInstances reads the list of instances if instancesInterval has passed.
func (c *control) refreshInstances(now time.Duration) {
	o := c.owner
	if o.listingInstances || now < o.nextInstancesAt {
		return
	}
	o.listingInstances = true
	o.nextInstancesAt = now + instancesInterval
	c.callAsync(o, instancesTimeout, func(ctx context.Context) func() {
		list, err := c.node.listInstances(ctx)
		return func() {
			o.listingInstances = false
			if err != nil {
				c.node.log.Emit(cranevent.LogUnavailable, cranevent.Stream("instances"), cranevent.Err(err))
				return
			}
			o.scheduler.SetInstances(list, now)
		}
	})
}

// listInstances reads the whole list of instances. Each page has a time limit of its own,
// since the number of pages depends on the number of instances. A page without an answer is
// requested again without the earlier ones.
func (n *Node) listInstances(ctx context.Context) ([]cransched.InstanceInfo, error) {
	var list []cransched.InstanceInfo
	token := ""
	for failures := 0; ; {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		page, next, err := n.orders.ListInstances(limited, token)
		cancel()
		if err != nil {
			if failures++; failures == instancePageAttempts || cranstore.IsRefused(err) || ctx.Err() != nil {
				return nil, err
			}
			continue
		}
		failures = 0
		list = append(list, page...)
		if token = next; token == "" {
			return list, nil
		}
	}
}

// followTargets keeps the list of targets up to date until ctx ends.
func (c *control) followTargets(ctx context.Context) {
	f := c.node.newFollower(readOptions{
		topic: c.node.directory.Targets, wait: readWait, pause: targetsPause, ownerPause: ownerTargetsPause,
		options: []cranstore.FollowerOption{cranstore.WithNewestOnly()},
	})
	c.node.follow(ctx, "targets", f, func(u cranstore.Update) {
		c.node.post(ctx, func() { c.applyTargets(u) })
	})
}

const (
	// ownerTargetsPause and targetsPause are the pauses between two reads of the
	// targets topic. Only the owner acts on changes of targets.
	ownerTargetsPause = 150 * time.Millisecond
	targetsPause      = 1500 * time.Millisecond
)

func (c *control) applyTargets(u cranstore.Update) {
	if u.Reset {
		clear(c.targets)
	}
	for _, r := range u.Records {
		if len(r.Value) == 0 {
			delete(c.targets, r.Key)
			continue
		}
		info, err := c.node.directory.DecodeTargetRecord(r.Key, r.Value)
		if err != nil {
			c.node.log.Emit(cranevent.MalformedRecord, cranevent.Stream("targets"), cranevent.Offset(r.Offset), cranevent.Err(err))
			continue
		}
		c.targets[r.Key] = info
	}
	c.targetsKnown = true
	if c.owner != nil {
		c.owner.scheduler.Advance(c.node.now())
		c.owner.scheduler.SetTargets(c.targetList())
	}
}
