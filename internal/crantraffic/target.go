package crantraffic

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// target holds the connections to one instance.
//
// It has two transports that share one connection limit. The pooled transport
// keeps connections alive for idempotent requests. The fresh transport opens a
// new connection for each exchange, for two reasons. The transport of net/http
// replays a request only on a connection that an earlier request has used. And
// a connection whose handshake has just completed hasn't gone silent.
type target struct {
	id          string
	address     string
	conns       *connLimit
	dialer      net.Dialer
	dialTimeout time.Duration
	pooled      *http.Transport
	fresh       *http.Transport
	inFlight    atomic.Int64 // exchanges that have begun and may not have ended
}

func newTarget(i Instance, dialTimeout time.Duration) *target {
	t := &target{
		id:          i.id,
		address:     i.address,
		conns:       newConnLimit(i.connections),
		dialTimeout: dialTimeout,
	}
	t.pooled = t.newTransport(i.connections)
	t.fresh = t.newTransport(i.connections)
	t.fresh.DisableKeepAlives = true
	return t
}

func (t *target) newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:         t.dial,
		DisableCompression:  true,
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     defaultIdleTimeout,
		Protocols:           onlyHTTP1(),
	}
}

func onlyHTTP1() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// dial opens a connection within the limit. Once it has a permit, it continues
// even if the transport cancels the dial. A handshake that is cancelled midway
// can leave a connection open at the target for which no permit is held.
func (t *target) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.dialTimeout)
	defer cancel()
	if err := t.conns.acquire(ctx, t.pooled.CloseIdleConnections); err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), t.dialTimeout)
	defer stop()
	c, err := t.dialer.DialContext(ctx, "tcp", t.address)
	if err != nil {
		t.conns.release()
		return nil, err
	}
	return &trackedConn{Conn: c, release: t.conns.release}, nil
}

// transport returns the transport for an exchange.
func (t *target) transport(fresh bool) *http.Transport {
	if fresh {
		return t.fresh
	}
	return t.pooled
}

// closeIdle closes the idle connections.
func (t *target) closeIdle() {
	t.pooled.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}
