package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// task is one task while its job goes on.
type task struct {
	job  *job
	name cranjob.TaskName
	step *cranjob.Step
	cranjob.Task
	// run is the newest run while the task is placed.
	run *run
	// notBefore puts off the next run after a failure.
	notBefore time.Duration
}

// stage is one step of one occurrence.
type stage struct {
	name  StepName
	step  *cranjob.Step
	tasks []*task
	// done and waiting count its tasks.
	done, waiting int
}

func (s *stage) complete() bool { return s.done == len(s.tasks) }

// job is a job that has not ended.
type job struct {
	*cranjob.Job
	queue *Queue
	state cranjob.State
	// stages are in order of occurrence and step.
	stages    []*stage
	tasks     []*task
	cancelled bool
	// begun is true once a task was placed.
	placedBefore bool
	// listed jobs have progress that the next batch stores.
	dirty bool
	// chain holds, for each step, the expected milliseconds of the longest
	// chain of work from its beginning on; duration has those of one task.
	criticalPathMs, durationMs []float64
	estimatedAt                time.Duration
	waiting                    int
	done                       int
	endedMs                    int64
}

// newJob lays out the tasks of a submission and takes over its progress.
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

// estimate works out the job's chains of work by what was learned of its queue.
func (j *job) updateEstimates(p *predictor, now time.Duration) {
	if j.criticalPathMs != nil && now-j.estimatedAt < estimateInterval {
		return
	}
	j.estimatedAt = now
	steps := j.Steps
	if j.criticalPathMs == nil {
		j.criticalPathMs, j.durationMs = make([]float64, len(steps)), make([]float64, len(steps))
	}
	clear(j.criticalPathMs)
	for i := len(steps) - 1; i >= 0; i-- {
		j.durationMs[i] = p.predict(steps[i].EstimateMs)
		j.criticalPathMs[i] += j.durationMs[i] * longestTaskFactor(steps[i].Count)
		for _, earlier := range steps[i].After {
			j.criticalPathMs[earlier] = max(j.criticalPathMs[earlier], j.criticalPathMs[i])
		}
	}
}

func (j *job) stageOf(t *task) *stage {
	return j.stages[t.name.Occurrence*len(j.Steps)+t.name.Step]
}

// ready reports whether a stage's turn has come.
func (j *job) ready(s *stage, unixMs int64) bool {
	if unixMs < j.DueMs(s.name.Occurrence) {
		return false
	}
	base := s.name.Occurrence * len(j.Steps)
	for _, earlier := range s.step.After {
		if !j.stages[base+earlier].complete() {
			return false
		}
	}
	return true
}

// setStatus moves a task between statuses and keeps the counts.
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

// progress returns what is stored of the job.
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

// objective returns when an occurrence ought to be complete, in Unix
// milliseconds.
func (j *job) targetEndMs(occurrence int) int64 {
	longest := 0.0
	for _, c := range j.criticalPathMs {
		longest = max(longest, c)
	}
	startMs := max(j.ReceivedMs, j.DueMs(occurrence))
	if j.queue == nil {
		return startMs + int64(longest)
	}
	return startMs + int64(j.queue.Stretch*longest) + j.queue.LatencyTarget.Milliseconds()
}
