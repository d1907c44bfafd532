package cransched

import "time"

const (
	// surgeSlot is the grain, surgeSlots the number of grains, of the memory of
	// arrivals: two spans of three quarters of a second are compared.
	surgeSlot  = 250 * time.Millisecond
	surgeSlots = 6
	// surgeMost bounds the growth that is expected, as a multiple of the load.
	surgeMost = 3
)

// surge remembers how much work has arrived lately, to tell a surge while it
// builds up: an instance that is moved only for the work that waits comes a
// move's time too late.
type surge struct {
	// slots hold room times seconds; the newest ends at last.
	slots [surgeSlots]load
	last  time.Duration
}

// load is room that is needed all the time.
type load struct{ cpu, memory float64 }

func (l load) plus(o load) load { return load{l.cpu + o.cpu, l.memory + o.memory} }

// advance drops what is too old to tell.
func (g *surge) advance(now time.Duration) {
	slot := now / surgeSlot
	for steps := min(slot-g.last, surgeSlots); steps > 0; steps-- {
		copy(g.slots[:], g.slots[1:])
		g.slots[surgeSlots-1] = load{}
	}
	g.last = slot
}

// add takes in work that arrived an age ago, in room times seconds.
func (g *surge) add(work load, now, age time.Duration) {
	g.advance(now)
	if slot := surgeSlots - 1 - int(age/surgeSlot); slot >= 0 {
		g.slots[slot] = g.slots[slot].plus(work)
	}
}

// expect returns the load of the arrivals after a move's time, if they go on growing
// as they did. A load that falls is taken as it is.
func (g *surge) expect(now time.Duration) load {
	g.advance(now)
	var before, lately load
	for i, s := range g.slots {
		if i < surgeSlots/2 {
			before = before.plus(s)
		} else {
			lately = lately.plus(s)
		}
	}
	span := (surgeSlot * surgeSlots / 2).Seconds()
	ahead := moveLead.Seconds() / span
	grow := func(before, lately float64) float64 {
		before, lately = before/span, lately/span
		return min(lately+max(lately-before, 0)*ahead, surgeMost*lately)
	}
	return load{grow(before.cpu, lately.cpu), grow(before.memory, lately.memory)}
}
