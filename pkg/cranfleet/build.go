package cranfleet

import (
	"errors"
	"fmt"
	"sort"
	"time"
)

// Defaults of a service.
const (
	DefaultMaxDuration    = 10 * time.Second
	DefaultMaxQueue       = 1024
	DefaultMaxUnavailable = 1
)

// Option adds one part to a configuration under construction.
type Option func(*Config)

// ServiceOption sets one property of a service.
type ServiceOption func(*Service)

// New builds a configuration and reports every fault of its parts at once.
func New(name string, options ...Option) (*Config, error) {
	c := &Config{name: name}
	for _, o := range options {
		o(c)
	}
	sort.SliceStable(c.pools, func(i, j int) bool { return c.pools[i].name < c.pools[j].name })
	sort.SliceStable(c.services, func(i, j int) bool { return c.services[i].name < c.services[j].name })
	if err := c.validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// WithPool adds a pool of the wanted number of instances.
func WithPool(name string, instances int) Option {
	return func(c *Config) { c.pools = append(c.pools, Pool{name: name, instances: instances}) }
}

// WithSpare adds the pool that takes unclaimed instances.
func WithSpare(name string) Option {
	return func(c *Config) {
		c.pools = append(c.pools, Pool{name: name})
		c.spare = name
	}
}

// WithService adds a service on a pool.
func WithService(name, pool string, options ...ServiceOption) Option {
	s := Service{
		name: name, pool: pool,
		maxUnavailable: DefaultMaxUnavailable,
		maxDuration:    DefaultMaxDuration,
		maxQueue:       DefaultMaxQueue,
	}
	for _, o := range options {
		o(&s)
	}
	return func(c *Config) { c.services = append(c.services, s) }
}

// WithPrices sets the weights of a move, an idle instance-second and a late
// or refused request.
func WithPrices(move, idleSecond, lateRequest float64) Option {
	return func(c *Config) {
		c.prices = Prices{move: move, idleSecond: idleSecond, lateRequest: lateRequest}
	}
}

// MaxUnavailable sets the availability budget in instances.
func MaxUnavailable(n int) ServiceOption { return func(s *Service) { s.maxUnavailable = n } }

// MaxDuration sets the longest time a request may take.
func MaxDuration(d time.Duration) ServiceOption { return func(s *Service) { s.maxDuration = d } }

// MaxQueue sets how many requests may wait at one entry instance.
func MaxQueue(n int) ServiceOption { return func(s *Service) { s.maxQueue = n } }

func (c *Config) validate() error {
	var errs []error
	add := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if c.name == "" {
		add("configuration: the name is empty; give the deployment a name")
	}
	if c.spare == "" {
		add("configuration: no spare pool; add one with WithSpare")
	}
	for i, p := range c.pools {
		if i > 0 && c.pools[i-1].name == p.name {
			add("pool %q: declared twice; keep one", p.name)
		}
		if p.name == "" {
			add("pool: the name is empty; name it")
		}
		if p.instances < 0 {
			add("pool %q: %d instances; give zero or more", p.name, p.instances)
		}
	}
	for i, s := range c.services {
		if i > 0 && c.services[i-1].name == s.name {
			add("service %q: declared twice; keep one", s.name)
		}
		c.validateService(s, add)
	}
	return errors.Join(errs...)
}

func (c *Config) validateService(s Service, add func(string, ...any)) {
	if s.name == "" {
		add("service: the name is empty; name it")
	}
	p, ok := c.Pool(s.pool)
	if !ok {
		add("service %q: unknown pool %q; declare it with WithPool", s.name, s.pool)
		return
	}
	if s.pool == c.spare {
		add("service %q: runs on the spare pool %q; give it a pool of its own", s.name, s.pool)
		return
	}
	if s.maxUnavailable < 1 || s.maxUnavailable > p.instances {
		add("service %q: maxUnavailable %d; give 1 to %d, the size of pool %q", s.name, s.maxUnavailable, p.instances, s.pool)
	}
	if s.maxDuration <= 0 {
		add("service %q: maxDuration %s; give a positive duration", s.name, s.maxDuration)
	}
	if s.maxQueue < 0 {
		add("service %q: maxQueue %d; give zero or more", s.name, s.maxQueue)
	}
}
