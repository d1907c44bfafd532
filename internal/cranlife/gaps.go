package cranlife

import (
	"fmt"
	"slices"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
)

// Numbers of the events that begin and end jobs and runs.
const (
	eventAccepted  = int(cranevent.JobAccepted)
	eventCancelled = int(cranevent.JobCancelled)
	eventEnded     = int(cranevent.JobEnded)
	eventPlaced    = int(cranevent.RunPlaced)
	eventRunEnded  = int(cranevent.RunEnded)
	eventStopped   = int(cranevent.RunStopped)
	eventReleased  = int(cranevent.RunReleased)
)

func isSchedulerEvent(event int) bool {
	return slices.Contains([]int{
		int(cranevent.SchedulerClaiming), int(cranevent.SchedulerRefused), int(cranevent.SchedulerAcquired),
		int(cranevent.SchedulerLost), int(cranevent.AppendRepeated),
	}, event)
}

func isTargetEvent(event int) bool {
	return event >= int(cranevent.TargetUnresponsive) && event <= int(cranevent.TargetCordoned)
}

// run identifies a run of a task.
type run struct {
	task   string
	number int
}

// Gaps returns a sentence for each event that is missing from the history of a job:
// its acceptance, its end, and the ends of its runs. A job that has ended or was
// cancelled may have runs without an end.
func (l *Log) Gaps(job string) []string {
	jobLines := l.linesOfJob(job)
	accepted, ended, cancelled := false, false, false
	openRuns := map[run]bool{}
	for _, line := range jobLines {
		r := run{line.task, line.number}
		switch line.event {
		case eventAccepted:
			accepted = true
		case eventCancelled:
			cancelled = true
		case eventEnded:
			ended = true
		case eventPlaced:
			openRuns[r] = true
		case eventRunEnded, eventStopped, eventReleased:
			delete(openRuns, r)
		}
	}
	var gaps []string
	if !accepted {
		gaps = append(gaps, fmt.Sprintf("no log has the acceptance of %s; add the logs of the other entry instances", job))
	}
	if !ended && !cancelled {
		gaps = append(gaps, fmt.Sprintf("no log has the end of %s; it may still be running", job))
	}
	for r := range openRuns {
		if !ended && !cancelled {
			gaps = append(gaps, fmt.Sprintf("no log has the end of run %d of %s; it may still be running", r.number, r.task))
		}
	}
	slices.Sort(gaps)
	return gaps
}
