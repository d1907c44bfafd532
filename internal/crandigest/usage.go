package crandigest

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

const (
	keyUsage = 't'
	// maxUsage bounds a total, so that differences and sums of totals are exact as floating-point
	// numbers.
	maxUsage = 1 << 53
	// maxUsageBytes bounds the names in a record, since the store refuses large ones. It suffices for
	// some thousand tenants.
	maxUsageBytes = 64 << 10
)

// usage is the record of how many jobs of each tenant the owners of a shard have counted as within
// the tenant's entitlement. The totals never fall.
type usage struct {
	_       struct{} `cbor:",toarray"`
	Tenants []tenantUsage
}

type tenantUsage struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	Used   uint64
}

// UsageRecord returns the record of the entitlements that a shard has used, by tenant. Where there
// are too many tenants for a record, it has those with the highest totals.
func UsageRecord(shard int, totals map[string]uint64) cranstore.Record {
	u := usage{Tenants: make([]tenantUsage, 0, len(totals))}
	names := slices.SortedFunc(maps.Keys(totals), func(a, b string) int {
		return cmp.Or(cmp.Compare(totals[b], totals[a]), cmp.Compare(a, b))
	})
	bytes := 0
	for _, name := range names {
		if bytes += len(name); bytes > maxUsageBytes {
			break
		}
		u.Tenants = append(u.Tenants, tenantUsage{Tenant: name, Used: totals[name]})
	}
	return cranstore.Record{Key: string(keyUsage) + strconv.Itoa(shard), Value: cranjob.Encode(u)}
}

// Usage returns how much of the entitlement of each tenant a shard has used. The caller must not
// change it.
func (d *Digest) Usage(number int) map[string]uint64 { return d.usage[number] }

// applyUsage replaces the totals of a shard. A total that is lower than the one known is older.
func (d *Digest) applyUsage(key string, number int, value []byte) (Change, error) {
	u, err := decode[usage](key, value)
	if err != nil {
		return Change{}, err
	}
	if len(u.Tenants) > crantenant.MaxTenants {
		return Change{}, malformed(key, fmt.Sprintf("%d tenants, at most %d are allowed", len(u.Tenants), crantenant.MaxTenants))
	}
	totals := make(map[string]uint64, len(u.Tenants))
	for _, t := range u.Tenants {
		if _, repeated := totals[t.Tenant]; repeated || !crantenant.ValidName(t.Tenant) || t.Used > maxUsage {
			return Change{}, malformed(key, fmt.Sprintf("the tenant %.40q is invalid, repeated, or has an impossible total", t.Tenant))
		}
		totals[t.Tenant] = max(t.Used, d.usage[number][t.Tenant])
	}
	d.usage[number] = totals
	return Change{Kind: Renewed, Shard: number}, nil
}
