package cransched

import "time"

const (
	// failureSampleWeight is the weight of the newest run in the moving average of
	// failures.
	failureSampleWeight = 0.25
	// suspensionThreshold is the lowest failure rate at which a target is suspended.
	suspensionThreshold = 0.6
	// minSuspension is the length of the first suspension. It doubles with each further
	// one up to maxSuspension.
	minSuspension = 1500 * time.Millisecond
	maxSuspension = 6 * time.Second
)

// health tracks the failure rate of a target and suspends targets that fail often. Without
// it, a target on which every run fails at once would always have free capacity and
// attract most of the work.
type health struct {
	failureRate    float64
	suspendedUntil time.Duration
	suspension     time.Duration
}

// record adds the outcome of a run.
func (h *health) record(failed bool, now time.Duration) {
	sample := 0.0
	if failed {
		sample = 1
	}
	h.failureRate += failureSampleWeight * (sample - h.failureRate)
	if !failed {
		h.suspension = 0
		return
	}
	if h.failureRate >= suspensionThreshold && now >= h.suspendedUntil {
		h.suspension = min(max(2*h.suspension, minSuspension), maxSuspension)
		h.suspendedUntil = now + h.suspension
		// After the suspension a single failure suspends the target again.
		h.failureRate = suspensionThreshold
	}
}

func (h *health) suspended(now time.Duration) bool { return now < h.suspendedUntil }
