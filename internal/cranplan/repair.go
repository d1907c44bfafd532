package cranplan

import (
	"sort"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// Repair refills pools that have lost instances permanently with instances of the
// spare pool. A move may make requests fail, and the platform replaces most lost
// instances in the same pool. Repair therefore proposes a move only after a pool has
// been short of instances for some time. It is not safe for concurrent use.
type Repair struct {
	delay time.Duration
	// shortSince holds the time at which each short pool was first found to be
	// short, by name.
	shortSince map[string]time.Time
}

// NewRepair returns a Repair that proposes moves for a pool once it has been short
// of instances for the delay.
func NewRepair(delay time.Duration) *Repair {
	return &Repair{delay: delay, shortSince: map[string]time.Time{}}
}

// NextMoves returns the moves to propose at the time now. Each pool that has been
// short for the delay gets as many instances as it lacks, as long as the spare pool
// has available ones. Instances whose failure domain has the fewest members of the
// pool are moved first.
func (r *Repair) NextMoves(s *cranstate.State, now time.Time) []cranstate.StopProposed {
	config := s.Config()
	if config == nil {
		return nil
	}
	members := membersByPool(s)
	spares := filterAvailable(members[config.Spare()])
	var list []cranstate.StopProposed
	for _, pool := range config.Pools() {
		if pool.Name() == config.Spare() {
			continue
		}
		lacking := pool.Instances() - len(members[pool.Name()])
		if !r.isDue(pool.Name(), lacking, now) {
			continue
		}
		domains := countDomains(members[pool.Name()])
		for ; lacking > 0 && len(spares) > 0; lacking-- {
			var in cranstate.Instance
			in, spares = takeFromRarestDomain(spares, domains)
			domains[in.Domain()]++
			list = append(list, cranstate.StopProposed{
				Instance: in.ID(), Kind: cranstate.StopMove, Pool: pool.Name(), Base: in.Version(),
			})
		}
	}
	return list
}

// isDue reports whether a pool has been short for at least the delay.
func (r *Repair) isDue(pool string, lacking int, now time.Time) bool {
	if lacking <= 0 {
		delete(r.shortSince, pool)
		return false
	}
	since, known := r.shortSince[pool]
	if !known {
		r.shortSince[pool] = now
		since = now
	}
	return now.Sub(since) >= r.delay
}

// membersByPool returns the instances that each pool has or will have after the
// moves in progress, in the order of their ids. It leaves out instances that the
// platform is removing.
func membersByPool(s *cranstate.State) map[string][]cranstate.Instance {
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

func filterAvailable(list []cranstate.Instance) []cranstate.Instance {
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

// takeFromRarestDomain sorts the list in place by the count of each instance's failure domain
// and returns the first instance and the others.
func takeFromRarestDomain(list []cranstate.Instance, domains map[string]int) (cranstate.Instance, []cranstate.Instance) {
	sort.SliceStable(list, func(i, j int) bool {
		return domains[list[i].Domain()] < domains[list[j].Domain()]
	})
	return list[0], list[1:]
}
