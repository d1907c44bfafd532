package crantraffic

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// errUnowned refuses a write to a connection that no exchange owns, or that is
// being closed.
var errUnowned error = eris.New("crantraffic: write to a connection that no exchange owns")

// lingerTime bounds how long the target's end of a closed connection is waited
// for.
const lingerTime = time.Second

// trackedConn is a connection to a target. Each write is first allowed by the
// exchange that owns the connection at that moment.
type trackedConn struct {
	net.Conn
	release func() // gives the place in the connLimit back
	once    sync.Once

	mu    sync.Mutex
	owner *exchange // the latest that got the connection from its transport
	last  *exchange // the owner before, whose answer has been read
	spent bool      // true: no exchange may own it any more
	ended bool      // true: the target closed its end after ours was closed
}

// take makes x the owner, unless the connection is spent.
func (c *trackedConn) take(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner, c.last = x, c.owner
	if c.spent {
		c.owner = nil
	}
}

// spend forbids owners after x. It reports whether x is the owner still; if
// not, another exchange has the connection and it must be left alone.
func (c *trackedConn) spend(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != x {
		return false
	}
	c.spent = true
	return true
}

// Read reads, and notes whether the target closes its end.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF { //nolint:errorlint // net.Conn returns it bare
		c.mu.Lock()
		c.ended = c.spent
		c.mu.Unlock()
	}
	return n, err
}

// targetEnded reports whether the target closed its end once it was told that
// the caller is gone. It has ended the run then.
func (c *trackedConn) targetEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// closeSpent closes the connection if x is its last owner.
func (c *trackedConn) closeSpent(x *exchange) {
	c.mu.Lock()
	last := c.spent && c.owner == x
	c.mu.Unlock()
	if last {
		_ = c.Close()
	}
}

// Write writes if the owner allows it.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	x, last := c.owner, c.last
	c.mu.Unlock()
	err := errUnowned
	if x != nil {
		err = x.beforeWrite(c)
	}
	if err != nil {
		awaitAnswer(last)
		return 0, err
	}
	return c.Conn.Write(p)
}

// awaitAnswer waits until the earlier owner of a connection has its answer. Its
// transport hands a connection on before the answer if that has no body, and
// the error of a write would take the answer away.
func awaitAnswer(last *exchange) {
	if last == nil {
		return
	}
	select {
	case <-last.done:
	case <-time.After(lingerTime):
	}
}

// Close says goodbye and returns. The connection's place is given back once
// the target has closed its end too, so that the target never sees more
// connections than the limit; a target that doesn't is given lingerTime.
func (c *trackedConn) Close() error {
	c.once.Do(func() {
		c.closeWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		go c.linger()
	})
	return nil
}

// linger waits for the target's end of a connection that is being closed.
func (c *trackedConn) linger() {
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Conn.Close()
	c.release()
}

// abort closes a connection that nothing more is expected from.
func (c *trackedConn) abort() {
	_ = c.SetReadDeadline(time.Now())
	_ = c.Close()
	_ = c.SetReadDeadline(time.Now())
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

// empty waits until no place is taken, or until the time is over. It calls
// makeRoom before each look.
func (l *connLimit) empty(limit time.Duration, makeRoom func()) {
	const pause = 5 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pause) {
		makeRoom()
		l.mu.Lock()
		used := l.used
		l.mu.Unlock()
		if used == 0 {
			return
		}
	}
}

func (l *connLimit) signal() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}
