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

func fixedJitter() float64 { return 0.5 }

// counts counts the refusals by reason.
type counts struct {
	mu       sync.Mutex
	byReason map[Reason]int
}

func (c *counts) add(r Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byReason[r]++
}

func (c *counts) count(r Reason) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byReason[r]
}

// harness is a log with some claimers on one stream, in virtual time.
type harness struct {
	t        *testing.T
	log      *cranstandin.Log
	claimers []*Claimer
	counts   *counts
}

func newHarness(t *testing.T, claimers int, options ...Option) *harness {
	h := &harness{t: t, log: cranstandin.NewLog(), counts: &counts{byReason: map[Reason]int{}}}
	t.Cleanup(func() {
		for _, c := range h.claimers {
			require.NoError(t, c.Close())
		}
		require.NoError(t, h.log.Close())
	})
	for range claimers {
		h.start(options...)
	}
	return h
}

// start adds a claimer and lets it read the stream.
func (h *harness) start(options ...Option) *Claimer {
	name := fmt.Sprintf("entry%d", len(h.claimers)+1)
	options = append([]Option{WithRefusalCounter(h.counts.add), WithRandom(fixedJitter)}, options...)
	c := NewClaimer(h.log.ForClient(name), StreamName(0), name, options...)
	h.claimers = append(h.claimers, c)
	time.Sleep(time.Second)
	return c
}

func (h *harness) faults(faults cranstandin.Faults) {
	require.NoError(h.t, h.log.SetFaults(faults))
}

// claim claims a key for a request with fingerprint 1.
func (h *harness) claim(c *Claimer, key string) (*Grant, error) {
	return c.Claim(context.Background(), HashKey(key), 1)
}

// granted claims a key and requires a usable grant.
func (h *harness) granted(c *Claimer, key string) *Grant {
	h.t.Helper()
	g, err := h.claim(c, key)
	require.NoError(h.t, err)
	require.True(h.t, g.Usable(time.Now()))
	return g
}

// refused claims a key and requires a fault of the kind.
func (h *harness) refused(c *Claimer, key string, kind cranfault.Kind) {
	h.t.Helper()
	_, err := h.claim(c, key)
	require.ErrorIs(h.t, err, cranfault.MatchKind(kind))
}

// holder claims a key that is held and returns its holder.
func (h *harness) holder(c *Claimer, key string) Holder {
	h.t.Helper()
	_, err := h.claim(c, key)
	require.ErrorIs(h.t, err, cranfault.MatchKind(cranfault.AlreadyClaimed))
	var claimed *ClaimedError
	require.ErrorAs(h.t, err, &claimed)
	require.ErrorContains(h.t, err, string(claimed.Holder().Outcome()))
	return claimed.Holder()
}

// runVirtual runs a subtest with a virtual clock.
func runVirtual(name string, t *testing.T, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}
