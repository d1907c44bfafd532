package cransched

import (
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// phase is where a run stands at its target.
type phase uint8

const (
	// planned runs are decided and not stored yet.
	planned phase = iota
	// ordered runs are stored; their order has left and isn't answered.
	startSent
	// doubtful runs have an order without an answer; the next report tells
	// whether they are present.
	startUnanswered
	// present runs were confirmed by the target.
	confirmed
	// stopping runs are to end; the target may not know them yet.
	stopping
	// unproved runs were stored by a predecessor; the target has not been
	// asked yet.
	unverified
)

// run is one run of a task that is, or may be, at a target. It occupies its
// room there until its end is listed or certain.
type run struct {
	name     cranjob.TaskName
	number   int
	reserved cranjob.Resources
	phase    phase
	// task is nil for a run that nothing is known of.
	task *task
	step *cranjob.Step
	// started is true once the start was answered, or the run was seen.
	startConfirmed bool
	// answeredAt is when the start, or the stop, was answered; 0 before.
	answeredAt time.Duration
	startedAt  time.Duration
	// inherited runs were started by an earlier owner, resumed ones from a
	// checkpoint.
	inherited, resumed bool
	// stopAt is when the stop is due, or due again.
	nextStopAt time.Duration
	stopReason string
	progress   int
	gauge      int
	// pace is the share of a filling task in percent; until a time it stays
	// below a ceiling.
	share         int
	shareCeiling  int
	ceilingUntil  time.Duration
	missedReports int
}

// target is one life of a target.
type target struct {
	info TargetInfo
	// listed is false once the store no longer names it.
	listed     bool
	unlistedAt time.Duration
	// left is true once the life has ended: its instance has moved or is down,
	// or another target has its address. The store may list it a while longer.
	ended bool
	// fenced is true once it has answered a hold with this owner's token.
	fenced bool
	// superseded is true once it has seen a higher token.
	superseded bool
	// heardAt is when it answered last, askedAt when the newest call left that
	// it answered: what it said is at least that new.
	lastResponseAt, stateAsOf time.Duration
	// clockMs is what its clock showed at the latest at clockAt, when the answer
	// that told it came in; clockAt is 0 before the first.
	clockMs int64
	clockAt time.Duration
	// leaseMs is the latest deadline, on its clock, that any call carried.
	leaseEndMs int64
	// lapseAt bounds the leases granted by predecessors.
	earlierLeasesEndAt time.Duration
	// seen is the highest number of an end that was processed, stored the
	// highest that is stored.
	endsSeen, endsStored int64
	// withheld is the number of an end that must not be acknowledged; 0 if
	// there is none.
	withheldEnd int64
	runs        map[runName]*run
	used        cranjob.Resources
	// holding is true while a hold is under way, sent at holdSent. The next
	// one is due at holdAt.
	heartbeatInFlight                bool
	heartbeatSentAt, nextHeartbeatAt time.Duration
	// unanswered is true after a hold without an answer.
	heartbeatUnanswered bool
	// awaitStore is true when the next hold waits for the ends to be stored.
	awaitsStore bool
	cordoned    bool
	// pacedAt is when the share of a filling task was changed last.
	shareChangedAt time.Duration
	noStartsBefore time.Duration
	unresponsive   bool
	health         health
	tickets        map[StepName]ticket
}

type runName struct {
	task   cranjob.TaskName
	number int
}

type ticket struct {
	text      string
	expiresAt time.Duration
}

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

// acknowledged returns the highest number of an end that may be acknowledged.
func (t *target) acknowledgeableEnd() int64 {
	if t.withheldEnd > 0 {
		return min(t.endsSeen, t.withheldEnd-1)
	}
	return t.endsSeen
}

func (t *target) free() cranjob.Resources { return t.info.Capacity.Sub(t.used) }

// clock returns the least that the target's clock shows. A call may wait at the
// target, which reads its clock when it answers.
func (t *target) minClockMs(now time.Duration) int64 {
	return t.clockMs + int64(float64((now-t.clockAt).Milliseconds())*(1-maxClockDrift))
}

// learn takes what an answer tells of the target's clock.
func (t *target) recordResponse(a Response, now time.Duration) {
	if a.ClockMs > 0 && (t.clockAt == 0 || a.ClockMs >= t.minClockMs(now)) {
		t.clockMs, t.clockAt = a.ClockMs, now
	}
	t.lastResponseAt = now
	t.stateAsOf = max(t.stateAsOf, a.SentAt)
}

// lapsed reports whether everything at the target has certainly ended because
// no lease was renewed.
func (t *target) leasesExpired(now time.Duration) bool {
	if now < t.earlierLeasesEndAt {
		return false
	}
	if t.clockAt == 0 {
		return true
	}
	return t.minClockMs(now) > t.leaseEndMs+leaseExpiryMargin.Milliseconds()
}

// usable reports whether the target may get new work.
func (t *target) schedulable(now time.Duration) bool {
	return t.listed && t.fenced && !t.superseded && !t.cordoned && !t.info.Draining && !t.unresponsive &&
		!t.responseOverdue(now) && now >= t.noStartsBefore && !t.health.suspended(now)
}

// silent reports whether an answer of the target is overdue.
func (t *target) responseOverdue(now time.Duration) bool {
	return now-t.lastResponseAt > responseTimeout
}

func (t *target) hasLabel(label string) bool { return slices.Contains(t.info.Labels, label) }

// rack returns the label of the target's rack, which comes last.
func (t *target) rack() string {
	if len(t.info.Labels) == 0 {
		return ""
	}
	return t.info.Labels[len(t.info.Labels)-1]
}

// lastingRoom returns what lasting tasks occupy at the target.
func (t *target) lastingResources() cranjob.Resources {
	var sum cranjob.Resources
	for _, r := range t.runs {
		if r.step != nil && r.step.Lasting {
			sum = sum.Add(r.reserved)
		}
	}
	return sum
}

// countStep counts the runs of one step on the target.
func (t *target) countRuns(name StepName) int {
	n := 0
	for key := range t.runs {
		if key.task.Job == name.Job && key.task.Occurrence == name.Occurrence && key.task.Step == name.Step {
			n++
		}
	}
	return n
}
