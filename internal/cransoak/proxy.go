package cransoak

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Mode is the fault that a proxy injects into connections.
type Mode uint8

// Modes of a proxy.
const (
	// Pass forwards all data at once.
	Pass Mode = iota
	// Delay forwards data after readDelay.
	Delay
	// Stall keeps connections open and forwards no data in either direction.
	Stall
	// DropResponses forwards requests and drops responses.
	DropResponses
	// Reset closes open connections, and new ones as soon as they are accepted.
	Reset
	// modeCount is the number of modes.
	modeCount
)

const (
	// readDelay is the delay of the data from one read in mode Delay.
	readDelay = 150 * time.Millisecond
	// bufferSize is the maximum size of one read, in bytes.
	bufferSize = 16 << 10
	// modePollInterval is the interval at which a stalled connection checks the mode.
	modePollInterval = 20 * time.Millisecond
)

// Proxy forwards TCP connections to a server and injects faults into them.
type Proxy struct {
	listener net.Listener
	backend  string
	// group counts the goroutines that accept and forward connections.
	group sync.WaitGroup

	// requests and responses bound the rate of all connections together in each direction.
	requests, responses *rate.Limiter
	// linkRate is the rate to which SetRate(0) returns.
	linkRate rate.Limit

	mu   sync.Mutex
	mode Mode
	// conns holds both ends of each open connection.
	conns map[net.Conn]bool
}

// NewProxy starts a proxy for the server at the address backend.
func NewProxy(backend string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		listener: l, backend: backend, linkRate: rate.Inf, conns: map[net.Conn]bool{},
		requests: rate.NewLimiter(rate.Inf, bufferSize), responses: rate.NewLimiter(rate.Inf, bufferSize),
	}
	p.group.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets the mode of the proxy for new and open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Reset {
		p.closeConns()
	}
}

// SetLink bounds the rate of all connections together in each direction, in bytes per second.
// It must not be called once there are connections.
func (p *Proxy) SetLink(bytesPerSecond float64) {
	p.linkRate = rate.Limit(bytesPerSecond)
	p.requests.SetLimit(p.linkRate)
	p.responses.SetLimit(p.linkRate)
}

// SetRate bounds the rate of the responses on all connections together, in bytes per second;
// 0 means no bound but that of the link.
func (p *Proxy) SetRate(bytesPerSecond int) {
	limit := min(rate.Limit(bytesPerSecond), p.linkRate)
	if bytesPerSecond == 0 {
		limit = p.linkRate
	}
	p.responses.SetLimit(limit)
}

// Close stops the proxy, closes its connections and waits for its goroutines.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
	p.mode = Reset
	p.closeConns()
	p.mu.Unlock()
	p.group.Wait()
	return err
}

// closeConns closes all connections. The caller must hold p.mu.
func (p *Proxy) closeConns() {
	for c := range p.conns {
		// Nothing needs to be done after a failed close: the peer notices the loss.
		_ = c.Close()
	}
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.backend)
		if err != nil || p.currentMode() == Reset {
			_ = client.Close()
			if server != nil {
				_ = server.Close()
			}
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		p.group.Go(func() { p.forward(client, server, false) })
		p.group.Go(func() { p.forward(server, client, true) })
	}
}

// forward copies data in one direction as the mode of the proxy requires, and closes
// both ends if either fails. responses is set for the direction to the client.
func (p *Proxy) forward(from, to net.Conn, responses bool) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range []net.Conn{from, to} {
			delete(p.conns, c)
			_ = c.Close()
		}
	}()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch p.currentMode() {
		case Delay:
			time.Sleep(readDelay)
		case Stall:
			p.waitWhileStalled()
		case DropResponses:
			if responses {
				continue
			}
		}
		limiter := p.requests
		if responses {
			limiter = p.responses
		}
		// The burst of the limiter is the size of the buffer, so the wait can't fail.
		_ = limiter.WaitN(context.Background(), n)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// waitWhileStalled blocks until the proxy is in another mode than Stall.
func (p *Proxy) waitWhileStalled() {
	for p.currentMode() == Stall {
		time.Sleep(modePollInterval)
	}
}
