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

// link is the way of one process to a topic.
type link struct {
	*cranmemory.Topic
	mu   sync.Mutex
	cut  bool
	lags time.Duration
	// most bounds the records of a read; 0 for all.
	most int
	// loads is how long it takes to read the newest records.
	loads time.Duration
}

func (l *link) set(cut bool, lags time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.lags = cut, lags
}

func (l *link) limit(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = records
}

func (l *link) pass() error {
	l.mu.Lock()
	cut, lags := l.cut, l.lags
	l.mu.Unlock()
	time.Sleep(lags)
	if cut {
		return errors.New("cut off")
	}
	return nil
}

func (l *link) Append(ctx context.Context, records []cranstore.Record, o cranstore.AppendOptions) (uint64, error) {
	if err := l.pass(); err != nil {
		return 0, err
	}
	return l.Topic.Append(ctx, records, o)
}

func (l *link) End(ctx context.Context, from uint64) (uint64, error) {
	batch, err := l.Read(ctx, from, 0)
	return batch.End, err
}

// Read answers late: the records are as old as the lag.
func (l *link) Read(ctx context.Context, from uint64, wait time.Duration) (cranstore.Batch, error) {
	batch, err := l.Topic.Read(ctx, from, wait)
	if failed := l.pass(); failed != nil {
		return cranstore.Batch{}, failed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.most > 0 && len(batch.Records) > l.most {
		batch.Records = batch.Records[:l.most]
		batch.Next = from + uint64(l.most)
	}
	return batch, err
}

// Newest takes the time that a narrow link takes.
func (l *link) Newest(ctx context.Context, after string) (cranstore.Page, error) {
	time.Sleep(l.loads)
	return l.Topic.Newest(ctx, after)
}

// noOrders is a platform without targets.
type noOrders struct{ OrderSender }

func (noOrders) ListInstances(context.Context) ([]cransched.InstanceInfo, error) { return nil, nil }

// pair is two entry instances on one topic.
type pair struct {
	// links lead to the scheduler's records, submissions to the callers'.
	links, submissions [2]*link
	nodes              [2]*Node
	stops              [2]context.CancelFunc
	group              sync.WaitGroup
}

// newPair starts two entry instances, the second of which takes a time to load
// the submissions.
func newPair(t *testing.T, loads time.Duration) *pair {
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
		p.submissions[i] = &link{Topic: submissions, loads: time.Duration(i) * loads}
		name := string(rune('a' + i))
		p.nodes[i] = New(name, name+"-1", Topics{Progress: p.links[i], Submissions: p.submissions[i]}, directory, noOrders{}, WithClock(clock),
			WithTiming(cransched.Timing{MaxLease: 6 * time.Second, OrderLease: 3 * time.Second}))
		ctx, cancel := context.WithCancel(context.Background())
		p.stops[i] = cancel
		p.group.Go(func() { _ = p.nodes[i].Run(ctx) })
		// The first one claims.
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

func (p *pair) owns(i int) bool { return p.nodes[i].owning.Load() }

// TestTakeover cuts the owner off the store: the other one takes over within
// three seconds, and the former owner gives up once it is back.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 0)
		defer p.close()
		require.True(t, p.owns(0))
		require.False(t, p.owns(1))
		p.links[0].set(true, 0)
		time.Sleep(3 * time.Second)
		require.True(t, p.owns(1))
		p.links[0].set(false, 0)
		time.Sleep(2 * time.Second)
		require.False(t, p.owns(0))
		require.True(t, p.owns(1))
	})
}

// TestHandover stops the owner gracefully: the other one takes over at once.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 0)
		defer p.close()
		p.stops[0]()
		time.Sleep(time.Second)
		require.True(t, p.owns(1))
	})
}

// TestLateReader has an entry instance whose reads are answered late: it must
// not take a sound owner for silent.
func TestLateReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 0)
		defer p.close()
		require.True(t, p.owns(0))
		for _, lags := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
			p.links[1].set(false, lags)
			time.Sleep(20 * time.Second)
			require.True(t, p.owns(0), lags)
		}
	})
}

// TestPendingOfLaggingReader has an entry instance that reads fewer records
// than are stored: it doesn't tell how many jobs wait, which it can't know.
func TestPendingOfLaggingReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 0)
		defer p.close()
		_, err := p.nodes[1].Pending("q")
		require.NoError(t, err)
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

// TestTakeoverAwaitsSubmissions replaces an owner by an entry instance that
// can't read the submissions: it schedules only once it can, since the records
// of jobs that it doesn't know may be there already.
func TestTakeoverAwaitsSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 0)
		defer p.close()
		p.submissions[1].set(true, 0)
		p.links[0].set(true, 0)
		time.Sleep(6 * time.Second)
		require.False(t, p.owns(1))
		p.submissions[1].set(false, 0)
		time.Sleep(2 * time.Second)
		require.True(t, p.owns(1))
	})
}

// TestSubmitWhileLoading answers the load after a restart of all entry
// instances: one that still reads the submissions accepts jobs, and says that it
// doesn't know those that others have accepted.
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
