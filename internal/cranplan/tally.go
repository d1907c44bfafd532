package cranplan

import "github.com/cranberrypick/cranberrypick/internal/cranstate"

// tally is what a pool's budget leaves.
type tally struct {
	// spare is how many more instances of the pool may be stopped.
	spare int
}

// tallies holds a tally for each pool that has instances.
type tallies map[string]*tally

// tallyPools counts every pool in one pass over the instances.
func tallyPools(s *cranstate.State) tallies {
	pools := tallies{}
	for _, in := range s.Instances() {
		t, known := pools[in.Pool()]
		if !known {
			t = &tally{spare: -s.Floor(in.Pool())}
			pools[in.Pool()] = t
		}
		if in.Available() {
			t.spare++
		}
	}
	return pools
}
