package cransched

import (
	"maps"
	"time"
)

const (
	// maxLag is the lag above which the owner draws no conclusion from the silence of targets: their
	// responses may have arrived without being read.
	maxLag = 250 * time.Millisecond
	// usualLag is the lag up to which the load isn't reduced. A core with a usage cap may pause for 100 ms.
	usualLag = 120 * time.Millisecond
	// minStartsUnderWay is the number of starts that may be under way however long the lag is.
	minStartsUnderWay = 8
	// maxStartsUnderWay is the number of starts that may be under way at a time. An owner that sends
	// more than it can read the responses of takes its targets for silent, and all of its work is lost.
	maxStartsUnderWay = 128
	// startResponseTime is how long a start counts as under way without a response. Targets that leave
	// orders unanswered must not hold up the others.
	startResponseTime = 400 * time.Millisecond
	// quickStoreTime is the time of an append up to which the starts that wait for it count like those under
	// way to targets.
	quickStoreTime = 100 * time.Millisecond
	// maxStoreFactor bounds how many times as many starts may wait for a slow store.
	maxStoreFactor = 4
)

// startPacer bounds the starts under way, so that new ones go out as the responses to earlier ones are
// handled.
type startPacer struct {
	// planned counts the starts that wait for the store or in queue.
	planned int
	// queue holds the starts that are stored and wait until earlier ones are answered.
	queue []StartRun
	// storeLatency is how long the newest append took, or takes.
	storeLatency time.Duration
	// sentAt holds the times of the starts that were sent and not answered.
	sentAt map[runName]time.Duration
}

// sent records that a start was sent.
func (p *startPacer) sent(name runName, now time.Duration) {
	if p.sentAt == nil {
		p.sentAt = map[runName]time.Duration{}
	}
	p.sentAt[name] = now
}

// answered records that the call of a start is over.
func (p *startPacer) answered(name runName) { delete(p.sentAt, name) }

// left returns how many starts may still be planned at a lag of the owner.
func (p *startPacer) left(now, lag time.Duration) int {
	maps.DeleteFunc(p.sentAt, func(_ runName, at time.Duration) bool { return now-at > startResponseTime+lag })
	return p.storeFactor(maxStartsAt(lag)) - p.planned - len(p.sentAt)
}

// leftAt returns what left does without a change.
func (p *startPacer) leftAt(now, lag time.Duration) int {
	under := 0
	for _, at := range p.sentAt {
		if now-at <= startResponseTime+lag {
			under++
		}
	}
	return p.storeFactor(maxStartsAt(lag)) - p.planned - under
}

// storeFactor returns n times how much longer than quickStoreTime an append takes. The owner is idle while
// starts wait for the store: with no more of them than it may have under way, a store that takes half a
// second lets it start a few hundred tasks a second, however many targets are free.
func (p *startPacer) storeFactor(n int) int {
	return n * int(min(max(p.storeLatency/quickStoreTime, 1), maxStoreFactor))
}

// SetStoreLatency sets how long an append of the owner takes at present.
func (s *Scheduler) SetStoreLatency(latency time.Duration) { s.startsPaced.storeLatency = latency }

// sendQueuedStarts sends the stored starts, as many as may be under way. The members of a gang are sent
// together.
func (s *Scheduler) sendQueuedStarts() {
	p := &s.startsPaced
	var gang StepName
	for len(p.queue) > 0 {
		e := p.queue[0]
		step := StepName{e.Task.Job, e.Task.Occurrence, e.Task.Step}
		if len(p.sentAt) >= maxStartsAt(s.lag) && step != gang {
			return
		}
		gang = StepName{}
		if j := s.jobs[e.Task.Job]; j != nil && j.Steps[e.Task.Step].Gang {
			gang = step
		}
		p.queue = p.queue[1:]
		p.planned--
		// The target may have changed since the start was stored.
		s.dropStart(e)
		s.sendStart(e)
	}
	p.queue = nil
}

// maxStartsAt returns the number of starts that may be under way at a lag of the owner.
func maxStartsAt(lag time.Duration) int {
	if lag <= usualLag {
		return maxStartsUnderWay
	}
	return max(int(maxStartsUnderWay*usualLag/lag), minStartsUnderWay)
}

// SetLag sets how late the owner's process handles what has arrived. While it lags, it reads reports less
// often, of which each tells of more ends, lets fewer starts be under way, and releases no run of a silent
// target: the target may have reported its end.
func (s *Scheduler) SetLag(lag time.Duration) { s.lag = lag }

// isLagging reports whether silence may be the owner's own lag.
func (s *Scheduler) isLagging() bool { return s.lag > maxLag }

// heartbeatGap returns the minimum time between two heartbeats to a target on which runs keep ending.
func (s *Scheduler) heartbeatGap() time.Duration {
	if s.lag <= usualLag {
		return minHeartbeatGap
	}
	return min(minHeartbeatGap+s.lag, heartbeatInterval)
}
