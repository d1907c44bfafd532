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

// append stores what the scheduler has decided, and renews the claim. One
// append is under way at a time.
func (c *control) append(now time.Duration) {
	o := c.owner
	if o.appending || now < o.appendNext {
		return
	}
	leaving := c.isLeaving(o)
	records, decided := o.scheduler.NextBatch()
	if !decided && !leaving && now-o.claimed < claimEvery {
		return
	}
	if leaving || now-o.claimed >= claimEvery || len(records) == 0 {
		o.beat++
		o.claimed = now
		records = append(records, cranstore.Record{Key: cranjob.KeyClaim, Value: cranjob.Encode(cranjob.Claim{
			Epoch: o.epoch, Node: c.node.name, Incarnation: c.node.incarnation, Beat: o.beat, Vacated: leaving,
			AppendMs: o.appendTook.Milliseconds(),
		})})
	}
	o.appending = true
	o.sequence++
	options := cranstore.AppendOptions{Producer: producer, Epoch: o.epoch, Sequence: o.sequence}
	go func() {
		sent, err := c.node.appendUntilAnswered(o.ctx, records, options)
		c.node.post(c.work, func() { c.appended(o, sent, err, leaving) })
	}()
}

// appendUntilAnswered repeats an append until its outcome is known. The
// sequence number makes the repeats harmless.
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
		cranpause.For(ctx, appendPause)
	}
}

func (c *control) appended(o *ownership, sent time.Duration, err error, leaving bool) {
	o.appending = false
	if c.owner != o {
		return
	}
	now := c.node.now()
	if err != nil || leaving {
		reason := "vacated"
		if err != nil {
			reason = "an append was refused: " + err.Error()
		}
		c.abdicate(reason)
		if c.node.stopping.Load() {
			c.vacatedOnce.Do(func() { close(c.vacated) })
		} else if leaving {
			c.claimNext = now.Steady + lagPause
		}
		return
	}
	o.appendTook = now.Steady - sent
	o.confirmedAt.Store(int64(sent))
	o.appendNext = now.Steady + batchPause
	o.scheduler.Advance(now)
	o.scheduler.ConfirmBatch()
}

// perform carries out what the scheduler wants done.
func (c *control) perform(o *ownership) {
	n, s := c.node, o.scheduler
	for _, effect := range s.Effects() {
		switch e := effect.(type) {
		case cransched.Heartbeat:
			c.call(o, e.Wait+callTimeout, func(ctx context.Context) func() {
				answer := cransched.HeartbeatResponse{}
				c.order(o, "hold", cransched.OwnershipTimeout, func() cransched.CallStatus {
					answer = n.orders.Hold(ctx, e)
					return answer.Status
				})
				return func() { s.HandleHeartbeatResponse(e.Target, answer) }
			})
		case cransched.StartRun:
			// A start that is withheld has certainly not left.
			withheld := cransched.Response{Status: cransched.StatusNotSent}
			c.orderRun(o, "start", withheld, func(ctx context.Context) cransched.Response { return n.orders.Start(ctx, e) },
				func(a cransched.Response) { s.HandleStartResponse(e, a) })
		case cransched.StopRun:
			c.orderRun(o, "stop", cransched.Response{}, func(ctx context.Context) cransched.Response { return n.orders.Stop(ctx, e) },
				func(a cransched.Response) { s.HandleStopResponse(e, a) })
		case cransched.Throttle:
			c.orderRun(o, "pace", cransched.Response{}, func(ctx context.Context) cransched.Response { return n.orders.Pace(ctx, e) },
				func(a cransched.Response) { s.HandleThrottleResponse(e, a) })
		case cransched.RequestTickets:
			c.advise(o, e)
		case cransched.Maintain:
			c.orderInstance(o, "upkeep", func(ctx context.Context) cransched.CallStatus { return n.orders.Upkeep(ctx, e) },
				func(v cransched.CallStatus) { s.HandleMaintenanceResponse(e, v) })
		case cransched.MoveInstance:
			c.orderInstance(o, "move", func(ctx context.Context) cransched.CallStatus { return n.orders.Move(ctx, e) },
				func(v cransched.CallStatus) { s.HandleMoveResponse(e, v) })
		case cransched.WaveStatus:
			c.write(o, "status", callTimeout, func(ctx context.Context) error { return n.orders.ReportWave(ctx, e) })
		case cransched.TrimSubmission:
			c.write(o, n.submissions.name, trimTimeout, func(ctx context.Context) error {
				_, err := n.batcher.Append(ctx, e.Record)
				return err
			})
		case cransched.LogEntry:
			n.note(e)
		}
	}
}

// orderRun sends an order about a run and takes in its answer.
func (c *control) orderRun(o *ownership, kind string, withheld cransched.Response,
	send func(context.Context) cransched.Response, answered func(cransched.Response),
) {
	c.call(o, callTimeout, func(ctx context.Context) func() {
		answer := withheld
		c.order(o, kind, cransched.OwnershipTimeout, func() cransched.CallStatus {
			answer = send(ctx)
			return answer.Status
		})
		return func() { answered(answer) }
	})
}

// orderInstance sends an order about an instance and takes in what became of it.
func (c *control) orderInstance(o *ownership, kind string,
	send func(context.Context) cransched.CallStatus, answered func(cransched.CallStatus),
) {
	c.call(o, callTimeout, func(ctx context.Context) func() {
		verdict := c.order(o, kind, cransched.OrderOwnershipTimeout, func() cransched.CallStatus { return send(ctx) })
		return func() { answered(verdict) }
	})
}

// write stores what may get lost without harm; a failure is logged.
func (c *control) write(o *ownership, stream string, timeout time.Duration, store func(context.Context) error) {
	c.call(o, timeout, func(ctx context.Context) func() {
		if err := store(ctx); err != nil {
			c.node.log.Emit(cranevent.LogUnavailable, cranevent.Stream(stream), cranevent.Err(err))
		}
		return func() {}
	})
}

// adviceTimeout bounds a call for advice, whose answer takes longer the more
// targets it names.
const adviceTimeout = 3 * time.Second

func (c *control) advise(o *ownership, e cransched.RequestTickets) {
	n := c.node
	c.call(o, adviceTimeout, func(ctx context.Context) func() {
		sent := n.now().Steady
		tickets, valid, err := n.orders.Advise(ctx, e)
		return func() {
			if err != nil {
				n.log.Emit(cranevent.LogUnavailable, cranevent.Stream("advice"), cranevent.Err(err))
			}
			o.scheduler.HandleTickets(e, tickets, valid, sent)
		}
	})
}

// order sends an order unless the ownership was last confirmed too long ago.
// It is asked right before the call, since the process may have been
// suspended; an order that has not left counts as unanswered.
func (c *control) order(o *ownership, kind string, bound time.Duration, send func() cransched.CallStatus) cransched.CallStatus {
	n := c.node
	began := n.now().Steady
	if began-time.Duration(o.confirmedAt.Load()) >= bound {
		n.metrics.Ordered(kind, "withheld", 0)
		return cransched.StatusUnanswered
	}
	verdict := send()
	n.metrics.Ordered(kind, verdict.String(), n.now().Steady-began)
	return verdict
}

// call runs a call in a goroutine of its own and hands its outcome to the
// control goroutine.
func (c *control) call(o *ownership, timeout time.Duration, do func(context.Context) func()) {
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, timeout)
		defer cancel()
		answered := do(ctx)
		c.node.post(c.work, func() {
			if c.owner != o {
				return
			}
			o.scheduler.Advance(c.node.now())
			answered()
		})
	}()
}

// askInstances reads the list of instances.
func (c *control) askInstances(now time.Duration) {
	o := c.owner
	if o.asking || now < o.instancesAt {
		return
	}
	o.asking = true
	o.instancesAt = now + instancesEvery
	c.call(o, callTimeout, func(ctx context.Context) func() {
		list, err := c.node.orders.ListInstances(ctx)
		return func() {
			o.asking = false
			if err != nil {
				c.node.log.Emit(cranevent.LogUnavailable, cranevent.Stream("instances"), cranevent.Err(err))
				return
			}
			o.scheduler.SetInstances(list, now)
		}
	})
}

// followTargets keeps the list of targets up to date.
func (c *control) followTargets(ctx context.Context) {
	r := reading{"targets", c.node.directory.Targets, readWait, targetsPause, targetsPauseOwner}
	c.node.follow(ctx, r, func(u cranstore.Update) {
		c.node.post(ctx, func() { c.targetsRead(u) })
	})
}

const (
	// targetsPauseOwner and targetsPause lie between two reads of the targets'
	// entries; only the owner needs them soon.
	targetsPauseOwner = 150 * time.Millisecond
	targetsPause      = 1500 * time.Millisecond
)

func (c *control) targetsRead(u cranstore.Update) {
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
