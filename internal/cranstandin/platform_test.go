package cranstandin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// newPlatformServer returns a platform behind an HTTP server, and a named client.
func newPlatformServer(t *testing.T, name string, options ...PlatformOption) (*Platform, *cranplatform.Client) {
	t.Helper()
	p := NewPlatform(options...)
	s := httptest.NewServer(p)
	c := cranplatform.NewClient(s.URL, cranplatform.WithName(name))
	t.Cleanup(func() {
		require.NoError(t, c.Close())
		require.NoError(t, p.Close())
		s.Close()
	})
	return p, c
}

func TestClientReadsAndAppends(t *testing.T) {
	p, c := newPlatformServer(t, "entry1", WithLogOptions(WithRetention(3)))
	ctx := context.Background()
	for n := range 5 {
		first, err := c.Append(ctx, "a/b c", [][]byte{{byte(n)}})
		require.NoError(t, err)
		require.EqualValues(t, n, first)
	}
	_, err := c.Read(ctx, "a/b c", 1, 10, 0)
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.RecordsExpired))
	batch, err := c.Read(ctx, "a/b c", 2, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 3)
	require.Equal(t, []byte{4}, batch.Records[2].Data)
	require.EqualValues(t, 2, batch.Oldest)
	require.EqualValues(t, 5, batch.Next)

	require.NoError(t, p.SetFaults(Faults{LoseAppendAnswers: 1}))
	_, err = c.Append(ctx, "a/b c", [][]byte{{9}})
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.LogUnavailable))
	batch, err = c.Read(ctx, "a/b c", 5, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 1, "an append whose response is lost takes effect once")
}

func TestLogCutAffectsOneClient(t *testing.T) {
	p, c := newPlatformServer(t, "entry1")
	ctx := context.Background()
	require.NoError(t, p.SetFaults(Faults{CutFromLog: []string{"entry1"}}))
	_, err := c.Append(ctx, "s", [][]byte{{1}})
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.LogUnavailable))
	_, err = c.Instances(ctx)
	require.NoError(t, err)
	_, err = p.LogForClient("entry2").Append(ctx, "s", [][]byte{{1}})
	require.NoError(t, err)
}

func TestClientAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracleLog(t)
		p := NewPlatform(o.options())
		s := httptest.NewServer(p)
		c := cranplatform.NewClient(s.URL)
		defer func() {
			require.NoError(t, c.Close())
			require.NoError(t, p.Close())
			s.Close()
		}()
		checkLog(t, c, p, o)
	})
}

// TestRebootAndStopProcessOverHTTP reboots and stops a target process by
// control calls. The responses of the first two reboot actions are lost, and the
// retry must not reboot the process again.
func TestRebootAndStopProcessOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTargetHarness(t, 8, 64)
		defer h.close()
		p, c := newInMemoryPlatform(t, WithFleetOptions(WithControllerLookup(ProcessControllers(h.caller)), WithRebootTime(2*time.Second)))
		ctx := context.Background()
		require.NoError(t, c.Register(ctx, cranplatform.Instance{ID: "t1", Address: "target:1", Role: RoleTarget}))
		require.NoError(t, p.SetFaults(Faults{LoseActionAnswers: 2}))
		var calls sync.WaitGroup
		calls.Go(func() {
			_, _, err := h.send(ctx, "aborted", time.Minute)
			require.Error(t, err)
		})
		synctest.Wait()
		action := cranplatform.Action{ID: "a1", Kind: cranplatform.ActionReboot, Instance: "t1"}
		for range 2 {
			require.ErrorIs(t, c.Act(ctx, action), cranfault.MatchKind(cranfault.NotReady))
		}
		require.NoError(t, c.Act(ctx, action))
		calls.Wait()
		time.Sleep(3 * time.Second)
		status, err := c.ActionStatus(ctx, "a1")
		require.NoError(t, err)
		require.Equal(t, cranplatform.ActionStatus{Known: true, Done: true}, status)
		require.Len(t, p.Fleet().Ledger(), 1)
		require.Equal(t, 1, p.Fleet().Ledger()[0].InProgressAtStop)
		require.Equal(t, 1, h.target.Ledger().Boots)
		require.NoError(t, c.Deregister(ctx, "t1"))
		time.Sleep(3 * time.Second)
		list, err := c.Instances(ctx)
		require.NoError(t, err)
		require.Equal(t, cranplatform.PhaseGone, list[0].Phase)
		_, _, err = h.send(ctx, "stopped", 0)
		require.Error(t, err)
	})
}

// newInMemoryPlatform returns a platform behind an in-process network, and a
// client.
func newInMemoryPlatform(t *testing.T, options ...PlatformOption) (*Platform, *cranplatform.Client) {
	t.Helper()
	network := NewNetwork()
	listener, err := network.Listen("platform:1")
	require.NoError(t, err)
	p := NewPlatform(options...)
	s := &http.Server{Handler: p}
	var served sync.WaitGroup
	served.Go(func() { _ = s.Serve(listener) })
	c := cranplatform.NewClient("http://platform:1",
		cranplatform.WithTransport(&http.Transport{DialContext: network.DialContext}))
	t.Cleanup(func() {
		require.NoError(t, c.Close())
		require.NoError(t, p.Close())
		require.NoError(t, s.Close())
		served.Wait()
	})
	return p, c
}

// TestConcurrentAppendsDontInterleave appends batches of two records from many
// callers. The records of a batch must be consecutive, each caller's batches in
// order, and the timestamps of a batch must not decrease.
func TestConcurrentAppendsDontInterleave(t *testing.T) {
	const (
		callers = 8
		batches = 50
	)
	l := NewLog()
	defer func() { require.NoError(t, l.Close()) }()
	ctx := context.Background()
	var calls sync.WaitGroup
	for n := range callers {
		calls.Go(func() {
			for m := range batches {
				first, err := l.Append(ctx, "s", [][]byte{{byte(n), byte(m), 0}, {byte(n), byte(m), 1}})
				require.NoError(t, err)
				require.Zero(t, first%2)
			}
		})
	}
	calls.Wait()
	batch, err := l.Read(ctx, "s", 0, 2*callers*batches, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 2*callers*batches)
	next := map[byte]byte{}
	for n := 0; n < len(batch.Records); n += 2 {
		a, b := batch.Records[n], batch.Records[n+1]
		require.Equal(t, []byte{a.Data[0], a.Data[1], 1}, b.Data)
		require.Equal(t, next[a.Data[0]], a.Data[1])
		next[a.Data[0]]++
		require.LessOrEqual(t, a.TimeMs, b.TimeMs)
	}
}
