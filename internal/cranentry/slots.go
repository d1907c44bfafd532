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

// wakingSlots wakes the entry's slot loop when requests begin to wait, so that
// the broker asks for slots although nothing was sent for some time.
type wakingSlots struct {
	*cranslot.Broker
	wake func()
}

// SetWaiting tells how many requests wait for a slot of the group.
func (w wakingSlots) SetWaiting(group string, n int) {
	w.Broker.SetWaiting(group, n)
	if n > 0 {
		w.wake()
	}
}

// slotLoop passes the broker's messages on as they arise, and lets it look at
// its timers, seldom while it is idle.
func (e *Entry) slotLoop(ctx context.Context) {
	timer := time.NewTimer(slotTick)
	defer timer.Stop()
	var p slotPace
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			e.broker.Tick(now)
			timer.Reset(p.ticked(now))
		case <-e.slotsOut:
			if p.woken(time.Now()) {
				timer.Reset(0)
			}
		}
		for _, o := range e.broker.TakeOutgoing() {
			e.sendSlots(ctx, o)
		}
	}
}

// slotPace decides when the broker looks at its timers.
type slotPace struct {
	// busy is when there last was something to send or a request waiting.
	busy time.Time
	// resting is set while the timer is set to idleSlotTick.
	resting bool
}

// ticked returns when to look again.
func (p *slotPace) ticked(now time.Time) time.Duration {
	p.resting = now.Sub(p.busy) > slotRest
	if p.resting {
		return idleSlotTick
	}
	return slotTick
}

// woken notes that there is something to do and reports whether to look at
// once. It never puts a look off: under load it is called all the time.
func (p *slotPace) woken(now time.Time) bool {
	p.busy = now
	atOnce := p.resting
	p.resting = false
	return atOnce
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
		_ = e.client.SendSlotMessage(bounded, p, o.Message)
	})
}
