package crantraffic

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// errNoOwner refuses a write to a connection that no exchange owns, or that is
// being closed.
var errNoOwner error = eris.New("crantraffic: write to a connection that no exchange owns")

// lingerTime limits how long a closed connection waits for the target to close
// its side, and how long a refused write waits for the previous owner's answer.
const lingerTime = time.Second

// trackedConn is a connection to a target. The exchange that owns the
// connection must allow each write.
type trackedConn struct {
	net.Conn
	release func() // returns the permit to the connLimit
	once    sync.Once

	mu           sync.Mutex
	owner        *exchange // the latest exchange that got the connection from its transport
	previous     *exchange // the owner before; the transport has read its answer
	retired      bool      // true: no later exchange may own the connection
	targetClosed bool      // true: the target closed its side after the connection was retired
}

// setOwner makes x the owner, unless the connection is retired.
func (c *trackedConn) setOwner(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner, c.previous = x, c.owner
	if c.retired {
		c.owner = nil
	}
}

// retire forbids owners after x. It reports whether x is still the owner. If it
// is not, another exchange uses the connection, which must be left alone.
func (c *trackedConn) retire(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != x {
		return false
	}
	c.retired = true
	return true
}

// Read reads from the connection and records whether the target closed its
// side.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF { //nolint:errorlint // net.Conn returns it bare
		c.mu.Lock()
		c.targetClosed = c.retired
		c.mu.Unlock()
	}
	return n, err
}

// targetHasClosed reports whether the target closed its side after the
// connection was retired. The target has then ended the run.
func (c *trackedConn) targetHasClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targetClosed
}

// closeRetired closes the connection if it is retired and x is its last owner.
func (c *trackedConn) closeRetired(x *exchange) {
	c.mu.Lock()
	last := c.retired && c.owner == x
	c.mu.Unlock()
	if last {
		_ = c.Close()
	}
}

// Write writes to the connection if the owner allows it.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	x, previous := c.owner, c.previous
	c.mu.Unlock()
	err := errNoOwner
	if x != nil {
		err = x.allowWrite(c)
	}
	if err != nil {
		awaitAnswer(previous)
		return 0, err
	}
	return c.Conn.Write(p)
}

// awaitAnswer waits until the previous owner of a connection has its answer. If
// the answer has no body, the transport hands the connection on before the
// exchange has received the answer. A write error in that window would discard
// the answer.
func awaitAnswer(previous *exchange) {
	if previous == nil {
		return
	}
	select {
	case <-previous.done:
	case <-time.After(lingerTime):
	}
}

// Close closes the write side and returns. The permit is returned only when the
// target has closed its side too, so that the target never sees more
// connections than the limit. After lingerTime the connection is closed without
// waiting for the target.
func (c *trackedConn) Close() error {
	c.once.Do(func() {
		c.closeWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		go c.linger()
	})
	return nil
}

// linger waits until the target closes its side, then closes the connection and
// returns the permit.
func (c *trackedConn) linger() {
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Conn.Close()
	c.release()
}

// abort closes the connection without waiting for the target. Close may extend
// the read deadline, so it is set again afterwards.
func (c *trackedConn) abort() {
	_ = c.SetReadDeadline(time.Now())
	_ = c.Close()
	_ = c.SetReadDeadline(time.Now())
}

// closeWrite closes the write side, which tells the target that the caller is
// gone. The read side stays open to detect the end of the target's run.
func (c *trackedConn) closeWrite() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// connLimit limits the open connections to one target. Each connection holds a
// permit.
type connLimit struct {
	mu    sync.Mutex
	used  int
	limit int           // maximum number of permits, above zero
	freed chan struct{} // holds one signal while a permit may be free
}

func newConnLimit(limit int) *connLimit {
	return &connLimit{limit: limit, freed: make(chan struct{}, 1)}
}

// acquire takes a permit, or waits for one. If none is free, it first calls
// closeIdle once to close idle connections.
func (l *connLimit) acquire(ctx context.Context, closeIdle func()) error {
	if l.tryAcquire() {
		return nil
	}
	closeIdle()
	for !l.tryAcquire() {
		select {
		case <-l.freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	l.signal() // freed holds only one signal, and more permits may be free
	return nil
}

func (l *connLimit) tryAcquire() bool {
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

// setLimit changes the limit. If more connections are open than the new limit
// allows, they are left to end on their own.
func (l *connLimit) setLimit(n int) {
	l.mu.Lock()
	l.limit = n
	l.mu.Unlock()
	l.signal()
}

// waitUntilEmpty waits until no permit is taken, or until the timeout. It calls
// closeIdle before each check.
func (l *connLimit) waitUntilEmpty(timeout time.Duration, closeIdle func()) {
	const pause = 5 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pause) {
		closeIdle()
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
