package cranstandin

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Network connects clients and servers in one process without sockets. Its
// connections are pipes of net.Pipe, which work with the virtual clock of
// testing/synctest. An http.Server can serve on a listener of Listen, and an
// http.Transport can use DialContext.
type Network struct {
	mu sync.Mutex
	// listeners holds the open listeners by address.
	listeners map[string]*memoryListener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*memoryListener{}}
}

// Listen opens a listener at an address, which may be any string.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, cranfault.New(cranfault.Conflict, "choose another address", "address %s is in use", address)
	}
	l := &memoryListener{
		network: n,
		address: memoryAddress(address),
		dialled: make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// DialContext connects to the listener at an address. If there is none, it
// fails with ECONNREFUSED, as over TCP.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, refusedConnection(address)
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.dialled <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		return nil, refusedConnection(address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func refusedConnection(address string) error {
	return &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddress(address), Err: syscall.ECONNREFUSED}
}

// memoryListener is a listener of a Network.
type memoryListener struct {
	network *Network
	address memoryAddress
	dialled chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.dialled:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

// memoryAddress is an address of a Network.
type memoryAddress string

// Network implements net.Addr.
func (memoryAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddress) String() string { return string(a) }
