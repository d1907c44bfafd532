package cranplan

import "github.com/cranberrypick/cranberrypick/internal/cranstate"

// tally is what a pool's budget leaves.
type tally struct {
	// spare is how many more instances of the pool may be stopped.
	spare int
	// pending is how many instances of the pool have yet to be stopped.
	pending int
	// allowed is how many instances of the pool may be away at once.
	allowed int
}

// rounds returns how many cycles the pool needs at least.
func (t *tally) rounds() float64 { return float64(t.pending) / float64(max(t.allowed, 1)) }

// tallies holds a tally for each pool that has instances.
type tallies map[string]*tally

// tallyPools counts every pool in one pass over the instances.
func tallyPools(s *cranstate.State) tallies {
	pools := tallies{}
	for _, in := range s.Instances() {
		t, known := pools[in.Pool()]
		if !known {
			t = newTally(s, in.Pool())
			pools[in.Pool()] = t
		}
		if in.Available() {
			t.spare++
		}
	}
	return pools
}

func newTally(s *cranstate.State, name string) *tally {
	t := &tally{}
	floor := s.MinAvailable(name)
	t.spare = -floor
	if config := s.Config(); config != nil {
		pool, _ := config.Pool(name)
		t.allowed = pool.Instances() - floor
	}
	return t
}
