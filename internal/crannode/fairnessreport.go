package crannode

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranfair"
)

// maxReportedTenants bounds the tenants of a shard that the log and the metrics show at a time.
// Those with the least within their entitlement are shown.
const maxReportedTenants = 50

// entitlementReport is what an owner has last reported about entitlements.
type entitlementReport struct {
	within, beyond uint64
	// beyondSince holds the tenants that were reported to be beyond their entitlement, and since when.
	beyondSince map[string]time.Duration
}

// begin leaves out of the report what the predecessor has classified.
func (r *entitlementReport) begin(l *cranfair.Ledger) {
	r.within, r.beyond = l.Classified()
	r.beyondSince = map[string]time.Duration{}
}

// reportEntitlements logs which tenants have gone beyond their entitlement and which are within it
// again, and updates the metrics.
func (o *ownership) reportEntitlements(now time.Duration) {
	n, r, shard := o.shard.node, &o.entitlements.report, o.shard.name
	within, beyond := o.entitlements.ledger.Classified()
	n.metrics.JobsClassified(within-r.within, beyond-r.beyond)
	r.within, r.beyond = within, beyond
	list := o.scheduler.BeyondEntitlement()
	slices.SortStableFunc(list, func(a, b cranfair.Standing) int { return cmp.Compare(a.Within, b.Within) })
	list = list[:min(len(list), maxReportedTenants)]
	for _, tenant := range slices.Sorted(maps.Keys(r.beyondSince)) {
		if slices.ContainsFunc(list, func(s cranfair.Standing) bool { return s.Tenant == tenant }) {
			continue
		}
		since := r.beyondSince[tenant]
		delete(r.beyondSince, tenant)
		n.metrics.TenantWithin(shard, tenant)
		n.log.Emit(cranevent.TenantWithin, cranevent.Shard(shard), cranevent.Tenant(tenant), cranevent.Elapsed(now-since))
	}
	for _, s := range list {
		n.metrics.TenantBeyond(shard, s.Tenant, s.Within)
		if _, reported := r.beyondSince[s.Tenant]; reported {
			continue
		}
		r.beyondSince[s.Tenant] = now
		n.log.Emit(cranevent.TenantBeyond, cranevent.Shard(shard), cranevent.Tenant(s.Tenant),
			cranevent.WithinPercent(int(math.Round(100*s.Within))))
	}
}

// endEntitlements removes the metrics of tenants, once the ownership has ended.
func (o *ownership) endEntitlements() {
	if o.entitlements == nil {
		return
	}
	for tenant := range o.entitlements.report.beyondSince {
		o.shard.node.metrics.TenantWithin(o.shard.name, tenant)
	}
}
