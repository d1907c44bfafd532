package cransched

import "time"

const (
	// healthSample weighs the newest end against the share of failures seen.
	failureSampleWeight = 0.25
	// healthLimit is the share of failures from which on a target is suspended.
	suspensionThreshold = 0.6
	// healthPause is the first suspension; it doubles up to healthPauseMax.
	minSuspension = 1500 * time.Millisecond
	maxSuspension = 6 * time.Second
)

// health judges a target by the ends of its runs. A target that fails
// everything frees its room quickly and would attract all the work.
type health struct {
	failureRate    float64
	suspendedUntil time.Duration
	suspension     time.Duration
}

// record takes in the end of a run.
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
		// After the pause a single failure suspends the target again.
		h.failureRate = suspensionThreshold
	}
}

func (h *health) suspended(now time.Duration) bool { return now < h.suspendedUntil }
