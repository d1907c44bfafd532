package cransoak

import (
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to connections.
type Mode uint8

// Modes of a proxy.
const (
	Pass Mode = iota
	// Delay holds each piece back for a while.
	Delay
	// Stall keeps connections open and passes nothing on, in either way.
	Stall
	// DropResponses passes requests on and drops the answers.
	DropResponses
	// Reset breaks open connections and refuses new ones.
	Reset
	modes
)

const (
	// delay is how long Delay holds a piece back.
	delay = 150 * time.Millisecond
	// pieceSize is the size of a piece, in bytes.
	pieceSize = 16 << 10
	// modePoll is how often a silenced connection looks for another mode.
	modePoll = 20 * time.Millisecond
)

// Proxy stands between processes and one server.
type Proxy struct {
	listener net.Listener
	backend  string
	group    sync.WaitGroup

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// NewProxy returns a proxy for a server.
func NewProxy(backend string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, backend: backend, conns: map[net.Conn]bool{}}
	p.group.Go(p.accept)
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes what happens to connections, open ones too.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Reset {
		p.closeAll()
	}
}

// Close ends the proxy and waits for its connections.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
	p.mode = Reset
	p.closeAll()
	p.mu.Unlock()
	p.group.Wait()
	return err
}

func (p *Proxy) closeAll() {
	for c := range p.conns {
		// The other side learns of it; nothing is left to do here.
		_ = c.Close()
	}
}

func (p *Proxy) current() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.backend)
		if err != nil || p.current() == Reset {
			_ = in.Close()
			if out != nil {
				_ = out.Close()
			}
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		p.group.Go(func() { p.pipe(in, out, false) })
		p.group.Go(func() { p.pipe(out, in, true) })
	}
}

// pipe passes pieces on as the mode says.
func (p *Proxy) pipe(from, to net.Conn, answers bool) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range []net.Conn{from, to} {
			delete(p.conns, c)
			_ = c.Close()
		}
	}()
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		if err != nil {
			return
		}
		switch p.current() {
		case Delay:
			time.Sleep(delay)
		case Stall:
			p.awaitVoice()
		case DropResponses:
			if answers {
				continue
			}
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return
		}
	}
}

func (p *Proxy) awaitVoice() {
	for p.current() == Stall {
		time.Sleep(modePoll)
	}
}
