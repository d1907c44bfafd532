package cranpeer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// Handler handles the calls of peers to an entry instance. Its methods may be called
// concurrently.
type Handler interface {
	// Admit returns nil if the member may make calls from the address.
	Admit(member string, from netip.Addr) error
	// Status returns the status of this entry.
	Status() Status
	// Records returns the recent records from an offset on. It returns complete
	// as false if they are not kept that far back.
	Records(from uint64) (records []cranplatform.Record, complete bool)
	// Append appends to the log on behalf of a peer.
	Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error)
	// Snapshot returns the control state.
	Snapshot(ctx context.Context) (Snapshot, error)
	// HandleSlotMessage handles a message for the slot broker.
	HandleSlotMessage(from string, m cranslot.Message)
	// Answer returns the answer that this entry caches for a key.
	Answer(key string) Answer
}

// Server accepts connections from peers and serves their calls.
type Server struct {
	handler         Handler
	listener        net.Listener
	maxMessageBytes int
	onRefused       func(cranfault.Kind)
	countBytes      ByteCounter

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]bool
	closed bool
	// done counts the running goroutines, which Close waits for.
	done sync.WaitGroup
}

// NewServer starts to accept connections on the listener and takes ownership of it.
// A message larger than maxMessageBytes ends its connection. The server calls
// onRefused with the kind of the fault for every call that fails, possibly for several
// calls at the same time.
func NewServer(listener net.Listener, handler Handler, maxMessageBytes int, onRefused func(cranfault.Kind), countBytes ByteCounter) *Server {
	s := &Server{handler: handler, listener: listener, maxMessageBytes: maxMessageBytes, onRefused: onRefused, countBytes: countBytes, conns: map[*jsonrpc2.Conn]bool{}}
	s.done.Add(1)
	go s.acceptLoop()
	return s
}

// Close closes the listener and all connections, and waits until the connections
// have ended.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	err := s.listener.Close()
	s.done.Wait()
	return err
}

// acceptLoop accepts connections until the listener is closed.
func (s *Server) acceptLoop() {
	defer s.done.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.startSession(conn)
	}
}

// startSession serves the calls on a connection.
func (s *Server) startSession(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	se := &session{server: s, from: remoteAddr(conn)}
	c := jsonrpc2.NewConn(context.Background(), newStream(conn, s.maxMessageBytes, s.countBytes), se, jsonrpc2.SetLogger(discardLogger{}))
	s.conns[c] = true
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		<-c.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// remoteAddr returns the IP address of the other side, or the zero address if it is
// not known.
func remoteAddr(conn net.Conn) netip.Addr {
	a, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

// discardLogger discards the log lines of the JSON-RPC library. Refused calls are
// counted instead.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}

// session serves one connection that a peer opened.
type session struct {
	server *Server
	from   netip.Addr
	// mu guards member, the incarnation of the peer. It is empty until the peer
	// is admitted.
	mu     sync.Mutex
	member string
}

// Handle serves calls in order of arrival, except for appends. These wait for the
// log, so they are served concurrently.
func (se *session) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Method == methodAppend {
		go se.handle(ctx, c, r)
		return
	}
	se.handle(ctx, c, r)
}

// handle runs a call and replies to it. It closes the connection of a peer that is
// not admitted.
func (se *session) handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	result, err := se.dispatch(ctx, r)
	if err != nil {
		se.server.onRefused(cranfault.KindOf(err))
	}
	if !r.Notif {
		se.reply(ctx, c, r, result, err)
	}
	if errors.Is(err, cranfault.MatchKind(cranfault.UnknownPeer)) {
		_ = c.Close()
	}
}

// reply sends the result or the error of a call.
func (se *session) reply(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request, result any, err error) {
	if err != nil {
		_ = c.ReplyWithError(ctx, r.ID, encodeFault(err))
		return
	}
	_ = c.Reply(ctx, r.ID, result)
}

// dispatch calls the method of the handler that a request names.
func (se *session) dispatch(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	if r.Method == methodHello {
		return decodeAndRun(r, se.hello)
	}
	member := se.admittedMember()
	if member == "" {
		return nil, cranfault.New(cranfault.UnknownPeer, "call the hello method first, as a member", "method %s was called before hello", r.Method)
	}
	handler := se.server.handler
	switch r.Method {
	case methodStatus:
		return handler.Status(), nil
	case methodRecords:
		return decodeAndRun(r, func(req recordsRequest) (recordsResponse, error) {
			records, complete := handler.Records(req.From)
			return recordsResponse{Records: records, Complete: complete}, nil
		})
	case methodAppend:
		return decodeAndRun(r, func(req appendRequest) (appendResponse, error) {
			first, err := handler.Append(ctx, req.Stream, req.Payloads)
			return appendResponse{First: first}, err
		})
	case methodSnapshot:
		return handler.Snapshot(ctx)
	case methodSlots:
		return decodeAndRun(r, func(req slotsRequest) (emptyMessage, error) {
			handler.HandleSlotMessage(member, req.Message)
			return emptyMessage{}, nil
		})
	case methodAnswer:
		return decodeAndRun(r, func(req answerRequest) (Answer, error) { return handler.Answer(req.Key), nil })
	default:
		return nil, cranfault.New(cranfault.Malformed, "update the peer", "unknown method %q", r.Method)
	}
}

// hello admits the peer under the member name that it sent.
func (se *session) hello(req helloRequest) (emptyMessage, error) {
	if err := se.server.handler.Admit(req.Member, se.from); err != nil {
		return emptyMessage{}, err
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	se.member = req.Member
	return emptyMessage{}, nil
}

// admittedMember returns the member name of the peer, or the empty string before it
// is admitted.
func (se *session) admittedMember() string {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.member
}

// decodeAndRun decodes the parameters of a call and passes them to run.
func decodeAndRun[Q, A any](r *jsonrpc2.Request, run func(Q) (A, error)) (any, error) {
	var req Q
	if r.Params == nil {
		return nil, cranfault.New(cranfault.Malformed, "update the peer", "call of method %s without parameters", r.Method)
	}
	if err := json.Unmarshal(*r.Params, &req); err != nil {
		return nil, cranfault.New(cranfault.Malformed, "update the peer", "invalid parameters of method %s: %v", r.Method, err)
	}
	return run(req)
}
