package cranevent

import (
	"sync"
	"time"
)

// limitWindow is the period in which the lines of a rate-limited event are counted.
const limitWindow = time.Second

// limiter limits the lines of rate-limited events. The next line of the same event
// gets the number of lines that were dropped.
type limiter struct {
	// maxLines is the maximum number of lines of one event in a window.
	maxLines int
	mu       sync.Mutex
	// windows holds the current window of each rate-limited event.
	windows map[Event]*window
}

// window counts the lines of one event that were written since start, and those that
// were dropped since the last one written.
type window struct {
	start   time.Time
	lines   int
	dropped int
}

// allow reports whether a line of the event may be written, and how many lines were
// dropped since the last one written.
func (l *limiter) allow(event Event, now time.Time) (dropped int, ok bool) {
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
	if w.lines >= l.maxLines {
		w.dropped++
		return 0, false
	}
	w.lines++
	dropped, w.dropped = w.dropped, 0
	return dropped, true
}
