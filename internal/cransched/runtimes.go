package cransched

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranpredict"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// runTimesReportInterval is how often the calibration of the predictions is reported.
	runTimesReportInterval = 5 * time.Second
	// endsWithin is the probability with which a task should end before its target is evacuated.
	endsWithin = 0.9
	// upperShare is the share of jobs that are at most as long as upperEstimates say.
	upperShare = 0.9
)

// restoreRunTimes restores what earlier owners have learned of run times. The sums of an earlier version
// count for a queue without a record.
func (s *Scheduler) restoreRunTimes() {
	if m := s.timing.RunTimes; m == Regression || m == DistributionsForTenants && s.config.Tenants == nil {
		return
	}
	s.runTimes = cranpredict.New()
	records := s.stored.RunTimes()
	for _, queue := range slices.Sorted(maps.Keys(records)) {
		s.runTimes.Restore(queue, records[queue], s.clock.UnixMs)
	}
	durations := s.stored.Durations()
	for _, queue := range slices.Sorted(maps.Keys(durations)) {
		d := durations[queue]
		s.runTimes.Seed(queue, d.N, d.SumX, d.SumY, d.SumXX, d.SumXY, s.clock.UnixMs)
	}
}

// updateEstimates recomputes the expected durations and paths of a job.
func (s *Scheduler) updateEstimates(j *job) {
	if s.runTimes == nil {
		j.updateEstimates(s.predictors[j.Queue], s.clock.Steady)
		return
	}
	if j.upper == nil {
		j.upper = &upperEstimates{longestMs: make([]float64, len(j.Steps)), criticalPathMs: make([]float64, len(j.Steps))}
		j.expected = make([]cranpredict.Expectation, len(j.Steps))
	}
	u := j.upper
	recomputed := j.estimate(s.clock.Steady, func(i int) {
		step := &j.Steps[i]
		d := s.predictStep(j, i)
		j.expected[i] = d.Expect()
		if !d.Known() {
			j.durationMs[i] = float64(step.EstimateMs)
			j.longestMs[i], j.endsWithinMs[i] = j.durationMs[i]*longestTaskFactor(step.Count), 0
			u.longestMs[i] = j.longestMs[i]
			return
		}
		tasks := step.Count
		if step.Gang {
			// The first success counts for all members.
			tasks = 1
		}
		j.durationMs[i], j.longestMs[i], j.endsWithinMs[i] = d.MeanMs(), roundMs(d.LongestMs(tasks)), d.QuantileMs(endsWithin)
		u.longestMs[i] = roundMs(d.LongestQuantileMs(tasks, upperShare))
	})
	if recomputed {
		u.workMs = j.addPaths(u.longestMs, u.criticalPathMs)
	}
}

// upperEstimates are estimates that most jobs like this one don't exceed: the durations of the longest task of each
// step, and the paths that follow from them.
type upperEstimates struct {
	longestMs, criticalPathMs []float64
	workMs                    float64
}

// orderSlackMs returns the slack of a stage if its job is longer than most. A longer job has a later deadline, so a
// job of unknown length is late only if it would be late as a long one, too. Taking the expected length instead
// puts jobs behind all others that could still complete in time.
func (s *Scheduler) orderSlackMs(j *job, st *stage) int64 {
	if j.upper == nil {
		return s.slackMs(j, st)
	}
	return s.deadlineMs(j, st.name.Occurrence, j.upper.workMs) - s.clock.UnixMs - int64(j.upper.criticalPathMs[st.name.Step])
}

// roundMs rounds to microseconds, so that rounding errors of logarithms don't reach the whole milliseconds of
// deadlines.
func roundMs(ms float64) float64 { return math.Round(ms*1000) / 1000 }

// predictStep returns the distribution of the duration of a task of a step that isn't finished. Long-running
// tasks have none.
func (s *Scheduler) predictStep(j *job, i int) cranpredict.Distribution {
	if j.Steps[i].LongRunning {
		return cranpredict.Distribution{}
	}
	j.classify()
	return s.runTimes.Predict(j.classes[i], j.finished[i], s.clock.UnixMs)
}

// classify computes the classes of the job's steps.
func (j *job) classify() {
	if j.classes != nil {
		return
	}
	j.finished = make([]cranpredict.Siblings, len(j.Steps))
	for i := range j.Steps {
		step := &j.Steps[i]
		j.classes = append(j.classes, cranpredict.Classify(cranpredict.Features{
			Queue: j.Queue, Tenant: j.Tenant, Image: step.Image, Step: i, EstimateMs: step.EstimateMs,
			CPU: step.Demand.CPU, Memory: step.Demand.Memory, Accelerators: step.Demand.Accelerators,
		}))
	}
}

// expectation returns what is predicted for a run of a step, as of the last update.
func (j *job) expectation(step int) cranpredict.Expectation {
	if j.expected == nil {
		return cranpredict.Expectation{}
	}
	return j.expected[step]
}

// observeEnd learns from a run that has succeeded.
func (s *Scheduler) observeEnd(t *task, r *run, durationMs int64) {
	s.observe(t, r, cranpredict.Observation{DurationMs: float64(durationMs), Expected: r.expected})
}

// observeLoss learns from a run that is stopped, has failed or was lost. It took at least until the target was
// last known to have it. The other tasks of a gang end with the first, so they tell nothing.
func (s *Scheduler) observeLoss(host *target, r *run) {
	t := r.task
	if r.phase != confirmed || t == nil || t.run != r || r.inherited || r.resumed || r.step.LongRunning || r.step.Gang {
		return
	}
	s.observe(t, r, cranpredict.Observation{DurationMs: float64((host.stateAsOf - r.startedAt).Milliseconds()), Censored: true, Expected: r.expected})
}

func (s *Scheduler) observe(t *task, r *run, o cranpredict.Observation) {
	if s.runTimes == nil {
		return
	}
	j := t.job
	j.classify()
	o.Class, o.Siblings, o.NowMs = j.classes[t.name.Step], j.finished[t.name.Step], s.clock.UnixMs
	o.Tasks = r.step.Count * j.Occurrences()
	if r.step.Gang {
		// Only one task of a gang is measured.
		o.Tasks = j.Occurrences()
	}
	s.runTimes.Observe(o)
	if record := s.runTimes.NextRecord(j.Queue, s.clock.UnixMs); record != nil {
		s.pendingRecords = append(s.pendingRecords, cranstore.Record{Key: cranjob.RunTimesKey(j.Queue), Value: record})
	}
}

// reportRunTimes reports the calibration of the predictions.
func (s *Scheduler) reportRunTimes() {
	if s.runTimes == nil || s.clock.Steady-s.runTimesReportedAt < runTimesReportInterval {
		return
	}
	s.runTimesReportedAt = s.clock.Steady
	if c := s.runTimes.TakeCalibration(); c.Runs > 0 {
		s.emit(RunTimesJudged{c})
	}
}

// expectEvacuations estimates when the targets of the members of a wave, in the order of their evacuation, are
// evacuated: as many at a time as may be down, and some ahead.
func (s *Scheduler) expectEvacuations(members []*member, limit, downCount int) {
	if s.runTimes == nil {
		return
	}
	for i, m := range members {
		if t := s.currentTarget(m.instance); t != nil {
			// The first of the others begins once one is up again.
			rounds := max(i-evacuateAhead-(limit-downCount)+limit, 0) / limit
			t.evacuatesAt = s.clock.Steady + time.Duration(rounds)*maintenanceTime
		}
	}
}

// outlivesTarget reports whether a task that starts now isn't expected to end before its target is evacuated. It
// would delay the maintenance.
func (s *Scheduler) outlivesTarget(st *stage, t *target) bool {
	j := st.tasks[0].job
	if !t.leaving || s.runTimes == nil || j.endsWithinMs == nil {
		return false
	}
	ends := time.Duration(j.endsWithinMs[st.name.Step] * float64(time.Millisecond))
	return s.clock.Steady+ends > t.evacuatesAt
}

// RemainingWork returns the expected work that is left of a job that has not ended, in core-seconds. Long-running
// tasks don't count.
func (s *Scheduler) RemainingWork(id string) float64 {
	j := s.jobs[id]
	if j == nil {
		return 0
	}
	s.updateEstimates(j)
	work := 0.0
	for _, st := range j.stages {
		if st.step.LongRunning {
			continue
		}
		var d cranpredict.Distribution
		if s.runTimes != nil {
			d = s.predictStep(j, st.name.Step)
		}
		for _, t := range st.tasks {
			if t.Status == cranjob.Done {
				continue
			}
			remainingMs := j.durationMs[st.name.Step]
			if t.run != nil && t.run.startedAt > 0 && !t.run.inherited {
				elapsedMs := float64((s.clock.Steady - t.run.startedAt).Milliseconds())
				remainingMs = max(remainingMs-elapsedMs, 0)
				if d.Known() {
					remainingMs = d.RemainingMs(elapsedMs)
				}
			}
			work += remainingMs * float64(st.step.Reservation().CPU) / 1e6
		}
	}
	return work
}
