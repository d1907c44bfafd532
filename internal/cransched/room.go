package cransched

import "github.com/cranberrypick/cranberrypick/internal/cranjob"

// shape is what decides whether a task fits on a target, apart from the limits of its step.
type shape struct {
	reserved cranjob.Resources
	requires string
}

// poolRoom tells for which shapes of task the targets of a pool have no room left in a round of placement. Starts only
// take room, so the other tasks of the shape needn't be tried.
type poolRoom struct {
	indexes map[shape]int
	full    []bool
	// open counts the shapes that aren't full.
	open int
	// bound is set if a stage must be looked at in every round, whether there is room or not.
	bound bool
}

// roomOf returns the room of a pool.
func (v *survey) roomOf(pool string) *poolRoom {
	r := v.rooms[pool]
	if r == nil {
		r = &poolRoom{indexes: map[shape]int{}}
		v.rooms[pool] = r
	}
	return r
}

// add returns the index of the shape of a stage.
func (r *poolRoom) add(st *stage, bound bool) int {
	r.bound = r.bound || bound
	k := st.shape()
	i, known := r.indexes[k]
	if !known {
		i = len(r.full)
		r.indexes[k] = i
		r.full = append(r.full, false)
		r.open++
	}
	return i
}

func (st *stage) shape() shape { return shape{st.step.Reservation(), st.step.Requires} }

// reset begins a round.
func (r *poolRoom) reset() {
	clear(r.full)
	r.open = len(r.full)
}

// setFull records that a shape fits on no target, and reports whether that leaves none to try.
func (r *poolRoom) setFull(shape int) bool {
	if r.full[shape] {
		return false
	}
	r.full[shape] = true
	r.open--
	return r.isExhausted()
}

// isExhausted reports whether no stage of the pool needs to be looked at any more in this round.
func (r *poolRoom) isExhausted() bool { return r.open == 0 && !r.bound }

// isBound reports whether the stages of a job must be looked at in every round: tickets are requested for those that
// lack them, and what waits for the cap of its tenant is counted.
func (s *Scheduler) isBound(j *job) bool {
	return s.limitsTenant(j) || j.queue != nil && j.queue.RequiresTicket
}

// fillsShape reports whether a task of a stage that fits on no target shows that no other of its shape does. Limits of
// a step may exclude targets that have room for others.
func (st *stage) fillsShape() bool {
	q := st.tasks[0].job.queue
	return !st.step.LongRunning && st.step.MaxPerTarget == 0 && (q == nil || !q.RequiresTicket)
}
