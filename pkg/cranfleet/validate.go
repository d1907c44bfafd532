package cranfleet

import (
	"math"
	"regexp"
	"time"
)

// Bounds of a configuration.
const (
	MaxNameLength     = 63
	MaxPools          = 4096
	MaxServices       = 8192
	MaxInstances      = 100_000 // sum over all pools
	MaxQueueLength    = 1_000_000
	MaxMaxDuration    = 10 * time.Minute
	MaxPrice          = 1e12
	minDuration       = time.Millisecond
	durationPrecision = time.Millisecond
)

var namePattern = regexp.MustCompile(`^[a-z][a-zA-Z0-9]{0,62}$`)

func (b *builder) validate() {
	b.checkName(b.name.at, "deployment", b.name.value)
	b.checkPools()
	b.checkSpare()
	b.checkServices()
	b.checkPrices()
}

func (b *builder) checkName(at Position, what, name string) {
	if !namePattern.MatchString(name) {
		b.faults.add(at, "give a camel-case name of 1 to 63 letters and digits that begins with a lowercase letter",
			"%s %.80q: this is not a valid name", what, name)
	}
}

func (b *builder) checkPools() {
	seen := make(map[string]Position)
	sum := 0
	for i, p := range b.pools {
		name, n := p.value.name, p.value.instances
		b.checkName(p.at, "pool", name)
		if first, ok := seen[name]; ok {
			b.faults.add(p.at, "keep one", "pool %.80q: already declared at %s", name, first)
		} else {
			seen[name] = p.at
		}
		if n < 0 || n > MaxInstances {
			b.faults.add(p.at, "give 0 to 100000", "pool %.80q: %d instances are out of range", name, n)
			continue
		}
		if sum <= MaxInstances && sum+n > MaxInstances {
			b.faults.add(p.at, "lower the sizes; 100000 is the most for all pools together",
				"pool %.80q: the pools up to this one have %d instances", name, sum+n)
		}
		sum += n
		if i == MaxPools {
			b.faults.add(p.at, "split the fleet; 4096 pools are the most", "pool %.80q: one pool too many", name)
		}
	}
}

func (b *builder) checkSpare() {
	if len(b.spares) == 0 {
		b.faults.add(b.name.at, "add one with WithSpare", "there is no spare pool")
		return
	}
	for _, s := range b.spares[1:] {
		b.faults.add(s.at, "keep one WithSpare and make the others WithPool",
			"pool %.80q: the spare pool is already declared at %s", s.value, b.spares[0].at)
	}
}

func (b *builder) checkServices() {
	seen := make(map[string]Position)
	pools := make(map[string]Pool, len(b.pools))
	for _, p := range b.pools {
		if _, ok := pools[p.value.name]; !ok {
			pools[p.value.name] = p.value
		}
	}
	for i, s := range b.services {
		name := s.value.name
		b.checkName(s.at, "service", name)
		if first, ok := seen[name]; ok {
			b.faults.add(s.at, "keep one", "service %.80q: already declared at %s", name, first)
		} else {
			seen[name] = s.at
		}
		if i == MaxServices {
			b.faults.add(s.at, "split the fleet; 8192 services are the most", "service %.80q: one service too many", name)
		}
		b.checkServicePool(s, pools)
		b.checkRequestLimits(s)
	}
}

func (b *builder) checkServicePool(s positioned[Service], pools map[string]Pool) {
	name, pool := s.value.name, s.value.pool
	p, ok := pools[pool]
	switch {
	case !ok:
		b.faults.add(s.at, "declare it with WithPool", "service %.80q: there is no pool %.80q", name, pool)
	case len(b.spares) > 0 && pool == b.spares[0].value:
		b.faults.add(s.at, "give it a pool of its own", "service %.80q: %.80q is the spare pool", name, pool)
	case p.instances == 0:
		b.faults.add(s.at, "give the pool instances", "service %.80q: pool %.80q has no instances", name, pool)
	case s.value.maxUnavailable < 1 || s.value.maxUnavailable > p.instances:
		b.faults.add(s.at, "give 1 to the number of instances of the pool",
			"service %.80q: maxUnavailable %d is out of range for pool %.80q of %d instances", name, s.value.maxUnavailable, pool, p.instances)
	}
}

func (b *builder) checkRequestLimits(s positioned[Service]) {
	name, d := s.value.name, s.value.maxDuration
	if d < minDuration || d > MaxMaxDuration {
		b.faults.add(s.at, "give 1ms to 10m", "service %.80q: maxDuration %s is out of range", name, d)
	} else if d%durationPrecision != 0 {
		b.faults.add(s.at, "give whole milliseconds", "service %.80q: maxDuration %s has a fraction of a millisecond", name, d)
	}
	if n := s.value.maxQueue; n < 0 || n > MaxQueueLength {
		b.faults.add(s.at, "give 0 to 1000000", "service %.80q: maxQueue %d is out of range", name, n)
	}
}

func (b *builder) checkPrices() {
	for i, p := range b.prices {
		if i > 0 {
			b.faults.add(p.at, "keep one", "prices: already set at %s", b.prices[0].at)
		}
		b.checkPrice(p.at, "move", p.value.move)
		b.checkPrice(p.at, "idleSecond", p.value.idleSecond)
		b.checkPrice(p.at, "lateRequest", p.value.lateRequest)
	}
}

func (b *builder) checkPrice(at Position, what string, price float64) {
	if math.IsNaN(price) || price < 0 || price > MaxPrice {
		b.faults.add(at, "give 0 to 1e12", "prices: %s %v is out of range", what, price)
	}
}
