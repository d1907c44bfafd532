package cranpool

import "time"

const (
	// arrivalSlot is the length of one slot of an Arrivals, and arrivalSlots is the
	// number of slots. The older half is compared with the newer half; each covers 750 ms.
	arrivalSlot  = 250 * time.Millisecond
	arrivalSlots = 6
	// maxGrowth limits the forecast to a multiple of the recent load.
	maxGrowth = 3
	// ArrivalsSpan is the age from which work is no longer counted.
	ArrivalsSpan = arrivalSlot * arrivalSlots
)

// Arrivals records the work that arrived recently, to detect a surge while it builds
// up. An instance that is moved only for work that already waits comes too late by
// MoveTime.
type Arrivals struct {
	// slots hold the product of resources and seconds, newest last. lastSlot is the number
	// of the newest slot, counted from time 0 of the steady clock.
	slots    [arrivalSlots]Load
	lastSlot time.Duration
}

// advance shifts the slots up to the current time and drops the oldest.
func (h *Arrivals) advance(now time.Duration) {
	slot := now / arrivalSlot
	for steps := min(slot-h.lastSlot, arrivalSlots); steps > 0; steps-- {
		copy(h.slots[:], h.slots[1:])
		h.slots[arrivalSlots-1] = Load{}
	}
	h.lastSlot = slot
}

// Add adds work, as the product of resources and seconds, that arrived the given time ago.
func (h *Arrivals) Add(work Load, now, age time.Duration) {
	h.advance(now)
	if slot := arrivalSlots - 1 - int(age/arrivalSlot); slot >= 0 {
		h.slots[slot] = h.slots[slot].Plus(work)
	}
}

// Forecast returns the expected load of arrivals after MoveTime, extrapolating recent
// growth linearly. A falling load is not extrapolated.
func (h *Arrivals) Forecast(now time.Duration) Load {
	h.advance(now)
	var earlier, recent Load
	for i, s := range h.slots {
		if i < arrivalSlots/2 {
			earlier = earlier.Plus(s)
		} else {
			recent = recent.Plus(s)
		}
	}
	span := (arrivalSlot * arrivalSlots / 2).Seconds()
	spansAhead := MoveTime.Seconds() / span
	extrapolate := func(earlier, recent float64) float64 {
		earlier, recent = earlier/span, recent/span
		return min(recent+max(recent-earlier, 0)*spansAhead, maxGrowth*recent)
	}
	return Load{extrapolate(earlier.CPU, recent.CPU), extrapolate(earlier.Memory, recent.Memory)}
}
