package cranslotsim

// choices implements the scheme that sends each request to the less loaded of two random
// targets, by the entry's own counts. A target runs its requests in order of arrival.
type choices struct {
	*fleet
	// outstanding counts the requests of each entry at each target, by entry and target.
	outstanding [][]int
	detectors   []*outlierDetector
	queues      [][]*job
}

func newChoices(f *fleet) *choices {
	c := &choices{fleet: f, queues: make([][]*job, f.settings.Targets)}
	for range f.settings.Entries {
		c.outstanding = append(c.outstanding, make([]int, f.settings.Targets))
		c.detectors = append(c.detectors, newOutlierDetector())
	}
	return c
}

func (c *choices) start() {}

func (c *choices) arrive(j *job) {
	target := c.choose(j.entry)
	c.outstanding[j.entry][target]++
	c.queues[target] = append(c.queues[target], j)
	c.drain(target)
}

// choose returns the target with fewer outstanding requests of the entry out of two random
// ones. It replaces ejected targets by others, for a limited number of draws.
func (c *choices) choose(entry int) int {
	const draws = 4
	best := c.random.IntN(c.settings.Targets)
	for range draws {
		other := c.random.IntN(c.settings.Targets)
		if c.detectors[entry].ejected(other, c.Now()) {
			continue
		}
		if c.detectors[entry].ejected(best, c.Now()) {
			best = other
			continue
		}
		if c.outstanding[entry][other] < c.outstanding[entry][best] {
			best = other
		}
		break
	}
	return best
}

// drain starts queued requests of a target while it has free slots.
func (c *choices) drain(target int) {
	for len(c.queues[target]) > 0 && c.inProgress[target] < c.settings.Slots {
		j := c.queues[target][0]
		c.queues[target] = c.queues[target][1:]
		c.run(j, target, func(ok bool) { c.finish(j, target, ok) })
	}
}

// finish records the end of an attempt. A failed request is sent again, possibly to another
// target.
func (c *choices) finish(j *job, target int, ok bool) {
	c.outstanding[j.entry][target]--
	c.detectors[j.entry].observe(target, ok, c.Now())
	if !ok {
		c.arrive(j)
	}
	c.drain(target)
}
