package cranplan

import (
	"sort"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// Repair refills pools that have lost instances for good, out of the spare
// pool. It remembers since when each pool has been short: a move risks
// requests, and most instances that vanish are replaced where they were, so a
// pool must stay short for a while before a move is proposed. It is not safe
// for concurrent use.
type Repair struct {
	patience time.Duration
	// since holds when each pool was first seen short, by pool.
	since map[string]time.Time
}

// NewRepair returns a repair that waits for patience before it moves.
func NewRepair(patience time.Duration) *Repair {
	return &Repair{patience: patience, since: map[string]time.Time{}}
}

// NextMoves returns the moves to propose at the time now: for each pool that has
// been short long enough as many as it lacks, and no more than the spare pool
// has in service. An instance whose failure domain is rarest in the pool goes
// first.
func (r *Repair) NextMoves(s *cranstate.State, now time.Time) []cranstate.StopProposed {
	config := s.Config()
	if config == nil {
		return nil
	}
	members := membersOf(s)
	spares := availableOf(members[config.Spare()])
	var list []cranstate.StopProposed
	for _, pool := range config.Pools() {
		if pool.Name() == config.Spare() {
			continue
		}
		lacking := pool.Instances() - len(members[pool.Name()])
		if !r.due(pool.Name(), lacking, now) {
			continue
		}
		domains := countDomains(members[pool.Name()])
		for ; lacking > 0 && len(spares) > 0; lacking-- {
			var in cranstate.Instance
			in, spares = takeRarest(spares, domains)
			domains[in.Domain()]++
			list = append(list, cranstate.StopProposed{
				Instance: in.ID(), Kind: cranstate.StopMove, Pool: pool.Name(), Base: in.Version(),
			})
		}
	}
	return list
}

// due reports whether a pool has been short for longer than the patience.
func (r *Repair) due(pool string, lacking int, now time.Time) bool {
	if lacking <= 0 {
		delete(r.since, pool)
		return false
	}
	since, known := r.since[pool]
	if !known {
		r.since[pool] = now
		since = now
	}
	return now.Sub(since) >= r.patience
}

// membersOf returns the instances that each pool has or is about to get, in
// order of id. One that the platform takes away counts no more.
func membersOf(s *cranstate.State) map[string][]cranstate.Instance {
	members := map[string][]cranstate.Instance{}
	for _, in := range s.Instances() {
		pool := in.Pool()
		if st, ok := in.Stop(); ok && st.Kind() == cranstate.StopMove {
			pool = st.Pool()
		}
		if in.Phase() != cranstate.PhaseLeaving {
			members[pool] = append(members[pool], in)
		}
	}
	return members
}

func availableOf(list []cranstate.Instance) []cranstate.Instance {
	var available []cranstate.Instance
	for _, in := range list {
		if in.Available() {
			available = append(available, in)
		}
	}
	return available
}

func countDomains(list []cranstate.Instance) map[string]int {
	domains := map[string]int{}
	for _, in := range list {
		domains[in.Domain()]++
	}
	return domains
}

// takeRarest takes the instance whose failure domain is rarest.
func takeRarest(list []cranstate.Instance, domains map[string]int) (cranstate.Instance, []cranstate.Instance) {
	sort.SliceStable(list, func(i, j int) bool {
		return domains[list[i].Domain()] < domains[list[j].Domain()]
	})
	return list[0], list[1:]
}
