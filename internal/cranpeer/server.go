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

// Handler is what an entry instance offers to its peers. Its methods are called
// on many goroutines.
type Handler interface {
	// Admit returns nil if the member may call from that address.
	Admit(member string, from netip.Addr) error
	// Status says how far this entry is.
	Status() Status
	// Records returns recent records from an offset on; whole is false if
	// they are not kept that far back.
	Records(from uint64) (records []cranplatform.Record, whole bool)
	// Append appends to the log on behalf of a peer.
	Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error)
	// Snapshot returns the control state.
	Snapshot(ctx context.Context) (Snapshot, error)
	// HandleSlotMessage takes a message about slots.
	HandleSlotMessage(from string, m cranslot.Message)
	// Answer returns an answer kept here.
	Answer(key string) Answer
}

// Server takes calls from peers.
type Server struct {
	local    Handler
	listener net.Listener
	bound    int
	refused  func(cranfault.Kind)
	count    ByteCounter

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]bool
	closed bool
	done   sync.WaitGroup
}

// NewServer starts to accept calls on the listener, which it owns. A message
// over bound bytes ends its connection. Refused is called for every refusal.
func NewServer(listener net.Listener, local Handler, bound int, refused func(cranfault.Kind), count ByteCounter) *Server {
	s := &Server{local: local, listener: listener, bound: bound, refused: refused, count: count, conns: map[*jsonrpc2.Conn]bool{}}
	s.done.Add(1)
	go s.accept()
	return s
}

// Close ends all connections and waits for the calls in progress.
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

func (s *Server) accept() {
	defer s.done.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	se := &session{server: s, from: remoteAddr(conn)}
	c := jsonrpc2.NewConn(context.Background(), newStream(conn, s.bound, s.count), se, jsonrpc2.SetLogger(silent{}))
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

func remoteAddr(conn net.Conn) netip.Addr {
	a, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

// silent drops the library's own log lines; refusals are counted instead.
type silent struct{}

// Printf does nothing.
func (silent) Printf(string, ...any) {}

// session is one connection of a peer.
type session struct {
	server *Server
	from   netip.Addr
	// mu guards member, the peer's incarnation once it was admitted.
	mu     sync.Mutex
	member string
}

// Handle answers calls in order of their arrival, but for those that wait for
// the log.
func (se *session) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Method == methodAppend {
		go se.handle(ctx, c, r)
		return
	}
	se.handle(ctx, c, r)
}

func (se *session) handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	answer, err := se.dispatch(ctx, r)
	if err != nil {
		se.server.refused(cranfault.KindOf(err))
	}
	if !r.Notif {
		se.reply(ctx, c, r, answer, err)
	}
	if errors.Is(err, cranfault.MatchKind(cranfault.UnknownPeer)) {
		_ = c.Close()
	}
}

func (se *session) reply(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request, answer any, err error) {
	if err != nil {
		_ = c.ReplyWithError(ctx, r.ID, encodeFault(err))
		return
	}
	_ = c.Reply(ctx, r.ID, answer)
}

func (se *session) dispatch(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	if r.Method == methodHello {
		return handle(r, se.hello)
	}
	member := se.admitted()
	if member == "" {
		return nil, cranfault.New(cranfault.UnknownPeer, "say hello first, as a member", "call of %s before hello", r.Method)
	}
	local := se.server.local
	switch r.Method {
	case methodStatus:
		return local.Status(), nil
	case methodRecords:
		return handle(r, func(q recordsRequest) (recordsAnswer, error) {
			records, whole := local.Records(q.From)
			return recordsAnswer{Records: records, Whole: whole}, nil
		})
	case methodAppend:
		return handle(r, func(q appendRequest) (appendAnswer, error) {
			first, err := local.Append(ctx, q.Stream, q.Payloads)
			return appendAnswer{First: first}, err
		})
	case methodSnapshot:
		return local.Snapshot(ctx)
	case methodSlots:
		return handle(r, func(q slotsRequest) (nothing, error) {
			local.HandleSlotMessage(member, q.Message)
			return nothing{}, nil
		})
	case methodAnswer:
		return handle(r, func(q answerRequest) (Answer, error) { return local.Answer(q.Key), nil })
	default:
		return nil, cranfault.New(cranfault.Malformed, "update the peer", "unknown method %q", r.Method)
	}
}

func (se *session) hello(q helloRequest) (nothing, error) {
	if err := se.server.local.Admit(q.Member, se.from); err != nil {
		return nothing{}, err
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	se.member = q.Member
	return nothing{}, nil
}

func (se *session) admitted() string {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.member
}

// handle decodes the parameters of a call and runs it.
func handle[Q, A any](r *jsonrpc2.Request, run func(Q) (A, error)) (any, error) {
	var q Q
	if r.Params == nil {
		return nil, cranfault.New(cranfault.Malformed, "update the peer", "%s without parameters", r.Method)
	}
	if err := json.Unmarshal(*r.Params, &q); err != nil {
		return nil, cranfault.New(cranfault.Malformed, "update the peer", "%s: %v", r.Method, err)
	}
	return run(q)
}
