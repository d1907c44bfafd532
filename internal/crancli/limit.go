package crancli

import (
	"net"
	"sync"
)

// limitListener is a listener that bounds the number of open connections. At
// the bound, Accept waits until one of them is closed; meanwhile further
// connections wait in the backlog of the operating system.
type limitListener struct {
	net.Listener
	// tokens holds a token for each open connection.
	tokens chan struct{}
	// closed is closed by the first Close.
	closed chan struct{}
	once   sync.Once
}

func newLimitListener(l net.Listener, maxOpen int) *limitListener {
	return &limitListener{Listener: l, tokens: make(chan struct{}, maxOpen), closed: make(chan struct{})}
}

// Accept waits until fewer connections than the bound are open, and returns
// the next one.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.tokens <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.tokens
		return nil, err
	}
	return &limitConn{Conn: c, release: sync.OnceFunc(func() { <-l.tokens })}, nil
}

// Close closes the listener. A waiting Accept returns net.ErrClosed.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitConn is a connection that releases its token on the first Close.
type limitConn struct {
	net.Conn
	release func()
}

// Close closes the connection and releases its token.
func (c *limitConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
