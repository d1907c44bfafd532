package cranevent

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// dropDepth is how many lines may wait for a slow reader; at some hundred
// bytes a line that is below a megabyte.
const dropDepth = 2048

// DropWriter passes lines on without ever blocking its caller: when too many
// wait, it leaves lines out and says how many once there is room again.
type DropWriter struct {
	lines chan []byte
	done  chan struct{}

	mu sync.Mutex
	// skipped counts the lines left out since the last that was taken.
	skipped int
	closed  bool
}

// NewDropWriter returns a writer to w.
func NewDropWriter(w io.Writer) *DropWriter {
	d := &DropWriter{lines: make(chan []byte, dropDepth), done: make(chan struct{})}
	go func() {
		defer close(d.done)
		for line := range d.lines {
			// Nobody is left to tell of a log that can't be written.
			_, _ = w.Write(line)
		}
	}()
	return d
}

// Write takes one line.
func (d *DropWriter) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return 0, io.ErrClosedPipe
	}
	line := bytes.Clone(p)
	if d.skipped > 0 {
		line = fmt.Appendf(line, `{"event":0,"name":"linesLeftOut","%s":%d}`+"\n", KeySuppressed, d.skipped)
	}
	select {
	case d.lines <- line:
		d.skipped = 0
	default:
		d.skipped++
	}
	return len(p), nil
}

// Close waits until the lines taken so far are written.
func (d *DropWriter) Close() error {
	d.mu.Lock()
	if !d.closed {
		d.closed = true
		close(d.lines)
	}
	d.mu.Unlock()
	<-d.done
	return nil
}
