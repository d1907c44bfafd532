package crantraffic

import "time"

// Parameters of the ejector.
const (
	ejectAfterFailures = 5   // consecutive failures that eject a member
	ejectFailureShare  = 0.5 // share of failures that ejects, after failureShareWindow outcomes
	failureShareWindow = 20  // outcomes over which the share is averaged
	membersPerEjection = 3   // at most one in this many members is ejected
	minEjectionTime    = time.Second
	maxEjectionTime    = time.Minute
	backoffResetFactor = 10 // the backoff resets this many ejection times after the member was reinstated
	probesToReinstate  = 3  // consecutive successful probes

	// slotRefusalPause is the time without requests to a member that had no free
	// slot.
	slotRefusalPause = 100 * time.Millisecond
)

// health is what an exchange shows about its instance.
type health int

// Values of health.
const (
	healthNeutral health = iota // the exchange shows nothing about the instance
	healthGood
	healthBad
	healthRefused // the instance has no free slot
)

// ejector keeps new requests away from failing members. Without it, members
// that fail fast would attract more requests, since they are free again sooner.
// An ejected member is probed by one request at a time after its ejection time,
// which doubles when it fails again. Never more than one in membersPerEjection
// members is ejected: when most of them fail, the cause is probably not the
// single member.
type ejector[K comparable] struct {
	members map[K]*member
	ejected int // ejected members, at most len(members)/membersPerEjection
}

// member is the state that an ejector keeps for one member.
type member struct {
	ejected           bool
	probeAt           time.Time     // if ejected: no probe before this time
	ejectionTime      time.Duration // length of the latest ejection; zero if the backoff was reset
	reinstated        time.Time     // when the member was last reinstated
	probing           bool          // a probe is in flight
	goodProbes        int           // consecutive successful probes
	failures          int           // consecutive failures
	failureShare      float64       // moving average of failures; newer outcomes weigh more
	outcomes          int
	slotsRefusedUntil time.Time // the member had no free slot; no request before this time
}

func newEjector[K comparable]() *ejector[K] {
	return &ejector[K]{members: make(map[K]*member)}
}

// setMembers replaces the set of members. Members in both sets keep their
// state, except that ejected members above the limit for the new set are
// reinstated.
func (e *ejector[K]) setMembers(keys []K) {
	next := make(map[K]*member, len(keys))
	e.ejected = 0
	for _, k := range keys {
		m, ok := e.members[k]
		if !ok {
			m = &member{}
		}
		next[k] = m
		if m.ejected && e.ejected+1 > len(keys)/membersPerEjection {
			*m = member{}
		}
		if m.ejected {
			e.ejected++
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
	if m.ejected {
		return !m.probing && !now.Before(m.probeAt)
	}
	return !now.Before(m.slotsRefusedUntil)
}

// beginRequest records that a request goes to the member, and returns whether
// the request is a probe.
func (e *ejector[K]) beginRequest(k K) (probe bool) {
	m, ok := e.members[k]
	if !ok || !m.ejected || m.probing {
		return false
	}
	m.probing = true
	return true
}

// observe records the result of a request that went to the member. It returns
// the time at which the member may be tried again if this result delays it, or
// else the zero time.
func (e *ejector[K]) observe(k K, h health, probe bool, now time.Time) (retryAt time.Time) {
	m, ok := e.members[k]
	if !ok {
		return retryAt
	}
	if probe {
		m.probing = false
	}
	if m.ejected != probe {
		return retryAt // the request began before the member was ejected or reinstated
	}
	switch h {
	case healthRefused:
		m.slotsRefusedUntil = now.Add(slotRefusalPause)
		m.probeAt = m.slotsRefusedUntil
		return m.probeAt
	case healthGood:
		e.succeed(m, now)
	case healthBad:
		return e.fail(m, now)
	}
	return retryAt
}

func (e *ejector[K]) succeed(m *member, now time.Time) {
	m.failures = 0
	m.recordOutcome(0)
	if !m.ejected {
		return
	}
	m.goodProbes++
	if m.goodProbes < probesToReinstate {
		return
	}
	*m = member{ejectionTime: m.ejectionTime, reinstated: now}
	e.ejected--
}

// fail records a failure. It ejects the member if a threshold is reached and the
// limit of ejected members allows it.
func (e *ejector[K]) fail(m *member, now time.Time) (retryAt time.Time) {
	m.failures++
	m.recordOutcome(1)
	if m.ejected {
		return m.extendEjection(now)
	}
	thresholdReached := m.failures >= ejectAfterFailures ||
		m.outcomes >= failureShareWindow && m.failureShare >= ejectFailureShare
	if !thresholdReached || e.ejected+1 > len(e.members)/membersPerEjection {
		return retryAt
	}
	e.ejected++
	m.ejected = true
	if now.Sub(m.reinstated) > backoffResetFactor*m.ejectionTime {
		m.ejectionTime = 0
	}
	return m.extendEjection(now)
}

// extendEjection starts the next ejection period, twice as long as the last
// one.
func (m *member) extendEjection(now time.Time) time.Time {
	m.goodProbes = 0
	m.ejectionTime = min(max(2*m.ejectionTime, minEjectionTime), maxEjectionTime)
	m.probeAt = now.Add(m.ejectionTime)
	return m.probeAt
}

// recordOutcome adds an outcome to the share of failures.
func (m *member) recordOutcome(failure float64) {
	m.outcomes++
	m.failureShare += (failure - m.failureShare) / float64(min(m.outcomes, failureShareWindow))
}
