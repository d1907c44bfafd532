package cransched

import (
	"maps"
	"slices"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// placement is the state of a round of placement.
type placement struct {
	// byPool holds the targets of each pool that may take tasks.
	byPool map[string][]*target
	idle   idleRooms
	// open counts the pools of candidates whose room isn't exhausted.
	open int
	// mostPlanned is the number of planned starts at which the round ends.
	mostPlanned int
}

// place assigns waiting tasks to targets. In case the load exceeds the capacity of a pool,
// it places long-running tasks first, then the work within the entitlement of its tenant, then
// that beyond it. Within each, stages that can still complete in time come first, by priority
// and least slack, then the rest. Beyond the entitlement, the tenants' shares come before slack.
func (s *Scheduler) place() {
	if !s.mayStart() {
		s.recountQuota()
		return
	}
	s.beginQuota()
	p := &placement{byPool: map[string][]*target{}, idle: idleRooms{}}
	for _, t := range s.sorted {
		if t.schedulable(s.clock.Steady) && !s.hasPendingOrder(t) {
			p.byPool[t.info.Pool] = append(p.byPool[t.info.Pool], t)
		}
	}
	starvedBefore := maps.Clone(s.starved)
	clear(s.starved)
	// Pools that aren't reached before the starts of this round are planned keep their mark.
	p.mostPlanned = s.startsPaced.planned + s.startsPaced.left(s.clock.Steady, s.lag)
	s.observeCapacities(p.byPool)
	list := s.candidates()
	s.tickets.waiting = false
	s.placeSuspects(list, p.byPool)
	s.placeOverdue(list, p.byPool, (p.mostPlanned-s.startsPaced.planned+overdueShare-1)/overdueShare)
	s.startsLimited = false
	for _, r := range s.survey.rooms {
		if !r.isExhausted() {
			p.open++
		}
	}
	for i := 0; i < len(list) && p.open > 0; i++ {
		if !s.placeCandidate(&list[i], p) {
			s.startsLimited = true
			s.limitedRounds++
			maps.Copy(s.starved, starvedBefore)
			break
		}
	}
	s.endQuota(!s.startsLimited)
}

// placeCandidate places the waiting tasks of a stage as far as there is room. It reports whether the round goes on: it
// ends at the limit on starts under way.
func (s *Scheduler) placeCandidate(c *candidate, p *placement) bool {
	if c.room.isExhausted() || !c.isWaiting() || s.refusedByQuota(c.stage) {
		return true
	}
	pool := c.job.Pool
	targets := p.byPool[pool]
	if len(targets) == 0 {
		s.starved[pool] = s.starved[pool] || c.stage.step.LongRunning
		p.setFull(c)
		return true
	}
	if !s.ensureTicket(*c, targets) {
		return true
	}
	if s.startsPaced.planned >= p.mostPlanned {
		return false
	}
	if c.room.full[c.shape] {
		return true
	}
	if c.stage.step.Gang {
		s.placeGang(*c, targets)
		return true
	}
	for _, t := range c.stage.tasks {
		if !s.mayPlace(t) {
			continue
		}
		if !s.allowsUnit(c.stage) {
			break
		}
		chosen := s.chooseTarget(c.stage, targets)
		if chosen == nil {
			switch {
			case c.stage.step.LongRunning:
				p.byPool[pool] = s.reserveTarget(c.stage, targets)
			case !p.idle.fits(c.stage.step, pool, targets):
				s.starved[pool] = true
			}
			p.setFull(c)
			break
		}
		s.startTask(t, chosen, t.Run+1)
		if s.startsPaced.planned >= p.mostPlanned {
			break
		}
	}
	return true
}

// setFull records that a task of a stage has no room, if that shows that no other of its shape has any.
func (p *placement) setFull(c *candidate) {
	if c.stage.fillsShape() && c.room.setFull(c.shape) {
		p.open--
	}
}

// reserveTarget selects a target to keep free for a long-running task that fits nowhere at
// present, and returns the other targets. Without it, smaller tasks would take all
// capacity that becomes free.
func (s *Scheduler) reserveTarget(st *stage, targets []*target) []*target {
	s.starved[st.tasks[0].job.Pool] = true
	return s.withoutReserved(st, targets)
}

// withoutReserved returns the targets without the one to keep free for a long-running task.
func (s *Scheduler) withoutReserved(st *stage, targets []*target) []*target {
	best := -1
	for i, t := range targets {
		if !s.meetsConstraints(st, t) || !t.info.Capacity.Fits(t.longRunningResources().Add(st.step.Reservation())) {
			continue
		}
		if best < 0 || t.free().Memory > targets[best].free().Memory {
			best = i
		}
	}
	if best < 0 {
		return targets
	}
	return slices.Delete(slices.Clone(targets), best, best+1)
}

// idleRooms holds, for each pool, the resources that its targets have once only long-running
// tasks are left on them. They are computed when they are first needed.
type idleRooms map[string][]idleRoom

type idleRoom struct {
	target *target
	free   cranjob.Resources
}

// fits reports whether a task of a step would fit on one of the targets if only long-running
// tasks ran there. Otherwise it never fits, however much is free in the whole pool.
func (r idleRooms) fits(step *cranjob.Step, pool string, targets []*target) bool {
	rooms, known := r[pool]
	if !known {
		for _, t := range targets {
			rooms = append(rooms, idleRoom{t, t.info.Capacity.Sub(t.longRunningResources())})
		}
		r[pool] = rooms
	}
	reserved := step.Reservation()
	return slices.ContainsFunc(rooms, func(i idleRoom) bool {
		return i.free.Fits(reserved) && (step.Requires == "" || i.target.hasLabel(step.Requires))
	})
}
