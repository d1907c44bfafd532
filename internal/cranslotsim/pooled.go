package cranslotsim

// pooled implements the scheme with one queue for all slots.
type pooled struct {
	*fleet
	queue    []*job
	detector *outlierDetector
}

func newPooled(f *fleet) *pooled { return &pooled{fleet: f, detector: newOutlierDetector()} }

func (p *pooled) start() {}

func (p *pooled) arrive(j *job) {
	p.queue = append(p.queue, j)
	p.drain()
}

// drain starts queued requests while a target has a free slot.
func (p *pooled) drain() {
	for len(p.queue) > 0 {
		target := p.pick()
		if target < 0 {
			return
		}
		j := p.queue[0]
		p.queue = p.queue[1:]
		p.run(j, target, func(ok bool) { p.finish(j, target, ok) })
	}
}

// finish records the end of an attempt. A failed request goes back to the front of the queue.
func (p *pooled) finish(j *job, target int, ok bool) {
	p.detector.observe(target, ok, p.Now())
	if !ok {
		p.queue = append([]*job{j}, p.queue...)
	}
	p.drain()
}

// pick returns the target with the fewest requests in progress among those that have a free
// slot and are not ejected, or -1 if there is none.
func (p *pooled) pick() int {
	best := -1
	for i, n := range p.inProgress {
		if n >= p.settings.Slots || p.detector.ejected(i, p.Now()) {
			continue
		}
		if best < 0 || n < p.inProgress[best] {
			best = i
		}
	}
	return best
}
