package cranfleet

import (
	"slices"
	"strings"
	"time"
)

// Config is a complete, immutable description of a fleet's pools and
// services.
type Config struct {
	name string
	// pools is sorted by name, and names are unique.
	pools []Pool
	// services is sorted by name, and names are unique. The pool of each is one
	// of pools, but not the spare pool.
	services []Service
	// spare is the name of the spare pool, which is one of pools.
	spare  string
	prices Prices
}

// Pool is a named set of instances.
type Pool struct {
	name string
	// instances is the number of instances that the pool should have, zero or
	// more. It is zero for the spare pool, which gets all other instances.
	instances int
}

// Service is an application that runs on every instance of its pool.
type Service struct {
	name string
	pool string
	// maxUnavailable is at least 1 and at most the pool's number of instances.
	maxUnavailable int
	// maxDuration bounds the time of a request from its arrival to its answer.
	maxDuration time.Duration
	// maxQueue bounds how many requests may wait at one entry instance.
	maxQueue int
}

// Prices holds the prices by which the planner weighs moves, idle capacity and
// late requests against each other.
type Prices struct {
	move        float64
	idleSecond  float64
	lateRequest float64
}

// Name returns the deployment's name.
func (c *Config) Name() string { return c.name }

// Pools returns the pools in order of name.
func (c *Config) Pools() []Pool { return append([]Pool(nil), c.pools...) }

// Services returns the services in order of name.
func (c *Config) Services() []Service { return append([]Service(nil), c.services...) }

// Spare returns the name of the spare pool, which gets the instances that no
// other pool claims.
func (c *Config) Spare() string { return c.spare }

// Prices returns the operator's prices.
func (c *Config) Prices() Prices { return c.prices }

// Pool returns the pool with the given name.
func (c *Config) Pool(name string) (Pool, bool) {
	i, ok := slices.BinarySearchFunc(c.pools, name, func(p Pool, name string) int { return strings.Compare(p.name, name) })
	if !ok {
		return Pool{}, false
	}
	return c.pools[i], true
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	i, ok := slices.BinarySearchFunc(c.services, name, func(s Service, name string) int { return strings.Compare(s.name, name) })
	if !ok {
		return Service{}, false
	}
	return c.services[i], true
}

// Name returns the pool's name.
func (p Pool) Name() string { return p.name }

// Instances returns the number of instances that the pool should have.
func (p Pool) Instances() int { return p.instances }

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Pool returns the name of the pool that the service runs on.
func (s Service) Pool() string { return s.pool }

// MaxUnavailable returns how many of the pool's Instances may be unavailable at
// once.
func (s Service) MaxUnavailable() int { return s.maxUnavailable }

// MaxDuration returns the longest time a request may take.
func (s Service) MaxDuration() time.Duration { return s.maxDuration }

// MaxQueue returns how many requests may wait at one entry instance.
func (s Service) MaxQueue() int { return s.maxQueue }

// Move returns the price of moving one instance.
func (p Prices) Move() float64 { return p.move }

// IdleSecond returns the price of one idle instance for one second.
func (p Prices) IdleSecond() float64 { return p.idleSecond }

// LateRequest returns the price of one late or refused request.
func (p Prices) LateRequest() float64 { return p.lateRequest }
