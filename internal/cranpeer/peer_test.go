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

const testBound = 64 << 10

// fakeLocal is an entry that knows one member, "friend".
type fakeLocal struct {
	mu       sync.Mutex
	appended int
	slots    chan string
}

func (f *fakeLocal) Admit(member string, from netip.Addr) error {
	if member == "friend" && from.IsLoopback() {
		return nil
	}
	return cranfault.New(cranfault.UnknownPeer, "join first", "%s is no member", member)
}

func (f *fakeLocal) Status() Status { return Status{Next: 7, ContactAgeMs: 1, ContactDurationMs: 2} }

func (f *fakeLocal) Records(from uint64) ([]cranplatform.Record, bool) {
	return []cranplatform.Record{{Offset: from, Data: []byte("r")}}, true
}

func (f *fakeLocal) Append(_ context.Context, stream string, payloads [][]byte) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if stream == "down" {
		return 0, cranfault.New(cranfault.LogUnavailable, "wait", "the log is down")
	}
	f.appended += len(payloads)
	return uint64(f.appended), nil
}

func (f *fakeLocal) Snapshot(context.Context) (Snapshot, error) {
	return Snapshot{Next: 3, State: []byte("state"), Digest: 9}, nil
}

func (f *fakeLocal) HandleSlotMessage(from string, _ cranslot.Message) { f.slots <- from }

func (f *fakeLocal) Answer(key string) Answer { return Answer{Found: key == "kept", Status: 200} }

// counted collects what a server refused.
type counted struct {
	mu    sync.Mutex
	kinds map[cranfault.Kind]int
}

func (c *counted) refused(k cranfault.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kinds[k]++
}

func (c *counted) of(k cranfault.Kind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kinds[k]
}

func noCount(Direction, int) {}

func serve(t *testing.T) (*fakeLocal, *counted, Peer) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	local := &fakeLocal{slots: make(chan string, 1)}
	refusals := &counted{kinds: map[cranfault.Kind]int{}}
	s := NewServer(listener, local, testBound, refusals.refused, noCount)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return local, refusals, Peer{Member: "server", Address: listener.Addr().String()}
}

func client(t *testing.T, member string) *Client {
	c := NewClient(member, testBound, noCount)
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	return c
}

func TestMemberIsServed(t *testing.T) {
	local, _, p := serve(t)
	c := client(t, "friend")
	ctx := t.Context()
	status, err := c.Status(ctx, p)
	require.NoError(t, err)
	require.EqualValues(t, 7, status.Next)
	records, whole, err := c.Records(ctx, p, 5)
	require.NoError(t, err)
	require.True(t, whole)
	require.EqualValues(t, 5, records[0].Offset)
	first, err := c.Append(ctx, p, "control", [][]byte{[]byte("a"), []byte("b")})
	require.NoError(t, err)
	require.EqualValues(t, 2, first)
	snap, err := c.Snapshot(ctx, p)
	require.NoError(t, err)
	require.Equal(t, Snapshot{Next: 3, State: []byte("state"), Digest: 9}, snap)
	a, err := c.Answer(ctx, p, "kept")
	require.NoError(t, err)
	require.True(t, a.Found)
	require.NoError(t, c.SendSlotMessage(ctx, p, cranslot.Message{}))
	require.Equal(t, "friend", <-local.slots)
}

func TestFaultsTravelTyped(t *testing.T) {
	_, _, p := serve(t)
	_, err := client(t, "friend").Append(t.Context(), p, "down", [][]byte{nil})
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.LogUnavailable))
	require.Contains(t, err.Error(), "remedy: wait")
}

func TestStrangerIsRefused(t *testing.T) {
	local, refusals, p := serve(t)
	_, err := client(t, "stranger").Append(t.Context(), p, "control", [][]byte{nil})
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.UnknownPeer))
	require.Positive(t, refusals.of(cranfault.UnknownPeer))
	require.Zero(t, local.appended)
}

// raw sends text to the server and returns once it has hung up.
func raw(t *testing.T, p Peer, text string) {
	conn, err := net.Dial("tcp", p.Address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte(text))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
	buffer := make([]byte, 4096)
	for {
		if _, err := conn.Read(buffer); err != nil {
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the server did not hang up")
			return
		}
	}
}

func frame(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }

func TestNonsenseEndsTheConnectionAlone(t *testing.T) {
	local, refusals, p := serve(t)
	nonsense := []string{
		"GET / HTTP/1.1\r\n\r\n",
		frame("not json"),
		"Content-Length: 999999999\r\n\r\n{\"jsonrpc\":\"2.0\",\"x\":\"" + strings.Repeat("a", 2*testBound),
		frame(`{"jsonrpc":"2.0","id":1,"method":"append","params":{"stream":"control","payloads":["aa=="]}}`),
	}
	for _, text := range nonsense {
		raw(t, p, text)
	}
	require.Positive(t, refusals.of(cranfault.UnknownPeer), "a call before hello")
	require.Zero(t, local.appended)
	_, err := client(t, "friend").Status(t.Context(), p)
	require.NoError(t, err, "others are still served")
}

// TestSilentConnectionIsReplaced calls through a connection that went silent:
// the call fails at its deadline, and the next one opens a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	_, _, p := serve(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	c := client(t, "friend")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = c.Status(ctx, Peer{Member: p.Member, Address: silent.Addr().String()})
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Timeout))
	_, err = c.Status(t.Context(), p)
	require.NoError(t, err)
}
