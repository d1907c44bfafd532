package crandigest

import (
	"strconv"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranquota"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// quota holds the newest shares that an owner of a shard has published, and how many records of them were read.
type quota struct {
	record   cranquota.Record
	revision uint64
}

// QuotaRecord returns the record of the shares of tenants' caps for a shard.
func QuotaRecord(shard int, r cranquota.Record) cranstore.Record {
	return cranstore.Record{Key: string(keyQuota) + strconv.Itoa(shard), Value: cranjob.Encode(r)}
}

// Quota returns what the owners of a shard have published about the shares of tenants' caps. The revision
// changes with it, and is 0 if there is no record.
func (d *Digest) Quota(number int) (r cranquota.Record, revision uint64) {
	if s := d.shards[number]; s != nil {
		return s.quota.record, s.quota.revision
	}
	return cranquota.Record{}, 0
}

func (d *Digest) applyQuota(key string, number int, value []byte) (Change, error) {
	r, err := decode[cranquota.Record](key, value)
	if err != nil {
		return Change{}, err
	}
	if err := r.Validate(); err != nil {
		return Change{}, malformed(key, err)
	}
	q := &d.shard(number).quota
	q.record = cranquota.Merge(q.record, *r)
	q.revision++
	return Change{Kind: Renewed, Shard: number}, nil
}
