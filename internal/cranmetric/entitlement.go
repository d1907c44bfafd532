package cranmetric

import "github.com/prometheus/client_golang/prometheus"

// entitlementMetrics say how much of the work is within the entitlement of its tenant.
type entitlementMetrics struct {
	classified *prometheus.CounterVec
	// share has only the tenants that are beyond their entitlement, by shard and tenant.
	share *prometheus.GaugeVec
}

// Values of the label class.
const (
	classWithin = "within"
	classBeyond = "beyond"
)

func newEntitlementMetrics(r prometheus.Registerer) entitlementMetrics {
	m := entitlementMetrics{
		classified: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "jobs_classified_total",
			Help: "Jobs of tenants that owners of shards have classified, by whether they are within the entitlement.",
		}, []string{"class"}),
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "tenant_entitled_share",
			Help: "Share of a tenant's recent jobs in a shard that is within its entitlement, for tenants beyond it.",
		}, []string{"shard", "tenant"}),
	}
	m.classified.WithLabelValues(classWithin)
	m.classified.WithLabelValues(classBeyond)
	r.MustRegister(m.classified, m.share)
	return m
}

// JobsClassified counts jobs within and beyond the entitlement of their tenant.
func (m *Jobs) JobsClassified(within, beyond uint64) {
	m.entitlements.classified.WithLabelValues(classWithin).Add(float64(within))
	m.entitlements.classified.WithLabelValues(classBeyond).Add(float64(beyond))
}

// TenantBeyond records the share of a tenant's recent jobs in a shard that is within its entitlement.
func (m *Jobs) TenantBeyond(shard, tenant string, share float64) {
	m.entitlements.share.WithLabelValues(shard, tenant).Set(share)
}

// TenantWithin removes what was recorded of a tenant in a shard, which is within its entitlement again.
func (m *Jobs) TenantWithin(shard, tenant string) {
	m.entitlements.share.DeleteLabelValues(shard, tenant)
}
