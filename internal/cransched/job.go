package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranpredict"
)

// task is the state of one task of a job that has not ended.
type task struct {
	job  *job
	name cranjob.TaskName
	step *cranjob.Step
	cranjob.Task
	// run is the newest run while the task is placed.
	run *run
	// notBefore is the earliest time of the next run after a failed run or a refused start.
	notBefore time.Duration
	// crashes counts the targets that have crashed under the task.
	crashes cranjob.CrashCount
	// failedTrials counts the trials of the task since it has last outlived a start, also those of which
	// it isn't known how soon the target crashed.
	failedTrials int
	// crashesRestored is set if an earlier owner has counted some of them.
	crashesRestored bool
}

// stage is one step of one occurrence of a job.
type stage struct {
	name  StepName
	step  *cranjob.Step
	tasks []*task
	// done and waiting count the tasks with these statuses.
	done, waiting int
	// waitsForCap is set while the waiting tasks wait for the cap of their tenant, as of the last round.
	waitsForCap bool
}

func (s *stage) complete() bool { return s.done == len(s.tasks) }

// job is the state of a job that has not ended.
type job struct {
	*cranjob.Job
	queue *Queue
	state cranjob.State
	// stages are sorted by occurrence and step.
	stages    []*stage
	tasks     []*task
	cancelled bool
	// beyond is set if the job is beyond the entitlement of its tenant. It never changes.
	beyond bool
	// round is the last one in which the survey has put the job in order.
	round uint64
	// placedBefore is set once a task of the job has been placed.
	placedBefore bool
	// timing is set once this owner has placed a task of the job, if the job has no times.
	timing *JobTiming
	// dirty is set while the job has progress to be stored with the next batch.
	dirty bool
	// hasCrashes is set once a target has crashed under a task of the job, and crashesDirty while
	// the crash counts are to be stored with the next batch.
	hasCrashes, crashesDirty bool
	// survivors counts the suspected tasks that have outlived a start apart from others since the
	// last one that has not.
	survivors int
	// criticalPathMs holds for each step the expected time of the longest path of dependent steps that
	// begins with it, with the time of orders and reports; durationMs holds the expected duration of one
	// of its tasks.
	criticalPathMs, durationMs []float64
	// longestMs holds the expected duration of the longest task of each step, and endsWithinMs the time within
	// which nine of ten of its tasks end; 0 if that isn't predicted.
	longestMs, endsWithinMs []float64
	// upper holds what follows if the job is longer than most; nil if the spread isn't predicted.
	upper *upperEstimates
	// classes and finished are what the run times of each step are predicted from; nil until they are first.
	classes  []cranpredict.Class
	finished []cranpredict.Siblings
	// expected holds what was last predicted for a run of each step; nil if nothing was.
	expected []cranpredict.Expectation
	// workMs is the length of the longest path of the job, as the work alone, from which its soft deadline
	// follows. For steps that are complete, measuredMs, the longest duration of a task, counts.
	workMs     float64
	measuredMs []float64
	// estimatedAt is when these were computed; 0 if they are out of date.
	estimatedAt time.Duration
	waiting     int
	done        int
	// waitsSince is the time since which a stage has been ready while no task was placed.
	waitsSince time.Duration
	// givenUp is set while the pool is too small for all jobs to be in time and this one gets room after those
	// that are to be.
	givenUp bool
	endedMs int64
}

// newJob creates the tasks of a submission and restores their progress, if any.
func newJob(submission *cranjob.Job, progress *cranjob.Progress) *job {
	j := &job{Job: submission}
	if progress != nil {
		j.state = progress.State
		j.endedMs = progress.EndedMs
		j.placedBefore = true
	}
	for k := range submission.Occurrences() {
		for i := range submission.Steps {
			s := &stage{name: StepName{submission.ID, k, i}, step: &submission.Steps[i]}
			for index := range s.step.Count {
				t := &task{job: j, step: s.step, name: cranjob.TaskName{Job: submission.ID, Occurrence: k, Step: i, Index: index}}
				if n := len(j.tasks); progress != nil && n < len(progress.Tasks) {
					t.Task = progress.Tasks[n]
				}
				switch t.Status {
				case cranjob.Done:
					s.done++
					j.done++
				case cranjob.Waiting:
					s.waiting++
					j.waiting++
				}
				s.tasks = append(s.tasks, t)
				j.tasks = append(j.tasks, t)
			}
			j.stages = append(j.stages, s)
		}
	}
	return j
}

// updateEstimates recomputes the expected durations and paths of the job with the predictor of its queue.
func (j *job) updateEstimates(p *predictor, now time.Duration) {
	j.estimate(now, func(i int) {
		j.durationMs[i] = p.predict(j.Steps[i].EstimateMs)
		j.longestMs[i] = j.durationMs[i] * longestTaskFactor(j.Steps[i].Count)
	})
}

// estimate recomputes the paths of the job from the expected durations, which predict sets for a step, unless that
// was done a short time ago. It reports whether it did.
func (j *job) estimate(now time.Duration, predict func(step int)) bool {
	if j.estimatedAt != 0 && now-j.estimatedAt < estimateInterval {
		return false
	}
	j.estimatedAt = now
	if j.criticalPathMs == nil {
		j.criticalPathMs, j.durationMs = make([]float64, len(j.Steps)), make([]float64, len(j.Steps))
		j.measuredMs = make([]float64, len(j.Steps))
		j.longestMs, j.endsWithinMs = make([]float64, len(j.Steps)), make([]float64, len(j.Steps))
	}
	for i := range j.Steps {
		predict(i)
	}
	j.workMs = j.addPaths(j.longestMs, j.criticalPathMs)
	return true
}

// addPaths computes the critical paths of the steps from the durations of their longest tasks, and returns the
// length of the longest path of the job, as the work alone.
func (j *job) addPaths(longest, criticalPathMs []float64) (longestMs float64) {
	workMs := make([]float64, len(j.Steps))
	for i, longestMs := range longest {
		criticalPathMs[i] = longestMs + float64(storeTime.Milliseconds())
		if j.Times == 0 && j.measuredMs[i] > 0 && j.stages[i].complete() {
			longestMs = j.measuredMs[i]
		}
		workMs[i] = max(longestMs-float64(reportTime.Milliseconds()), 0)
	}
	j.addDependentSteps(criticalPathMs)
	j.addDependentSteps(workMs)
	for _, pathMs := range workMs {
		longestMs = max(longestMs, pathMs)
	}
	return longestMs
}

// addDependentSteps adds to the length of each step that of the longest path of steps that depend on it.
func (j *job) addDependentSteps(lengthMs []float64) {
	longestAfter := make([]float64, len(lengthMs))
	for i := len(lengthMs) - 1; i >= 0; i-- {
		lengthMs[i] += longestAfter[i]
		for _, dependency := range j.Steps[i].After {
			longestAfter[dependency] = max(longestAfter[dependency], lengthMs[i])
		}
	}
}

// recordDuration records how long a task has taken, as the objective of its job follows from it.
func (j *job) recordDuration(t *task, durationMs float64) {
	if j.measuredMs != nil {
		j.measuredMs[t.name.Step] = max(j.measuredMs[t.name.Step], durationMs)
		j.estimatedAt = 0
	}
	if j.finished != nil {
		j.finished[t.name.Step].Add(durationMs)
	}
}

func (j *job) stageOf(t *task) *stage {
	return j.stages[t.name.Occurrence*len(j.Steps)+t.name.Step]
}

// ready reports whether a stage is due and all steps that it depends on are complete.
func (j *job) ready(s *stage, unixMs int64) bool {
	if unixMs < j.DueMs(s.name.Occurrence) {
		return false
	}
	firstStage := s.name.Occurrence * len(j.Steps)
	for _, dependency := range s.step.After {
		if !j.stages[firstStage+dependency].complete() {
			return false
		}
	}
	return true
}

// setStatus changes the status of a task and updates the counts.
func (j *job) setStatus(t *task, status cranjob.Status) {
	if t.Status == status {
		return
	}
	s := j.stageOf(t)
	switch t.Status {
	case cranjob.Waiting:
		s.waiting--
		j.waiting--
	case cranjob.Done:
		s.done--
		j.done--
	}
	switch status {
	case cranjob.Waiting:
		s.waiting++
		j.waiting++
		t.Target = ""
		t.run = nil
	case cranjob.Done:
		s.done++
		j.done++
		t.Target = ""
		t.run = nil
		t.Checkpoint = ""
	}
	t.Status = status
}

// progress returns the record of the job's progress. A finished job keeps only its state,
// the time of its end and the run numbers of its tasks.
func (j *job) progress() cranjob.Progress {
	p := cranjob.Progress{State: j.state, EndedMs: j.endedMs}
	if j.state.Final() {
		for _, t := range j.tasks {
			p.Runs = append(p.Runs, t.Run)
		}
		return p
	}
	p.Tasks = make([]cranjob.Task, len(j.tasks))
	for i, t := range j.tasks {
		p.Tasks[i] = t.Task
	}
	return p
}
