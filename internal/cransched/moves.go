package cransched

import (
	"maps"
	"slices"
	"time"
)

// destination is a pool that an instance may be moved to.
type destination struct{ instance, pool string }

// move is a move under way.
type move struct {
	destination
	// target is the life that the instance had; empty if it had none.
	target   string
	sentAt   time.Duration
	began    time.Duration
	answered bool
}

// rebalance moves empty instances to the pools that lack some, first those
// that are switched off, and switches off what is left over.
func (s *Scheduler) rebalance(short, spare []poolBalance, supply map[string]*poolSupply) {
	var donors []string
	standby := ""
	for _, name := range slices.Sorted(maps.Keys(s.config.Pools)) {
		if s.config.Pools[name].Standby {
			standby = name
			if p := supply[name]; p != nil {
				donors = append(donors, p.empty...)
			}
		}
	}
	switched := len(donors)
	for _, b := range spare {
		p := supply[b.pool]
		donors = append(donors, p.empty[:min(-b.missing, len(p.empty))]...)
	}
	ordered := 0
	for _, b := range short {
		for n := b.missing; n > 0 && len(donors) > 0 && ordered < movesAtOnce; n-- {
			if s.orderMove(donors[0], b.pool) {
				ordered++
			}
			donors = donors[1:]
			switched--
		}
	}
	for _, instance := range donors[max(min(switched, len(donors)), 0):] {
		if standby == "" || ordered >= movesAtOnce {
			return
		}
		if s.orderMove(instance, standby) {
			ordered++
		}
	}
}

// orderMove keeps new work away from an instance and moves it.
func (s *Scheduler) orderMove(instance, pool string) bool {
	to := destination{instance, pool}
	if s.fleet.refused[to] || !s.mayOrder(instance) {
		return false
	}
	m := &move{destination: to, began: s.clock.Steady}
	i := s.fleet.instances[instance]
	if t := s.targets[i.Target]; t != nil && i.Target != "" {
		t.cordoned = true
		m.target = i.Target
	}
	s.fleet.moves[instance] = m
	s.sendMove(m)
	return true
}

func (s *Scheduler) sendMove(m *move) {
	m.sentAt = s.clock.Steady
	order := s.fleet.stored[m.instance]
	order.Pool, order.Moving, order.SentMs = m.pool, true, s.clock.UnixMs
	s.storeOrder(m.instance, order)
	s.gate(LogEntry{Kind: LogMoveOrdered, Target: m.instance, Reason: m.pool})
	s.gate(MoveInstance{Instance: m.instance, Pool: m.pool, Token: s.token})
}

// MoveAnswered takes in the answer to a move.
func (s *Scheduler) HandleMoveResponse(e MoveInstance, verdict CallStatus) {
	m := s.fleet.moves[e.Instance]
	if m == nil || m.pool != e.Pool || m.answered {
		return
	}
	switch verdict {
	case StatusOK:
		m.answered = true
		if t := s.targets[m.target]; t != nil {
			s.leftLife(t, "the instance has moved")
		}
	case StatusUnanswered:
	case StatusInvalid:
		s.fleet.refused[m.destination] = true
		s.endMove(m)
	default:
		s.endMove(m)
	}
}

// endMove forgets a move that was refused.
func (s *Scheduler) endMove(m *move) {
	delete(s.fleet.moves, m.instance)
	if t := s.targets[m.target]; t != nil {
		t.cordoned = false
	}
}

// watchMoves repeats moves that weren't answered, and forgets those whose
// instance serves its new pool or is switched off.
func (s *Scheduler) watchMoves() {
	now := s.clock.Steady
	for _, id := range slices.Sorted(maps.Keys(s.fleet.moves)) {
		m := s.fleet.moves[id]
		i, found := s.fleet.instances[id]
		fresh := s.fleet.listAt > m.sentAt
		if !m.answered && now-m.sentAt >= moveRepeat && s.mayOrder(id) && (!fresh || found && i.Up && i.Pool != m.pool) {
			if s.isIdle(id) {
				s.sendMove(m)
			} else {
				s.endMove(m)
			}
			continue
		}
		arrived := fresh && found && i.Pool == m.pool && i.Up &&
			(s.standby(m.pool) || i.Target != m.target && s.targets[i.Target] != nil)
		if arrived || fresh && !found || now-m.began > movePatience {
			delete(s.fleet.moves, id)
		}
	}
}

// awaitsOrder reports whether a move or the maintenance of a target's instance
// is stored and may yet take effect: it ends whatever runs there.
func (s *Scheduler) awaitsOrder(t *target) bool {
	if m := s.fleet.moves[t.info.Instance]; m != nil && m.pool != t.info.Pool {
		return true
	}
	o := s.fleet.stored[t.info.Instance]
	return o.Wave != 0 && !o.Begun
}
