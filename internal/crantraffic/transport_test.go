package crantraffic

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// rawTarget reads complete requests from raw connections. For each request it
// calls respond with the number of the connection and the number of the request
// on it; both count from one. It writes back what respond returns. After anything
// but wholeAnswer it closes the connection.
type rawTarget struct {
	address     string
	requests    atomic.Int64 // number of requests read from all connections
	closedConns chan int     // numbers of the connections that the other side closed
}

func newRawTarget(t *testing.T, respond func(conn, n int) string) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	r := &rawTarget{address: l.Addr().String(), closedConns: make(chan int, 100)}
	go func() {
		for i := 1; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serveConn(c, i, respond)
		}
	}()
	return r
}

func (r *rawTarget) serveConn(c net.Conn, conn int, respond func(conn, n int) string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			r.closedConns <- conn
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		r.requests.Add(1)
		out := respond(conn, n)
		_, _ = io.WriteString(c, out)
		if out != wholeAnswer {
			return
		}
	}
}

// TestNonIdempotentIsNeverReplayed guards against replays by net/http. The
// target answers one request on a connection, then reads the next one and
// closes the connection. The transport of net/http takes this for an idle
// connection that broke and would send the request again.
func TestNonIdempotentIsNeverReplayed(t *testing.T) {
	for _, body := range []string{"", "with a body"} {
		target := newRawTarget(t, func(conn, n int) string {
			if n == 1 && conn == 1 {
				return wholeAnswer
			}
			return ""
		})
		slots := newFakeSlots(2, "a")
		g := newRig(t, slots, map[string]string{"a": target.address})
		require.Equal(t, "ok", g.call("GET", "/s/orders/a", "").body)
		g.view(map[string]string{"a": target.address}, 50*time.Millisecond, nil)

		got := g.call("POST", "/s/orders/a", body, headerKey, "k")
		require.Equal(t, "unknown targetLost", got.outcome+" "+got.reason)
		require.Equal(t, 1, slots.freeOf("a"), "the slot must be held while the target may be running the request")
		require.Eventually(t, func() bool { return slots.freeOf("a") == 2 }, time.Second, time.Millisecond)
		require.EqualValues(t, 2, target.requests.Load())

		got = g.call("POST", "/s/orders/a", body, headerKey, "k")
		require.Equal(t, "unknown alreadyClaimed", got.outcome+" "+got.reason)
		require.EqualValues(t, 2, target.requests.Load())
	}
}

// TestIdempotentIsNotReplayedByTransport checks that only the proxy retries,
// with a slot for each attempt. A replay by net/http would run twice on one
// slot.
func TestIdempotentIsNotReplayedByTransport(t *testing.T) {
	target := newRawTarget(t, func(_, n int) string {
		if n == 1 {
			return wholeAnswer
		}
		return ""
	})
	for _, method := range []string{"GET", "OPTIONS", "PUT", "DELETE"} {
		g := newRig(t, newFakeSlots(1, "a"), map[string]string{"a": target.address})
		before := target.requests.Load()
		require.Equal(t, "ok", g.call("GET", "/s/orders/a", "").body)
		g.view(map[string]string{"a": target.address}, 50*time.Millisecond, nil)
		got := g.call(method, "/s/orders/a", "")
		require.Equal(t, "unknown targetLost", got.outcome+" "+got.reason, method)
		require.EqualValues(t, 2, target.requests.Load()-before, method)
	}
}

// TestOnlyOwnerClosesConnection cancels an exchange that has ended while
// another exchange uses its connection. The other exchange must complete.
func TestOnlyOwnerClosesConnection(t *testing.T) {
	entered, proceed := make(chan struct{}), make(chan struct{})
	target := newRawTarget(t, func(_, n int) string {
		if n == 2 {
			close(entered)
			<-proceed
		}
		return wholeAnswer
	})
	g := newRig(t, newFakeSlots(2, "a"), map[string]string{"a": target.address})
	j := g.job("GET")
	first := j.start("a", nil, false)
	<-first.done
	second := j.start("a", nil, false)
	<-entered
	require.Same(t, first.conn, second.conn)
	first.cancel()
	first.expire()
	close(proceed)
	<-second.done
	require.Equal(t, "ok", string(second.result.answer.Body()))
}

// TestRefusedWriteKeepsPreviousAnswer refuses a write on a connection that the
// transport handed on before the previous exchange had received its answer. The
// write must fail only after that, because its error would discard the answer.
func TestRefusedWriteKeepsPreviousAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &trackedConn{}
		previous, sealedExchange := &exchange{done: make(chan struct{})}, &exchange{sealed: true}
		c.setOwner(previous)
		c.setOwner(sealedExchange)
		refused := make(chan error, 1)
		go func() {
			_, err := c.Write([]byte("x"))
			refused <- err
		}()
		synctest.Wait()
		require.Empty(t, refused, "the write must not fail before the previous exchange has its answer")
		close(previous.done)
		require.ErrorIs(t, <-refused, errSealed)
	})
}

// TestSealedWhileWaitingForConnection lets the deadline of a request pass while
// it waits for a connection. The request must not be sent then or later.
func TestSealedWhileWaitingForConnection(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		entered, proceed := make(chan struct{}, 2), make(chan struct{})
		var runs atomic.Int64
		target := newTargetServer(t, func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			entered <- struct{}{}
			<-proceed
		})
		slots := newFakeSlots(2, "a")
		g := newRig(t, slots, map[string]string{"a": target})
		g.proxy.targets[0].conns.setLimit(1)
		first := make(chan reply)
		go func() { first <- g.call("GET", "/s/orders/a", "") }()
		<-entered
		got := g.call(method, "/s/orders/b", "", headerDeadline, "200", headerKey, "k")
		require.Equal(t, "notRun timeout", got.outcome+" "+got.reason)
		close(proceed)
		require.Equal(t, "answered", (<-first).outcome)
		require.Eventually(t, func() bool { return slots.freeOf("a") == 2 }, 5*time.Second, time.Millisecond)
		require.EqualValues(t, 1, runs.Load(), method)
	}
}

// countingListener counts the open connections to a target.
type countingListener struct {
	net.Listener
	mu                      sync.Mutex
	openConns, maxOpenConns int
}

type countedConn struct {
	net.Conn
	once     sync.Once
	listener *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns++
	l.maxOpenConns = max(l.maxOpenConns, l.openConns)
	return &countedConn{Conn: c, listener: l}, nil
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.openConns--
	})
	return c.Conn.Close()
}

// TestConnectionsStayWithinTheLimit counts the open connections at the target
// while kept-alive and new connections compete.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	const limit = 3
	target := httptest.NewUnstartedServer(http.HandlerFunc(echoTarget))
	counting := &countingListener{Listener: target.Listener}
	target.Listener = counting
	target.Start()
	t.Cleanup(target.Close)
	address := counting.Addr().String()
	g := newRig(t, newFakeSlots(8, "a"), map[string]string{"a": address})
	g.proxy.targets[0].conns.setLimit(limit)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for range 40 {
				method := []string{"GET", "POST"}[i%2]
				got := g.call(method, "/s/orders/a", "")
				require.Equal(t, "answered", got.outcome, got.reason)
			}
		})
	}
	wg.Wait()
	require.NoError(t, g.proxy.Close())
	counting.mu.Lock()
	defer counting.mu.Unlock()
	require.LessOrEqual(t, counting.maxOpenConns, limit)
	require.Positive(t, counting.maxOpenConns)
	require.Zero(t, counting.openConns)
}

// TestSlotRefusalIsNotRun checks that a request is sent again if the target
// refused it for lack of slots. If all targets refuse it, the outcome is
// notRun.
func TestSlotRefusalIsNotRun(t *testing.T) {
	var runs atomic.Int64
	full := newTargetServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerRefused, refusedSlots)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	free := newTargetServer(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	addresses := map[string]string{"a": full, "b": free}
	g := newRig(t, newFakeSlots(1, "a", "b"), addresses)
	for _, method := range []string{"GET", "POST"} {
		require.Equal(t, "answered", g.call(method, "/s/orders/a", "").outcome)
	}
	require.EqualValues(t, 2, runs.Load())
	require.Equal(t, 1, g.slots.freeOf("b"))

	g.view(addresses, time.Second, map[string]bool{"b": true})
	for _, method := range []string{"GET", "POST"} {
		got := g.call(method, "/s/orders/a", "", headerKey, "k")
		require.Equal(t, "notRun slotsRefused", got.outcome+" "+got.reason)
	}
	require.Eventually(t, func() bool { return g.claims.stateOf("k") == "released" }, time.Second, time.Millisecond)
}
