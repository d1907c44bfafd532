package cranevent

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// maxQueuedLines is the number of lines that may wait for a slow reader. At a few
// hundred bytes per line, they take less than a megabyte.
const maxQueuedLines = 2048

// DropWriter passes lines to another writer without ever blocking its caller. It
// drops lines while its queue is full, and writes their number once there is space
// again.
type DropWriter struct {
	lines chan []byte
	done  chan struct{}

	mu sync.Mutex
	// dropped is the number of lines dropped since the last one that was queued. The
	// next line that is queued carries it, as an extra line of event 0.
	dropped int
	closed  bool
}

// NewDropWriter returns a DropWriter that passes its lines to w.
func NewDropWriter(w io.Writer) *DropWriter {
	d := &DropWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(d.done)
		for line := range d.lines {
			// There is no other place to report that the log can't be written.
			_, _ = w.Write(line)
		}
	}()
	return d
}

// Write queues one line, or drops it if the queue is full.
func (d *DropWriter) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return 0, io.ErrClosedPipe
	}
	line := bytes.Clone(p)
	if d.dropped > 0 {
		line = fmt.Appendf(line, `{"event":0,"name":"linesLeftOut","%s":%d}`+"\n", KeySuppressed, d.dropped)
	}
	select {
	case d.lines <- line:
		d.dropped = 0
	default:
		d.dropped++
	}
	return len(p), nil
}

// Close makes further writes fail and waits until the queued lines are written.
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
