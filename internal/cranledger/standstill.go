package cranledger

import (
	"cmp"
	"slices"
	"time"
)

const (
	// StandStillTime is how long a job may have nothing running although it could.
	StandStillTime = 3 * time.Second
	// restartTime is how much longer a long-running task may be away after its last run.
	restartTime = 6 * time.Second
)

// StandStill is a job that has nothing running, or a long-running task that isn't running,
// since a certain time.
type StandStill struct {
	Job string
	// Task is empty if it is about a whole job.
	Task  string
	Since time.Time
}

// RecordAccepted records that the acceptance of a job was acknowledged.
func (l *Ledger) RecordAccepted(name string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[name]; j != nil && j.acceptedAt.IsZero() {
		j.acceptedAt = at
		if j.idleSince.Before(at) {
			j.idleSince = at
		}
	}
}

// IsAccepted reports whether the acceptance of a job was acknowledged.
func (l *Ledger) IsAccepted(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[name]
	return j != nil && !j.acceptedAt.IsZero()
}

// StandStills returns the accepted jobs that have had nothing running for StandStillTime
// before a time, although they are neither done nor being cancelled, half of the slots
// were free throughout, and their tenant had less than half of its cap running. Of a long-running job it returns each task that isn't running for
// longer after its last run.
func (l *Ledger) StandStills(at time.Time) []StandStill {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkSlots(at)
	from := at.Add(-StandStillTime)
	if !l.unavailableAt.Before(from) {
		return nil
	}
	var found []StandStill
	for name, j := range l.jobs {
		if j.acceptedAt.IsZero() || j.cancelling || j.done >= j.count {
			continue
		}
		l.checkRoom(j.tenant, at)
		if !l.cappedAt[j.tenant].Before(from) {
			continue
		}
		if j.running == 0 && !j.idleSince.After(from) {
			found = append(found, StandStill{Job: name, Since: j.idleSince})
			continue
		}
		for taskName, t := range j.tasks {
			if j.longRunning && t.target == "" && !t.idleSince.After(from.Add(-restartTime)) {
				found = append(found, StandStill{Job: name, Task: taskName, Since: t.idleSince})
			}
		}
	}
	slices.SortFunc(found, func(a, b StandStill) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task)) })
	return found
}

// checkSlots records that less than half of the slots are free, if that is so. The caller
// holds the lock.
func (l *Ledger) checkSlots(at time.Time) {
	if 2*l.running > l.slots && at.After(l.unavailableAt) {
		l.unavailableAt = at
	}
}
