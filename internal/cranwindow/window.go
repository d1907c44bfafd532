// Package cranwindow adapts the size of requests to what a connection carries.
//
// A request that is too large for a slow link fails at its time limit, and repeating it
// fails in the same way. A Window holds the size of the next request instead: it
// shrinks after a request that failed or took long, and grows while requests complete
// quickly and more is left to request.
package cranwindow

// factor is the factor by which a window shrinks and grows.
const factor = 2

// Window is the size of the next request, in a unit of the caller's choice, such as bytes
// or records. It is not safe for concurrent use.
type Window struct {
	// size is at least low and at most high.
	size, low, high int
}

// New returns a window that begins at size start and stays between low, which is positive,
// and high.
func New(start, low, high int) *Window { return &Window{size: start, low: low, high: high} }

// Size returns the size of the next request.
func (w *Window) Size() int { return w.size }

// Shrink reduces the size after a request that failed or took too long.
func (w *Window) Shrink() { w.size = max(w.size/factor, w.low) }

// Grow increases the size after a request that completed quickly and left more to request.
func (w *Window) Grow() { w.size = min(w.size*factor, w.high) }
