package cransched

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranpredict"
)

// phase is the state of a run as far as its owner knows it.
type phase uint8

const (
	// planned means that the run is placed, but not stored yet.
	planned phase = iota
	// startSent means that the run is stored and its start was sent.
	startSent
	// startUnanswered means that the start got no response. The next report shows whether
	// the run is present.
	startUnanswered
	// confirmed means that the target has confirmed the run.
	confirmed
	// stopping means that the run is to be stopped. The target may not have received its
	// start yet.
	stopping
	// unverified means that a predecessor stored the run and the target has not reported
	// to this owner yet.
	unverified
)

// run is a run of a task that is or may be on a target. It occupies its reserved resources
// until its end is reported or certain.
type run struct {
	name     cranjob.TaskName
	number   int
	reserved cranjob.Resources
	phase    phase
	// task is nil for a run that belongs to no task any more or that is unknown.
	task *task
	step *cranjob.Step
	// tenant is that of the job; empty if the job is of none or unknown.
	tenant string
	// startConfirmed is set once the start has succeeded or a report has listed the run. Only a report
	// or a response that names its process shows in which process it runs: inCurrentProcess is set then.
	startConfirmed, inCurrentProcess bool
	// answeredInTime is set if the clock reading of the response to the start fits the target's process.
	// That is evidence, but no proof.
	answeredInTime bool
	// awaitsReport is set if the target has restarted since the start was confirmed, by either of the
	// two processes. The next report shows whether the new one has the run.
	awaitsReport bool
	// answeredAt is when the start, or later the stop, was answered; 0 before.
	answeredAt time.Duration
	startedAt  time.Duration
	// expected is what was predicted for the run when it was placed.
	expected cranpredict.Expectation
	// presentSince is when the run was first known to be present; 0 before. survived is set once
	// it has outlived its start.
	presentSince time.Duration
	survived     bool
	// apart is set if the task was suspected when the run started.
	apart bool
	// inherited is set for runs that an earlier owner started, resumed for runs that
	// continue from a checkpoint.
	inherited, resumed bool
	// nextStopAt is when the stop is sent next.
	nextStopAt time.Duration
	stopReason string
	// stopSettled is set once the target has answered the stop and a later report has shown that it is still the
	// same process. At most the end of the run is to be reported then.
	stopSettled bool
	progress    int
	gauge       int
	// share is the share of its CPU demand, in percent, that a best-effort task may use. It
	// stays below shareCeiling until ceilingUntil.
	share        int
	shareCeiling int
	ceilingUntil time.Duration
	// missedReports counts the consecutive reports without a confirmed run.
	missedReports int
}

// target is the state of one target, identified by its id.
type target struct {
	// info is what the target's entry says. An entry may be of another writer, so it doesn't
	// prove that the target has started at ProcessStartMs.
	info TargetInfo
	// processStartMs is the start time of the process that has responded, in Unix milliseconds,
	// and answeredAddress the address at which its last heartbeat was answered; zero before.
	processStartMs  int64
	answeredAddress string
	// unverified is the newest entry that differs from what the target is known to be. Since
	// unverifiedSince it tells of a restart that no response shows; 0 if it doesn't.
	unverified      TargetInfo
	unverifiedSince time.Duration
	// restartSuspectedSince is when a response has shown by its clock reading that the target has
	// restarted; 0 if none has since the last report.
	restartSuspectedSince time.Duration
	// listed is cleared once the target has been missing from the store's list for
	// unlistedTimeout.
	listed bool
	// unlistedAt is when the target was first missing from the list; 0 while it is listed.
	unlistedAt time.Duration
	// addedAt is when this owner first knew the target.
	addedAt time.Duration
	// ended is set once the target no longer exists: its instance was moved or is down, or
	// another target has its address. The store may still list it for a while.
	ended bool
	// endedAddress is the address that the target had then.
	endedAddress string
	// fenced is set once the target has answered a heartbeat with this owner's token.
	fenced bool
	// awaitsResponseSince is when the target may have ended. Only the response to a heartbeat that
	// was sent later shows that it has not.
	awaitsResponseSince time.Duration
	// superseded is set once the target has seen a higher token than this owner's.
	superseded bool
	// lastResponseAt is when the newest response arrived. stateAsOf is the latest send
	// time of an answered call: the known state of the target is at least that recent.
	lastResponseAt, stateAsOf time.Duration
	// clockMs is a lower bound of the target's clock at clockAt, the time at which the
	// response with this reading arrived. clockAt is 0 before the first reading.
	clockMs int64
	clockAt time.Duration
	// leaseEndMs is the latest lease deadline, on the target's clock, in any call.
	leaseEndMs int64
	// earlierLeasesEndAt is when all leases granted by predecessors have expired.
	earlierLeasesEndAt time.Duration
	// endsSeen is the highest number of an end that was handled, endsStored the highest
	// number of an end that is stored.
	endsSeen, endsStored int64
	// firstListedEnd is the lowest number of an end in the last report; 0 if it lists none.
	firstListedEnd int64
	// hasUnlistedEnds is set if the last report may not have listed all ends. Nothing starts on the target then, so that
	// no start under way delays the acknowledgement after which the others are listed.
	hasUnlistedEnds bool
	// restarts counts the restarts of the target under its id.
	restarts int
	runs     map[runName]*run
	used     cranjob.Resources
	// heartbeatInFlight is set while a heartbeat that was sent at heartbeatSentAt is
	// unanswered. The next one is due at nextHeartbeatAt.
	heartbeatInFlight                bool
	heartbeatSentAt, nextHeartbeatAt time.Duration
	// heartbeatsUnderWay counts the heartbeats whose call isn't over. The newest of them that acknowledges ends
	// arrives by acknowledgementArrivesBy; 0 if none does.
	heartbeatsUnderWay       int
	acknowledgementArrivesBy time.Duration
	// heartbeatWait is how long the target may delay the response to the last heartbeat.
	heartbeatWait time.Duration
	// unansweredBy is when the first heartbeat since the last response should have been answered; 0
	// if none is missing.
	unansweredBy time.Duration
	// heartbeatFailed is set if the last heartbeat got no response or an error.
	heartbeatFailed bool
	// awaitsStore is set if the next heartbeat waits until the seen ends are stored.
	awaitsStore bool
	// cordoned is set while no new tasks may be placed on the target, because its instance
	// is to be maintained or moved.
	cordoned bool
	// reserved is set while the target takes no other new tasks than a suspected one.
	reserved bool
	// retiring is set while the target takes no new tasks, because another pool lacks instances and its
	// own has more than it needs.
	retiring bool
	// leaving is set while the instance is due for maintenance. Long-running tasks are placed
	// elsewhere as far as possible, since they would have to be stopped again.
	leaving bool
	// evacuatesAt is the earliest time at which a leaving target is expected to be evacuated.
	evacuatesAt time.Duration
	// shareChangedAt is when the share of a best-effort task was last changed.
	shareChangedAt time.Duration
	// noStartsBefore is the earliest time of the next start, after a refused one or a restart.
	noStartsBefore time.Duration
	// unresponsive is set while a fenced target is overdue, and suspended while no lease may be
	// granted to the target, both as of the last Tick.
	unresponsive, suspended bool
	health                  health
	tickets                 map[StepName]ticket
	// denied holds the steps that the target's process may not run by the policy of their queue.
	denied map[StepName]bool
}

type runName struct {
	task   cranjob.TaskName
	number int
}

type ticket struct {
	text      string
	expiresAt time.Duration
}

// newTarget returns a target that counts as overdue until its first response.
func newTarget(info TargetInfo, now, earlierLeasesEndAt time.Duration) *target {
	return &target{info: info, listed: true, earlierLeasesEndAt: earlierLeasesEndAt, lastResponseAt: now - time.Hour, runs: map[runName]*run{}}
}

func (t *target) address() TargetRef { return TargetRef{ID: t.info.ID, Address: t.info.Address} }

func (t *target) add(r *run) {
	t.runs[runName{r.name, r.number}] = r
	t.used = t.used.Add(r.reserved)
}

func (t *target) remove(r *run) {
	key := runName{r.name, r.number}
	if t.runs[key] == r {
		delete(t.runs, key)
		t.used = t.used.Sub(r.reserved)
	}
}

// listsStoredEnd reports whether the last report lists an end that is stored. Otherwise the target has nothing
// to forget.
func (t *target) listsStoredEnd() bool {
	return t.firstListedEnd > 0 && t.firstListedEnd <= t.endsStored
}

func (t *target) free() cranjob.Resources { return t.info.Capacity.Sub(t.used) }

// minClockMs returns a lower bound of the target's clock. A response may be older than its
// arrival suggests, since the target may wait between reading its clock and responding.
func (t *target) minClockMs(now time.Duration) int64 {
	return t.clockMs + int64(float64((now-t.clockAt).Milliseconds())*(1-maxClockDrift))
}

// recordResponse records the time of a response and its clock reading. The reading of a response that
// doesn't name its process may be of another one, whose clock began at another time.
func (t *target) recordResponse(resp Response, now time.Duration) {
	isOfProcess := resp.ProcessStartMs != 0 || t.processStartMs == 0
	if isOfProcess && resp.ClockMs > 0 && (t.clockAt == 0 || resp.ClockMs >= t.minClockMs(now)) {
		t.clockMs, t.clockAt = resp.ClockMs, now
	}
	t.lastResponseAt = now
	t.stateAsOf = max(t.stateAsOf, resp.SentAt)
}

// isFromRestarted reports whether a response is from a later process, since its clock reading is lower than
// that of the known process was when the call was sent. The response may be older than the newest reading.
func (t *target) isFromRestarted(resp Response) bool {
	if resp.ClockMs <= 0 || t.clockAt == 0 {
		return false
	}
	if age := t.clockAt - resp.SentAt; age > 0 {
		// A slow clock has advanced less since then; the readings are rounded down.
		return resp.ClockMs < t.clockMs-age.Milliseconds()-2
	}
	return resp.ClockMs < t.minClockMs(resp.SentAt)
}

// mayHaveRestarted reports whether the target is about to tell whether it has restarted. Until then it gets
// no lease, since its clock may have begun anew, and no end is acknowledged, since the numbers may have.
func (t *target) mayHaveRestarted() bool {
	return t.unverifiedSince != 0 || t.restartSuspectedSince != 0
}

// awaitResponse makes the target unavailable for new tasks until it has responded again.
func (t *target) awaitResponse(now time.Duration) {
	t.fenced = false
	t.awaitsResponseSince = now
	t.advanceHeartbeat(now)
}

// leasesExpired reports whether all leases of the target have expired with certainty, so
// that all its runs have ended.
func (t *target) leasesExpired(now time.Duration) bool {
	if now < t.earlierLeasesEndAt {
		return false
	}
	if t.clockAt == 0 {
		return true
	}
	return t.minClockMs(now) > t.leaseEndMs+leaseExpiryMargin.Milliseconds()
}

// schedulable reports whether new tasks may be placed on the target.
func (t *target) schedulable(now time.Duration) bool {
	return t.listed && t.fenced && !t.hasUnlistedEnds && !t.superseded && !t.cordoned && !t.retiring && !t.info.Draining && !t.unresponsive && !t.suspended &&
		!t.mayHaveRestarted() && t.describesProcess() && !t.overdue(now) && now >= t.noStartsBefore && !t.health.suspended(now)
}

// describesProcess reports whether the target's entry may be of the process that responds. An
// earlier one may have had another capacity.
func (t *target) describesProcess() bool {
	return t.processStartMs == 0 || t.info.ProcessStartMs == 0 || t.info.ProcessStartMs == t.processStartMs
}

// knownStartMs returns the start time of the target's process, by its entry if no response has told
// it.
func (t *target) knownStartMs() int64 { return cmp.Or(t.processStartMs, t.info.ProcessStartMs) }

// overdue reports whether the target hasn't responded for responseTimeout.
func (t *target) overdue(now time.Duration) bool { return now-t.lastResponseAt > responseTimeout }

func (t *target) hasLabel(label string) bool { return slices.Contains(t.info.Labels, label) }

// rack returns the label of the target's rack, which is the last label.
func (t *target) rack() string {
	if len(t.info.Labels) == 0 {
		return ""
	}
	return t.info.Labels[len(t.info.Labels)-1]
}

// longRunningResources returns the resources reserved for long-running tasks on the target.
func (t *target) longRunningResources() cranjob.Resources {
	var sum cranjob.Resources
	for _, r := range t.runs {
		if r.step != nil && r.step.LongRunning {
			sum = sum.Add(r.reserved)
		}
	}
	return sum
}

// countRuns counts the runs of a step on the target.
func (t *target) countRuns(name StepName) int {
	n := 0
	for key := range t.runs {
		if key.task.Job == name.Job && key.task.Occurrence == name.Occurrence && key.task.Step == name.Step {
			n++
		}
	}
	return n
}
