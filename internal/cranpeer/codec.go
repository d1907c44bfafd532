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

// codeFault is the JSON-RPC error code of every typed fault.
const codeFault = 1

// ByteCounter is called with the number of bytes that one read or write transferred.
type ByteCounter func(direction Direction, bytes int)

// Direction is the direction of a transfer, as seen from this process.
type Direction string

// Directions of a transfer.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// boundedConn is a connection that limits the size of a received message and counts
// the bytes transferred.
type boundedConn struct {
	net.Conn
	countBytes ByteCounter
	// remaining is how many bytes of the current message may still be read. The
	// codec resets it to limit before each message. Only one goroutine reads.
	remaining int
	limit     int
}

// Read fails once the message has reached the limit.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, cranfault.New(cranfault.TooLarge, "raise limits.maxPeerMessage", "message larger than %d bytes", c.limit)
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	c.countBytes(Received, n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *boundedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.countBytes(Sent, n)
	return n, err
}

// boundedCodec frames messages by Content-Length and limits their size.
type boundedCodec struct {
	jsonrpc2.VSCodeObjectCodec
	conn *boundedConn
}

// ReadObject reads one message and fails if it exceeds the limit.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	c.conn.remaining = c.conn.limit
	return c.VSCodeObjectCodec.ReadObject(stream, v)
}

// newStream returns a stream of JSON-RPC messages of at most maxMessageBytes.
func newStream(conn net.Conn, maxMessageBytes int, countBytes ByteCounter) jsonrpc2.ObjectStream {
	b := &boundedConn{Conn: conn, countBytes: countBytes, remaining: maxMessageBytes, limit: maxMessageBytes}
	return jsonrpc2.NewBufferedStream(b, boundedCodec{conn: b})
}

// wireFault is the encoding of a fault in the data of a JSON-RPC error.
type wireFault struct {
	Kind    cranfault.Kind `json:"kind"`
	Message string         `json:"message"`
	Remedy  string         `json:"remedy"`
}

// encodeFault encodes an error for a response. An error that is not a fault is sent
// as a fault of kind invalid.
func encodeFault(err error) *jsonrpc2.Error {
	var f *cranfault.Fault
	if !errors.As(err, &f) {
		f = cranfault.New(cranfault.Invalid, "read the log of the peer", "%v", err)
	}
	e := &jsonrpc2.Error{Code: codeFault, Message: f.Message()}
	e.SetError(wireFault{Kind: f.Kind(), Message: f.Message(), Remedy: f.Remedy()})
	return e
}

// decodeFault converts the error of a call to a typed fault. An error that is not a
// response of the peer becomes a fault of kind timeout.
func decodeFault(err error, member string) error {
	var e *jsonrpc2.Error
	if !errors.As(err, &e) {
		return cranfault.New(cranfault.Timeout, "the call may have taken effect; try again", "call to peer %s failed: %v", member, err)
	}
	var w wireFault
	if e.Data == nil || json.Unmarshal(*e.Data, &w) != nil || w.Kind == "" {
		return cranfault.New(cranfault.Malformed, "update the peer", "peer %s responded with an unknown error: %s", member, e.Message)
	}
	return cranfault.New(w.Kind, w.Remedy, "%s", w.Message)
}

// closedByPeer reports whether an error means that the connection was closed.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, jsonrpc2.ErrClosed)
}
