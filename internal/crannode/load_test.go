package crannode

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranshard"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// narrowLink carries what a process sends and receives, one transfer after the other.
type narrowLink struct {
	mu     sync.Mutex
	mbps   float64
	freeAt time.Time
}

func (l *narrowLink) setRate(mbps float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mbps = mbps
}

func (l *narrowLink) carry(ctx context.Context, records []cranstore.Record) {
	bytes := 300
	for _, r := range records {
		bytes += len(r.Key) + len(r.Value)
	}
	l.mu.Lock()
	if l.mbps > 0 {
		if now := time.Now(); l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) * 8 / l.mbps * float64(time.Microsecond)))
	}
	wait := time.Until(l.freeAt)
	l.mu.Unlock()
	cranpause.Sleep(ctx, wait)
}

// linkedTopic is a partition of the store as a process reaches it.
type linkedTopic struct {
	cranstore.Topic
	link *narrowLink
}

func (t linkedTopic) Append(ctx context.Context, records []cranstore.Record, o cranstore.AppendOptions) (uint64, error) {
	t.link.carry(ctx, records)
	return t.Topic.Append(ctx, records, o)
}

func (t linkedTopic) Read(ctx context.Context, from uint64, o cranstore.ReadOptions) (cranstore.Batch, error) {
	b, err := t.Topic.Read(ctx, from, o)
	t.link.carry(ctx, b.Records)
	return b, err
}

func (t linkedTopic) Newest(ctx context.Context, after string, received func(int)) (cranstore.Page, error) {
	p, err := t.Topic.Newest(ctx, after, received)
	t.link.carry(ctx, p.Records)
	return p, err
}

// TestShardIsLoadedOverNarrowLink guards against entry instances that take a shard from each other while each of them
// loads it: its partitions, loaded at once, leave no room on a link of 2 Mbit/s for the renewals of the claim.
func TestShardIsLoadedOverNarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, shards, stripes, jobs, mbps = 5, 2, 8, 1600, 2
		start := time.Now()
		partitions := map[string]*cranmemory.Topic{}
		var mu sync.Mutex
		partition := func(format string, a ...any) cranstore.Topic {
			mu.Lock()
			defer mu.Unlock()
			name := fmt.Sprintf(format, a...)
			if partitions[name] == nil {
				partitions[name] = cranmemory.New()
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
		var links []*narrowLink
		for i := range entries {
			link := &narrowLink{}
			ctx, cancel := context.WithCancel(t.Context())
			n := New(fmt.Sprintf("e%d", i), fmt.Sprintf("e%d-1", i), Topics{
				Digest: linkedTopic{digest, link}, MaxShards: shards, MaxStripes: func(int) int { return stripes },
				Shard: func(number int) ShardTopics {
					return ShardTopics{Progress: linkedTopic{partition("p%d", number), link}, Submissions: linkedTopic{partition("s%d.0", number), link}}
				},
				Stripe: func(number, stripe, _ int) cranstore.Topic {
					return linkedTopic{partition("s%d.%d", number, stripe), link}
				},
			}, Directory{
				Operator: operator, Targets: targets,
				DecodeOperatorRecord: func(string, []byte) (any, error) { return config, nil },
				DecodeTargetRecord: func(id string, _ []byte) (cransched.TargetInfo, error) {
					return cransched.TargetInfo{ID: id, Pool: "p"}, nil
				},
			}, noInstances{}, WithLimits(cranshard.Limits{LinkMbps: mbps}), WithClock(func() cransched.Clock {
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
			nodes, links = append(nodes, n), append(links, link)
		}
		time.Sleep(8 * time.Second)
		for i := range jobs {
			job := &cranjob.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Pool: "p", Steps: []cranjob.Step{{
				Count: 1, Demand: cranjob.Resources{CPU: 1}, Image: strings.Repeat("x", 2000),
			}}}
			require.NoError(t, nodes[i%entries].Submit(t.Context(), job))
		}
		time.Sleep(2 * time.Second)
		for _, l := range links {
			l.setRate(mbps)
		}
		epochs := func() (sum uint64, scheduled int) {
			for _, n := range nodes {
				n.postAndWait(t.Context(), func() {
					for _, s := range n.shards {
						if s.scheduling() {
							scheduled++
							sum += s.claim().Epoch
						}
					}
				})
			}
			return sum, scheduled
		}
		before, scheduled := epochs()
		require.Equal(t, shards, scheduled)
		for _, n := range nodes {
			n.postAndWait(t.Context(), func() {
				for _, s := range n.shards {
					if s.scheduling() {
						s.stopScheduling("the test replaces it")
					}
				}
			})
		}
		time.Sleep(20 * time.Second)
		after, scheduled := epochs()
		require.Equal(t, shards, scheduled)
		require.LessOrEqual(t, after, before+shards, "the shards are claimed again and again")
	})
}

// TestLongLoadIsNoStall guards against a new owner that counts as stalled, and is relieved, since it took long to load
// what is stored.
func TestLongLoadIsNoStall(t *testing.T) {
	n := New("e", "e-1", memoryTopics(), Directory{}, noInstances{})
	s := n.newShard(0, time.Hour)
	o := &ownership{shard: s, scheduledAt: time.Hour, stripeReaders: make([]stripeReader, 1), progress: &fencedWriter{}}
	read := cranstore.Update{Sent: time.Hour, Transfer: cranstore.Transfer{Elapsed: 4 * time.Second}}
	o.observeRead(0, read)
	require.Less(t, o.waitAge(time.Hour), stallBound)
	o.scheduler = &cransched.Scheduler{}
	o.observeRead(0, read)
	require.GreaterOrEqual(t, o.waitAge(time.Hour), stallBound)
}
