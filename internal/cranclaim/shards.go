package cranclaim

import (
	"context"
	"errors"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Shards claims keys over several streams, each with a keeper of its own.
type Shards struct {
	// keepers has one keeper for each shard, at least one.
	keepers []*Keeper
}

// NewShards starts the keepers of count shards. All entries have to use the
// same count; changing it is safe only after a whole window without claims.
func NewShards(log cranplatform.Log, count int, incarnation string, options ...Option) (*Shards, error) {
	if count < 1 {
		return nil, cranfault.New(cranfault.Invalid, "use one shard or more", "%d shards of claims", count)
	}
	s := &Shards{}
	for shard := range count {
		s.keepers = append(s.keepers, NewKeeper(log, StreamName(shard), incarnation, options...))
	}
	return s, nil
}

// Claim claims a key as Keeper.Claim does.
func (s *Shards) Claim(ctx context.Context, key Key, fingerprint uint64) (*Grant, error) {
	return s.keeper(key).Claim(ctx, key, fingerprint)
}

// Release releases a grant as Keeper.Release does.
func (s *Shards) Release(g *Grant) { s.keeper(g.key).Release(g) }

// Done reports that a request ran as Keeper.Done does.
func (s *Shards) Done(g *Grant) { s.keeper(g.key).Done(g) }

// Lookup returns the claim that holds a key as Keeper.Lookup does.
func (s *Shards) Lookup(key Key) (Holder, bool) { return s.keeper(key).Lookup(key) }

// Ready returns nil if all shards can be claimed in, or their faults.
func (s *Shards) Ready() error {
	return s.each((*Keeper).Ready)
}

// Flush waits until the log holds every record of every shard.
func (s *Shards) Flush(ctx context.Context) error {
	return s.each(func(k *Keeper) error { return k.Flush(ctx) })
}

// Close ends all keepers and waits for their goroutines.
func (s *Shards) Close() error {
	return s.each((*Keeper).Close)
}

func (s *Shards) keeper(key Key) *Keeper { return s.keepers[key.Shard(len(s.keepers))] }

func (s *Shards) each(call func(*Keeper) error) error {
	var all []error
	for _, k := range s.keepers {
		all = append(all, call(k))
	}
	return errors.Join(all...)
}
