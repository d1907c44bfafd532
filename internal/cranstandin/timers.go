package cranstandin

import (
	"context"
	"sync"
	"time"
)

// timers runs functions after a delay, until it is closed.
type timers struct {
	mu      sync.Mutex
	ctx     context.Context
	cancel  context.CancelFunc
	pending map[*time.Timer]struct{}
	// running counts the functions that are scheduled or running.
	running sync.WaitGroup
}

func newTimers() *timers {
	ctx, cancel := context.WithCancel(context.Background())
	return &timers{ctx: ctx, cancel: cancel, pending: map[*time.Timer]struct{}{}}
}

// closed returns a channel that close closes.
func (t *timers) closed() <-chan struct{} { return t.ctx.Done() }

// cancelOnClose returns a context that is also cancelled when the timers are
// closed, and a function that releases it.
func (t *timers) cancelOnClose(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(t.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// schedule runs work in a goroutine after a delay. It returns false, and doesn't
// run work, if the timers are closed.
func (t *timers) schedule(delay time.Duration, work func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
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

// close drops the functions that haven't started and waits for those that
// have. It may be called more than once.
func (t *timers) close() {
	t.mu.Lock()
	t.cancel()
	for timer := range t.pending {
		if timer.Stop() {
			delete(t.pending, timer)
			t.running.Done()
		}
	}
	t.mu.Unlock()
	t.running.Wait()
}
