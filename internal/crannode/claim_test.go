package crannode

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// link simulates one process's connection to a topic, with faults.
type link struct {
	*cranmemory.Topic
	mu sync.Mutex
	// cut makes every call fail, lag delays every call.
	cut bool
	lag time.Duration
	// maxRecords bounds the records of a read; 0 means no bound.
	maxRecords int
	// loadTime is how long it takes to read the newest records.
	loadTime time.Duration
}

func (l *link) setFault(cut bool, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.lag = cut, lag
}

func (l *link) limit(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxRecords = records
}

func (l *link) applyFault() error {
	l.mu.Lock()
	cut, lag := l.cut, l.lag
	l.mu.Unlock()
	time.Sleep(lag)
	if cut {
		return errors.New("cut off from the store")
	}
	return nil
}

func (l *link) Append(ctx context.Context, records []cranstore.Record, o cranstore.AppendOptions) (uint64, error) {
	if err := l.applyFault(); err != nil {
		return 0, err
	}
	return l.Topic.Append(ctx, records, o)
}

func (l *link) End(ctx context.Context, from uint64) (uint64, error) {
	batch, err := l.Read(ctx, from, cranstore.ReadOptions{})
	return batch.End, err
}

// Read delays the answer after reading, so that the records are as old as the lag.
func (l *link) Read(ctx context.Context, from uint64, o cranstore.ReadOptions) (cranstore.Batch, error) {
	batch, err := l.Topic.Read(ctx, from, o)
	if faultErr := l.applyFault(); faultErr != nil {
		return cranstore.Batch{}, faultErr
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxRecords > 0 && len(batch.Records) > l.maxRecords {
		batch.Records = batch.Records[:l.maxRecords]
		batch.Next = from + uint64(l.maxRecords)
	}
	return batch, err
}

// Newest takes loadTime, like a read over a slow link.
func (l *link) Newest(ctx context.Context, after string, received func(int)) (cranstore.Page, error) {
	time.Sleep(l.loadTime)
	return l.Topic.Newest(ctx, after, received)
}

// noInstances is an OrderSender for a platform without instances.
type noInstances struct{ OrderSender }

func (noInstances) ListInstances(context.Context, string) ([]cransched.InstanceInfo, string, error) {
	return nil, "", nil
}

// pair is two entry instances that share their topics.
type pair struct {
	// links are the connections to the scheduler's topic, submissions those to the
	// callers' topic.
	links, submissions [2]*link
	nodes              [2]*Node
	stops              [2]context.CancelFunc
	group              sync.WaitGroup
}

// newPair starts two entry instances. The second one takes loadTime to load the
// submissions.
func newPair(t *testing.T, loadTime time.Duration) *pair {
	p := &pair{}
	progress, submissions, operator, targets := cranmemory.New(), cranmemory.New(), cranmemory.New(), cranmemory.New()
	_, err := operator.Append(t.Context(), []cranstore.Record{{Key: "config", Value: []byte{1}}}, cranstore.AppendOptions{})
	require.NoError(t, err)
	directory := Directory{
		Operator: operator, Targets: targets,
		DecodeOperatorRecord: func(string, []byte) (any, error) {
			return &Config{Config: cransched.Config{Version: 1}}, nil
		},
	}
	start := time.Now()
	clock := func() cransched.Clock {
		return cransched.Clock{Steady: time.Hour + time.Since(start), UnixMs: time.Now().UnixMilli()}
	}
	for i := range p.nodes {
		p.links[i] = &link{Topic: progress}
		p.submissions[i] = &link{Topic: submissions, loadTime: time.Duration(i) * loadTime}
		name := string(rune('a' + i))
		p.nodes[i] = New(name, name+"-1", Topics{Progress: p.links[i], Submissions: p.submissions[i]}, directory, noInstances{}, WithClock(clock),
			WithTiming(cransched.Timing{MaxLease: 6 * time.Second, OrderLease: 3 * time.Second}))
		ctx, cancel := context.WithCancel(context.Background())
		p.stops[i] = cancel
		p.group.Go(func() { _ = p.nodes[i].Run(ctx) })
		// The first entry instance claims before the second one starts.
		time.Sleep(time.Second)
	}
	return p
}

func (p *pair) close() {
	for _, stop := range p.stops {
		stop()
	}
	p.group.Wait()
}

func (p *pair) isOwner(i int) bool { return p.nodes[i].owning.Load() }

// TestTakeover cuts the owner off the store. The other entry instance must take over
// within three seconds, and the former owner must give up once it reaches the store
// again.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 0)
		defer p.close()
		require.True(t, p.isOwner(0))
		require.False(t, p.isOwner(1))
		p.links[0].setFault(true, 0)
		time.Sleep(3 * time.Second)
		require.True(t, p.isOwner(1))
		p.links[0].setFault(false, 0)
		time.Sleep(2 * time.Second)
		require.False(t, p.isOwner(0))
		require.True(t, p.isOwner(1))
	})
}

// TestHandover stops the owner gracefully. The other entry instance must take over at
// once.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 0)
		defer p.close()
		p.stops[0]()
		time.Sleep(time.Second)
		require.True(t, p.isOwner(1))
	})
}

// TestSlowReaderDoesNotClaim delays the reads of an entry instance. It must not claim
// while the owner is healthy, although it sees the owner's claims late.
func TestSlowReaderDoesNotClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 0)
		defer p.close()
		require.True(t, p.isOwner(0))
		for _, lag := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
			p.links[1].setFault(false, lag)
			time.Sleep(20 * time.Second)
			require.True(t, p.isOwner(0), lag)
		}
	})
}

// TestPendingOfLaggingReader limits the reads of an entry instance to fewer records
// than are stored. It must not report a number of pending jobs, which it cannot know.
func TestPendingOfLaggingReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 0)
		defer p.close()
		_, err := p.nodes[1].Pending("q")
		require.NoError(t, err)
		// Records are stored at 400 per second and read at 200 per second.
		p.submissions[1].setFault(false, 5*time.Millisecond)
		p.submissions[1].limit(1)
		for range 100 {
			for range 40 {
				_, err := p.submissions[0].Topic.Append(t.Context(), []cranstore.Record{{Key: "jx", Value: []byte{1}}}, cranstore.AppendOptions{})
				require.NoError(t, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		_, err = p.nodes[1].Pending("q")
		require.Error(t, err)
		_, err = p.nodes[0].Pending("q")
		require.NoError(t, err)
	})
}

// TestTakeoverAwaitsSubmissions replaces the owner by an entry instance that can't read
// the submissions. It must not schedule before it can read them, since the scheduler's
// topic may already hold records of jobs that it doesn't know.
func TestTakeoverAwaitsSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 0)
		defer p.close()
		p.submissions[1].setFault(true, 0)
		p.links[0].setFault(true, 0)
		time.Sleep(6 * time.Second)
		require.False(t, p.isOwner(1))
		p.submissions[1].setFault(false, 0)
		time.Sleep(2 * time.Second)
		require.True(t, p.isOwner(1))
	})
}

// TestSubmitWhileLoading covers the load after a restart of all entry instances. One
// that is still reading the submissions must accept jobs, and must return an error when
// asked for a job that it may not have read yet.
func TestSubmitWhileLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 8*time.Second)
		defer p.close()
		job := cranjob.Job{ID: "j1", Queue: "q", Steps: []cranjob.Step{{Count: 1, Demand: cranjob.Resources{CPU: 1, Memory: 1}}}}
		require.NoError(t, p.nodes[1].Submit(t.Context(), &job))
		_, _, err := p.nodes[1].State(t.Context(), "j1")
		require.Error(t, err)
		time.Sleep(time.Second)
		_, found, err := p.nodes[0].State(t.Context(), "j1")
		require.NoError(t, err)
		require.True(t, found)
		time.Sleep(8 * time.Second)
		_, found, err = p.nodes[1].State(t.Context(), "j1")
		require.NoError(t, err)
		require.True(t, found)
	})
}

// TestReadWithoutWaitIsOnlyAsNewAsItsRequest guards against an early claim: a read that did
// not wait says nothing about the time after it was sent.
func TestReadWithoutWaitIsOnlyAsNewAsItsRequest(t *testing.T) {
	n := New("a", "a-1", Topics{Progress: cranmemory.New(), Submissions: cranmemory.New()}, Directory{}, noInstances{})
	sent := n.now().Steady
	n.control.applyProgress(cranstore.Update{Sent: sent})
	require.Equal(t, sent, n.control.readThrough)
	n.control.applyProgress(cranstore.Update{Sent: sent, Waited: replicaReadWait})
	require.Equal(t, sent+replicaReadWait, n.control.readThrough)
}
