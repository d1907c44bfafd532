package crantraffic

import "time"

// serviceStats holds the latency and the retry budget of one service. It is
// kept when the view changes.
type serviceStats struct {
	latency *locked[*latencyStats]
	budget  *locked[*retryBudget]
}

func newServiceStats(now time.Time, retries retryPolicy) *serviceStats {
	return &serviceStats{
		latency: newLocked(newLatencyStats(now)),
		budget:  newLocked(newRetryBudget(retries)),
	}
}

// estimate returns the current latency estimate of the service.
func (s *serviceStats) estimate() latencyEstimate { return query(s.latency, (*latencyStats).estimate) }

// recordLatency adds one latency sample.
func (s *serviceStats) recordLatency(d time.Duration, now time.Time) {
	s.latency.update(func(l *latencyStats) { l.record(d, now) })
}
