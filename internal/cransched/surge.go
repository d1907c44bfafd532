package cransched

import "time"

const (
	// surgeSlot is the grain, surgeSlots the number of grains, of the memory of
	// arrivals: two spans of three quarters of a second are compared.
	arrivalSlot  = 250 * time.Millisecond
	arrivalSlots = 6
	// surgeMost bounds the growth that is expected, as a multiple of the load.
	maxGrowth = 3
)

// surge remembers how much work has arrived lately, to tell a surge while it
// builds up: an instance that is moved only for the work that waits comes a
// move's time too late.
type arrivalHistory struct {
	// slots hold room times seconds; the newest ends at last.
	slots    [arrivalSlots]load
	lastSlot time.Duration
}

// load is room that is needed all the time.
type load struct{ cpu, memory float64 }

func (l load) plus(o load) load { return load{l.cpu + o.cpu, l.memory + o.memory} }

// advance drops what is too old to tell.
func (g *arrivalHistory) advance(now time.Duration) {
	slot := now / arrivalSlot
	for steps := min(slot-g.lastSlot, arrivalSlots); steps > 0; steps-- {
		copy(g.slots[:], g.slots[1:])
		g.slots[arrivalSlots-1] = load{}
	}
	g.lastSlot = slot
}

// add takes in work that arrived an age ago, in room times seconds.
func (g *arrivalHistory) add(work load, now, age time.Duration) {
	g.advance(now)
	if slot := arrivalSlots - 1 - int(age/arrivalSlot); slot >= 0 {
		g.slots[slot] = g.slots[slot].plus(work)
	}
}

// expect returns the load of the arrivals after a move's time, if they go on growing
// as they did. A load that falls is taken as it is.
func (g *arrivalHistory) forecast(now time.Duration) load {
	g.advance(now)
	var earlier, recent load
	for i, s := range g.slots {
		if i < arrivalSlots/2 {
			earlier = earlier.plus(s)
		} else {
			recent = recent.plus(s)
		}
	}
	span := (arrivalSlot * arrivalSlots / 2).Seconds()
	spansAhead := moveTime.Seconds() / span
	grow := func(earlier, recent float64) float64 {
		earlier, recent = earlier/span, recent/span
		return min(recent+max(recent-earlier, 0)*spansAhead, maxGrowth*recent)
	}
	return load{grow(earlier.cpu, recent.cpu), grow(earlier.memory, recent.memory)}
}
