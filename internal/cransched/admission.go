package cransched

import (
	"math"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranadmit"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranpool"
)

const (
	// rateMemory is the time constant over which the rate of service of a pool is averaged, and over which
	// the memory of it ends once nothing waits.
	rateMemory = 2 * time.Second
	// minBusyShare is the least rate of service as a fraction of the capacity. Without it, the first moment of
	// a surge, in which nothing runs yet, would look like a pool that serves nothing.
	minBusyShare = 0.25
	// arrivalWindow is the time over which the rate of arrivals is measured.
	arrivalWindow = time.Second
	// worthlessFactor is how many times its objective a job may take until it has no value.
	worthlessFactor = 3
	// maxDrain bounds a drain.
	maxDrain = 10 * time.Minute
	// maxArriving bounds the capacity on its way as a multiple of the rate of service.
	maxArriving = 1000
)

// Entitlements tells which work is beyond the entitlement of its tenant.
type Entitlements interface {
	// Beyond reports whether a job is beyond its tenant's entitlement.
	Beyond(job string) bool
	// WithinShares returns the tenants that are beyond their entitlement now, with the share of their jobs
	// that is within it, from 0 to 1.
	WithinShares() map[string]float64
}

// jobEntitlements are the entitlements as the scheduler has classified its jobs by them.
type jobEntitlements struct{ scheduler *Scheduler }

// Beyond reports whether a job is beyond its tenant's entitlement.
func (e jobEntitlements) Beyond(job string) bool {
	j := e.scheduler.jobs[job]
	return j != nil && j.beyond
}

// WithinShares returns the tenants that are beyond their entitlement now.
func (e jobEntitlements) WithinShares() map[string]float64 {
	var shares map[string]float64
	for _, standing := range e.scheduler.BeyondEntitlement() {
		if shares == nil {
			shares = map[string]float64{}
		}
		shares[standing.Tenant] = standing.Within
	}
	return shares
}

// admission is the state from which the figures for admission are computed. Its zero value is ready for use.
type admission struct {
	// entitlements replaces the classification of the jobs; nil if it isn't replaced.
	entitlements Entitlements
	// shares holds, by pool, the part of its capacity that tasks which end have used while others waited.
	shares     map[string]cranpool.Load
	measuredAt time.Duration
}

// SetEntitlements replaces what tells which work is beyond the entitlement of its tenant.
func (s *Scheduler) SetEntitlements(e Entitlements) { s.admission.entitlements = e }

// queueWork sums up the jobs of a queue.
type queueWork struct {
	pool                     string
	jobs, waiting            int
	arrivals, arrivalsWithin float64
	pathMs                   float64
	total                    cranpool.Load
}

// poolWork sums up the waiting work of a pool, as the product of resources and seconds: all of it, and the parts that
// are served before a new job beyond its tenant's entitlement and before one within it.
type poolWork struct {
	all, ahead, within cranpool.Load
	backlogged         bool
}

// AdmissionFigures returns the load of the queues whose pools have waiting work, without the admitted share. It
// returns no figures if the configuration has no tenants.
func (s *Scheduler) AdmissionFigures() cranadmit.Figures {
	if s.config == nil || s.config.Tenants == nil {
		return cranadmit.Figures{}
	}
	entitlements := s.admission.entitlements
	if entitlements == nil {
		entitlements = jobEntitlements{s}
	}
	queues, pools := s.admissionWork(entitlements)
	rates := s.measureRates(pools)
	arriving := s.arrivingCapacity(pools)
	f := cranadmit.Figures{Queues: map[string]cranadmit.QueueLoad{}, Within: entitlements.WithinShares()}
	for name, q := range queues {
		p, rate := pools[q.pool], rates[q.pool]
		if !p.backlogged || rate.CPU <= 0 || rate.Memory <= 0 {
			continue
		}
		n := float64(q.jobs)
		f.Queues[name] = cranadmit.QueueLoad{
			Waiting: q.waiting, Drain: drain(p.all, rate), Ahead: drain(p.ahead, rate), Within: drain(p.within, rate),
			Path: min(time.Duration(q.pathMs/n*float64(time.Millisecond)), maxDrain), JobTime: drain(cranpool.Load{CPU: q.total.CPU / n, Memory: q.total.Memory / n}, rate),
			Arrivals: q.arrivals, ArrivalsWithin: q.arrivalsWithin, Share: 1,
			Arriving: min(arriving[q.pool].CPU/rate.CPU, maxArriving),
		}
	}
	return f
}

// drain returns how long work takes at a rate of service.
func drain(work, rate cranpool.Load) time.Duration {
	seconds := max(work.CPU/rate.CPU, work.Memory/rate.Memory)
	return time.Duration(min(seconds, maxDrain.Seconds()) * float64(time.Second))
}

// admissionWork sums up the jobs by queue and their waiting work by pool. Jobs that have occurrences, long-running or
// best-effort tasks wait for no drain, and nor do others for them.
func (s *Scheduler) admissionWork(entitlements Entitlements) (map[string]*queueWork, map[string]*poolWork) {
	queues, pools := map[string]*queueWork{}, map[string]*poolWork{}
	for j := range s.openJobs() {
		if j.queue == nil || s.queueConfig(j.Queue) == nil || j.Times > 0 || !endsSoon(j.Steps) {
			continue
		}
		q, p := queues[j.Queue], pools[j.Pool]
		if q == nil {
			q = &queueWork{pool: j.Pool}
			queues[j.Queue] = q
		}
		if p == nil {
			p = &poolWork{}
			pools[j.Pool] = p
		}
		s.updateEstimates(j)
		beyond := entitlements.Beyond(j.ID)
		s.addToQueue(q, j, beyond)
		s.addToPool(p, j, beyond)
	}
	return queues, pools
}

// endsSoon reports whether all steps have tasks that end and reserve processor time.
func endsSoon(steps []cranjob.Step) bool {
	for i := range steps {
		if steps[i].LongRunning || steps[i].BestEffort {
			return false
		}
	}
	return true
}

func (s *Scheduler) addToQueue(q *queueWork, j *job, beyond bool) {
	q.jobs++
	if j.state == cranjob.Queued {
		q.waiting++
	}
	q.pathMs += j.workMs
	for i := range j.Steps {
		q.total = q.total.Plus(j.workOf(&j.Steps[i], i, j.Steps[i].Count))
	}
	if s.clock.UnixMs-j.ReceivedMs < arrivalWindow.Milliseconds() {
		q.arrivals++
		if !beyond {
			q.arrivalsWithin++
		}
	}
}

// addToPool adds the waiting work of a job. Work within entitlements goes first and late work last inside each class,
// and work without any worth gives way to what could still have some.
func (s *Scheduler) addToPool(p *poolWork, j *job, beyond bool) {
	var work cranpool.Load
	late, worthless := false, s.clock.UnixMs > j.ReceivedMs+worthlessFactor*(s.softDeadlineMs(j, 0)-j.ReceivedMs)
	for _, st := range j.stages {
		if st.waiting == 0 {
			continue
		}
		work = work.Plus(j.workOf(st.step, st.name.Step, st.waiting))
		late = late || s.slackMs(j, st) < j.slackReserveMs(st)
		p.backlogged = p.backlogged || j.ready(st, s.clock.UnixMs)
	}
	p.all = p.all.Plus(work)
	if !worthless && (!beyond || !late) {
		p.ahead = p.ahead.Plus(work)
	}
	if !worthless && !beyond {
		p.within = p.within.Plus(work)
	}
}

// workOf returns the expected work of a number of tasks of a step, as the product of resources and seconds.
func (j *job) workOf(step *cranjob.Step, index, tasks int) cranpool.Load {
	reserved := step.Reservation()
	seconds := float64(tasks) * j.durationMs[index] / 1000
	return cranpool.Load{CPU: seconds * float64(reserved.CPU), Memory: seconds * float64(reserved.Memory)}
}

// measureRates returns the resources that tasks of each pool which end use at a time: the capacity that they have now,
// times the part of it that they have used in the last seconds while others waited. New instances count at once.
func (s *Scheduler) measureRates(pools map[string]*poolWork) map[string]cranpool.Load {
	busy, capacity := map[string]cranpool.Load{}, map[string]cranpool.Load{}
	for _, t := range s.sorted {
		if !t.schedulable(s.clock.Steady) {
			continue
		}
		lasting := t.longRunningResources()
		used := t.used.Sub(lasting)
		pool := t.info.Pool
		busy[pool] = busy[pool].Plus(cranpool.Load{CPU: float64(used.CPU), Memory: float64(used.Memory)})
		capacity[pool] = capacity[pool].Plus(cranpool.Load{
			CPU:    max(cranpool.UsableShare*float64(t.info.Capacity.CPU)-float64(lasting.CPU), 0),
			Memory: max(cranpool.UsableShare*float64(t.info.Capacity.Memory)-float64(lasting.Memory), 0),
		})
	}
	weight := 0.0
	if s.admission.measuredAt != 0 {
		weight = 1 - math.Exp(-(s.clock.Steady-s.admission.measuredAt).Seconds()/rateMemory.Seconds())
	}
	s.admission.measuredAt = s.clock.Steady
	rates, shares := make(map[string]cranpool.Load, len(capacity)), make(map[string]cranpool.Load, len(capacity))
	for pool, most := range capacity {
		before, known := s.admission.shares[pool]
		if !known {
			before = cranpool.Load{CPU: 1, Memory: 1}
		}
		sample := cranpool.Load{CPU: 1, Memory: 1}
		if p := pools[pool]; p != nil && p.backlogged {
			sample = cranpool.Load{CPU: busyShare(busy[pool].CPU, most.CPU), Memory: busyShare(busy[pool].Memory, most.Memory)}
		}
		share := cranpool.Load{CPU: before.CPU + weight*(sample.CPU-before.CPU), Memory: before.Memory + weight*(sample.Memory-before.Memory)}
		shares[pool] = share
		rates[pool] = cranpool.Load{CPU: share.CPU * most.CPU, Memory: share.Memory * most.Memory}
	}
	s.admission.shares = shares
	return rates
}

// busyShare returns the part of a capacity that is in use, at least minBusyShare.
func busyShare(busy, most float64) float64 {
	if most <= 0 {
		return 1
	}
	return max(busy/most, minBusyShare)
}

// arrivingCapacity returns the capacity of the instances that are being moved to each pool. Those that are idle elsewhere
// count too, in equal parts for the pools in which tasks wait: at the beginning of a peak no move is ordered yet, and a
// job that waits for them is not worthless.
func (s *Scheduler) arrivingCapacity(pools map[string]*poolWork) map[string]cranpool.Load {
	arriving := map[string]cranpool.Load{}
	var idle cranpool.Load
	for id, i := range s.fleet.instances {
		c := cranpool.Load{CPU: cranpool.UsableShare * float64(i.Capacity.CPU), Memory: cranpool.UsableShare * float64(i.Capacity.Memory)}
		if m := s.fleet.moves[id]; m != nil {
			arriving[m.pool] = arriving[m.pool].Plus(c)
			continue
		}
		t, p := s.targets[i.Target], pools[i.Pool]
		isIdle := s.isStandby(i.Pool) || t != nil && len(t.runs) == 0 && (p == nil || !p.backlogged)
		if i.Up && isIdle && !s.hasWaveOrder(id) {
			idle = idle.Plus(c)
		}
	}
	backlogged := 0.0
	for _, p := range pools {
		if p.backlogged {
			backlogged++
		}
	}
	for pool, p := range pools {
		if p.backlogged {
			arriving[pool] = arriving[pool].Plus(cranpool.Load{CPU: idle.CPU / backlogged, Memory: idle.Memory / backlogged})
		}
	}
	return arriving
}
