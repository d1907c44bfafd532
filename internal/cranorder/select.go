package cranorder

import (
	"cmp"
	"container/heap"
	"slices"
)

// Job is a job that waits for room in a pool.
type Job struct {
	// Work is what is left of the job, in seconds of a whole instance; at least 0.
	Work float64
	// SlackMs is how long the job can wait and still be in time, in milliseconds. A job of which it is
	// negative can't be in time any more.
	SlackMs float64
	// Started is set once a task of the job was placed. Giving such a job up would waste what was done.
	Started bool
}

// Capacity is the room of a pool over time.
type Capacity struct {
	// Instances is the number of instances that the jobs have now, Arriving how many more they have from
	// ArrivingMs on, in milliseconds from now.
	Instances, Arriving, ArrivingMs float64
	// Occupied is work in progress that the jobs wait for, in seconds of a whole instance.
	Occupied float64
}

// waitMs returns when an amount of work is done, in milliseconds from now.
func (c Capacity) waitMs(work float64) float64 {
	if work <= 0 {
		return 0
	}
	seconds := c.ArrivingMs / 1000
	if work <= c.Instances*seconds {
		return 1000 * work / c.Instances
	}
	total := c.Instances + c.Arriving
	if total <= 0 {
		return neverMs
	}
	return c.ArrivingMs + 1000*(work-c.Instances*seconds)/total
}

// neverMs exceeds the slack of every job.
const neverMs = 1e12

// Select reports for each job whether it is to be served in time. By least slack, the work of the jobs before
// it must be done before its slack is over. Where it isn't, the job with the most work is given up among those
// that have not been started, as in the algorithm of Moore and Hodgson, which gives up the fewest jobs of a
// single server. It takes time in the order of n log n.
func Select(jobs []Job, c Capacity) []bool {
	order := make([]int, 0, len(jobs))
	for i := range jobs {
		if jobs[i].SlackMs >= 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(jobs[a].SlackMs, jobs[b].SlackMs), cmp.Compare(a, b))
	})
	selected := make([]bool, len(jobs))
	work := c.Occupied
	candidates := &byWork{jobs: jobs}
	for _, i := range order {
		selected[i] = true
		before := work
		work += jobs[i].Work
		if !jobs[i].Started {
			heap.Push(candidates, i)
		}
		for c.waitMs(before) > jobs[i].SlackMs && candidates.Len() > 0 {
			given := heap.Pop(candidates).(int) //nolint:forcetypeassert // The heap holds integers only.
			selected[given] = false
			work -= jobs[given].Work
			if given == i {
				break
			}
			before -= jobs[given].Work
		}
	}
	return selected
}

// byWork is a heap of jobs, the one with the most work first.
type byWork struct {
	jobs  []Job
	items []int
}

func (h *byWork) Len() int           { return len(h.items) }
func (h *byWork) Less(a, b int) bool { return h.jobs[h.items[a]].Work > h.jobs[h.items[b]].Work }
func (h *byWork) Swap(a, b int)      { h.items[a], h.items[b] = h.items[b], h.items[a] }
func (h *byWork) Push(x any)         { h.items = append(h.items, x.(int)) } //nolint:forcetypeassert // The heap holds integers only.
func (h *byWork) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}
