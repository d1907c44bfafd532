package cranevent

import (
	"sync"
	"time"
)

// limitWindow is the time over which lines of one limited event are counted.
const limitWindow = time.Second

// limiter bounds the lines of limited events. What is left out is told by the
// next line of the same event.
type limiter struct {
	// most is the number of lines in one window.
	most int
	mu   sync.Mutex
	// windows has the current window of every limited event seen.
	windows map[Event]*window
}

type window struct {
	start   time.Time
	lines   int
	skipped int
}

// take reports whether a line may be written, and how many were left out
// since the last one that was.
func (l *limiter) take(event Event, now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[event]
	if w == nil {
		w = &window{start: now}
		l.windows[event] = w
	}
	if now.Sub(w.start) >= limitWindow {
		w.start, w.lines = now, 0
	}
	if w.lines >= l.most {
		w.skipped++
		return 0, false
	}
	w.lines++
	skipped, w.skipped = w.skipped, 0
	return skipped, true
}
