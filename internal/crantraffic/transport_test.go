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

// rawTarget reads whole requests from raw connections. For each it calls
// serve with the number of the connection and of the request on it, both from
// one; serve returns what is written back, and the connection is closed after
// anything but wholeAnswer.
type rawTarget struct {
	address string
	reads   atomic.Int64 // requests read, over all connections
	ends    chan int     // numbers of the connections that the other end closed
}

func newRawTarget(t *testing.T, serve func(conn, n int) string) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	r := &rawTarget{address: l.Addr().String(), ends: make(chan int, 100)}
	go func() {
		for i := 1; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c, i, serve)
		}
	}()
	return r
}

func (r *rawTarget) serve(c net.Conn, conn int, serve func(conn, n int) string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			r.ends <- conn
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		r.reads.Add(1)
		out := serve(conn, n)
		_, _ = io.WriteString(c, out)
		if out != wholeAnswer {
			return
		}
	}
}

// TestNonIdempotentIsNeverReplayed has a target answer one request on each
// connection and close it having read the next, which net/http takes for an
// idle connection that broke.
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
		require.Equal(t, 1, slots.freeOf("a"), "the slot stays held while the target may run")
		require.Eventually(t, func() bool { return slots.freeOf("a") == 2 }, time.Second, time.Millisecond)
		require.EqualValues(t, 2, target.reads.Load())

		got = g.call("POST", "/s/orders/a", body, headerKey, "k")
		require.Equal(t, "unknown alreadyClaimed", got.outcome+" "+got.reason)
		require.EqualValues(t, 2, target.reads.Load())
	}
}

// TestIdempotentIsNotReplayedUnseen checks that a retry is the front's, on a
// slot of its own, and never one that net/http makes on the same slot.
func TestIdempotentIsNotReplayedUnseen(t *testing.T) {
	target := newRawTarget(t, func(_, n int) string {
		if n == 1 {
			return wholeAnswer
		}
		return ""
	})
	for _, method := range []string{"GET", "OPTIONS", "PUT", "DELETE"} {
		g := newRig(t, newFakeSlots(1, "a"), map[string]string{"a": target.address})
		before := target.reads.Load()
		require.Equal(t, "ok", g.call("GET", "/s/orders/a", "").body)
		g.view(map[string]string{"a": target.address}, 50*time.Millisecond, nil)
		got := g.call(method, "/s/orders/a", "")
		require.Equal(t, "unknown targetLost", got.outcome+" "+got.reason, method)
		require.EqualValues(t, 2, target.reads.Load()-before, method)
	}
}

// TestOnlyTheOwnerEndsItsConnection gives an exchange up that has ended and
// whose connection carries another by now.
func TestOnlyTheOwnerEndsItsConnection(t *testing.T) {
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

// TestRefusedWriteLeavesTheAnswerBefore refuses a write on a connection that
// its transport handed on before the answer without a body.
func TestRefusedWriteLeavesTheAnswerBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &trackedConn{}
		before, sealed := &exchange{done: make(chan struct{})}, &exchange{sealed: true}
		c.take(before)
		c.take(sealed)
		refused := make(chan error, 1)
		go func() {
			_, err := c.Write([]byte("x"))
			refused <- err
		}()
		synctest.Wait()
		require.Empty(t, refused, "the error would take the answer away")
		close(before.done)
		require.ErrorIs(t, <-refused, errSealed)
	})
}

// TestSealedWhileItWaitsForAConnection lets a request's deadline pass before
// it has a connection. Nothing of it may be sent then or later.
func TestSealedWhileItWaitsForAConnection(t *testing.T) {
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
		g.front.targets[0].conns.setLimit(1)
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

// countingListener counts the connections that are open at a target.
type countingListener struct {
	net.Listener
	mu         sync.Mutex
	open, most int
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
	l.open++
	l.most = max(l.most, l.open)
	return &countedConn{Conn: c, listener: l}, nil
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open--
	})
	return c.Conn.Close()
}

// TestConnectionsStayWithinTheLimit counts the open connections at the target
// while kept-alive and fresh ones compete.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	const limit = 3
	target := httptest.NewUnstartedServer(http.HandlerFunc(echoTarget))
	counting := &countingListener{Listener: target.Listener}
	target.Listener = counting
	target.Start()
	t.Cleanup(target.Close)
	address := counting.Addr().String()
	g := newRig(t, newFakeSlots(8, "a"), map[string]string{"a": address})
	g.front.targets[0].conns.setLimit(limit)
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
	require.NoError(t, g.front.Close())
	counting.mu.Lock()
	defer counting.mu.Unlock()
	require.LessOrEqual(t, counting.most, limit)
	require.Positive(t, counting.most)
	require.Zero(t, counting.open)
}

// TestRefusalOverSlotsIsNotARun resends a request that a target provably
// refused, and tells notRun if all refuse.
func TestRefusalOverSlotsIsNotARun(t *testing.T) {
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
	require.Eventually(t, func() bool { return g.claims.of("k") == "released" }, time.Second, time.Millisecond)
}
