package cranpeer

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// codeFault is the JSON-RPC error code of a typed fault.
const codeFault = 1

// ByteCounter is called with the bytes that went over a connection in one call.
type ByteCounter func(direction Direction, bytes int)

// Direction is the way that bytes went, as this process sees it.
type Direction string

// Directions of bytes.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// boundedConn refuses to read on once a message has grown over the bound.
type boundedConn struct {
	net.Conn
	count ByteCounter
	// left is how many bytes may still be read; the codec resets it before
	// each message, and one goroutine reads.
	left  int
	bound int
}

// Read fails once the bound is used up.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, cranfault.New(cranfault.TooLarge, "raise limits.maxPeerMessage", "message over %d bytes", c.bound)
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	c.count(Received, n)
	return n, err
}

// Write counts what is sent.
func (c *boundedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(Sent, n)
	return n, err
}

// boundedCodec is the usual framing by Content-Length with a bound.
type boundedCodec struct {
	jsonrpc2.VSCodeObjectCodec
	conn *boundedConn
}

// ReadObject reads one message within the bound.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	c.conn.left = c.conn.bound
	return c.VSCodeObjectCodec.ReadObject(stream, v)
}

func newStream(conn net.Conn, bound int, count ByteCounter) jsonrpc2.ObjectStream {
	b := &boundedConn{Conn: conn, count: count, left: bound, bound: bound}
	return jsonrpc2.NewBufferedStream(b, boundedCodec{conn: b})
}

type wireFault struct {
	Kind    cranfault.Kind `json:"kind"`
	Message string         `json:"message"`
	Remedy  string         `json:"remedy"`
}

// encodeFault makes an error travel as a typed fault.
func encodeFault(err error) *jsonrpc2.Error {
	var f *cranfault.Fault
	if !errors.As(err, &f) {
		f = cranfault.New(cranfault.Invalid, "look at the peer's log", "%v", err)
	}
	e := &jsonrpc2.Error{Code: codeFault, Message: f.Message()}
	e.SetError(wireFault{Kind: f.Kind(), Message: f.Message(), Remedy: f.Remedy()})
	return e
}

// decodeFault turns the error of a call into a typed fault.
func decodeFault(err error, member string) error {
	var e *jsonrpc2.Error
	if !errors.As(err, &e) {
		return cranfault.New(cranfault.Timeout, "the call may have taken effect; ask again", "peer %s: %v", member, err)
	}
	var w wireFault
	if e.Data == nil || json.Unmarshal(*e.Data, &w) != nil || w.Kind == "" {
		return cranfault.New(cranfault.Malformed, "update the peer", "peer %s: %s", member, e.Message)
	}
	return cranfault.New(w.Kind, w.Remedy, "%s", w.Message)
}

// closedByPeer reports whether an error only says that the other side hung up.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, jsonrpc2.ErrClosed)
}
