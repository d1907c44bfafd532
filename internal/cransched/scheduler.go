package cransched

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// Scheduler decides for all pools. It isn't safe for concurrent use.
type Scheduler struct {
	token  uint64
	timing Timing
	config *Config
	clock  Clock
	// book is read only; whoever owns the scheduler writes it in between.
	book    *cranjob.Book
	jobs    map[string]*job
	targets map[string]*target
	// sorted holds the targets in order of id.
	sorted []*target
	// cancelled holds the cancellations of jobs that aren't known yet.
	cancelled map[string]bool
	// predictors are by queue.
	predictors map[string]*predictor
	fleet      fleet
	// starved pools have a lasting task that finds no room on any target.
	starved map[string]bool
	// advised tells when a stage may ask for advice again.
	advised map[StepName]time.Duration
	// surges are by pool.
	surges  map[string]*surge
	effects []Effect
	// gated effects wait for what was decided before them to be stored.
	gated []Effect
	// records are stored with the next batch besides the dirty jobs.
	records []cranstore.Record
	dirty   []*job
	// inFlight is the batch that is being stored.
	inFlight *batch
	former   Predecessor
}

// Former is what a new owner knows of the earlier one.
type Predecessor struct {
	// Until is when it has stopped at the latest.
	StoppedBy time.Duration
	// OrderAt is when its newest order for each instance was read.
	LastOrderAt map[string]time.Duration
}

// batch is what one append carries.
type batch struct {
	released []Effect
	observed map[*target]int64
}

// New returns the scheduler of a new owner, whose claim has the epoch token.
// The book must hold everything that lies before the claim.
func New(token uint64, timing Timing, config *Config, book *cranjob.Book, c Clock, former Predecessor) *Scheduler {
	s := &Scheduler{
		token: token, timing: timing, config: config, clock: c, book: book,
		jobs: map[string]*job{}, targets: map[string]*target{}, cancelled: map[string]bool{},
		predictors: map[string]*predictor{}, surges: map[string]*surge{},
		starved: map[string]bool{}, advised: map[StepName]time.Duration{},
		former: former,
	}
	s.fleet = s.newFleet(book.Orders())
	for queue, d := range book.Durations() {
		s.predictors[queue] = &predictor{Durations: d, stored: d.N}
	}
	for _, id := range slices.Sorted(maps.Keys(book.Jobs())) {
		e := book.Jobs()[id]
		if e.Job() == nil {
			s.cancelled[id] = e.Cancelled()
			continue
		}
		s.recall(e.Job())
		if p := e.Progress(); p != nil && p.State.Final() {
			continue
		}
		s.adopt(e)
	}
	return s
}

// adopt takes over a job with the runs that may exist.
func (s *Scheduler) adopt(e *cranjob.Entry) {
	j := newJob(e.Job(), e.Progress())
	j.queue = s.queue(j.Queue)
	s.jobs[j.ID] = j
	for _, t := range j.tasks {
		if t.Status != cranjob.Placed {
			continue
		}
		home := s.targets[t.Target]
		if home == nil {
			home = newTarget(TargetInfo{ID: t.Target, Pool: j.Pool}, s.clock.Steady, s.lapseBound())
			home.listed = false
			home.unlistedAt = s.clock.Steady
			s.addTarget(home)
		}
		t.run = &run{name: t.name, number: t.Run, room: t.step.Room(), phase: unproved, task: t, step: t.step, pace: fullPace}
		home.add(t.run)
	}
	if e.Cancelled() {
		s.cancelJob(j)
	}
	s.settle(j)
}

// lapseBound returns when every lease of earlier owners has ended.
func (s *Scheduler) lapseBound() time.Duration {
	lease := time.Duration(float64(s.lease()) / (1 - clockDrift))
	return s.former.StoppedBy + lease + lapseMargin
}

func (s *Scheduler) lease() time.Duration {
	return time.Duration(leaseShare * float64(s.timing.MaxLease))
}

func (s *Scheduler) queue(name string) *Queue {
	if s.config == nil {
		return nil
	}
	return s.config.Queues[name]
}

// Advance sets the time of the events that follow.
func (s *Scheduler) Advance(c Clock) { s.clock = c }

// SetConfig takes over a newer configuration. Jobs of a queue that it no
// longer names keep the queue's last settings.
func (s *Scheduler) SetConfig(c *Config) {
	if s.config != nil && c.Version <= s.config.Version {
		return
	}
	s.config = c
	for _, j := range s.jobs {
		if q := s.queue(j.Queue); q != nil {
			j.queue = q
		}
	}
}

// AddJob takes in an accepted job.
func (s *Scheduler) AddJob(submission *cranjob.Job) {
	if s.jobs[submission.ID] != nil {
		return
	}
	j := newJob(submission, nil)
	j.queue = s.queue(j.Queue)
	s.jobs[j.ID] = j
	if s.cancelled[j.ID] {
		s.cancelJob(j)
		return
	}
	s.arrived(j, 0)
}

// CancelJob takes in the cancellation of a job.
func (s *Scheduler) CancelJob(id string) {
	if j := s.jobs[id]; j != nil {
		s.cancelJob(j)
		return
	}
	s.cancelled[id] = true
}

func (s *Scheduler) cancelJob(j *job) {
	if j.cancelled || j.state.Final() {
		return
	}
	j.cancelled = true
	s.endJob(j, cranjob.Cancelled, "cancelled")
}

// endJob ends a job and stops what still runs of it.
func (s *Scheduler) endJob(j *job, state cranjob.State, reason string) {
	j.state = state
	j.endedMs = s.clock.UnixMs
	s.mark(j)
	// Nobody needs the specification any more, and newcomers read every job.
	trimmed := *j.Job
	trimmed.Spec = ""
	s.gate(TrimSubmission{cranstore.Record{Key: cranjob.SubmissionKey(j.ID), Value: cranjob.Encode(trimmed)}})
	s.gate(LogEntry{Kind: LogJobEnded, Job: j.ID, State: state, Reason: state.String() + ": " + reason})
	for _, t := range j.tasks {
		s.detach(t, reason)
	}
	for _, st := range j.stages {
		delete(s.advised, st.name)
	}
	delete(s.jobs, j.ID)
}

// detach has the newest run of a task stopped and forgets it. The run keeps
// its room at the target until it has ended.
func (s *Scheduler) detach(t *task, reason string) {
	r := t.run
	if r == nil {
		return
	}
	if home := s.targets[t.Target]; home != nil {
		s.stopRun(home, r, reason)
	}
	r.task = nil
	t.run = nil
}

// mark has the job's progress stored with the next batch.
func (s *Scheduler) mark(j *job) {
	if !j.listed {
		j.listed = true
		s.dirty = append(s.dirty, j)
	}
}

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

// gate emits an effect once everything decided so far is stored.
func (s *Scheduler) gate(e Effect) { s.gated = append(s.gated, e) }

// Effects returns and forgets what is to be done now.
func (s *Scheduler) Effects() []Effect {
	effects := s.effects
	s.effects = nil
	return effects
}

// NextBatch returns the records to store, and whether there are any. Until
// [Scheduler.Stored] is called it returns none.
func (s *Scheduler) NextBatch() ([]cranstore.Record, bool) {
	if s.inFlight != nil {
		return nil, false
	}
	observed := map[*target]int64{}
	for _, t := range s.targets {
		if n := t.acknowledged(); n > t.stored {
			observed[t] = n
		}
	}
	if len(s.dirty) == 0 && len(s.records) == 0 && len(s.gated) == 0 && len(observed) == 0 {
		return nil, false
	}
	records := s.records
	for _, j := range s.dirty {
		j.listed = false
		records = append(records, cranstore.Record{Key: cranjob.ProgressKey(j.ID), Value: cranjob.Encode(j.progress())})
	}
	s.inFlight = &batch{released: s.gated, observed: observed}
	s.dirty, s.records, s.gated = nil, nil, nil
	return records, true
}

// Stored releases what waited for the batch.
func (s *Scheduler) ConfirmBatch() {
	b := s.inFlight
	if b == nil {
		return
	}
	s.inFlight = nil
	for _, e := range b.released {
		if start, isStart := e.(StartRun); isStart {
			s.releaseStart(start)
			continue
		}
		s.emit(e)
	}
	for t, number := range b.observed {
		t.stored = number
	}
}

// releaseStart sends a stored start unless its run was given up meanwhile.
func (s *Scheduler) releaseStart(e StartRun) {
	t := s.targets[e.Target.ID]
	if t == nil {
		return
	}
	r := t.runs[runName{e.Task, e.Run}]
	if r == nil || r.phase != planned {
		return
	}
	r.phase = ordered
	r.startedAt = s.clock.Steady
	e.DeadlineMs = s.grant(t)
	s.emit(e)
}

// grant returns the deadline, on the target's clock, of a lease from now on.
func (s *Scheduler) grant(t *target) int64 {
	if t.clockAt == 0 {
		return 0
	}
	deadline := t.clock(s.clock.Steady) + s.lease().Milliseconds()
	t.leaseMs = max(t.leaseMs, deadline)
	return deadline
}

// addTarget takes in a target. They are kept in order of id, so that equal
// events lead to equal effects.
func (s *Scheduler) addTarget(t *target) {
	s.targets[t.info.ID] = t
	at, _ := slices.BinarySearchFunc(s.sorted, t.info.ID, compareTarget)
	s.sorted = slices.Insert(s.sorted, at, t)
}

func (s *Scheduler) dropTarget(t *target) {
	delete(s.targets, t.info.ID)
	if at, found := slices.BinarySearchFunc(s.sorted, t.info.ID, compareTarget); found {
		s.sorted = slices.Delete(s.sorted, at, at+1)
	}
}

func compareTarget(t *target, id string) int { return strings.Compare(t.info.ID, id) }

// settle completes a job whose tasks have all succeeded, and tells apart the
// jobs that wait from those that run.
func (s *Scheduler) settle(j *job) {
	if j.state.Final() {
		return
	}
	if j.done == len(j.tasks) {
		s.endJob(j, cranjob.Completed, "all tasks have succeeded")
	}
}

// Jobs returns the number of jobs that have not ended.
func (s *Scheduler) JobCount() int { return len(s.jobs) }
