package crannode

import (
	"context"
	"encoding/binary"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// slowLinkRate is the rate of the slowest supported link, 10 Mbit/s, in bytes per second.
const slowLinkRate = 10_000_000 / 8

// largeConfigBytes is the size of a configuration with 1,400 routes.
const largeConfigBytes = 312_000

// linkedNode is an entry instance whose topics are behind one link.
type linkedNode struct {
	*Node
	link *cranmemory.Link
	// The topics as the store holds them.
	storedDigest, storedSubmissions, operator, targets *cranmemory.Topic
}

// newLinkedNode starts an entry instance that runs until the test ends. A configuration
// record holds its version in the first 8 bytes.
func newLinkedNode(t *testing.T, options ...Option) *linkedNode {
	l := &linkedNode{
		link: cranmemory.NewLink(slowLinkRate), storedDigest: cranmemory.New(), storedSubmissions: cranmemory.New(),
		operator: cranmemory.New(), targets: cranmemory.New(),
	}
	start := time.Now()
	clock := func() cransched.Clock {
		return cransched.Clock{Steady: time.Hour + time.Since(start), UnixMs: time.Now().UnixMilli()}
	}
	options = append([]Option{
		WithClock(clock), WithTiming(cransched.Timing{MaxLease: 6 * time.Second, OrderLease: 3 * time.Second}),
	}, options...)
	shard := ShardTopics{Progress: l.link.Connect(cranmemory.New()), Submissions: l.link.Connect(l.storedSubmissions)}
	topics := Topics{Digest: l.link.Connect(l.storedDigest), Shard: func(int) ShardTopics { return shard }, MaxShards: 1}
	l.Node = New("a", "a-1", topics, Directory{
		Operator: l.link.Connect(l.operator), Targets: l.link.Connect(l.targets),
		DecodeTargetRecord: func(id string, _ []byte) (cransched.TargetInfo, error) {
			return cransched.TargetInfo{ID: id}, nil
		},
		DecodeOperatorRecord: func(_ string, value []byte) (any, error) {
			return &Config{Config: cransched.Config{Version: int64(binary.BigEndian.Uint64(value))}}, nil
		},
	}, noInstances{}, options...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l
}

// publish stores a version of the configuration.
func (l *linkedNode) publish(version int64, size int) {
	value := make([]byte, size)
	binary.BigEndian.PutUint64(value, uint64(version))
	l.operator.Put("config", value)
}

// TestNewestConfigurationIsInForceDuringStorm guards against a reader that fetches every
// version of a large configuration in turn and falls behind the newest one.
func TestNewestConfigurationIsInForceDuringStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const versions, interval, applyBound = 30, 100 * time.Millisecond, 3 * time.Second
		l := newLinkedNode(t)
		l.publish(1, largeConfigBytes)
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 1, l.Config().Version)
		for v := range int64(versions) {
			l.publish(v+2, largeConfigBytes)
			time.Sleep(interval)
			// Versions that were published applyBound ago must be in force.
			require.GreaterOrEqual(t, l.Config().Version, v+2-int64(applyBound/interval))
		}
		time.Sleep(applyBound)
		require.EqualValues(t, versions+1, l.Config().Version)
	})
}

// TestTopicsCatchUpAfterOutage guards against topics that stay unread long after the
// store has returned, because their reads share a slow link.
func TestTopicsCatchUpAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLinkedNode(t)
		l.publish(1, largeConfigBytes)
		time.Sleep(3 * time.Second)
		l.link.SetCut(true)
		for v := range int64(3) {
			l.publish(v+2, largeConfigBytes)
		}
		for i := range 400 {
			l.storedDigest.Put(fmt.Sprintf("z%d", i), make([]byte, 2000))
			l.storedSubmissions.Put(fmt.Sprintf("z%d", i), make([]byte, 2000))
			l.targets.Put(fmt.Sprintf("t%d", i), make([]byte, 500))
		}
		time.Sleep(5 * time.Second)
		l.link.SetCut(false)
		// A deployment of this size allows 3 s for a configuration and 6 s to catch up.
		time.Sleep(3 * time.Second)
		require.EqualValues(t, 4, l.Config().Version)
		time.Sleep(3 * time.Second)
		end, err := l.storedSubmissions.End(t.Context(), 0)
		require.NoError(t, err)
		l.postAndWait(t.Context(), func() {
			require.LessOrEqual(t, l.now().Steady-l.digestCurrentAt, maxDigestAge)
			require.True(t, l.shards[0].scheduling())
			require.Equal(t, end, l.shards[0].owner.through)
		})
	})
}

// TestLostResponseLeavesConfigurationConfirmed guards against refusing requests because the
// response to a single read of the configuration was lost.
func TestLostResponseLeavesConfigurationConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 2 * time.Second
		l := newLinkedNode(t, WithConfigBound(bound))
		l.publish(1, 100)
		time.Sleep(bound)
		for range 20 {
			l.link.SetCut(true)
			time.Sleep(bound / configReadsPerBound)
			l.link.SetCut(false)
			for range 40 {
				time.Sleep(100 * time.Millisecond)
				require.True(t, l.configFreshness().confirmed)
				require.True(t, l.Ready())
			}
		}
	})
}
