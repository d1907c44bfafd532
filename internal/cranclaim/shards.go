package cranclaim

import (
	"context"
	"errors"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// ShardedClaimer claims keys over several streams, each with a keeper of its own.
type ShardedClaimer struct {
	// keepers has one keeper for each shard, at least one.
	keepers []*Claimer
}

// NewShardedClaimer starts the keepers of count shards. All entries have to use the
// same count; changing it is safe only after a whole window without claims.
func NewShardedClaimer(log cranplatform.Log, count int, incarnation string, options ...Option) (*ShardedClaimer, error) {
	if count < 1 {
		return nil, cranfault.New(cranfault.Invalid, "use one shard or more", "%d shards of claims", count)
	}
	s := &ShardedClaimer{}
	for shard := range count {
		s.keepers = append(s.keepers, NewClaimer(log, StreamName(shard), incarnation, options...))
	}
	return s, nil
}

// Claim claims a key as Claimer.Claim does.
func (s *ShardedClaimer) Claim(ctx context.Context, key Key, fingerprint uint64) (*Grant, error) {
	return s.keeper(key).Claim(ctx, key, fingerprint)
}

// Release releases a grant as Claimer.Release does.
func (s *ShardedClaimer) Release(g *Grant) { s.keeper(g.key).Release(g) }

// ReportRan reports that a request ran as Claimer.ReportRan does.
func (s *ShardedClaimer) ReportRan(g *Grant) { s.keeper(g.key).ReportRan(g) }

// Lookup returns the claim that holds a key as Claimer.Lookup does.
func (s *ShardedClaimer) Lookup(key Key) (Holder, bool) { return s.keeper(key).Lookup(key) }

// Ready returns nil if all shards can be claimed in, or their faults.
func (s *ShardedClaimer) Ready() error {
	return s.each((*Claimer).Ready)
}

// Flush waits until the log holds every record of every shard.
func (s *ShardedClaimer) Flush(ctx context.Context) error {
	return s.each(func(k *Claimer) error { return k.Flush(ctx) })
}

// Close ends all keepers and waits for their goroutines.
func (s *ShardedClaimer) Close() error {
	return s.each((*Claimer).Close)
}

func (s *ShardedClaimer) keeper(key Key) *Claimer { return s.keepers[key.Shard(len(s.keepers))] }

func (s *ShardedClaimer) each(call func(*Claimer) error) error {
	var all []error
	for _, k := range s.keepers {
		all = append(all, call(k))
	}
	return errors.Join(all...)
}
