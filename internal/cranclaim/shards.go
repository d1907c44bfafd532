package cranclaim

import (
	"context"
	"errors"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// ShardedClaimer claims keys over several streams, with one claimer for each.
type ShardedClaimer struct {
	// claimers has one claimer for each shard, at least one.
	claimers []*Claimer
}

// NewShardedClaimer starts the claimers of count shards. All entries must use
// the same count. The count can be changed safely only after a whole window
// without claims.
func NewShardedClaimer(log cranplatform.Log, count int, incarnation string, options ...Option) (*ShardedClaimer, error) {
	if count < 1 {
		return nil, cranfault.New(cranfault.Invalid, "use one shard or more",
			"the number of claim shards is %d, but must be at least 1", count)
	}
	s := &ShardedClaimer{}
	for shard := range count {
		s.claimers = append(s.claimers, NewClaimer(log, StreamName(shard), incarnation, options...))
	}
	return s, nil
}

// Claim claims a key as [Claimer.Claim] does.
func (s *ShardedClaimer) Claim(ctx context.Context, key Key, fingerprint uint64) (*Grant, error) {
	return s.claimer(key).Claim(ctx, key, fingerprint)
}

// Release releases a grant as [Claimer.Release] does.
func (s *ShardedClaimer) Release(g *Grant) { s.claimer(g.key).Release(g) }

// ReportRan records that a request ran as [Claimer.ReportRan] does.
func (s *ShardedClaimer) ReportRan(g *Grant) { s.claimer(g.key).ReportRan(g) }

// Lookup returns the claim that holds a key as [Claimer.Lookup] does.
func (s *ShardedClaimer) Lookup(key Key) (Holder, bool) { return s.claimer(key).Lookup(key) }

// Ready returns nil if claims can be made in all shards, and otherwise the
// faults of those that aren't ready.
func (s *ShardedClaimer) Ready() error {
	return s.forEachClaimer((*Claimer).Ready)
}

// Flush waits until the log holds every record of every shard.
func (s *ShardedClaimer) Flush(ctx context.Context) error {
	return s.forEachClaimer(func(c *Claimer) error { return c.Flush(ctx) })
}

// Close stops all claimers and waits for their goroutines.
func (s *ShardedClaimer) Close() error {
	return s.forEachClaimer((*Claimer).Close)
}

// claimer returns the claimer of the key's shard.
func (s *ShardedClaimer) claimer(key Key) *Claimer { return s.claimers[key.Shard(len(s.claimers))] }

// forEachClaimer calls a function for every claimer and joins the errors.
func (s *ShardedClaimer) forEachClaimer(call func(*Claimer) error) error {
	var all []error
	for _, c := range s.claimers {
		all = append(all, call(c))
	}
	return errors.Join(all...)
}
