package crannode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// fault is what is wrong with the connection of one process to the store.
type fault struct {
	mu sync.Mutex
	// cut makes every call fail, lag delays every call.
	cut bool
	lag time.Duration
	// parent, if set, applies too.
	parent *fault
}

func (f *fault) set(cut bool, lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut, f.lag = cut, lag
}

func (f *fault) isCut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut
}

func (f *fault) apply() error {
	f.mu.Lock()
	cut, lag := f.cut, f.lag
	f.mu.Unlock()
	time.Sleep(lag)
	switch {
	case cut:
		return errors.New("cut off from the store")
	case f.parent != nil:
		return f.parent.apply()
	}
	return nil
}

// link simulates one process's connection to a topic, with faults.
type link struct {
	*cranmemory.Topic
	fault *fault
	// readFault, if set, is what is wrong with reads alone.
	readFault *fault
	// appended, if set, is called after each append that has added records. The lock recorder is
	// held from before the records can be read until then.
	appended func(records []cranstore.Record)
	recorder sync.Locker
	mu       sync.Mutex
	// stored is the end of the newest append, and losing is set while appends are stored and
	// their answers are lost.
	stored uint64
	losing bool
	// maxRecords bounds the records of a read; 0 means no bound.
	maxRecords int
	// loadTime is how long each page of the newest records but the first takes.
	loadTime time.Duration
}

func (l *link) limit(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxRecords = records
}

func (l *link) Append(ctx context.Context, records []cranstore.Record, o cranstore.AppendOptions) (uint64, error) {
	if err := l.fault.apply(); err != nil {
		return 0, err
	}
	offset, losing, err := l.store(ctx, records, o)
	if err == nil && losing {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return offset, err
}

// store appends records, and reports whether the answer is lost.
func (l *link) store(ctx context.Context, records []cranstore.Record, o cranstore.AppendOptions) (offset uint64, losing bool, err error) {
	if l.recorder != nil {
		l.recorder.Lock()
		defer l.recorder.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if offset, err = l.Topic.Append(ctx, records, o); err != nil {
		return offset, false, err
	}
	added := offset >= l.stored
	l.stored = max(l.stored, offset+uint64(len(records)))
	if added && l.appended != nil {
		l.appended(records)
	}
	return offset, l.losing, nil
}

// lose sets whether the answers to appends are lost.
func (l *link) lose(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losing = on
}

func (l *link) End(ctx context.Context, from uint64) (uint64, error) {
	batch, err := l.Read(ctx, from, cranstore.ReadOptions{})
	return batch.End, err
}

// Read delays the answer after reading, so that the records are as old as the lag.
func (l *link) Read(ctx context.Context, from uint64, o cranstore.ReadOptions) (cranstore.Batch, error) {
	batch, err := l.Topic.Read(ctx, from, o)
	if faultErr := l.applyToRead(); faultErr != nil {
		return cranstore.Batch{}, faultErr
	}
	if ctx.Err() != nil {
		return cranstore.Batch{}, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxRecords > 0 && len(batch.Records) > l.maxRecords {
		batch.Records = batch.Records[:l.maxRecords]
		batch.Next = from + uint64(l.maxRecords)
	}
	return batch, err
}

// Newest takes loadTime for a later page, like a read over a slow link.
func (l *link) Newest(ctx context.Context, after string, received func(int)) (cranstore.Page, error) {
	if after != "" {
		for left := l.loadTime; left > 0 && ctx.Err() == nil; left -= time.Second {
			received(1)
			cranpause.Sleep(ctx, min(left, time.Second))
		}
	}
	page, err := l.Topic.Newest(ctx, after, received)
	if faultErr := l.applyToRead(); faultErr != nil {
		return cranstore.Page{}, faultErr
	}
	return page, err
}

// applyToRead applies the faults of a read.
func (l *link) applyToRead() error {
	if err := l.fault.apply(); err != nil || l.readFault == nil {
		return err
	}
	return l.readFault.apply()
}

// memoryTopics returns empty topics for one shard.
func memoryTopics() Topics {
	shard := ShardTopics{Progress: cranmemory.New(), Submissions: cranmemory.New()}
	return Topics{Digest: cranmemory.New(), Shard: func(int) ShardTopics { return shard }, MaxShards: 1}
}

// noInstances is an OrderSender for a platform without instances.
type noInstances struct{ OrderSender }

func (noInstances) ListInstances(context.Context, string) ([]cransched.InstanceInfo, string, error) {
	return nil, "", nil
}

// pair is two entry instances that share their topics.
type pair struct {
	// stores are the connections to all topics but the submissions, submissions those to the
	// submissions, and digests those to the digest.
	stores, submissions [2]*fault
	digests             [2]*link
	digest              *cranmemory.Topic
	nodes               [2]*Node
	stops               [2]context.CancelFunc
	group               sync.WaitGroup
}

// newPair starts two entry instances. The digest has more than one page, of which the second
// entry instance takes loadTime to load the others.
func newPair(t *testing.T, loadTime time.Duration) *pair {
	p := &pair{digest: cranmemory.New()}
	progress, submissions, operator, targets := cranmemory.New(), cranmemory.New(), cranmemory.New(), cranmemory.New()
	_, err := operator.Append(t.Context(), []cranstore.Record{{Key: "config", Value: []byte{1}}}, cranstore.AppendOptions{})
	require.NoError(t, err)
	directory := Directory{
		Operator: operator, Targets: targets,
		DecodeOperatorRecord: func(string, []byte) (any, error) {
			return &Config{Config: cransched.Config{Version: 1}}, nil
		},
	}
	if loadTime > 0 {
		for i := range 600 {
			r := crandigest.WaveProgress{Begun: true}.Record(i, 0)
			p.digest.Put(r.Key, r.Value)
		}
	}
	start := time.Now()
	clock := func() cransched.Clock {
		return cransched.Clock{Steady: time.Hour + time.Since(start), UnixMs: time.Now().UnixMilli()}
	}
	for i := range p.nodes {
		p.stores[i], p.submissions[i] = &fault{}, &fault{}
		p.digests[i] = &link{Topic: p.digest, fault: p.stores[i], loadTime: time.Duration(i) * loadTime}
		shard := ShardTopics{
			Progress:    &link{Topic: progress, fault: p.stores[i]},
			Submissions: &link{Topic: submissions, fault: p.submissions[i]},
		}
		topics := Topics{Digest: p.digests[i], Shard: func(int) ShardTopics { return shard }, MaxShards: 1}
		name := string(rune('a' + i))
		p.nodes[i] = New(name, name+"-1", topics, directory, noInstances{}, WithClock(clock),
			WithTiming(cransched.Timing{MaxLease: 6 * time.Second, OrderLease: 3 * time.Second}))
		ctx, cancel := context.WithCancel(context.Background())
		p.stops[i] = cancel
		p.group.Go(func() { _ = p.nodes[i].Run(ctx) })
		// The first entry instance claims before the second one starts.
		time.Sleep(2 * time.Second)
	}
	return p
}

// publish appends a segment with one job to the digest.
func (p *pair) publish(t *testing.T, number uint64) {
	states := []crandigest.JobState{{ID: fmt.Sprintf("%016x", number), State: cranjob.Completed}}
	_, err := p.digest.Append(t.Context(), crandigest.Segments(0, 1<<20, number, states), cranstore.AppendOptions{})
	require.NoError(t, err)
}

func (p *pair) close() {
	for _, stop := range p.stops {
		stop()
	}
	p.group.Wait()
}

func (p *pair) isOwner(i int) bool { return p.nodes[i].owned.Load() > 0 }

// TestTakeover cuts the owner off the store. The other entry instance must take over
// within three seconds, and the former owner must give up once it reaches the store
// again.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 0)
		defer p.close()
		require.True(t, p.isOwner(0))
		require.False(t, p.isOwner(1))
		p.stores[0].set(true, 0)
		time.Sleep(3 * time.Second)
		require.True(t, p.isOwner(1))
		p.stores[0].set(false, 0)
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
			p.stores[1].set(false, lag)
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
		_, err := p.nodes[1].Pending(t.Context(), "q")
		require.NoError(t, err)
		// Records are stored at 400 per second and read at 200 per second.
		p.stores[1].set(false, 5*time.Millisecond)
		p.digests[1].limit(1)
		for i := range uint64(100) {
			for j := range uint64(40) {
				p.publish(t, 40*i+j)
			}
			time.Sleep(100 * time.Millisecond)
		}
		_, err = p.nodes[1].Pending(t.Context(), "q")
		require.Error(t, err)
		_, err = p.nodes[0].Pending(t.Context(), "q")
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
		p.submissions[1].set(true, 0)
		p.stores[0].set(true, 0)
		time.Sleep(6 * time.Second)
		require.False(t, p.isOwner(1))
		p.submissions[1].set(false, 0)
		time.Sleep(2 * time.Second)
		require.True(t, p.isOwner(1))
	})
}

// TestSubmitWhileLoading covers the load after a restart of all entry instances. One
// that is still reading the digest must accept jobs, and must return an error when
// asked for a job that it may not have read yet.
func TestSubmitWhileLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 8*time.Second)
		defer p.close()
		submit := func(node *Node, id string) {
			job := cranjob.Job{ID: id, Queue: "q", Steps: []cranjob.Step{{Count: 1, Demand: cranjob.Resources{CPU: 1, Memory: 1}}}}
			require.NoError(t, node.Submit(t.Context(), &job))
		}
		submit(p.nodes[1], "j1")
		submit(p.nodes[0], "j2")
		_, _, err := p.nodes[1].State(t.Context(), "j2")
		require.Error(t, err)
		time.Sleep(time.Second)
		for _, id := range []string{"j1", "j2"} {
			_, found, err := p.nodes[0].State(t.Context(), id)
			require.NoError(t, err)
			require.True(t, found)
		}
		time.Sleep(8 * time.Second)
		for _, id := range []string{"j1", "j2"} {
			_, found, err := p.nodes[1].State(t.Context(), id)
			require.NoError(t, err)
			require.True(t, found)
		}
	})
}

// TestReadWithoutWaitIsOnlyAsNewAsItsRequest guards against an early claim: a read that did
// not wait says nothing about the time after it was sent.
func TestReadWithoutWaitIsOnlyAsNewAsItsRequest(t *testing.T) {
	n := New("a", "a-1", memoryTopics(), Directory{}, noInstances{})
	sent := n.now().Steady
	n.control.applyDigest(cranstore.Update{Sent: sent})
	require.Equal(t, sent, n.control.readThrough)
	n.control.applyDigest(cranstore.Update{Sent: sent, Waited: replicaReadWait})
	require.Equal(t, sent+replicaReadWait, n.control.readThrough)
}
