package cransched

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// overdueAfter is how long a job with a ready stage has nothing placed until it is overdue. It may have nothing
	// running for 3 s while there is room.
	overdueAfter = time.Second
	// overdueShare is the part of the starts of a round, as a divisor, that overdue jobs may take.
	overdueShare = 2
	// maxOverdue is the number of overdue jobs above which the order of candidates stays as it is: the owner can't
	// begin so many in time, and would only spread its starts over them.
	maxOverdue = maxStartsUnderWay
)

// idle reports whether no task of the job is placed.
func (j *job) idle() bool { return j.waiting+j.done == len(j.tasks) }

// placeOverdue starts one task of each overdue job, the one that has waited longest first. Only jobs that wait because
// of the limit on starts under way need it: where room is scarce, the order of candidates says who gets it.
func (s *Scheduler) placeOverdue(list []candidate, byPool map[string][]*target, starts int) {
	full := map[string]bool{}
	for _, c := range s.overdueCandidates(list) {
		targets := byPool[c.job.Pool]
		if starts <= 0 {
			return
		}
		// One failure per pool and round suffices: a backlog has thousands of jobs.
		if full[c.job.Pool] || !c.job.idle() || len(targets) == 0 || !s.ensureTicket(c, targets) {
			continue
		}
		i := slices.IndexFunc(c.stage.tasks, func(t *task) bool { return s.mayPlace(t) })
		if i < 0 || !s.allowsUnit(c.stage) {
			continue
		}
		chosen := s.chooseTarget(c.stage, targets)
		if chosen == nil {
			full[c.job.Pool] = true
			continue
		}
		t := c.stage.tasks[i]
		s.startTask(t, chosen, t.Run+1)
		starts--
	}
}

// overdueCandidates returns the stages of overdue jobs in the order in which they may start, if the last round has ended
// at the limit on starts under way.
func (s *Scheduler) overdueCandidates(list []candidate) []candidate {
	if !s.startsLimited {
		return nil
	}
	var overdue []candidate
	for i := range list {
		c := &list[i]
		if !c.isWaiting() || c.stage.step.Gang || c.stage.waitsForCap || s.clock.Steady-c.job.waitsSince < overdueAfter {
			continue
		}
		if overdue = append(overdue, *c); len(overdue) > maxOverdue {
			return nil
		}
	}
	slices.SortStableFunc(overdue, func(a, b candidate) int { return cmp.Compare(a.job.waitsSince, b.job.waitsSince) })
	return overdue
}

// mayPlace reports whether a task waits to be placed like any other.
func (s *Scheduler) mayPlace(t *task) bool {
	return t.Status == cranjob.Waiting && t.notBefore <= s.clock.Steady && !t.suspected()
}
