package cransched

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// destination is an instance and the pool to which it is moved.
type destination struct{ instance, pool string }

// move is a move in progress.
type move struct {
	destination
	// target is the id of the target that ran on the instance before the move; empty if
	// there was none.
	target string
	// beganAt is when the move was first ordered, sentAt when it was last ordered. For a move
	// that a predecessor ordered, both begin as the time at which its order was read.
	sentAt  time.Duration
	beganAt time.Duration
	// accepted is set once the platform has confirmed the order, at acceptedAt.
	accepted   bool
	acceptedAt time.Duration
}

// orderMove cordons an instance and orders its move to a pool. It reports whether the move
// was ordered.
func (s *Scheduler) orderMove(instance, pool string) bool {
	to := destination{instance, pool}
	if !s.mayMove(to) {
		return false
	}
	m := &move{destination: to, beganAt: s.clock.Steady}
	i := s.fleet.instances[instance]
	if t := s.targets[i.Target]; t != nil && i.Target != "" {
		t.cordoned = true
		m.target = i.Target
	}
	s.fleet.moves[instance] = m
	s.fleet.budget.spend()
	s.sendMove(m)
	return true
}

// mayMove reports whether the platform accepts the order of a move now.
func (s *Scheduler) mayMove(to destination) bool {
	// The platform accepts the move of an instance to the pool that it is in, and does nothing. Its target would
	// count as ended for good.
	i := s.fleet.instances[to.instance]
	stays := i.Pool == to.pool && i.Target != ""
	return !stays && !s.fleet.refusedMoves[to] && s.mayOrder(to.instance)
}

func (s *Scheduler) sendMove(m *move) {
	m.sentAt = s.clock.Steady
	order := s.fleet.storedOrders[m.instance]
	order.Pool, order.Moving, order.DecidedMs = m.pool, true, s.clock.UnixMs
	s.fleet.orderedAt[m.instance] = s.clock.Steady
	s.storeOrder(m.instance, order)
	s.emitOnceStored(LogEntry{Kind: LogMoveOrdered, Target: m.instance, Reason: m.pool})
	s.emitOnceStored(MoveInstance{Instance: m.instance, Pool: m.pool, Token: s.token})
}

// HandleMoveResponse handles the response to a MoveInstance.
func (s *Scheduler) HandleMoveResponse(e MoveInstance, status CallStatus) {
	m := s.fleet.moves[e.Instance]
	if m == nil || m.pool != e.Pool || m.accepted {
		return
	}
	switch status {
	case StatusOK:
		m.accepted, m.acceptedAt = true, s.clock.Steady
		if t := s.targets[m.target]; t != nil {
			s.endTarget(t, "the instance has moved")
		}
	case StatusUnanswered:
	case StatusInvalid:
		s.fleet.refusedMoves[m.destination] = true
		s.dropMove(m)
	default:
		s.dropMove(m)
	}
}

// dropMove removes a move that did not take place and uncordons its target.
func (s *Scheduler) dropMove(m *move) {
	delete(s.fleet.moves, m.instance)
	if t := s.targets[m.target]; t != nil {
		s.uncordon(t)
	}
}

// isMoving reports whether the move of a target's instance, which ends the target, is in progress.
func (s *Scheduler) isMoving(t *target) bool {
	m := s.fleet.moves[t.info.Instance]
	return m != nil && m.target == t.info.ID
}

// checkMoves retries unanswered moves. It removes moves whose instance is up in its new
// pool or has left the list, and those that have exceeded moveTimeout. A target whose instance is not
// moved takes tasks again once the last order can't arrive any more.
func (s *Scheduler) checkMoves() {
	now := s.clock.Steady
	for _, id := range slices.Sorted(maps.Keys(s.fleet.moves)) {
		m := s.fleet.moves[id]
		if m.accepted && s.isStandby(m.pool) && now-m.acceptedAt >= moveTime {
			// No target appears in a standby pool, and the list may be read much later.
			s.fleet.instances[id] = InstanceInfo{Instance: id, Pool: m.pool, Up: true, Capacity: s.fleet.instances[id].Capacity}
			delete(s.fleet.moves, id)
			continue
		}
		i, found := s.fleet.instances[id]
		listIsNewer := s.fleet.listRequestedAt > m.sentAt
		if !m.accepted && now-m.sentAt >= moveRetryInterval && now-m.beganAt <= moveTimeout-deliveryTimeout && s.mayOrder(id) && (!listIsNewer || found && i.Up && i.Pool != m.pool) {
			if s.isIdle(id) {
				s.sendMove(m)
			} else {
				s.dropMove(m)
			}
			continue
		}
		arrived := found && i.Pool == m.pool && s.isUpSince(i, m.sentAt) &&
			(s.isStandby(m.pool) || i.Target != m.target && s.targets[i.Target] != nil)
		switch {
		case arrived || m.accepted && listIsNewer && !found:
			delete(s.fleet.moves, id)
		case listIsNewer && !found && now-m.sentAt > deliveryTimeout:
			// The instance is removed, or the list has missed it and its target may run on.
			s.dropMove(m)
		case now-m.beganAt > moveTimeout && now-m.sentAt > deliveryTimeout:
			s.dropMove(m)
		}
	}
}

// hasPendingOrder reports whether a move or the maintenance of the target's instance is
// stored and may still take effect. Either would end all runs there.
func (s *Scheduler) hasPendingOrder(t *target) bool {
	if m := s.fleet.moves[t.info.Instance]; m != nil && m.pool != t.info.Pool {
		return true
	}
	order := s.fleet.storedOrders[t.info.Instance]
	return slices.ContainsFunc(order.Maintenance(), func(m cranjob.MaintenanceOrder) bool {
		return !m.Confirmed && s.mayBegin(m.Wave, t.info.Instance)
	})
}

// mayBegin reports whether an unconfirmed order to maintain an instance may still take effect: it is repeated until
// its wave has begun, and may be under way then. A wave begins without the instances that are removed, and a
// removed instance may come back.
func (s *Scheduler) mayBegin(wave int, instance string) bool {
	w := s.fleet.waves[wave]
	return w != nil && !w.begun || s.clock.Steady-s.fleet.orderedAt[instance] < moveTimeout
}
