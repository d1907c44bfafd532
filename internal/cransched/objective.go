package cransched

import "math"

// softDeadlineMs returns the time by which an occurrence should be complete for its caller to learn of it in
// time, in Unix milliseconds.
func (s *Scheduler) softDeadlineMs(j *job, occurrence int) int64 {
	return s.deadlineMs(j, occurrence, j.workMs)
}

// deadlineMs returns the soft deadline of an occurrence if the longest path of the job is as given.
func (s *Scheduler) deadlineMs(j *job, occurrence int, workMs float64) int64 {
	startMs := max(j.ReceivedMs, j.DueMs(occurrence))
	if j.queue == nil {
		return startMs + int64(workMs)
	}
	return startMs + int64(j.queue.Stretch*workMs) + (j.queue.LatencyTarget - s.timing.DeliveryTime).Milliseconds()
}

// slackMs returns the time to the soft deadline minus the remaining critical path of a stage.
func (s *Scheduler) slackMs(j *job, st *stage) int64 {
	return s.softDeadlineMs(j, st.name.Occurrence) - s.clock.UnixMs - int64(j.criticalPathMs[st.name.Step])
}

// slackReserveMs returns the slack that a stage needs to complete in time although its expected duration may be
// wrong. The soft deadline moves with the duration, so only the difference between the two counts.
func (j *job) slackReserveMs(st *stage) int64 {
	if j.queue == nil {
		return 0
	}
	return int64(math.Abs(j.queue.Stretch-1) * durationSpread * j.criticalPathMs[st.name.Step])
}

// recordFirstStart records the placement of the job's first task.
func (s *Scheduler) recordFirstStart(j *job, st *stage) {
	if j.timing == nil && j.Times == 0 && !st.step.LongRunning {
		j.timing = &JobTiming{FirstStartMs: s.clock.UnixMs - j.ReceivedMs, SlackMs: s.slackMs(j, st)}
	}
}
