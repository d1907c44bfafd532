package cransched

import (
	"cmp"
	"slices"
)

// placeGang places all tasks of a stage under the same run number, or none. If the step
// prefers a single rack, each rack is tried before the targets of all racks.
func (s *Scheduler) placeGang(c candidate, targets []*target) {
	st := c.stage
	if !s.mayStartUnit(st) {
		return
	}
	number := 0
	for _, t := range st.tasks {
		number = max(number, t.Run+1)
	}
	for i, dest := range s.assignGang(st, targets) {
		s.startTask(st.tasks[i], dest, number)
	}
}

// assignGang returns a target for each task of a gang, or nil if they don't all fit.
func (s *Scheduler) assignGang(st *stage, targets []*target) []*target {
	groups := [][]*target{targets}
	if st.step.SameRack {
		groups = append(groupByRack(targets), targets)
	}
	for _, group := range groups {
		if assigned := s.fitGang(st, group); assigned != nil {
			return assigned
		}
	}
	return nil
}

// fitGang returns a target for each task of a stage, or nil if they don't all fit. It adds
// a tentative run for each task, so that the next one sees the remaining capacity, and
// removes them before it returns.
func (s *Scheduler) fitGang(st *stage, targets []*target) []*target {
	var assigned []*target
	var tentative []*run
	for _, t := range st.tasks {
		chosen := s.chooseTarget(st, targets)
		if chosen == nil {
			break
		}
		r := &run{name: t.name, number: -1, reserved: st.step.Reservation(), step: st.step}
		chosen.add(r)
		assigned, tentative = append(assigned, chosen), append(tentative, r)
	}
	for i, r := range tentative {
		assigned[i].remove(r)
	}
	if len(assigned) < len(st.tasks) {
		return nil
	}
	return assigned
}

// groupByRack groups targets by rack, largest group first.
func groupByRack(targets []*target) [][]*target {
	racks := map[string][]*target{}
	for _, t := range targets {
		racks[t.rack()] = append(racks[t.rack()], t)
	}
	var groups [][]*target
	for _, group := range racks {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b []*target) int {
		return cmp.Or(cmp.Compare(len(b), len(a)), cmp.Compare(a[0].info.ID, b[0].info.ID))
	})
	return groups
}
