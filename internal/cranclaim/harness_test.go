package cranclaim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

func steady() float64 { return 0.5 }

// counts gathers the reasons of refusals.
type counts struct {
	mu sync.Mutex
	by map[Reason]int
}

func (c *counts) add(r Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.by[r]++
}

func (c *counts) of(r Reason) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.by[r]
}

// bench is a log with some keepers on one stream, in virtual time.
type bench struct {
	t       *testing.T
	log     *cranstandin.Log
	keepers []*Claimer
	counts  *counts
}

func newBench(t *testing.T, keepers int, options ...Option) *bench {
	b := &bench{t: t, log: cranstandin.NewLog(), counts: &counts{by: map[Reason]int{}}}
	t.Cleanup(func() {
		for _, k := range b.keepers {
			require.NoError(t, k.Close())
		}
		require.NoError(t, b.log.Close())
	})
	for range keepers {
		b.start(options...)
	}
	return b
}

// start adds a keeper and lets it read the stream.
func (b *bench) start(options ...Option) *Claimer {
	name := fmt.Sprintf("entry%d", len(b.keepers)+1)
	options = append([]Option{WithRefusalCounter(b.counts.add), WithRandom(steady)}, options...)
	k := NewClaimer(b.log.ForClient(name), StreamName(0), name, options...)
	b.keepers = append(b.keepers, k)
	time.Sleep(time.Second)
	return k
}

func (b *bench) faults(f cranstandin.Faults) {
	require.NoError(b.t, b.log.SetFaults(f))
}

// claim claims a key with the first keeper but for others named.
func (b *bench) claim(k *Claimer, key string) (*Grant, error) {
	return k.Claim(context.Background(), HashKey(key), 1)
}

func (b *bench) granted(k *Claimer, key string) *Grant {
	b.t.Helper()
	g, err := b.claim(k, key)
	require.NoError(b.t, err)
	require.True(b.t, g.Usable(time.Now()))
	return g
}

func (b *bench) refused(k *Claimer, key string, kind cranfault.Kind) {
	b.t.Helper()
	_, err := b.claim(k, key)
	require.ErrorIs(b.t, err, cranfault.MatchKind(kind))
}

// holder claims a key that is held and returns by whom.
func (b *bench) holder(k *Claimer, key string) Holder {
	b.t.Helper()
	_, err := b.claim(k, key)
	require.ErrorIs(b.t, err, cranfault.MatchKind(cranfault.AlreadyClaimed))
	var claimed *ClaimedError
	require.ErrorAs(b.t, err, &claimed)
	require.ErrorContains(b.t, err, string(claimed.Holder().Outcome()))
	return claimed.Holder()
}

// virtual runs a test with a virtual clock.
func virtual(name string, t *testing.T, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}
