package cransched

import "time"

const (
	// arrivalSlot is the length of one slot of an arrivalHistory, and arrivalSlots is the
	// number of slots. The older half is compared with the newer half; each covers 750 ms.
	arrivalSlot  = 250 * time.Millisecond
	arrivalSlots = 6
	// maxGrowth limits the forecast to a multiple of the recent load.
	maxGrowth = 3
)

// arrivalHistory records the work that arrived recently, to detect a surge while it builds
// up. An instance that is moved only for work that already waits comes too late by
// moveTime.
type arrivalHistory struct {
	// slots hold the product of resources and seconds, newest last. lastSlot is the number
	// of the newest slot, counted from time 0 of the steady clock.
	slots    [arrivalSlots]load
	lastSlot time.Duration
}

// load is a constant use of resources, in thousandths of a core and in MB.
type load struct{ cpu, memory float64 }

func (l load) plus(o load) load { return load{l.cpu + o.cpu, l.memory + o.memory} }

// advance shifts the slots up to the current time and drops the oldest.
func (h *arrivalHistory) advance(now time.Duration) {
	slot := now / arrivalSlot
	for steps := min(slot-h.lastSlot, arrivalSlots); steps > 0; steps-- {
		copy(h.slots[:], h.slots[1:])
		h.slots[arrivalSlots-1] = load{}
	}
	h.lastSlot = slot
}

// add adds work, as the product of resources and seconds, that arrived the given time ago.
func (h *arrivalHistory) add(work load, now, age time.Duration) {
	h.advance(now)
	if slot := arrivalSlots - 1 - int(age/arrivalSlot); slot >= 0 {
		h.slots[slot] = h.slots[slot].plus(work)
	}
}

// forecast returns the expected load of arrivals after moveTime, extrapolating recent
// growth linearly. A falling load is not extrapolated.
func (h *arrivalHistory) forecast(now time.Duration) load {
	h.advance(now)
	var earlier, recent load
	for i, s := range h.slots {
		if i < arrivalSlots/2 {
			earlier = earlier.plus(s)
		} else {
			recent = recent.plus(s)
		}
	}
	span := (arrivalSlot * arrivalSlots / 2).Seconds()
	spansAhead := moveTime.Seconds() / span
	extrapolate := func(earlier, recent float64) float64 {
		earlier, recent = earlier/span, recent/span
		return min(recent+max(recent-earlier, 0)*spansAhead, maxGrowth*recent)
	}
	return load{extrapolate(earlier.cpu, recent.cpu), extrapolate(earlier.memory, recent.memory)}
}
