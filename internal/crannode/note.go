package crannode

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// entryEvents maps the kinds of the scheduler's log entries to log events.
var entryEvents = map[cransched.LogKind]cranevent.Event{
	cransched.LogRunPlaced:          cranevent.RunPlaced,
	cransched.LogStartUnanswered:    cranevent.RunUnanswered,
	cransched.LogStartRefused:       cranevent.RunRefused,
	cransched.LogRunEnded:           cranevent.RunEnded,
	cransched.LogRunStopped:         cranevent.RunStopped,
	cransched.LogUnknownRun:         cranevent.RunUnknown,
	cransched.LogRunReleased:        cranevent.RunReleased,
	cransched.LogEndSuperseded:      cranevent.EndSuperseded,
	cransched.LogEndsUnlisted:       cranevent.EndsUnlisted,
	cransched.LogTaskSuspected:      cranevent.TaskSuspected,
	cransched.LogTaskGivenUp:        cranevent.TaskGivenUp,
	cransched.LogTargetCrashed:      cranevent.TargetCrashed,
	cransched.LogLeaseExpired:       cranevent.TargetLeaseExpired,
	cransched.LogTargetRestarted:    cranevent.TargetRestarted,
	cransched.LogTargetGone:         cranevent.TargetGone,
	cransched.LogTargetUnresponsive: cranevent.TargetUnresponsive,
	cransched.LogTargetRecovered:    cranevent.TargetRecovered,
	cransched.LogTargetSuperseded:   cranevent.TargetSuperseded,
	cransched.LogJobEnded:           cranevent.JobEnded,
	cransched.LogTargetCordoned:     cranevent.TargetCordoned,
	cransched.LogMaintenanceOrdered: cranevent.MaintenanceOrdered,
	cransched.LogWaveChanged:        cranevent.WaveChanged,
	cransched.LogMoveOrdered:        cranevent.MoveOrdered,
	cransched.LogThrottleChanged:    cranevent.ThrottleChanged,
}

// logDecision logs a decision of the scheduler, for which all submissions stored up to readAge ago were
// known, and updates the metrics.
func (n *Node) logDecision(e cransched.LogEntry, readAge time.Duration) {
	switch e.Kind {
	case cransched.LogRunEnded:
		n.metrics.RunEnded(e.Reason)
	case cransched.LogJobEnded:
		n.metrics.Ended(e.State.String())
	case cransched.LogTargetCrashed:
		n.metrics.TargetCrashed()
	case cransched.LogTaskGivenUp:
		n.metrics.TaskGivenUp()
	case cransched.LogFirstStart:
		// The first start of a job is measured but not logged.
		n.metrics.FirstStart(time.Duration(e.AgeMs) * time.Millisecond)
		return
	case cransched.LogEntryRefuted:
		n.metrics.MalformedRecord("targets")
		n.log.Emit(cranevent.MalformedRecord, cranevent.Stream("targets"), cranevent.Err(cranfault.New(cranfault.UnknownPeer,
			"find out which process writes to the topic", "the target %q contradicts the entry under its id", e.Target)))
		return
	}
	if e.Kind == cransched.LogTargetRetiring {
		n.log.Emit(cranevent.TargetRetiring, cranevent.Pool(e.Reason), cranevent.Target(e.Target))
		return
	}
	fields := make([]cranevent.Field, 0, 8)
	if e.Kind == cransched.LogRunPlaced {
		fields = append(fields, cranevent.ReadAge(readAge))
	}
	if e.Job != "" {
		fields = append(fields, cranevent.Job(e.Job))
	}
	if e.Task != "" {
		fields = append(fields, cranevent.Task(e.Task))
	}
	if e.Run != 0 {
		fields = append(fields, cranevent.Number(e.Run))
	}
	if e.Target != "" {
		fields = append(fields, cranevent.Target(e.Target))
	}
	if e.Reason != "" {
		fields = append(fields, cranevent.Cause(e.Reason))
	}
	if e.AgeMs != 0 {
		fields = append(fields, cranevent.Age(time.Duration(e.AgeMs)*time.Millisecond))
	}
	if e.Timing != nil {
		if e.State == cranjob.Completed {
			n.metrics.ObjectiveJudged(e.Timing.EndMs <= e.Timing.ObjectiveMs)
		}
		fields = append(fields, cranevent.Elapsed(milliseconds(e.Timing.EndMs)), cranevent.Objective(milliseconds(e.Timing.ObjectiveMs)),
			cranevent.FirstStart(milliseconds(e.Timing.FirstStartMs)), cranevent.Slack(milliseconds(e.Timing.SlackMs)))
	}
	n.log.Emit(entryEvents[e.Kind], fields...)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// logPoolStatus logs what a pool has and needs on the instances of a shard.
func (n *Node) logPoolStatus(shard string, p cransched.PoolStatus) {
	n.log.Emit(cranevent.PoolReported, cranevent.Shard(shard), cranevent.Pool(p.Pool), cranevent.Count(p.Members),
		cranevent.Empty(p.Empty), cranevent.Arriving(p.Arriving), cranevent.Punctual(p.Punctual), cranevent.Needed(p.Needed),
		cranevent.Waiting(p.Waiting), cranevent.WaitingLate(p.WaitingLate), cranevent.LimitedRounds(p.LimitedRounds))
}

// judgeRunTimes logs and counts how many runs of a shard ended within what was predicted.
func (n *Node) judgeRunTimes(shard string, e cransched.RunTimesJudged) {
	n.log.Emit(cranevent.RunTimesJudged, cranevent.Shard(shard), cranevent.Count(e.Runs), cranevent.Within50(e.Within50), cranevent.Within90(e.Within90))
	n.metrics.RunTimesJudged(e.Runs, e.Within50, e.Within90)
}
