package crantraffic

import "sync"

// locked protects a policy that several goroutines use. A policy itself holds
// no lock, starts no goroutine and doesn't read the clock; callers pass the
// time.
type locked[P any] struct {
	mu     sync.Mutex
	policy P
}

func newLocked[P any](p P) *locked[P] { return &locked[P]{policy: p} }

// update calls f with the policy under the lock. f must not block.
func (l *locked[P]) update(f func(p P)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.policy)
}

// query returns the result of f, which is called under the lock.
func query[P, A any](l *locked[P], f func(p P) A) A {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f(l.policy)
}
