package cranpeer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

const testMaxMessageBytes = 64 << 10

// fakeHandler handles calls for an entry whose only other member is "known".
type fakeHandler struct {
	mu       sync.Mutex
	appended int
	slots    chan string
}

func (f *fakeHandler) Admit(member string, from netip.Addr) error {
	if member == "known" && from.IsLoopback() {
		return nil
	}
	return cranfault.New(cranfault.UnknownPeer, "join first", "%s is not a member", member)
}

func (f *fakeHandler) Status() Status { return Status{Next: 7, ContactAgeMs: 1, ContactDurationMs: 2} }

func (f *fakeHandler) Records(from uint64) ([]cranplatform.Record, bool) {
	return []cranplatform.Record{{Offset: from, Data: []byte("r")}}, true
}

func (f *fakeHandler) Append(_ context.Context, stream string, payloads [][]byte) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if stream == "down" {
		return 0, cranfault.New(cranfault.LogUnavailable, "wait", "the log is down")
	}
	f.appended += len(payloads)
	return uint64(f.appended), nil
}

func (f *fakeHandler) Snapshot(context.Context) (Snapshot, error) {
	return Snapshot{Next: 3, State: []byte("state"), Digest: 9}, nil
}

func (f *fakeHandler) HandleSlotMessage(from string, _ cranslot.Message) { f.slots <- from }

func (f *fakeHandler) Answer(key string) Answer { return Answer{Found: key == "cached", Status: 200} }

// refusalCounter counts the calls that a server refused, by kind.
type refusalCounter struct {
	mu    sync.Mutex
	kinds map[cranfault.Kind]int
}

// add counts a refusal.
func (c *refusalCounter) add(k cranfault.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kinds[k]++
}

// count returns the number of refusals of a kind.
func (c *refusalCounter) count(k cranfault.Kind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kinds[k]
}

// discardCount is a ByteCounter that counts nothing.
func discardCount(Direction, int) {}

// startServer starts a server and returns its handler, its refusals and its address.
func startServer(t *testing.T) (*fakeHandler, *refusalCounter, Peer) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := &fakeHandler{slots: make(chan string, 1)}
	refusals := &refusalCounter{kinds: map[cranfault.Kind]int{}}
	s := NewServer(listener, handler, testMaxMessageBytes, refusals.add, discardCount)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return handler, refusals, Peer{Member: "server", Address: listener.Addr().String()}
}

// newTestClient returns a client that identifies itself as the member.
func newTestClient(t *testing.T, member string) *Client {
	c := NewClient(member, testMaxMessageBytes, discardCount)
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	return c
}

// TestMemberIsServed makes every kind of call as an admitted member.
func TestMemberIsServed(t *testing.T) {
	handler, _, p := startServer(t)
	c := newTestClient(t, "known")
	ctx := t.Context()
	status, err := c.Status(ctx, p)
	require.NoError(t, err)
	require.EqualValues(t, 7, status.Next)
	records, complete, err := c.Records(ctx, p, 5)
	require.NoError(t, err)
	require.True(t, complete)
	require.EqualValues(t, 5, records[0].Offset)
	first, err := c.Append(ctx, p, "control", [][]byte{[]byte("a"), []byte("b")})
	require.NoError(t, err)
	require.EqualValues(t, 2, first)
	snap, err := c.Snapshot(ctx, p)
	require.NoError(t, err)
	require.Equal(t, Snapshot{Next: 3, State: []byte("state"), Digest: 9}, snap)
	a, err := c.Answer(ctx, p, "cached")
	require.NoError(t, err)
	require.True(t, a.Found)
	require.NoError(t, c.SendSlotMessage(ctx, p, cranslot.Message{}))
	require.Equal(t, "known", <-handler.slots)
}

// TestFaultKindIsPreserved checks that the kind and the remedy of a fault reach the
// peer that made the call.
func TestFaultKindIsPreserved(t *testing.T) {
	_, _, p := startServer(t)
	_, err := newTestClient(t, "known").Append(t.Context(), p, "down", [][]byte{nil})
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.LogUnavailable))
	require.Contains(t, err.Error(), "remedy: wait")
}

func TestUnknownPeerIsRefused(t *testing.T) {
	handler, refusals, p := startServer(t)
	_, err := newTestClient(t, "unknown").Append(t.Context(), p, "control", [][]byte{nil})
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.UnknownPeer))
	require.Positive(t, refusals.count(cranfault.UnknownPeer))
	require.Zero(t, handler.appended)
}

// sendRaw sends text to the server and returns once the server has closed the
// connection.
func sendRaw(t *testing.T, p Peer, text string) {
	conn, err := net.Dial("tcp", p.Address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte(text))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
	buffer := make([]byte, 4096)
	for {
		if _, err := conn.Read(buffer); err != nil {
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the server did not close the connection")
			return
		}
	}
}

// frame returns a message with its Content-Length header.
func frame(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }

// TestInvalidInputEndsOnlyItsConnection sends input that is not a valid call of an
// admitted peer, and checks that the server closes just that connection.
func TestInvalidInputEndsOnlyItsConnection(t *testing.T) {
	handler, refusals, p := startServer(t)
	invalidInputs := []string{
		"GET / HTTP/1.1\r\n\r\n",
		frame("not json"),
		"Content-Length: 999999999\r\n\r\n{\"jsonrpc\":\"2.0\",\"x\":\"" + strings.Repeat("a", 2*testMaxMessageBytes),
		frame(`{"jsonrpc":"2.0","id":1,"method":"append","params":{"stream":"control","payloads":["aa=="]}}`),
	}
	for _, text := range invalidInputs {
		sendRaw(t, p, text)
	}
	require.Positive(t, refusals.count(cranfault.UnknownPeer), "a call before hello")
	require.Zero(t, handler.appended)
	_, err := newTestClient(t, "known").Status(t.Context(), p)
	require.NoError(t, err, "other peers are still served")
}

// TestUnresponsiveConnectionIsReplaced makes a call over a connection that does not
// respond. The call fails at its deadline, and the next call opens a new connection.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	_, _, p := startServer(t)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = unresponsive.Close() }()
	c := newTestClient(t, "known")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = c.Status(ctx, Peer{Member: p.Member, Address: unresponsive.Addr().String()})
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Timeout))
	_, err = c.Status(t.Context(), p)
	require.NoError(t, err)
}
