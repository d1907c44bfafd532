package cranslotsim

// pooled is one queue in front of all slots.
type pooled struct {
	*fleet
	queue []*job
	judge *judge
}

func newPooled(f *fleet) *pooled { return &pooled{fleet: f, judge: newJudge()} }

func (p *pooled) start() {}

func (p *pooled) arrive(j *job) {
	p.queue = append(p.queue, j)
	p.drain()
}

// drain starts requests while there are both requests and free slots.
func (p *pooled) drain() {
	for len(p.queue) > 0 {
		target := p.pick()
		if target < 0 {
			return
		}
		j := p.queue[0]
		p.queue = p.queue[1:]
		p.run(j, target, func(ok bool) { p.done(j, target, ok) })
	}
}

func (p *pooled) done(j *job, target int, ok bool) {
	p.judge.seen(target, ok, p.Now())
	if !ok {
		p.queue = append([]*job{j}, p.queue...)
	}
	p.drain()
}

// pick returns the target with the fewest requests that has a free slot, and
// -1 if none has.
func (p *pooled) pick() int {
	best := -1
	for i, n := range p.inProgress {
		if n >= p.settings.Slots || p.judge.avoids(i, p.Now()) {
			continue
		}
		if best < 0 || n < p.inProgress[best] {
			best = i
		}
	}
	return best
}
