package crannode

import (
	"context"
	"fmt"
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

// serialTopic processes its appends one after the other, each in a given time, like a partition of a slow
// store, and refuses those that would wait for over 2 s.
type serialTopic struct {
	*cranmemory.Topic
	mu     sync.Mutex
	time   time.Duration
	freeAt time.Time
}

func (s *serialTopic) setTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.time = d
}

func (s *serialTopic) Append(ctx context.Context, records []cranstore.Record, o cranstore.AppendOptions) (uint64, error) {
	s.mu.Lock()
	now := time.Now()
	if s.freeAt.Sub(now) > 2*time.Second {
		s.mu.Unlock()
		return 0, cranstore.Refused(context.DeadlineExceeded)
	}
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(s.time)
	wait := s.freeAt.Sub(now)
	s.mu.Unlock()
	time.Sleep(wait)
	return s.Topic.Append(ctx, records, o)
}

// TestSlowStoreAcceptsJobsOfManyEntries guards against jobs that are refused or answered after their deadline
// since the appends of all entry instances queue at one partition while the store is slow, and against jobs
// or cancellations that are lost between the partitions: also a new owner must know all of them.
func TestSlowStoreAcceptsJobsOfManyEntries(t *testing.T) {
	const entries, shards, maxStripes, perSecond = 36, 2, 8, 120
	play := func(t *testing.T, stripes int) (accepted int) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			partitions := map[string]*serialTopic{}
			var partitionsMu sync.Mutex
			partition := func(name string) cranstore.Topic {
				partitionsMu.Lock()
				defer partitionsMu.Unlock()
				if partitions[name] == nil {
					partitions[name] = &serialTopic{Topic: cranmemory.New()}
				}
				return partitions[name]
			}
			digest, operator, targets := cranmemory.New(), cranmemory.New(), cranmemory.New()
			config := NewConfig(cransched.Config{Version: 1, Queues: map[string]*cransched.Queue{"q": {Name: "q", Pool: "p", Attempts: 3}}, Pools: map[string]*cransched.Pool{"p": {Name: "p"}}}, nil)
			operator.Put("config", []byte("1"))
			for i := range 600 {
				targets.Put(fmt.Sprintf("t%d", i), []byte("1"))
			}
			var nodes []*Node
			for i := range entries {
				ctx, cancel := context.WithCancel(t.Context())
				n := New(fmt.Sprintf("e%d", i), fmt.Sprintf("e%d-1", i), Topics{
					Digest: digest, MaxShards: shards, MaxStripes: func(int) int { return stripes },
					Shard: func(number int) ShardTopics {
						return ShardTopics{Progress: partition(fmt.Sprintf("p%d", number)), Submissions: partition(fmt.Sprintf("s%d.0", number))}
					},
					Stripe: func(number, stripe, _ int) cranstore.Topic { return partition(fmt.Sprintf("s%d.%d", number, stripe)) },
				}, Directory{
					Operator: operator, Targets: targets,
					DecodeOperatorRecord: func(string, []byte) (any, error) { return config, nil },
					DecodeTargetRecord: func(id string, _ []byte) (cransched.TargetInfo, error) {
						return cransched.TargetInfo{ID: id, Pool: "p"}, nil
					},
				}, noInstances{}, WithClock(func() cransched.Clock {
					return cransched.Clock{Steady: time.Hour + time.Since(start), UnixMs: time.Now().UnixMilli()}
				}), WithTiming(cransched.Timing{MaxLease: 6 * time.Second, OrderLease: 3 * time.Second}))
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = n.Run(ctx)
				}()
				defer func() {
					cancel()
					<-done
				}()
				nodes = append(nodes, n)
			}
			time.Sleep(8 * time.Second)
			for _, p := range partitions {
				p.setTime(84 * time.Millisecond)
			}
			var group sync.WaitGroup
			var mu sync.Mutex
			var ids []string
			for i := range 4 * perSecond {
				group.Go(func() {
					id := fmt.Sprintf("%016x", i)
					ctx, cancel := WithCallerDeadline(t.Context(), 3*time.Second)
					defer cancel()
					job := &cranjob.Job{ID: id, Queue: "q", Pool: "p", Steps: []cranjob.Step{{Count: 1, Demand: cranjob.Resources{CPU: 1}}}}
					if nodes[i%entries].Submit(ctx, job) == nil {
						mu.Lock()
						ids = append(ids, id)
						mu.Unlock()
					}
				})
				time.Sleep(time.Second / perSecond)
			}
			group.Wait()
			for _, p := range partitions {
				p.setTime(0)
			}
			time.Sleep(4 * time.Second)
			for i, id := range ids {
				_, found, err := nodes[(i+5)%entries].State(t.Context(), id)
				require.NoError(t, err)
				require.True(t, found, id)
			}
			for i, id := range ids[:20] {
				found, err := nodes[i%entries].Cancel(t.Context(), id)
				require.NoError(t, err)
				require.True(t, found)
			}
			time.Sleep(2 * time.Second)
			for _, id := range ids[:20] {
				state, _, err := nodes[0].State(t.Context(), id)
				require.NoError(t, err)
				require.Equal(t, cranjob.Cancelled, state)
			}
			// The next owners load all partitions.
			known := 0
			for _, n := range nodes {
				n.postAndWait(t.Context(), func() {
					for _, s := range n.shards {
						if s.owner != nil && s.owner.scheduler != nil {
							known += s.owner.scheduler.JobCount()
							s.stopScheduling("the test replaces it")
						}
					}
				})
			}
			// Jobs without an answer in time may be stored.
			require.GreaterOrEqual(t, known, len(ids)-20)
			time.Sleep(8 * time.Second)
			before := known
			known = 0
			for _, n := range nodes {
				n.postAndWait(t.Context(), func() {
					for _, s := range n.shards {
						if s.owner != nil && s.owner.scheduler != nil {
							known += s.owner.scheduler.JobCount()
						}
					}
				})
			}
			require.Equal(t, before, known)
			accepted = len(ids)
		})
		return accepted
	}
	one, several := play(t, 1), play(t, maxStripes)
	t.Logf("accepted with one partition a shard: %d, with %d: %d", one, maxStripes, several)
	require.Equal(t, 4*perSecond, several)
	require.Less(t, one, several)
}
