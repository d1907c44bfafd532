package cranpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// dialTimeout is the maximum time to open a TCP connection to a peer.
const dialTimeout = time.Second

// Client calls peers over connections that it opens on demand.
type Client struct {
	self            string
	maxMessageBytes int
	countBytes      ByteCounter

	mu sync.Mutex
	// conns maps a member name to the open connection to that member.
	conns  map[string]*jsonrpc2.Conn
	closed bool
}

// NewClient returns a client that identifies itself as the member self. A response
// larger than maxMessageBytes ends its connection.
func NewClient(self string, maxMessageBytes int, countBytes ByteCounter) *Client {
	return &Client{self: self, maxMessageBytes: maxMessageBytes, countBytes: countBytes, conns: map[string]*jsonrpc2.Conn{}}
}

// Peer holds the name of a member and the address on which it listens for peers.
type Peer struct {
	Member  string
	Address string
}

// Close closes all connections. Later calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	return nil
}

// CloseExcept closes all connections except those to the given members.
func (c *Client) CloseExcept(members map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for member, conn := range c.conns {
		if !members[member] {
			_ = conn.Close()
			delete(c.conns, member)
		}
	}
}

// Status returns the next offset of a peer and the state of its contact with the
// log.
func (c *Client) Status(ctx context.Context, p Peer) (Status, error) {
	return call[Status](ctx, c, p, methodStatus, emptyMessage{})
}

// Records returns the recent records of a peer from an offset on. It returns
// complete as false if the peer no longer holds the records back to that offset.
func (c *Client) Records(ctx context.Context, p Peer, from uint64) (records []cranplatform.Record, complete bool, err error) {
	resp, err := call[recordsResponse](ctx, c, p, methodRecords, recordsRequest{From: from})
	return resp.Records, resp.Complete, err
}

// Append asks a peer to append to the log. After an error the append may still have
// taken effect.
func (c *Client) Append(ctx context.Context, p Peer, stream string, payloads [][]byte) (uint64, error) {
	resp, err := call[appendResponse](ctx, c, p, methodAppend, appendRequest{Stream: stream, Payloads: payloads})
	return resp.First, err
}

// Snapshot returns the control state of a peer.
func (c *Client) Snapshot(ctx context.Context, p Peer) (Snapshot, error) {
	return call[Snapshot](ctx, c, p, methodSnapshot, emptyMessage{})
}

// Answer returns the answer that a peer caches for a key.
func (c *Client) Answer(ctx context.Context, p Peer, key string) (Answer, error) {
	return call[Answer](ctx, c, p, methodAnswer, answerRequest{Key: key})
}

// SendSlotMessage sends a message to the slot broker of a peer. The message may be
// lost.
func (c *Client) SendSlotMessage(ctx context.Context, p Peer, m cranslot.Message) error {
	conn, err := c.connect(ctx, p)
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, methodSlots, slotsRequest{Message: m}); err != nil {
		c.dropConn(p.Member, conn)
		return decodeFault(err, p.Member)
	}
	return nil
}

// call calls a method of a peer and decodes the response.
func call[A any](ctx context.Context, c *Client, p Peer, method string, params any) (A, error) {
	var a A
	conn, err := c.connect(ctx, p)
	if err != nil {
		return a, err
	}
	if err := conn.Call(ctx, method, params, &a); err != nil {
		if closedByPeer(err) || ctx.Err() != nil {
			// A connection on which a call timed out may stay unresponsive, so
			// the next call opens a new one.
			c.dropConn(p.Member, conn)
		}
		return a, decodeFault(err, p.Member)
	}
	return a, nil
}

// connect returns the connection to a peer and opens one if necessary.
func (c *Client) connect(ctx context.Context, p Peer) (*jsonrpc2.Conn, error) {
	if conn := c.cachedConn(p.Member); conn != nil {
		return conn, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	tcpConn, err := d.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return nil, cranfault.New(cranfault.Timeout, "nothing was sent; try another peer", "connect to peer %s at %s: %v", p.Member, p.Address, err)
	}
	conn := jsonrpc2.NewConn(context.Background(), newStream(tcpConn, c.maxMessageBytes, c.countBytes), callRejecter{}, jsonrpc2.SetLogger(discardLogger{}))
	if err := conn.Call(ctx, methodHello, helloRequest{Member: c.self}, nil); err != nil {
		_ = conn.Close()
		return nil, decodeFault(err, p.Member)
	}
	return c.storeConn(p.Member, conn)
}

// cachedConn returns the open connection to a member, or nil.
func (c *Client) cachedConn(member string) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[member]
	if conn == nil {
		return nil
	}
	select {
	case <-conn.DisconnectNotify():
		delete(c.conns, member)
		return nil
	default:
		return conn
	}
}

// storeConn stores a new connection and returns the one to use. If two connections
// to a member are opened at the same time, the first is used and the other closed.
func (c *Client) storeConn(member string, conn *jsonrpc2.Conn) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, cranfault.New(cranfault.Cancelled, "nothing was sent", "the client is closed")
	}
	if existing := c.conns[member]; existing != nil {
		_ = conn.Close()
		return existing, nil
	}
	c.conns[member] = conn
	return conn, nil
}

// dropConn closes a connection and removes it from the open connections.
func (c *Client) dropConn(member string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[member] == conn {
		delete(c.conns, member)
	}
	_ = conn.Close()
}

// callRejecter rejects calls that arrive on connections which this side opened.
// Peers make calls only on connections that they opened themselves.
type callRejecter struct{}

// Handle rejects the call.
func (callRejecter) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !r.Notif {
		_ = c.ReplyWithError(ctx, r.ID, encodeFault(cranfault.New(cranfault.Malformed, "call on a connection that you opened", "a call arrived on a connection that this side opened")))
	}
}
