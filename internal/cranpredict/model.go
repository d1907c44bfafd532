package cranpredict

import "math"

const (
	// maxQueues and maxGroups, the groups of each queue, bound the state. A group takes about 100 bytes.
	maxQueues = 256
	maxGroups = 96
	// maxSamples is the number of steps that a group remembers: older ones lose weight with each new one.
	maxSamples = 100
	// maxWithin is the same for the tasks from which the spread within a step follows.
	maxWithin = 500
	// halfLifeMs is the time in which samples lose half of their weight.
	halfLifeMs = 10 * 60 * 1000
	// ageingStepMs is the least time for which the loss of weight is computed.
	ageingStepMs = 1000
	// minCensored is how far, in standard deviations, a run that did not end must have come towards its expected
	// duration to count. One that was stopped earlier tells nothing.
	minCensored = -1
)

// Siblings sums up the finished tasks of one step of one job.
type Siblings struct {
	count int
	sum   float64
}

// Add adds a finished task.
func (s *Siblings) Add(durationMs float64) {
	s.count++
	s.sum += logSeconds(durationMs)
}

// Count returns the number of finished tasks.
func (s *Siblings) Count() int { return s.count }

// Observation is a run that has ended.
type Observation struct {
	Class Class
	// DurationMs is how long the run took. If Censored is set, it was stopped or lost and took at least that long.
	DurationMs float64
	Censored   bool
	// Tasks is the number of tasks of the step. All of them together count as one sample.
	Tasks int
	// Siblings are the tasks of the step that have finished before.
	Siblings Siblings
	// Expected is what was predicted when the run started; zero if nothing was.
	Expected Expectation
	// NowMs is the time in Unix milliseconds.
	NowMs int64
}

type group struct {
	sums
	// atMs is the time as of which the sums are aged.
	atMs int64
}

// aged returns the sums as of a time.
func (g *group) aged(nowMs int64) sums {
	s := g.sums
	if age := nowMs - g.atMs; age >= ageingStepMs {
		s.scale(math.Exp2(-float64(age) / halfLifeMs))
	}
	return s
}

func (g *group) add(x, y, yy, weight float64, nowMs int64) {
	if nowMs-g.atMs >= ageingStepMs {
		g.sums = g.aged(nowMs)
		g.atMs = nowMs
	}
	g.sums.add(x, y, yy, weight)
	if g.n > maxSamples {
		g.scale(maxSamples / g.n)
	}
}

func (g *group) merge(s sums, nowMs int64) {
	old := g.aged(nowMs)
	g.sums = sums{old.n + s.n, old.x + s.x, old.y + s.y, old.xx + s.xx, old.xy + s.xy, old.yy + s.yy}
	g.atMs = nowMs
	if g.n > maxSamples {
		g.scale(maxSamples / g.n)
	}
}

type queueModel struct {
	groups map[uint64]*group
	// squares and tasks are the sum of squares within steps and its degrees of freedom.
	squares, tasks float64
	// observed counts the observations since the last record.
	observed int
	// recordedMs is the time of the last record.
	recordedMs int64
}

func newQueueModel() *queueModel { return &queueModel{groups: map[uint64]*group{}} }

// within returns the variance of the logarithms of durations within a step, given that of a wider group.
func (q *queueModel) within(wider float64) float64 {
	if q == nil {
		return wider
	}
	return min((q.squares+withinPrior*wider)/(q.tasks+withinPrior), maxVariance)
}

func (q *queueModel) addWithin(squares, tasks float64) {
	q.squares += squares
	q.tasks += tasks
	if q.tasks > maxWithin {
		q.squares *= maxWithin / q.tasks
		q.tasks = maxWithin
	}
}

// Model holds what was learned of all queues.
type Model struct {
	queues map[string]*queueModel
	// all holds the widest groups, those of all queues together.
	all   *queueModel
	shape shape
	// calibration counts the runs since the last call of TakeCalibration.
	calibration Calibration
}

// New returns a model without any observation.
func New() *Model {
	m := &Model{queues: map[string]*queueModel{}, all: newQueueModel()}
	m.shape.init()
	return m
}

// queue returns the state of a queue, and adds it if it is unknown and there is room; otherwise nil.
func (m *Model) queue(name string) *queueModel {
	q := m.queues[name]
	if q == nil && len(m.queues) < maxQueues {
		q = newQueueModel()
		m.queues[name] = q
	}
	return q
}

// group returns a group, and adds it if it is unknown, in place of the one with the least weight if there is
// no room.
func (q *queueModel) group(key uint64, nowMs int64) *group {
	g := q.groups[key]
	if g != nil {
		return g
	}
	if len(q.groups) >= maxGroups {
		least, weight := uint64(0), math.Inf(1)
		for k, other := range q.groups {
			if k == keyEstimated || k == keyUnestimated {
				continue
			}
			if w := other.n * math.Exp2(-float64(nowMs-other.atMs)/halfLifeMs); w < weight || w == weight && k < least {
				least, weight = k, w
			}
		}
		delete(q.groups, least)
	}
	g = &group{atMs: nowMs}
	q.groups[key] = g
	return g
}

// Observe learns from a run.
func (m *Model) Observe(o Observation) {
	if !(o.DurationMs > 0) || o.Tasks <= 0 {
		return
	}
	y := logSeconds(o.DurationMs)
	yy := y * y
	if o.Censored {
		expected := m.Predict(o.Class, o.Siblings, o.NowMs)
		if !expected.Known() {
			return
		}
		sd := expected.sd()
		limit := (y - expected.mu) / sd
		if limit < minCensored {
			return
		}
		// The run counts as the mean and the mean square of all durations above the limit.
		ratio := hazard(limit)
		y = expected.mu + sd*ratio
		yy = y*y + sd*sd*max(1+limit*ratio-ratio*ratio, 0)
	}
	q := m.queue(o.Class.queue)
	if q == nil {
		return
	}
	q.observed++
	weight := 1 / float64(o.Tasks)
	m.all.group(o.Class.keys[0], o.NowMs).add(o.Class.x, y, yy, weight, o.NowMs)
	for _, key := range o.Class.keys[:o.Class.levels] {
		q.group(key, o.NowMs).add(o.Class.x, y, yy, weight, o.NowMs)
	}
	if o.Censored {
		if e := o.Expected; e.sd > 0 {
			m.shape.addCensored((logSeconds(o.DurationMs)-float64(e.mu))/float64(e.sd), o.Tasks)
		}
		return
	}
	if n := float64(o.Siblings.count); n > 0 {
		d := y - o.Siblings.sum/n
		q.addWithin(d*d*n/(n+1), 1)
		m.all.addWithin(d*d*n/(n+1), 1)
	}
	if o.Expected.sd > 0 {
		m.calibration.add(o.DurationMs, o.Expected)
		m.shape.add((y-float64(o.Expected.mu))/float64(o.Expected.sd), o.Tasks)
	}
}

// Predict returns the distribution of the duration of a task, given the finished tasks of its step.
func (m *Model) Predict(c Class, finished Siblings, nowMs int64) Distribution {
	q := m.queues[c.queue]
	l := prior
	if g := m.all.groups[c.keys[0]]; g != nil {
		l = l.refine(g.aged(nowMs))
	}
	if q != nil {
		for _, key := range c.keys[:c.levels] {
			if g := q.groups[key]; g != nil {
				l = l.refine(g.aged(nowMs))
			}
		}
	}
	if !c.estimated && l == prior && finished.count == 0 {
		return Distribution{}
	}
	within := q.within(m.all.within(priorWithin))
	variance := min(l.variance*(1+1/l.weight), maxVariance)
	d := Distribution{mu: l.at(c.x), within: within, between: max(variance-within, minBetween), shape: &m.shape}
	if n := float64(finished.count); n > 0 {
		precision := 1/d.between + n/within
		d.mu = (d.mu/d.between + finished.sum/within) / precision
		d.between = 1 / precision
	}
	return d
}

// merge adds the samples of a queue to the group of all queues.
func (q *queueModel) merge(other *queueModel, nowMs int64) {
	for _, key := range []uint64{keyEstimated, keyUnestimated} {
		if g := other.groups[key]; g != nil {
			q.group(key, nowMs).merge(g.aged(nowMs), nowMs)
		}
	}
	q.addWithin(other.squares, other.tasks)
}

// Seed sets the line of a queue from the sums of an earlier version, of the logarithms of estimates (x) and of
// durations (y) in milliseconds over all tasks. It changes nothing if the queue is known.
func (m *Model) Seed(queue string, n, x, y, xx, xy float64, nowMs int64) {
	if m.queues[queue] != nil || !(n >= 1) {
		return
	}
	q := m.queue(queue)
	if q == nil {
		return
	}
	// The sums have no steps, of which each counts once, and no squares of y.
	weight := min(n/seededTasksPerStep, maxSeeded) / n
	shift := math.Log(1000)
	s := sums{n: n, x: x - n*shift, y: y - n*shift, xx: xx - 2*shift*x + n*shift*shift, xy: xy - shift*(x+y) + n*shift*shift}
	fit := line{slope: 1}.refine(s)
	a, b := fit.offset, fit.slope
	s.yy = n*a*a + 2*a*b*s.x + b*b*s.xx + n*priorVariance/2
	s.scale(weight)
	if s.valid() {
		q.groups[keyEstimated] = &group{sums: s, atMs: nowMs}
		m.all.merge(q, nowMs)
	}
}

const (
	// seededTasksPerStep is the assumed number of tasks of a step in sums of an earlier version, and maxSeeded
	// the most steps that these count for.
	seededTasksPerStep = 8
	maxSeeded          = 20
)
