package cranslotsim

// choices sends each request to the better of two random targets by the
// entry's own counts. A target serves its requests in order of arrival.
type choices struct {
	*fleet
	// sentTo counts, for each entry, the requests at each target.
	sentTo [][]int
	judges []*judge
	queues [][]*job
}

func newChoices(f *fleet) *choices {
	c := &choices{fleet: f, queues: make([][]*job, f.settings.Targets)}
	for range f.settings.Entries {
		c.sentTo = append(c.sentTo, make([]int, f.settings.Targets))
		c.judges = append(c.judges, newJudge())
	}
	return c
}

func (c *choices) start() {}

func (c *choices) arrive(j *job) {
	target := c.choose(j.entry)
	c.sentTo[j.entry][target]++
	c.queues[target] = append(c.queues[target], j)
	c.drain(target)
}

// choose draws two targets, again while both are avoided, a few times.
func (c *choices) choose(entry int) int {
	const draws = 4
	best := c.random.IntN(c.settings.Targets)
	for range draws {
		other := c.random.IntN(c.settings.Targets)
		if c.judges[entry].avoids(other, c.Now()) {
			continue
		}
		if c.judges[entry].avoids(best, c.Now()) {
			best = other
			continue
		}
		if c.sentTo[entry][other] < c.sentTo[entry][best] {
			best = other
		}
		break
	}
	return best
}

func (c *choices) drain(target int) {
	for len(c.queues[target]) > 0 && c.inProgress[target] < c.settings.Slots {
		j := c.queues[target][0]
		c.queues[target] = c.queues[target][1:]
		c.run(j, target, func(ok bool) { c.done(j, target, ok) })
	}
}

func (c *choices) done(j *job, target int, ok bool) {
	c.sentTo[j.entry][target]--
	c.judges[j.entry].seen(target, ok, c.Now())
	if !ok {
		c.arrive(j)
	}
	c.drain(target)
}
