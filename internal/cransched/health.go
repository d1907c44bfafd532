package cransched

import "time"

const (
	// healthSample weighs the newest end against the share of failures seen.
	healthSample = 0.25
	// healthLimit is the share of failures from which on a target is suspended.
	healthLimit = 0.6
	// healthPause is the first suspension; it doubles up to healthPauseMax.
	healthPause    = 1500 * time.Millisecond
	healthPauseMax = 6 * time.Second
)

// health judges a target by the ends of its runs. A target that fails
// everything frees its room quickly and would attract all the work.
type health struct {
	failures float64
	until    time.Duration
	pause    time.Duration
}

// record takes in the end of a run.
func (h *health) record(failed bool, now time.Duration) {
	sample := 0.0
	if failed {
		sample = 1
	}
	h.failures += healthSample * (sample - h.failures)
	if !failed {
		h.pause = 0
		return
	}
	if h.failures >= healthLimit && now >= h.until {
		h.pause = min(max(2*h.pause, healthPause), healthPauseMax)
		h.until = now + h.pause
		// After the pause a single failure suspends the target again.
		h.failures = healthLimit
	}
}

func (h *health) suspended(now time.Duration) bool { return now < h.until }
