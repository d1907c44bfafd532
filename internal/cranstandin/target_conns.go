package cranstandin

import (
	"context"
	"net"
	"net/http"
)

// connections tracks a target's open connections; the target's mutex guards
// it.
type connections struct {
	open map[net.Conn]*connection
	// last is the number of the newest connection.
	last int
	// silentTo is the number of the newest silent connection, or zero.
	silentTo int
	// carrying counts the open connections that carried a run or a probe.
	carrying int
}

// connection is one open connection.
type connection struct {
	number int
	idle   bool
	// carries tells that it carried a run or a probe, not only control calls.
	carries bool
}

func newConnections() connections {
	return connections{open: map[net.Conn]*connection{}}
}

// silence silences the open connections, or lets all work.
func (c *connections) silence(on bool) {
	c.silentTo = 0
	if on {
		c.silentTo = c.last
	}
}

// breakIdle closes the connections on which no request is in progress.
func (c *connections) breakIdle() {
	for conn, state := range c.open {
		if state.idle {
			_ = conn.Close()
		}
	}
}

// connectionKey finds a request's connection in its context.
type connectionKey struct{}

// ConfigureServer makes a server tell the target of its connections, which their
// limit and the silence of open connections rest on.
func (t *Target) ConfigureServer(s *http.Server) {
	s.ConnState = t.trackConnection
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
}

// trackConnection follows the states of the server's connections.
func (t *Target) trackConnection(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conns.open[conn]
	switch state {
	case http.StateNew:
		t.conns.last++
		t.conns.open[conn] = &connection{number: t.conns.last}
	case http.StateActive:
		if c != nil {
			c.idle = false
		}
	case http.StateIdle:
		if c != nil {
			c.idle = true
		}
	case http.StateClosed, http.StateHijacked:
		if c != nil && c.carries {
			t.conns.carrying--
		}
		delete(t.conns.open, conn)
	}
}

// admit counts a request's connection as one that carries traffic, and
// reports false if that is one too many.
func (t *Target) admit(ctx context.Context) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.connectionOf(ctx)
	if c == nil || c.carries {
		return true
	}
	if t.conns.carrying >= t.connections {
		t.ledger.OverConnections++
		return false
	}
	c.carries = true
	t.conns.carrying++
	return true
}

// silent reports whether a request's connection hangs.
func (t *Target) silent(ctx context.Context) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.SilentAll {
		return true
	}
	c := t.connectionOf(ctx)
	return c != nil && c.number <= t.conns.silentTo
}

// connectionOf returns a request's connection, or nil if it has none.
func (t *Target) connectionOf(ctx context.Context) *connection {
	conn, _ := ctx.Value(connectionKey{}).(net.Conn)
	if conn == nil {
		return nil
	}
	return t.conns.open[conn]
}
