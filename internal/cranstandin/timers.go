package cranstandin

import (
	"context"
	"sync"
	"time"
)

// timers runs work after a delay, until it is closed.
type timers struct {
	mu      sync.Mutex
	life    context.Context
	end     context.CancelFunc
	pending map[*time.Timer]struct{}
	// running counts the work that has begun or may begin.
	running sync.WaitGroup
}

func newTimers() *timers {
	life, end := context.WithCancel(context.Background())
	return &timers{life: life, end: end, pending: map[*time.Timer]struct{}{}}
}

// closed returns a channel that is closed by close.
func (t *timers) closed() <-chan struct{} { return t.life.Done() }

// bound returns a context that also ends when the timers are closed.
func (t *timers) bound(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(t.life, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// start runs work after a delay, or at once without one, and reports whether
// it was taken; it isn't after close.
func (t *timers) start(delay time.Duration, work func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.life.Err() != nil {
		return false
	}
	t.running.Add(1)
	var timer *time.Timer
	timer = time.AfterFunc(delay, func() {
		defer t.running.Done()
		t.mu.Lock()
		delete(t.pending, timer)
		t.mu.Unlock()
		work()
	})
	t.pending[timer] = struct{}{}
	return true
}

// close drops the work that hasn't begun and waits for the rest. It may be
// called more than once.
func (t *timers) close() {
	t.mu.Lock()
	t.end()
	for timer := range t.pending {
		if timer.Stop() {
			delete(t.pending, timer)
			t.running.Done()
		}
	}
	t.mu.Unlock()
	t.running.Wait()
}
