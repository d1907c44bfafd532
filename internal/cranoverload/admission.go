package cranoverload

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranadmit"
)

const (
	entries = 35
	// publishInterval is how often the owner publishes its figures, which entry instances read minReadDelay to
	// minReadDelay + 240 ms later.
	publishInterval = 400 * time.Millisecond
	minReadDelay    = 50 * time.Millisecond
	readDelayStep   = 10 * time.Millisecond
	readDelays      = 25
	// queueTime is about how long a job of mean width and run times can wait and still be in time.
	queueTime = 1500 * time.Millisecond
	// queueRetryAfter is the Retry-After of a queue of fixed length.
	queueRetryAfter = time.Second
)

// admits reports whether a job is accepted, and otherwise after how long it may be sent again.
func (s *simulation) admits(j *job) (bool, time.Duration) {
	switch s.settings.Policy {
	case Product:
		d := s.boards[s.delays.IntN(entries)].Decide(cranadmit.Request{
			ID: j.ID, Queue: j.Queue, Tenant: j.Tenant, Stretch: stretch, LatencyTarget: latencyTarget,
		}, s.Now())
		return d.Admitted, time.Duration(d.RetryAfter) * time.Second
	case FixedQueue:
		return float64(s.waiting) < s.jobsPerSecond(1)*queueTime.Seconds(), queueRetryAfter
	default:
		return true, 0
	}
}

// publishFigures publishes the owner's figures from now on, as in crannode/admission.go.
func (s *simulation) publishFigures() {
	s.scheduler.Advance(s.clock())
	f := s.scheduler.AdmissionFigures()
	if q, found := f.Queues[queueName]; found {
		if s.controller == nil {
			s.controller = cranadmit.NewController()
		}
		q.Share = s.controller.Update(&q, time.Duration(stretch*float64(q.Path))+latencyTarget, s.Now())
		f.Queues[queueName] = q
	} else {
		s.controller = nil
	}
	for i, b := range s.boards {
		s.Schedule(s.Now()+minReadDelay+time.Duration(i%readDelays)*readDelayStep, func() { b.Publish(0, f, s.Now()) })
	}
	s.Schedule(s.Now()+publishInterval, s.publishFigures)
}
