package cransched

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranpool"
	"github.com/cranberrypick/cranberrypick/internal/cranpredict"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// Scheduler holds the scheduling state of a shard, that is, of a part of every pool. It isn't safe for concurrent use.
type Scheduler struct {
	token  uint64
	timing Timing
	config *Config
	clock  Clock
	// stored is the state applied from the log. The scheduler only reads it; its caller
	// updates it between calls.
	stored  *cranjob.Replica
	jobs    map[string]*job
	survey  survey
	targets map[string]*target
	// sorted holds the targets sorted by id.
	sorted []*target
	// cancelled holds the ids of cancelled jobs whose submission isn't known yet.
	cancelled map[string]bool
	// predictors are keyed by queue.
	predictors map[string]*predictor
	// runTimes predicts run times; nil if the predictors are to.
	runTimes *cranpredict.Model
	// runTimesReportedAt is when its calibration was last reported.
	runTimesReportedAt time.Duration
	fleet              fleet
	// starved marks the pools with a waiting long-running task that fits on none of their
	// targets, or with any other task that fits on none even when that is idle.
	starved map[string]bool
	// tickets bounds the requests to the advice service.
	tickets ticketPacer
	// arrivals are keyed by pool.
	arrivals map[string]*cranpool.Arrivals
	// calendar learns when the peaks of the pools come.
	calendar *cranpool.Calendar
	effects  []Effect
	// awaitingStore holds effects to emit once the decisions before them are stored.
	awaitingStore []Effect
	// pendingRecords are stored with the next batch, in addition to the progress of the
	// dirty jobs.
	pendingRecords []cranstore.Record
	dirty          []*job
	// inFlight is the batch that is being stored, or nil.
	inFlight    *batch
	suspensions suspensions
	predecessor Predecessor
	// losses holds what was lost with a target that had fallen silent, by instance.
	losses       map[string]loss
	crashHistory crashHistory
	verdicts     []verdict
	startsPaced  startPacer
	// startsLimited is set if the limit on starts under way ended the last round.
	startsLimited bool
	// backlogs hold, by pool, the waiting tasks of the last round; limitedRounds counts the rounds since the
	// last report that ended at the limit on starts under way.
	backlogs      map[string]backlog
	limitedRounds int
	// nextOrderAt is when the jobs that are to be served in time are selected next.
	nextOrderAt time.Duration
	// poolsReportedAt is when the status of the pools was last reported.
	poolsReportedAt time.Duration
	// startsUntil is the deadline for starts, set by SetStartsUntil.
	startsUntil time.Duration
	// lag is how late the owner's process handles what has arrived.
	lag       time.Duration
	admission admission
	// createdAt is when this owner took over.
	createdAt time.Duration
	// fairness is nil if all jobs are within the entitlement of their tenants.
	fairness Fairness
	// instanceCapacity holds the capacity of an instance of each pool.
	instanceCapacity map[string]cranjob.Resources
	quotaState
}

// Predecessor is what a new owner knows about the previous owner.
type Predecessor struct {
	// StoppedBy is the time by which it has stopped sending orders.
	StoppedBy time.Duration
	// LastOrderAt is the time at which its newest order for each instance was read from the
	// log.
	LastOrderAt map[string]time.Duration
	// SameInstance is set if it was an earlier process of the same entry instance. The platform
	// takes both for one holder of the instances, so orders need not be spaced.
	SameInstance bool
	// LeasesEndAt holds the targets to which it has granted no lease since it published them
	// as silent, and the time by which their leases have expired.
	LeasesEndAt map[string]time.Duration
}

// New returns the scheduler of a new owner. The token is the epoch of the owner's claim.
// The stored state must include every record that precedes the claim.
func New(token uint64, timing Timing, config *Config, stored *cranjob.Replica, now Clock, predecessor Predecessor, opts ...Option) *Scheduler {
	s := &Scheduler{
		token: token, timing: timing, config: config, clock: now, stored: stored,
		jobs: map[string]*job{}, targets: map[string]*target{}, cancelled: map[string]bool{},
		predictors: map[string]*predictor{}, arrivals: map[string]*cranpool.Arrivals{}, backlogs: map[string]backlog{},
		calendar: cranpool.NewCalendar(now.Steady),
		survey:   survey{surveyedAtOnce: defaultSurveyedAtOnce}, losses: map[string]loss{}, starved: map[string]bool{}, tickets: newTicketPacer(),
		suspensions: newSuspensions(predecessor.LeasesEndAt),
		predecessor: predecessor, createdAt: now.Steady, startsUntil: math.MaxInt64, instanceCapacity: map[string]cranjob.Resources{},
	}
	for _, o := range opts {
		o(s)
	}
	s.setTenants()
	beyond := s.classifyStored()
	s.fleet = s.newFleet(stored.Orders())
	for queue, d := range stored.Durations() {
		s.predictors[queue] = &predictor{Durations: d, storedCount: d.N}
	}
	s.restoreRunTimes()
	for _, id := range slices.Sorted(maps.Keys(stored.Jobs())) {
		e := stored.Jobs()[id]
		if e.Job() == nil {
			s.cancelled[id] = e.Cancelled()
			continue
		}
		if !beyond[id] {
			s.recordRecentArrival(e.Job())
		}
		if p := e.Progress(); p != nil && p.State.Final() {
			continue
		}
		s.restoreJob(e, beyond[id])
	}
	return s
}

// restoreJob restores a job and its runs that may exist on targets.
func (s *Scheduler) restoreJob(e *cranjob.TrackedJob, beyond bool) {
	j := newJob(e.Job(), e.Progress())
	j.beyond = beyond
	j.queue = s.queueConfig(j.Queue)
	j.restoreCrashes(e.Crashes())
	s.addJob(j)
	for _, t := range j.tasks {
		if t.Status != cranjob.Placed {
			continue
		}
		host := s.targets[t.Target]
		if host == nil {
			host = newTarget(TargetInfo{ID: t.Target, Pool: j.Pool}, s.clock.Steady, s.earlierLeaseEnd(t.Target))
			host.listed = false
			host.unlistedAt = s.clock.Steady
			s.addTarget(host)
		}
		t.run = &run{name: t.name, number: t.Run, reserved: t.step.Reservation(), phase: unverified, task: t, step: t.step, tenant: j.Tenant, share: fullShare}
		host.add(t.run)
	}
	if e.Cancelled() {
		s.cancelJob(j)
	}
	s.completeIfDone(j)
}

func (s *Scheduler) leaseDuration() time.Duration {
	return time.Duration(leaseShare * float64(s.timing.MaxLease))
}

func (s *Scheduler) queueConfig(name string) *Queue {
	if s.config == nil {
		return nil
	}
	return s.config.Queues[name]
}

// Advance sets the time for the events that follow.
func (s *Scheduler) Advance(c Clock) { s.clock = c }

// SetConfig applies a newer configuration. Jobs whose queue was removed keep the last
// configuration of the queue.
func (s *Scheduler) SetConfig(c *Config) {
	if s.config != nil && c.Version <= s.config.Version {
		return
	}
	s.config = c
	s.survey.due = true
	s.setTenants()
	for _, j := range s.jobs {
		if q := s.queueConfig(j.Queue); q != nil {
			j.queue = q
		}
	}
}

// AddJob adds an accepted job.
func (s *Scheduler) AddJob(submission *cranjob.Job) {
	if s.jobs[submission.ID] != nil {
		return
	}
	j := newJob(submission, nil)
	j.queue = s.queueConfig(j.Queue)
	j.beyond = s.isBeyond(submission)
	s.addJob(j)
	if s.cancelled[j.ID] {
		s.cancelJob(j)
		return
	}
	s.publish(j)
	if !j.beyond {
		s.recordArrival(j, 0)
	}
}

// CancelJob cancels a job, also one that has not been added yet.
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

// endJob ends a job and stops its remaining runs.
func (s *Scheduler) endJob(j *job, state cranjob.State, reason string) {
	j.state = state
	j.endedMs = s.clock.UnixMs
	s.publish(j)
	s.markDirty(j)
	// The specification isn't needed any more. Dropping it saves memory and time in
	// processes that start later and read every job.
	trimmed := *j.Job
	trimmed.Spec = ""
	s.emitOnceStored(TrimSubmission{Job: j.ID, Record: cranstore.Record{Key: cranjob.SubmissionKey(j.ID), Value: cranjob.Encode(trimmed)}})
	if j.timing != nil {
		s.updateEstimates(j)
		j.timing.EndMs, j.timing.ObjectiveMs = j.endedMs-j.ReceivedMs, s.softDeadlineMs(j, 0)-j.ReceivedMs
	}
	s.emitOnceStored(LogEntry{Kind: LogJobEnded, Job: j.ID, State: state, Reason: state.String() + ": " + reason, Timing: j.timing})
	for _, t := range j.tasks {
		s.abandonRun(t, reason)
	}
	s.forgetAdvice(j)
	delete(s.jobs, j.ID)
}

// abandonRun stops the newest run of a task and detaches it from the task. The run keeps
// its resources on the target until it has ended.
func (s *Scheduler) abandonRun(t *task, reason string) {
	r := t.run
	if r == nil {
		return
	}
	if host := s.targets[t.Target]; host != nil {
		s.stopRun(host, r, reason)
	}
	r.task = nil
	t.run = nil
}

// publish emits the state of a job.
func (s *Scheduler) publish(j *job) {
	s.emit(JobChanged{Job: j.ID, Queue: j.Queue, State: j.state})
}

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

// Effects returns the pending effects and clears them.
func (s *Scheduler) Effects() []Effect {
	effects := s.effects
	s.effects = nil
	return effects
}

// addTarget adds a target. Targets are sorted by id so that the effects are deterministic.
func (s *Scheduler) addTarget(t *target) {
	s.targets[t.info.ID] = t
	t.addedAt = s.clock.Steady
	at, _ := slices.BinarySearchFunc(s.sorted, t.info.ID, compareTarget)
	s.sorted = slices.Insert(s.sorted, at, t)
}

func (s *Scheduler) removeTarget(t *target) {
	delete(s.targets, t.info.ID)
	if at, found := slices.BinarySearchFunc(s.sorted, t.info.ID, compareTarget); found {
		s.sorted = slices.Delete(s.sorted, at, at+1)
	}
}

func compareTarget(t *target, id string) int { return strings.Compare(t.info.ID, id) }

// completeIfDone ends a job as completed once all its tasks are done.
func (s *Scheduler) completeIfDone(j *job) {
	if j.state.Final() {
		return
	}
	if j.done == len(j.tasks) {
		s.endJob(j, cranjob.Completed, "all tasks have succeeded")
	}
}

// WaitingTasks returns the number of tasks that could run and wait for a target.
func (s *Scheduler) WaitingTasks() int {
	count := 0
	for j := range s.openJobs() {
		if j.waiting == 0 {
			continue
		}
		for _, st := range j.stages {
			if st.waiting > 0 && j.ready(st, s.clock.UnixMs) {
				count += st.waiting
			}
		}
	}
	return count
}

// StartsUnderWay returns the number of starts that wait for the store or for a response.
func (s *Scheduler) StartsUnderWay() int { return s.startsPaced.planned + len(s.startsPaced.sentAt) }

// JobCount returns the number of jobs that have not ended.
func (s *Scheduler) JobCount() int { return len(s.jobs) }
