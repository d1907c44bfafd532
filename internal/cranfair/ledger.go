package cranfair

import (
	"maps"
	"slices"

	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

// Ledger holds the buckets of all tenants in one shard.
type Ledger struct {
	// number is the shard, and shards how many there are.
	number, shards int
	// enabled is set while the configuration has tenants.
	enabled  bool
	accounts map[string]*account
	orders   map[string]*Order
	// weights holds the newest weight of each tenant that was ever configured.
	weights map[string]float64
	// confirmedMs is the time up to which the totals of the other shards are known; 0 before.
	confirmedMs int64
	// within and beyond count the jobs of tenants that were classified.
	within, beyond uint64
}

// NewLedger returns the ledger of a shard.
func NewLedger(number, shards int) *Ledger {
	return &Ledger{
		number: number, shards: max(shards, 1),
		accounts: map[string]*account{}, orders: map[string]*Order{}, weights: map[string]float64{},
	}
}

// SetTenants applies the tenants of a configuration, nil for one without tenants. Tenants that it
// doesn't have keep their weight, for the jobs that they have sent before.
func (l *Ledger) SetTenants(d *crantenant.Directory, nowMs int64) {
	l.enabled = d != nil
	for _, name := range d.Names() {
		weight := d.Tenant(name).Weight
		if old, known := l.weights[name]; known && old == weight {
			continue
		}
		l.weights[name] = weight
		if a := l.accounts[name]; a != nil {
			a.fill(nowMs)
			a.setWeight(weight, l.shards)
		}
	}
}

// Classify reports whether a job is within the entitlement of its tenant, and takes a token for it
// if it is. It must be called once for each job. Jobs without a tenant are within it, and so are
// all jobs while the configuration has no tenants.
func (l *Ledger) Classify(tenant string, receivedMs, nowMs int64) bool {
	if tenant == "" || !l.enabled {
		return true
	}
	// The clock of the entry instance may be ahead. Time that has not passed gives no tokens.
	within := l.account(tenant).take(min(receivedMs, nowMs))
	if within {
		l.within++
	} else {
		l.beyond++
	}
	return within
}

// IsWithin reports whether Classify would count a job as within the entitlement of its tenant. It changes nothing.
func (l *Ledger) IsWithin(tenant string, receivedMs, nowMs int64) bool {
	if tenant == "" || !l.enabled {
		return true
	}
	a := &account{}
	if known := l.accounts[tenant]; known != nil {
		*a = *known
	} else {
		a.setWeight(l.weights[tenant], l.shards)
	}
	a.fill(min(receivedMs, nowMs))
	return a.tokens >= 1
}

// account returns the account of a tenant. A tenant that was never configured has no weight.
func (l *Ledger) account(tenant string) *account {
	a := l.accounts[tenant]
	if a == nil {
		a = &account{}
		a.setWeight(l.weights[tenant], l.shards)
		l.accounts[tenant] = a
	}
	return a
}

// Standing says how much of what a tenant sends is within its entitlement.
type Standing struct {
	Tenant string
	// Within is the share of its recent jobs that are within the entitlement.
	Within float64
}

// Beyond returns the tenants of which a recent job was beyond the entitlement, sorted by name.
func (l *Ledger) Beyond(nowMs int64) []Standing {
	var list []Standing
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		if a := l.accounts[name]; a.beyondMs > 0 && nowMs-a.beyondMs < standingMs {
			list = append(list, Standing{Tenant: name, Within: a.within / a.total})
		}
	}
	return list
}

// Order returns the order of the work beyond the entitlement in a pool.
func (l *Ledger) Order(pool string) *Order {
	o := l.orders[pool]
	if o == nil {
		o = newOrder(l.weights)
		l.orders[pool] = o
	}
	return o
}
