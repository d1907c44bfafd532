package cranplatform

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// breakingServer responds to the first request on each connection. It closes the
// connection after it has read the second, without a response.
type breakingServer struct {
	listener net.Listener
	served   sync.WaitGroup
	mu       sync.Mutex
	// seen counts the requests that were read completely, by method.
	seen map[string]int
}

func newBreakingServer(t *testing.T) *breakingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &breakingServer{listener: listener, seen: map[string]int{}}
	s.served.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.served.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		s.served.Wait()
	})
	return s
}

func (s *breakingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.mu.Lock()
		s.seen[request.Method]++
		s.mu.Unlock()
		if n == 0 {
			body := `{"first":0,"next":1,"known":true}`
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\n"+body)
		}
	}
}

func (s *breakingServer) count(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[method]
}

func TestPostIsNotResentAfterBrokenConnection(t *testing.T) {
	s := newBreakingServer(t)
	c := NewClient("http://" + s.listener.Addr().String())
	defer func() { require.NoError(t, c.Close()) }()
	ctx := context.Background()
	payloads := [][]byte{{1}}
	_, err := c.Append(ctx, "s", payloads)
	require.NoError(t, err)
	_, err = c.Append(ctx, "s", payloads)
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.LogUnavailable))
	require.Equal(t, 2, s.count(http.MethodPost), "the failed append is not sent again")
	require.NoError(t, c.Act(ctx, Action{ID: "a"}))
	require.ErrorIs(t, c.Act(ctx, Action{ID: "b"}), cranfault.MatchKind(cranfault.NotReady))
	require.Equal(t, 4, s.count(http.MethodPost), "the failed action is not sent again")
}

func TestRequestsCannotBeRewound(t *testing.T) {
	c := NewClient("http://127.0.0.1:1")
	defer func() { require.NoError(t, c.Close()) }()
	r, err := c.newRequest(context.Background(), call{method: http.MethodPost, path: "/actions"}, Action{})
	require.NoError(t, err)
	require.Nil(t, r.GetBody)
	require.NotContains(t, r.Header, "Idempotency-Key")
	require.NotContains(t, r.Header, "X-Idempotency-Key")
}

func TestResponsesAreMappedToFaultKinds(t *testing.T) {
	cases := []struct {
		status  int
		body    string
		logKind cranfault.Kind
		actKind cranfault.Kind
	}{
		{200, `{"first":3,"next":4}`, "", ""},
		{200, `{"first":3,"next":5}`, cranfault.Malformed, ""},
		{200, `nonsense`, cranfault.Malformed, cranfault.Malformed},
		{200, ``, cranfault.Malformed, cranfault.Malformed},
		{302, ``, cranfault.Malformed, cranfault.Malformed},
		{307, ``, cranfault.Malformed, cranfault.Malformed},
		{400, `{"kind":"invalid","message":"m","remedy":"r"}`, cranfault.Invalid, cranfault.Invalid},
		{404, `{"kind":"unknownInstance","message":"m","remedy":"r"}`, cranfault.UnknownInstance, cranfault.UnknownInstance},
		{409, `{"kind":"made up","message":"m","remedy":"r"}`, cranfault.Malformed, cranfault.Malformed},
		{410, `nonsense`, cranfault.RecordsExpired, cranfault.RecordsExpired},
		{500, `{"kind":"invalid","message":"m","remedy":"r"}`, cranfault.LogUnavailable, cranfault.NotReady},
		{503, ``, cranfault.LogUnavailable, cranfault.NotReady},
	}
	for _, k := range cases {
		posts := 0
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			posts++
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(k.status)
			_, _ = io.WriteString(w, k.body)
		}))
		c := NewClient(s.URL)
		_, err := c.Append(context.Background(), "s", [][]byte{{1}})
		require.Equal(t, k.logKind, cranfault.KindOf(err), "%d %s", k.status, k.body)
		err = c.Act(context.Background(), Action{ID: "a"})
		require.Equal(t, k.actKind, cranfault.KindOf(err), "%d %s", k.status, k.body)
		require.NoError(t, c.Close())
		s.Close()
		require.Equal(t, 2, posts)
	}
}

func TestReadRefusesGaps(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Batch{Records: []Record{{Offset: 4}, {Offset: 6}}, Next: 7})
	}))
	defer s.Close()
	c := NewClient(s.URL)
	defer func() { require.NoError(t, c.Close()) }()
	for from := range uint64(6) {
		batch, err := c.Read(context.Background(), "s", from, 5, 0)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Malformed))
		require.Empty(t, batch)
	}
}

func TestRefusedConnectionAndCancellation(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	c := NewClient(s.URL)
	_, err := c.Read(context.Background(), "s", 0, 1, 0)
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.LogUnavailable))
	_, err = c.Instances(context.Background())
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.NotReady))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = c.Read(ctx, "s", 0, 1, 0)
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Cancelled))
	require.ErrorIs(t, err, context.Canceled)
	require.NoError(t, c.Close())
	_, err = c.Instances(context.Background())
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Cancelled))
}

// slowTransport returns from a call after a delay that starts when the call's context
// is cancelled.
type slowTransport struct {
	delay time.Duration
}

// RoundTrip implements http.RoundTripper.
func (s slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	time.Sleep(s.delay)
	return nil, r.Context().Err()
}

func TestCloseCancelsCallsAndWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 3 * time.Second
		c := NewClient("http://platform", WithTransport(slowTransport{delay: delay}))
		ended := make(chan error, 1)
		go func() {
			_, err := c.Read(context.Background(), "s", 0, 1, 60_000)
			ended <- err
		}()
		synctest.Wait()
		start := time.Now()
		require.NoError(t, c.Close())
		require.Equal(t, delay, time.Since(start))
		require.ErrorIs(t, <-ended, cranfault.MatchKind(cranfault.Cancelled))
	})
}

func TestCallsTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("http://platform", WithTransport(slowTransport{}), WithCallTimeout(2*time.Second))
		defer func() { require.NoError(t, c.Close()) }()
		start := time.Now()
		_, err := c.Read(context.Background(), "s", 0, 1, 5000)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.LogUnavailable))
		require.Equal(t, 7*time.Second, time.Since(start), "the wait of a long poll is added to the timeout")
		require.ErrorIs(t, c.Act(context.Background(), Action{ID: "a"}), cranfault.MatchKind(cranfault.Timeout))
		require.Equal(t, 9*time.Second, time.Since(start))
	})
}

// FuzzAnswer checks that Read returns either consecutive records or an error with a
// kind, whatever the platform responds.
func FuzzAnswer(f *testing.F) {
	f.Add(200, []byte(`{"records":[{"offset":2,"timeMs":1,"data":"AA=="}],"oldest":0,"next":3}`), uint64(2))
	f.Add(410, []byte(`{"kind":"recordsExpired","message":"m","remedy":"r"}`), uint64(0))
	f.Add(200, []byte(`{"records":null}`), uint64(0))
	f.Fuzz(func(t *testing.T, status int, content []byte, from uint64) {
		if status < 200 || status > 999 {
			return
		}
		transport := fixedTransport{status: status, content: content}
		c := NewClient("http://platform", WithTransport(transport))
		batch, err := c.Read(context.Background(), "s", from, 5, 0)
		if err != nil {
			require.NotEmpty(t, cranfault.KindOf(err))
			require.Empty(t, batch)
			return
		}
		for n, r := range batch.Records {
			require.Equal(t, from+uint64(n), r.Offset)
		}
		require.NoError(t, c.Close())
	})
}

// fixedTransport returns the same response to every request.
type fixedTransport struct {
	status  int
	content []byte
}

// RoundTrip implements http.RoundTripper.
func (f fixedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	recorder.Code = f.status
	_, _ = recorder.Body.Write(f.content)
	response := recorder.Result()
	response.Request = r
	return response, nil
}
