package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranexplain"
	"github.com/cranberrypick/cranberrypick/internal/cranpool"
)

// poolReportInterval is how often the status of the pools is reported.
const poolReportInterval = time.Second

// backlog counts the waiting tasks of a pool that could run, apart from long-running ones.
type backlog struct{ punctual, late int }

// recordBacklog counts the waiting tasks of each pool.
func (s *Scheduler) recordBacklog(list []candidate) {
	clear(s.backlogs)
	for _, c := range list {
		b := s.backlogs[c.job.Pool]
		switch {
		case c.stage.step.LongRunning:
		case c.late:
			b.late += c.stage.waiting
		default:
			b.punctual += c.stage.waiting
		}
		s.backlogs[c.job.Pool] = b
	}
}

// reportPools reports the status of each pool that isn't a standby pool.
func (s *Scheduler) reportPools(balances []cranpool.Balance, supply map[string]*cranpool.Supply) {
	for _, b := range balances {
		p := supply[b.Pool]
		s.fleet.planned[b.Pool] = cranexplain.Pool{Instances: p.Members, Idle: len(p.Empty), Arriving: p.Arriving, Needed: b.Needed}
	}
	if s.clock.Steady-s.poolsReportedAt < poolReportInterval {
		return
	}
	s.poolsReportedAt = s.clock.Steady
	for _, b := range balances {
		p, waiting := supply[b.Pool], s.backlogs[b.Pool]
		s.emit(PoolStatus{
			Pool: b.Pool, Members: p.Members, Empty: len(p.Empty), Arriving: p.Arriving, Punctual: b.Punctual, Needed: b.Needed,
			Waiting: waiting.punctual, WaitingLate: waiting.late, LimitedRounds: s.limitedRounds,
		})
	}
	s.limitedRounds = 0
}
