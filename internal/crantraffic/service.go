package crantraffic

import "time"

// service is what a front has learned of one service. It outlives views.
type service struct {
	times  *locked[*latency]
	budget *locked[*retryBudget]
}

func newService(now time.Time, retries retryPolicy) *service {
	return &service{
		times:  newLocked(newLatency(now)),
		budget: newLocked(newRetryBudget(retries)),
	}
}

// estimate returns what is known of the service's times.
func (s *service) estimate() estimate { return ask(s.times, (*latency).estimate) }

// learn records one time.
func (s *service) learn(d time.Duration, now time.Time) {
	s.times.with(func(l *latency) { l.record(d, now) })
}
