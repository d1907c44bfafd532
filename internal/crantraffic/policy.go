package crantraffic

import "sync"

// locked shares a policy among the traffic threads. The policies themselves
// are pure: they hold no lock, start nothing, and are told the time.
type locked[P any] struct {
	mu     sync.Mutex
	policy P
}

func newLocked[P any](p P) *locked[P] { return &locked[P]{policy: p} }

// with calls f with the policy. f must not block.
func (l *locked[P]) with(f func(p P)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.policy)
}

// ask returns what f finds out from a policy.
func ask[P, A any](l *locked[P], f func(p P) A) A {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f(l.policy)
}
