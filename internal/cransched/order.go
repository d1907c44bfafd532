package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranorder"
	"github.com/cranberrypick/cranberrypick/internal/cranpool"
)

// orderInterval is how often the jobs that are to be served in time are selected.
const orderInterval = 100 * time.Millisecond

// poolOrder is what the selection of the jobs of a pool is based on.
type poolOrder struct {
	capacity cranorder.Capacity
	// instance is the capacity of an instance of the pool.
	instance cranjob.Resources
	jobs     []*job
	items    []cranorder.Job
}

// selectJobs decides which jobs of each pool are to be served in time while the pool is too small for all of
// them. It answers a surge: with the order of least slack alone, each job would begin when it is about to be
// late. Jobs with times are never given up.
func (s *Scheduler) selectJobs() {
	now := s.clock.Steady
	if now < s.nextOrderAt {
		return
	}
	s.nextOrderAt = now + orderInterval
	orders := s.poolCapacities()
	s.survey.due = true
	for j := range s.openJobs() {
		o := orders[j.Pool]
		if o == nil || !isSelectable(j) {
			continue
		}
		s.updateEstimates(j)
		s.addToOrder(o, j)
	}
	for _, o := range orders {
		for i, selected := range cranorder.Select(o.items, o.capacity) {
			o.jobs[i].givenUp = !selected
		}
	}
}

// isSelectable reports whether a job may be given up.
func isSelectable(j *job) bool { return j.Times == 0 && !j.LongRunning() }

// addToOrder adds the work of a job, by its last estimates, to what the selection of its pool is based on.
func (s *Scheduler) addToOrder(o *poolOrder, j *job) {
	running, waiting := s.remainingWork(j, o)
	slackMs, waits := s.waitingSlackMs(j)
	if !waits || j.waiting == 0 {
		o.capacity.Occupied += running
		return
	}
	o.jobs = append(o.jobs, j)
	o.items = append(o.items, cranorder.Job{Work: running + waiting, SlackMs: slackMs, Started: j.waiting < len(j.tasks)})
}

// poolCapacities returns the capacity of each pool, in instances that long-running tasks leave.
func (s *Scheduler) poolCapacities() map[string]*poolOrder {
	orders := map[string]*poolOrder{}
	orderOf := func(pool string) *poolOrder {
		if orders[pool] == nil {
			orders[pool] = &poolOrder{capacity: cranorder.Capacity{ArrivingMs: float64(moveTime.Milliseconds())}}
		}
		return orders[pool]
	}
	for _, t := range s.sorted {
		if t.schedulable(s.clock.Steady) {
			taken := t.longRunningResources()
			left := 1 - max(fraction(taken.CPU, t.info.Capacity.CPU), fraction(taken.Memory, t.info.Capacity.Memory))
			o := orderOf(t.info.Pool)
			o.capacity.Instances += cranpool.UsableShare * max(left, 0)
			o.instance = t.info.Capacity
		}
	}
	for _, m := range s.fleet.moves {
		orderOf(m.pool).capacity.Arriving += cranpool.UsableShare
	}
	return orders
}

// remainingWork returns the expected work of the tasks of a job that are placed, and of those that wait, in
// seconds of a whole instance.
func (s *Scheduler) remainingWork(j *job, o *poolOrder) (running, waiting float64) {
	for _, st := range j.stages {
		if st.complete() {
			continue
		}
		reserved := st.step.Reservation()
		part := max(fraction(reserved.CPU, o.instance.CPU), fraction(reserved.Memory, o.instance.Memory))
		seconds := j.durationMs[st.name.Step] / 1000
		waiting += float64(st.waiting) * part * seconds
		if st.waiting+st.done == len(st.tasks) {
			continue
		}
		for _, t := range st.tasks {
			if t.Status == cranjob.Placed && t.run != nil {
				left := seconds
				if t.run.startedAt != 0 {
					left = max(left-(s.clock.Steady-t.run.startedAt).Seconds(), 0)
				}
				running += part * left
			}
		}
	}
	return running, waiting
}

// waitingSlackMs returns the slack of the first stage of a job that has waiting tasks, less the reserve
// for a wrong estimate, and whether there is one.
func (s *Scheduler) waitingSlackMs(j *job) (float64, bool) {
	for _, st := range j.stages {
		if st.waiting > 0 {
			return float64(s.orderSlackMs(j, st) - j.slackReserveMs(st)), true
		}
	}
	return 0, false
}
