package cranlife

import (
	"fmt"
	"slices"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
)

// Numbers of the events that a job's life is made of.
const (
	eventAccepted  = int(cranevent.JobAccepted)
	eventCancelled = int(cranevent.JobCancelled)
	eventEnded     = int(cranevent.JobEnded)
	eventPlaced    = int(cranevent.RunPlaced)
	eventRunEnded  = int(cranevent.RunEnded)
	eventStopped   = int(cranevent.RunStopped)
	eventReleased  = int(cranevent.RunReleased)
)

func isScheduling(event int) bool {
	return slices.Contains([]int{
		int(cranevent.SchedulerClaiming), int(cranevent.SchedulerRefused), int(cranevent.SchedulerTaken),
		int(cranevent.SchedulerLost), int(cranevent.AppendRepeated),
	}, event)
}

func isTarget(event int) bool {
	return event >= int(cranevent.TargetLost) && event <= int(cranevent.TargetCordoned)
}

// run names a run of a task.
type run struct {
	task   string
	number int
}

// Gaps returns what the lines of a job leave unexplained.
func (l *Log) Gaps(job string) []string {
	own := l.own(job)
	accepted, ended, cancelled := false, false, false
	open := map[run]bool{}
	for _, line := range own {
		r := run{line.task, line.number}
		switch line.event {
		case eventAccepted:
			accepted = true
		case eventCancelled:
			cancelled = true
		case eventEnded:
			ended = true
		case eventPlaced:
			open[r] = true
		case eventRunEnded, eventStopped, eventReleased:
			delete(open, r)
		}
	}
	var gaps []string
	if !accepted {
		gaps = append(gaps, fmt.Sprintf("nobody says that it accepted %s; add the logs of the other entry instances", job))
	}
	if !ended && !cancelled {
		gaps = append(gaps, fmt.Sprintf("nothing is said of the end of %s; it may go on", job))
	}
	for r := range open {
		if !ended && !cancelled {
			gaps = append(gaps, fmt.Sprintf("nothing is said of the end of run %d of %s; it may go on", r.number, r.task))
		}
	}
	slices.Sort(gaps)
	return gaps
}
