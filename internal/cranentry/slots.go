package cranentry

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// wakeSlotLoop tells slotLoop that there is work to do.
func (e *Entry) wakeSlotLoop() {
	select {
	case e.slotWake <- struct{}{}:
	default:
	}
}

// wakingBroker wakes the slot loop when requests wait for slots, so that an idle
// broker asks for slots without delay.
type wakingBroker struct {
	*cranslot.Broker
	wake func()
}

// SetWaiting sets how many requests wait for a slot of the group.
func (w wakingBroker) SetWaiting(group string, n int) {
	w.Broker.SetWaiting(group, n)
	if n > 0 {
		w.wake()
	}
}

// slotLoop sends the broker's messages and calls its Tick method at an interval
// that is longer while the broker is idle.
func (e *Entry) slotLoop(ctx context.Context) {
	timer := time.NewTimer(slotTick)
	defer timer.Stop()
	var p slotPacer
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			e.broker.Tick(now)
			timer.Reset(p.nextInterval(now))
		case <-e.slotWake:
			if p.wake(time.Now()) {
				timer.Reset(0)
			}
		}
		for _, o := range e.broker.TakeOutgoing() {
			e.sendSlots(ctx, o)
		}
	}
}

// slotPacer determines the time between ticks of the broker.
type slotPacer struct {
	// lastActive is when the slot loop was last woken.
	lastActive time.Time
	// idle is set while the timer is set to idleSlotTick.
	idle bool
}

// nextInterval returns the time until the next tick.
func (p *slotPacer) nextInterval(now time.Time) time.Duration {
	p.idle = now.Sub(p.lastActive) > slotIdleAfter
	if p.idle {
		return idleSlotTick
	}
	return slotTick
}

// wake records activity and reports whether to tick at once. It never delays a
// scheduled tick, since under load it is called continuously.
func (p *slotPacer) wake(now time.Time) bool {
	p.lastActive = now
	wasIdle := p.idle
	p.idle = false
	return wasIdle
}

// sendSlots sends a message in the background. The message may be lost.
func (e *Entry) sendSlots(ctx context.Context, o cranslot.OutgoingMessage) {
	p, ok := e.findPeer(o.To)
	if !ok {
		return
	}
	e.spawn(func() {
		boundedCtx, cancel := context.WithTimeout(ctx, e.heartbeatInterval)
		defer cancel()
		_ = e.client.SendSlotMessage(boundedCtx, p, o.Message)
	})
}
