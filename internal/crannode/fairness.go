package crannode

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranfair"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// usageInterval is the minimum time between two records of the entitlements that a shard has
	// used, which every entry instance reads.
	usageInterval = 400 * time.Millisecond
	// usagePerInterval is the number of tenants above which the interval grows in proportion, so that
	// the records take at most 3 KB/s where names have ten letters.
	usagePerInterval = 100
)

// entitlements is the part of an ownership that counts what is owed to tenants, and exchanges it
// with the owners of the other shards. Only the control goroutine uses it.
type entitlements struct {
	ledger *cranfair.Ledger
	// published is how many jobs the newest record covers, which was written at publishedAt and
	// names so many tenants.
	published   uint64
	publishedAt time.Duration
	tenants     int
	report      entitlementReport
}

// newEntitlements returns the entitlements of a new owner, without any jobs.
func (s *shard) newEntitlements() *entitlements {
	return &entitlements{ledger: cranfair.NewLedger(s.number, len(s.node.shards))}
}

// observe takes over what the owners of the other shards have published, as far as the digest was
// read.
func (e *entitlements) observe(n *Node, now cransched.Clock) {
	if !n.digestComplete || n.digestCurrentAt == 0 {
		return
	}
	for _, other := range n.shards {
		e.ledger.Observe(other.number, n.digest.Usage(other.number))
	}
	e.ledger.Confirm(now.UnixMs - (now.Steady - n.digestCurrentAt).Milliseconds())
}

// due reports whether the totals have changed and may be published.
func (e *entitlements) due(now time.Duration) bool {
	if e == nil || now-e.publishedAt < usageInterval*time.Duration(1+e.tenants/usagePerInterval) {
		return false
	}
	within, _ := e.ledger.Classified()
	return within != e.published
}

// record returns the record of the totals.
func (e *entitlements) record(shard int, now time.Duration) cranstore.Record {
	totals := e.ledger.Totals()
	e.published, _ = e.ledger.Classified()
	e.publishedAt, e.tenants = now, len(totals)
	return crandigest.UsageRecord(shard, totals)
}
