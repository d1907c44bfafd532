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
)

// startPacer bounds the starts under way, so that new ones go out as the responses to earlier ones are
// handled.
type startPacer struct {
	// planned counts the starts that wait for the store.
	planned int
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
	return maxStartsAt(lag) - p.planned - len(p.sentAt)
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
