package cransched

import (
	"slices"
	"time"
)

// memberState is the progress of an instance in a wave.
type memberState uint8

const (
	// pending means that no maintenance has been ordered yet.
	pending memberState = iota
	// maintenanceOrdered means that an order is stored, but not confirmed yet.
	maintenanceOrdered
	// maintenanceStarted means that the maintenance has started or is complete.
	maintenanceStarted
)

// member is an instance in a wave.
type member struct {
	instance string
	state    memberState
	// evacuating is set while the target of the instance is cordoned for this wave.
	evacuating bool
	// sentAt is when this owner last ordered the maintenance; 0 if it hasn't, also for the
	// stored order of a predecessor.
	sentAt time.Duration
	// startedAt is when the start of the maintenance was confirmed to this owner.
	startedAt time.Duration
	// missingSince is the request time of the first of the consecutive lists without the
	// instance, and missingLists their number; 0 if the newest list has it. missingAsOf is the request time
	// of the newest of them.
	missingSince, missingAsOf time.Duration
	missingLists              int
	// upAgain is set once a list has shown the instance up after its maintenance.
	upAgain bool
}

// observeMember updates a member from the list of instances.
func (s *Scheduler) observeMember(w *wave, m *member) {
	i, found := s.fleet.instances[m.instance]
	switch {
	case found:
		m.missingSince, m.missingAsOf, m.missingLists = 0, 0, 0
		m.upAgain = m.upAgain || m.state == maintenanceStarted && s.isUpSince(i, m.startedAt)
	case m.missingAsOf != s.fleet.listRequestedAt:
		m.missingAsOf = s.fleet.listRequestedAt
		m.missingLists++
		if m.missingSince == 0 {
			m.missingSince = m.missingAsOf
		}
	}
	if m.state == maintenanceOrdered && m.sentAt == 0 && found && i.Up && s.listShowsEarlierOrders(m.instance) {
		s.forgetOrder(w, m)
	}
	// The list doesn't tell for which wave an instance is down.
	if m.state == maintenanceOrdered && found && i.Maintenance && s.fleet.listRequestedAt > m.sentAt && s.isInOneWave(m.instance) {
		s.confirmStarted(w, m)
	}
}

// forgetOrder makes a member pending again whose instance is up, and for which the order of a predecessor can't arrive
// any more. That order was lost, or it was carried out and not confirmed; the next one is sent in its turn.
func (s *Scheduler) forgetOrder(w *wave, m *member) {
	m.state = pending
	s.fleet.storedOrders[m.instance] = s.fleet.storedOrders[m.instance].WithoutWaves(func(wave int) bool { return wave == w.order.Wave })
}

// isInOneWave reports whether an instance is in one wave only. A predecessor may have ordered it for a wave that this
// owner has not read of yet.
func (s *Scheduler) isInOneWave(instance string) bool {
	order := s.fleet.storedOrders[instance]
	return len(order.Maintenance()) <= 1 && s.countWavesOf(instance) == 1
}

// countWavesOf counts the waves that an instance is in.
func (s *Scheduler) countWavesOf(instance string) int {
	n := 0
	for _, w := range s.fleet.waves {
		if slices.ContainsFunc(w.members, func(m *member) bool { return m.instance == instance }) {
			n++
		}
	}
	return n
}

const (
	// removalTimeout is how long an instance must be missing from the list before it counts as
	// removed, and removalLists in how many lists. The list is read in pages, and a page may miss an
	// instance while others are added or removed.
	removalTimeout = 1000 * time.Millisecond
	removalLists   = 3
)

// exists reports whether the instance has not been removed.
func (s *Scheduler) exists(m *member) bool {
	return m.missingLists < removalLists || m.missingAsOf-m.missingSince < removalTimeout
}

// countsAsDown reports whether a member counts as down for maintenance: from its order
// until a list that is read later shows it up again.
func (s *Scheduler) countsAsDown(m *member) bool {
	i := s.fleet.instances[m.instance]
	switch m.state {
	case pending:
		// A record of an earlier version doesn't tell all waves that may have ordered the maintenance.
		order := s.fleet.storedOrders[m.instance]
		return order.IsOfEarlierVersion() && (i.Maintenance || !s.listShowsEarlierOrders(m.instance))
	case maintenanceOrdered:
		return true
	}
	return !m.upAgain && s.exists(m)
}

// listShowsEarlierOrders reports whether the list of instances was read after the last order of a predecessor for
// an instance can have arrived.
func (s *Scheduler) listShowsEarlierOrders(instance string) bool {
	at, ordered := s.predecessor.LastOrderAt[instance]
	return !ordered || s.fleet.listRequestedAt > at+OrderOwnershipTimeout+deliveryTimeout
}

// confirmStarted records that the maintenance of a member for its wave has started or is complete. The platform
// also accepts an order that it has carried out before, so the target of the instance may have ended or
// run on: its next response tells.
func (s *Scheduler) confirmStarted(w *wave, m *member) {
	m.state = maintenanceStarted
	m.startedAt = s.clock.Steady
	for _, t := range s.targetsOf(m.instance) {
		t.awaitResponse(s.clock.Steady)
	}
	s.endEvacuation(m)
	s.storeOrder(m.instance, s.fleet.storedOrders[m.instance].WithConfirmation(w.order.Wave))
}
