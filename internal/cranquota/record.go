package cranquota

import (
	"math"
	"slices"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

const (
	// Whole is the whole of a cap; shares are fractions of it.
	Whole = 1_000_000
	// maxTotal bounds the total of the gifts from one shard to another, so that sums don't overflow.
	maxTotal = 1 << 50
	// maxRecordBytes bounds the entries of a record, which the store takes up to 256 KiB.
	maxRecordBytes = 128 << 10
	// entryBytes is the size of an entry without the name of its tenant.
	entryBytes = 32
)

// Record is what the owner of a shard publishes.
type Record struct {
	_ struct{} `cbor:",toarray"`
	// Version is that of the configuration with the caps to which the shares refer.
	Version int64
	// Caps is a checksum of them.
	Caps  uint64
	Gifts []Gift
	Wants []Want
	// Pins holds the shares that the long-running tasks of tenants use on the shard.
	Pins []Amount
	// Over holds what tenants use beyond their shares, since a cap was lowered.
	Over []Amount
	// Removed holds the caps of tenants that have jobs in the shard and are no longer in the configuration.
	Removed []RemovedTenant
}

// Gift is what the shard has given to another one since the beginning.
type Gift struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	To     int
	Total  int64
}

// Want says which share of a tenant's cap the shard asks for.
type Want struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	// Share is what all waiting tasks of the tenant need.
	Share int64
	// Need is the share with which the next task or gang fits if it has precedence over the work of other
	// shards; 0 if it has none. Of two shards, the one with the lower SinceMs, in Unix milliseconds, comes first.
	Need    int64
	SinceMs int64
	// Unit is the share that the next task or gang takes.
	Unit int64
}

// Amount is a part of a tenant's cap. It exceeds the whole if the cap was lowered.
type Amount struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	Share  int64
}

// RemovedTenant is the last cap of a tenant that is no longer in the configuration.
type RemovedTenant struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	Cap    cranjob.Resources
}

// Validate returns a fault of kind Malformed if no owner can have written the record.
func (r *Record) Validate() error {
	if len(r.Gifts) > maxRecordBytes/entryBytes || len(r.Wants) > crantenant.MaxTenants ||
		max(len(r.Pins), len(r.Over)) > crantenant.MaxTenants || len(r.Removed) > crantenant.MaxTenants {
		return malformed("it is too large")
	}
	for _, g := range r.Gifts {
		if g.To < 0 || g.To > math.MaxInt32 || g.Total < 0 || g.Total > maxTotal || !validName(g.Tenant) {
			return malformed("a gift is out of range")
		}
	}
	for _, w := range r.Wants {
		if !validShare(w.Share) || !validShare(w.Need) || !validShare(w.Unit) || !validName(w.Tenant) {
			return malformed("a wanted share is out of range")
		}
	}
	for _, a := range append(slices.Clone(r.Pins), r.Over...) {
		if a.Share < 0 || a.Share > maxTotal || !validName(a.Tenant) {
			return malformed("a used share is out of range")
		}
	}
	for _, t := range r.Removed {
		if !t.Cap.Valid() || !validName(t.Tenant) {
			return malformed("the cap of a removed tenant is out of range")
		}
	}
	return nil
}

func validShare(share int64) bool { return share >= 0 && share <= Whole }

func validName(name string) bool { return name != "" && len(name) <= maxName }

// maxName is the length of the longest name of a tenant that the configuration allows.
const maxName = 256

func malformed(reason string) error {
	return cranfault.New(cranfault.Malformed, "find the other process that writes to the topic", "the shares of a shard: %s", reason)
}

// Merge returns the record that follows from an earlier one and a later one of the same shard. Totals only
// rise, so a record that is read late or twice takes no gift back.
func Merge(before, after Record) Record {
	totals := map[giftKey]int{}
	gifts := make([]Gift, 0, len(after.Gifts))
	for _, g := range append(append(gifts, after.Gifts...), before.Gifts...) {
		key := giftKey{g.Tenant, g.To}
		if at, known := totals[key]; known {
			gifts[at].Total = max(gifts[at].Total, g.Total)
			continue
		}
		totals[key] = len(gifts)
		gifts = append(gifts, g)
	}
	after.Gifts = gifts
	return after
}

type giftKey struct {
	tenant string
	to     int
}
