package crancli

import (
	"net"
	"sync"
)

// limitListener is a listener with a bound on the connections that are open
// at once. At the bound, Accept waits until one of them is closed; further
// callers wait in the system's queue meanwhile.
type limitListener struct {
	net.Listener
	// open holds a token for each open connection.
	open chan struct{}
	// closed is closed by the first Close.
	closed chan struct{}
	once   sync.Once
}

func newLimitListener(l net.Listener, most int) *limitListener {
	return &limitListener{Listener: l, open: make(chan struct{}, most), closed: make(chan struct{})}
}

// Accept returns the next connection once fewer than the bound are open.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.open <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.open
		return nil, err
	}
	return &limitConn{Conn: c, release: sync.OnceFunc(func() { <-l.open })}, nil
}

// Close ends the listener and an Accept that waits.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitConn gives its token back when it is closed for the first time.
type limitConn struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *limitConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
