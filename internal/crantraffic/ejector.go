package crantraffic

import "time"

// Parameters of the ejector.
const (
	ejectInARow    = 5   // failures without a success between them
	ejectRate      = 0.5 // share of failures, once there are rateSpan outcomes
	rateSpan       = 20  // outcomes over which the share is taken
	ejectFraction  = 3   // at most one of so many members is out
	firstPause     = time.Second
	longestPause   = time.Minute
	forgiveAfter   = 10 // pauses after its return that a member starts afresh
	probesToReturn = 3  // good probes without a failure between them
	refusedPause   = 100 * time.Millisecond
)

// health is what an exchange says about its instance.
type health int

// Values of health.
const (
	healthNeutral health = iota // it says nothing
	healthGood
	healthBad
	healthRefused // the instance has no free slot
)

// ejector keeps new requests from members that fail, so that members which fail
// fast don't attract them. A member that is out is probed by one request at a
// time after a pause, which grows when it fails again. Never more than one of
// ejectFraction members is out: when most fail, their failures say little about
// each.
type ejector[K comparable] struct {
	members map[K]*member
	out     int // members that are out, at most len(members)/ejectFraction
}

// member is what an ejector knows of one member.
type member struct {
	out         bool
	until       time.Time     // when it is out: before this it isn't probed
	pause       time.Duration // the latest; zero if it has started afresh
	returned    time.Time     // when it was last let in again
	probing     bool          // a probe is in flight
	passed      int           // good probes in a row
	failed      int           // failures in a row
	share       float64       // of failures, newer outcomes weighing more
	outcomes    int
	pausedUntil time.Time // it had no free slot; no request before this
}

func newEjector[K comparable]() *ejector[K] {
	return &ejector[K]{members: make(map[K]*member)}
}

// setMembers makes the ejector know just these members.
func (e *ejector[K]) setMembers(keys []K) {
	next := make(map[K]*member, len(keys))
	e.out = 0
	for _, k := range keys {
		m, ok := e.members[k]
		if !ok {
			m = &member{}
		}
		next[k] = m
		if m.out && e.out+1 > len(keys)/ejectFraction {
			*m = member{}
		}
		if m.out {
			e.out++
		}
	}
	e.members = next
}

// allows reports whether a new request may go to the member.
func (e *ejector[K]) allows(k K, now time.Time) bool {
	m, ok := e.members[k]
	if !ok {
		return true
	}
	if m.out {
		return !m.probing && !now.Before(m.until)
	}
	return !now.Before(m.pausedUntil)
}

// begin notes that a request goes to the member, and returns whether it is a
// probe.
func (e *ejector[K]) begin(k K) (probe bool) {
	m, ok := e.members[k]
	if !ok || !m.out || m.probing {
		return false
	}
	m.probing = true
	return true
}

// observe learns from a request that went to the member. It returns when the
// member may be tried again if that is later than now.
func (e *ejector[K]) observe(k K, h health, probe bool, now time.Time) (again time.Time) {
	m, ok := e.members[k]
	if !ok {
		return again
	}
	if probe {
		m.probing = false
	}
	if m.out != probe {
		return again // from before it was let out or in
	}
	switch h {
	case healthRefused:
		m.pausedUntil = now.Add(refusedPause)
		m.until = m.pausedUntil
		return m.until
	case healthGood:
		e.succeed(m, now)
	case healthBad:
		return e.fail(m, now)
	}
	return again
}

func (e *ejector[K]) succeed(m *member, now time.Time) {
	m.failed = 0
	m.weigh(0)
	if !m.out {
		return
	}
	m.passed++
	if m.passed < probesToReturn {
		return
	}
	*m = member{pause: m.pause, returned: now}
	e.out--
}

// fail counts a failure, and ejects the member if that is due.
func (e *ejector[K]) fail(m *member, now time.Time) (again time.Time) {
	m.failed++
	m.weigh(1)
	if m.out {
		return m.wait(now)
	}
	due := m.failed >= ejectInARow || m.outcomes >= rateSpan && m.share >= ejectRate
	if !due || e.out+1 > len(e.members)/ejectFraction {
		return again
	}
	e.out++
	m.out = true
	if now.Sub(m.returned) > forgiveAfter*m.pause {
		m.pause = 0
	}
	return m.wait(now)
}

// wait begins the next pause, longer than the last.
func (m *member) wait(now time.Time) time.Time {
	m.passed = 0
	m.pause = min(max(2*m.pause, firstPause), longestPause)
	m.until = now.Add(m.pause)
	return m.until
}

// weigh adds an outcome to the share of failures.
func (m *member) weigh(failure float64) {
	m.outcomes++
	m.share += (failure - m.share) / float64(min(m.outcomes, rateSpan))
}
