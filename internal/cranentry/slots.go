package cranentry

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// wakeSlots tells slotLoop that there are messages to send.
func (e *Entry) wakeSlots() {
	select {
	case e.slotsOut <- struct{}{}:
	default:
	}
}

// slotLoop passes the broker's messages on as they arise.
func (e *Entry) slotLoop(ctx context.Context) {
	timer := time.NewTimer(slotTick)
	defer timer.Stop()
	busy := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			e.broker.Tick(now)
			timer.Reset(slotPause(now.Sub(busy)))
		case <-e.slotsOut:
			busy = time.Now()
			timer.Reset(slotTick)
		}
		for _, o := range e.broker.TakeOutgoing() {
			e.sendSlots(ctx, o)
		}
	}
}

// slotPause returns when the broker looks at its timers next.
func slotPause(quiet time.Duration) time.Duration {
	if quiet > slotRest {
		return idleSlotTick
	}
	return slotTick
}

// sendSlots sends one message in the background; it may be lost.
func (e *Entry) sendSlots(ctx context.Context, o cranslot.Outgoing) {
	p, ok := e.peer(o.To)
	if !ok {
		return
	}
	e.spawn(func() {
		bounded, cancel := context.WithTimeout(ctx, e.heartbeat)
		defer cancel()
		_ = e.client.Slots(bounded, p, o.Message)
	})
}
