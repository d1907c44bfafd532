package crantraffic

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// errUnowned refuses a write to a connection that no exchange owns.
var errUnowned = eris.New("crantraffic: write to a connection that no exchange owns")

// trackedConn is a connection to a target. Each write is first allowed by the
// exchange that owns the connection at that moment.
type trackedConn struct {
	net.Conn
	owner   atomic.Pointer[exchange]
	release func() // gives the place in the connLimit back
	once    sync.Once
}

// Write writes if the owner allows it.
func (c *trackedConn) Write(p []byte) (int, error) {
	x := c.owner.Load()
	if x == nil {
		return 0, errUnowned
	}
	if err := x.beforeWrite(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and gives its place back.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// closeWrite tells the target that the caller is gone and leaves the way back
// open, so that the end of the target's run can be seen.
func (c *trackedConn) closeWrite() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// connLimit bounds the open connections to one target.
type connLimit struct {
	mu    sync.Mutex
	used  int
	limit int           // open connections allowed, above zero
	freed chan struct{} // holds one signal while a place may be free
}

func newConnLimit(limit int) *connLimit {
	return &connLimit{limit: limit, freed: make(chan struct{}, 1)}
}

// acquire takes a place, or waits for one. When none is free it calls makeRoom
// once.
func (l *connLimit) acquire(ctx context.Context, makeRoom func()) error {
	if l.try() {
		return nil
	}
	makeRoom()
	for !l.try() {
		select {
		case <-l.freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	l.signal()
	return nil
}

func (l *connLimit) try() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used >= l.limit {
		return false
	}
	l.used++
	return true
}

func (l *connLimit) release() {
	l.mu.Lock()
	l.used--
	l.mu.Unlock()
	l.signal()
}

// setLimit changes the limit. Connections above it are closed by nobody; they
// only end in their own time.
func (l *connLimit) setLimit(n int) {
	l.mu.Lock()
	l.limit = n
	l.mu.Unlock()
	l.signal()
}

func (l *connLimit) signal() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}
