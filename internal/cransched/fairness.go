package cransched

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cranberrypick/cranberrypick/internal/cranfair"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

// Fairness decides which jobs are within the entitlement of their tenant, and ranks the others.
type Fairness interface {
	// SetTenants applies the tenants of a configuration; nil if it has none.
	SetTenants(d *crantenant.Directory, nowMs int64)
	// Classify reports whether a job is within the entitlement. It is called once for each job.
	Classify(tenant string, receivedMs, nowMs int64) bool
	// IsWithin reports what Classify would, and changes nothing.
	IsWithin(tenant string, receivedMs, nowMs int64) bool
	// Beyond returns the tenants that are beyond their entitlement now.
	Beyond(nowMs int64) []cranfair.Standing
	// Order returns the order of the work beyond the entitlement in a pool.
	Order(pool string) *cranfair.Order
}

// Option configures a scheduler.
type Option func(*Scheduler)

// WithFairness sets who decides on entitlements. Without it, all jobs are within them.
func WithFairness(f Fairness) Option { return func(s *Scheduler) { s.fairness = f } }

// BeyondEntitlement returns the tenants of which a recent job was beyond the entitlement, with the
// share of their recent jobs that is within it.
func (s *Scheduler) BeyondEntitlement() []cranfair.Standing {
	if s.fairness == nil {
		return nil
	}
	return s.fairness.Beyond(s.clock.UnixMs)
}

// setTenants passes the tenants of the configuration on.
func (s *Scheduler) setTenants() {
	if s.fairness != nil && s.config != nil {
		s.fairness.SetTenants(s.config.Tenants, s.clock.UnixMs)
	}
}

// isBeyond classifies a job and reports whether it is beyond the entitlement of its tenant.
func (s *Scheduler) isBeyond(j *cranjob.Job) bool {
	return s.fairness != nil && !s.fairness.Classify(j.Tenant, j.ReceivedMs, s.clock.UnixMs)
}

// classifyStored classifies all stored jobs in the order in which they were received, also those
// that have ended, so that a new owner comes to the same decisions as its predecessor. It returns
// the ids of those beyond the entitlement.
func (s *Scheduler) classifyStored() map[string]bool {
	if s.fairness == nil {
		return nil
	}
	var list []*cranjob.Job
	for _, e := range s.stored.Jobs() {
		if j := e.Job(); j != nil && j.Tenant != "" {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *cranjob.Job) int {
		return cmp.Or(cmp.Compare(a.ReceivedMs, b.ReceivedMs), cmp.Compare(a.ID, b.ID))
	})
	beyond := map[string]bool{}
	for _, j := range list {
		if s.isBeyond(j) {
			beyond[j.ID] = true
		}
	}
	return beyond
}

// rankBeyond sorts the candidates beyond the entitlement, which are consecutive in the sorted list,
// so that tenants get room in proportion to their weights. The work of one tenant keeps its order.
func (s *Scheduler) rankBeyond(list []candidate, orderOf func(pool string) *cranfair.Order) {
	first := slices.IndexFunc(list, func(c candidate) bool { return c.beyond })
	if first < 0 {
		return
	}
	list = list[first:]
	orders := map[string]*cranfair.Order{}
	for i := range list {
		c := &list[i]
		order := orders[c.job.Pool]
		if order == nil {
			order = orderOf(c.job.Pool)
			order.Begin()
			orders[c.job.Pool] = order
		}
		c.rank = order.Rank(c.job.Tenant, float64(c.stage.waiting)*s.taskWork(c.job, c.stage))
	}
	slices.SortFunc(list, compareCandidates)
}

func (s *Scheduler) orderOf(pool string) *cranfair.Order { return s.fairness.Order(pool) }

// chargeStart records the start of a task of a job beyond the entitlement of its tenant.
func (s *Scheduler) chargeStart(t *task) {
	if j := t.job; j.beyond && !t.step.LongRunning {
		s.fairness.Order(j.Pool).Charge(j.Tenant, s.taskWork(j, j.stageOf(t)))
	}
}

// taskWork returns the expected work of a task: its duration in seconds, times the larger of the
// fractions that it takes of the processors and of the memory of an instance of its pool.
func (s *Scheduler) taskWork(j *job, st *stage) float64 {
	s.updateEstimates(j)
	capacity := s.instanceCapacity[j.Pool]
	reserved := st.step.Reservation()
	part := max(fraction(reserved.CPU, capacity.CPU), fraction(reserved.Memory, capacity.Memory))
	if part == 0 {
		part = 1
	}
	return part * j.durationMs[st.name.Step] / 1000
}

// observeCapacities records the capacity of an instance of each pool that has a target.
func (s *Scheduler) observeCapacities(byPool map[string][]*target) {
	if s.fairness == nil {
		return
	}
	for _, pool := range slices.Sorted(maps.Keys(byPool)) {
		s.instanceCapacity[pool] = byPool[pool][0].info.Capacity
	}
}
