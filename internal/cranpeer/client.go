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

// dialTimeout bounds the opening of a connection to a peer.
const dialTimeout = time.Second

// Client calls peers over connections that it opens on demand.
type Client struct {
	self  string
	bound int
	count ByteCounter

	mu sync.Mutex
	// conns is keyed by member.
	conns  map[string]*jsonrpc2.Conn
	closed bool
}

// NewClient returns a client of the member self. An answer over bound bytes
// ends its connection.
func NewClient(self string, bound int, count ByteCounter) *Client {
	return &Client{self: self, bound: bound, count: count, conns: map[string]*jsonrpc2.Conn{}}
}

// Peer names a member and where it listens.
type Peer struct {
	Member  string
	Address string
}

// Close ends all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	return nil
}

// CloseExcept closes the connections to all but the given members.
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

// Status asks a peer how far it is.
func (c *Client) Status(ctx context.Context, p Peer) (Status, error) {
	return call[Status](ctx, c, p, methodStatus, nothing{})
}

// Records asks a peer for recent records. Whole is false if the peer's memory
// does not reach back to from.
func (c *Client) Records(ctx context.Context, p Peer, from uint64) (records []cranplatform.Record, whole bool, err error) {
	a, err := call[recordsAnswer](ctx, c, p, methodRecords, recordsRequest{From: from})
	return a.Records, a.Whole, err
}

// Append asks a peer to append to the log. An error says nothing about
// whether the append took effect.
func (c *Client) Append(ctx context.Context, p Peer, stream string, payloads [][]byte) (uint64, error) {
	a, err := call[appendAnswer](ctx, c, p, methodAppend, appendRequest{Stream: stream, Payloads: payloads})
	return a.First, err
}

// Snapshot asks a peer for its control state.
func (c *Client) Snapshot(ctx context.Context, p Peer) (Snapshot, error) {
	return call[Snapshot](ctx, c, p, methodSnapshot, nothing{})
}

// Answer asks a peer for an answer that it keeps.
func (c *Client) Answer(ctx context.Context, p Peer, key string) (Answer, error) {
	return call[Answer](ctx, c, p, methodAnswer, answerRequest{Key: key})
}

// SendSlotMessage sends a message about slots; it may be lost.
func (c *Client) SendSlotMessage(ctx context.Context, p Peer, m cranslot.Message) error {
	conn, err := c.connect(ctx, p)
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, methodSlots, slotsRequest{Message: m}); err != nil {
		c.drop(p.Member, conn)
		return decodeFault(err, p.Member)
	}
	return nil
}

func call[A any](ctx context.Context, c *Client, p Peer, method string, q any) (A, error) {
	var a A
	conn, err := c.connect(ctx, p)
	if err != nil {
		return a, err
	}
	if err := conn.Call(ctx, method, q, &a); err != nil {
		if closedByPeer(err) || ctx.Err() != nil {
			// A connection that fell silent stays silent; a new one may work.
			c.drop(p.Member, conn)
		}
		return a, decodeFault(err, p.Member)
	}
	return a, nil
}

// connect returns the connection to a peer, opening it if there is none.
func (c *Client) connect(ctx context.Context, p Peer) (*jsonrpc2.Conn, error) {
	if conn := c.kept(p.Member); conn != nil {
		return conn, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return nil, cranfault.New(cranfault.Timeout, "nothing was sent; try another peer", "peer %s at %s: %v", p.Member, p.Address, err)
	}
	conn := jsonrpc2.NewConn(context.Background(), newStream(raw, c.bound, c.count), refuser{}, jsonrpc2.SetLogger(silent{}))
	if err := conn.Call(ctx, methodHello, helloRequest{Member: c.self}, nil); err != nil {
		_ = conn.Close()
		return nil, decodeFault(err, p.Member)
	}
	return c.keep(p.Member, conn)
}

func (c *Client) kept(member string) *jsonrpc2.Conn {
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

// keep stores a new connection; of two opened at once the first stays.
func (c *Client) keep(member string, conn *jsonrpc2.Conn) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, cranfault.New(cranfault.Cancelled, "nothing was sent", "the client is closed")
	}
	if first := c.conns[member]; first != nil {
		_ = conn.Close()
		return first, nil
	}
	c.conns[member] = conn
	return conn, nil
}

func (c *Client) drop(member string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[member] == conn {
		delete(c.conns, member)
	}
	_ = conn.Close()
}

// refuser answers calls on connections that this side opened: there are none.
type refuser struct{}

// Handle refuses the call.
func (refuser) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !r.Notif {
		_ = c.ReplyWithError(ctx, r.ID, encodeFault(cranfault.New(cranfault.Malformed, "open a connection of your own", "call on a caller's connection")))
	}
}
