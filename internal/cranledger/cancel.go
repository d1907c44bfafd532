package cranledger

import "time"

// LateStart is the start of a task whose job's cancellation had been acknowledged at
// CancelledAt.
type LateStart struct {
	Start
	CancelledAt time.Time
}

// Delay is how long after the acknowledgement the task started.
func (s LateStart) Delay() time.Duration { return s.At.Sub(s.CancelledAt) }

// RecordCancelling records that a caller sends a cancellation of a job. The job need not get
// on from then on.
func (l *Ledger) RecordCancelling(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[name]; j != nil {
		j.cancelling = true
	}
}

// RecordCancelled records that the cancellation of a job was acknowledged. Later
// acknowledgements of the same job change nothing.
func (l *Ledger) RecordCancelled(name string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[name]; j != nil && j.cancelledAt.IsZero() {
		j.cancelling, j.cancelledAt = true, at
	}
}

// LateStarts returns the starts later than bound after the acknowledgement of a
// cancellation, apart from the first skip ones.
func (l *Ledger) LateStarts(bound time.Duration, skip int) []LateStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	var late []LateStart
	for _, s := range l.lateStarts {
		if s.Delay() > bound {
			late = append(late, s)
		}
	}
	return late[min(skip, len(late)):]
}
