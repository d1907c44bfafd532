package cranstandin

import (
	"context"
	"net"
	"net/http"
)

// connections tracks a target's open connections. The target's mutex guards it.
type connections struct {
	open map[net.Conn]*connection
	// lastNumber is the number of the newest connection.
	lastNumber int
	// silentUpTo is the number of the newest connection that the SilentOpen
	// fault makes hang, or zero.
	silentUpTo int
	// countedOpen is the number of open connections that count towards the
	// limit.
	countedOpen int
}

// connection is an open connection. Numbers start at one and increase.
type connection struct {
	number int
	idle   bool
	// counted is set when a run or a health probe was sent over the connection.
	// Connections with only control calls don't count towards the limit.
	counted bool
}

func newConnections() connections {
	return connections{open: map[net.Conn]*connection{}}
}

// silence makes the open connections hang, or lets all connections work.
func (c *connections) silence(on bool) {
	c.silentUpTo = 0
	if on {
		c.silentUpTo = c.lastNumber
	}
}

// closeIdle closes the connections on which no request is in progress.
func (c *connections) closeIdle() {
	for conn, state := range c.open {
		if state.idle {
			_ = conn.Close()
		}
	}
}

// connectionKey is the context key of a request's net.Conn.
type connectionKey struct{}

// ConfigureServer sets the hooks of an HTTP server that report its connections
// to the target. Without them the connection limit and the SilentOpen fault have
// no effect.
func (t *Target) ConfigureServer(s *http.Server) {
	s.ConnState = t.trackConnection
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
}

// trackConnection handles the state changes of the server's connections.
func (t *Target) trackConnection(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conns.open[conn]
	switch state {
	case http.StateNew:
		t.conns.lastNumber++
		t.conns.open[conn] = &connection{number: t.conns.lastNumber}
	case http.StateActive:
		if c != nil {
			c.idle = false
		}
	case http.StateIdle:
		if c != nil {
			c.idle = true
		}
	case http.StateClosed, http.StateHijacked:
		if c != nil && c.counted {
			t.conns.countedOpen--
		}
		delete(t.conns.open, conn)
	}
}

// admitConnection counts a request's connection towards the limit. It reports
// false if the limit is reached.
func (t *Target) admitConnection(ctx context.Context) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.connectionOf(ctx)
	if c == nil || c.counted {
		return true
	}
	if t.conns.countedOpen >= t.connections {
		t.ledger.ConnectionRefusals++
		return false
	}
	c.counted = true
	t.conns.countedOpen++
	return true
}

// silent reports whether an injected fault makes a request's connection hang.
func (t *Target) silent(ctx context.Context) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.SilentAll {
		return true
	}
	c := t.connectionOf(ctx)
	return c != nil && c.number <= t.conns.silentUpTo
}

// connectionOf returns the connection of a request's context, or nil if the
// server wasn't configured with ConfigureServer.
func (t *Target) connectionOf(ctx context.Context) *connection {
	conn, _ := ctx.Value(connectionKey{}).(net.Conn)
	if conn == nil {
		return nil
	}
	return t.conns.open[conn]
}
