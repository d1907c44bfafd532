package cranfair

import "math"

// Order ranks the waiting work of tenants in a pool by start-time fair queueing: the work that a
// tenant has started, divided by its weight, is its virtual time, and the tenant with the least
// comes first.
type Order struct {
	// weights is shared with the ledger.
	weights map[string]float64
	served  map[string]*service
	// round counts the rounds, and floor is the least virtual time of the tenants that waited in
	// the round before.
	round uint64
	floor float64
}

// service is what a tenant has started, and what waits of it in the current round.
type service struct {
	virtual, waiting float64
	// round is the last round in which work of the tenant waited.
	round uint64
}

func newOrder(weights map[string]float64) *Order {
	return &Order{weights: weights, served: map[string]*service{}}
}

// minShare is the weight of tenants without any. They get room only once nobody else needs it.
const minShare = 1e-3

func (o *Order) share(tenant string) float64 { return max(o.weights[tenant], minShare) }

// Begin begins a round, in which all waiting work is ranked. A tenant without waiting work keeps its
// virtual time while that is ahead of those that wait, so that a pause doesn't make it first. Later
// it begins with the least virtual time of those, so that it has no credit for the time in which it
// was idle.
func (o *Order) Begin() {
	floor := math.Inf(1)
	for _, s := range o.served {
		if s.round == o.round {
			floor = min(floor, s.virtual)
		}
	}
	if !math.IsInf(floor, 1) {
		o.floor = max(o.floor, floor)
	}
	for tenant, s := range o.served {
		if s.round != o.round && s.virtual <= o.floor {
			delete(o.served, tenant)
		}
	}
	o.round++
}

// Rank returns the rank of the next waiting work of a tenant; the lowest one comes first. The work
// is a product of resources and time. It must be called in the order that the tenant's own work
// has.
func (o *Order) Rank(tenant string, work float64) float64 {
	s := o.service(tenant)
	if s.round != o.round {
		s.round, s.waiting = o.round, 0
	}
	rank := s.virtual + s.waiting/o.share(tenant)
	s.waiting += work
	return rank
}

// Charge records that work of a tenant was started.
func (o *Order) Charge(tenant string, work float64) {
	o.service(tenant).virtual += work / o.share(tenant)
}

// Clone returns a copy of the order, of which the rounds don't change this one.
func (o *Order) Clone() *Order {
	c := &Order{weights: o.weights, served: make(map[string]*service, len(o.served)), round: o.round, floor: o.floor}
	for tenant, s := range o.served {
		copied := *s
		c.served[tenant] = &copied
	}
	return c
}

func (o *Order) service(tenant string) *service {
	s := o.served[tenant]
	if s == nil {
		s = &service{virtual: o.floor}
		o.served[tenant] = s
	}
	return s
}
