package cranfleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Defaults of a service.
const (
	DefaultMaxDuration    = 10 * time.Second
	DefaultMaxQueue       = 1024
	DefaultMaxUnavailable = 1
)

// Option adds one part to a configuration under construction.
type Option func(*builder)

// ServiceOption sets one property of a service.
type ServiceOption func(*Service)

// builder collects the parts of a configuration with their positions.
type builder struct {
	// current is the position of the option that is being applied.
	current Position
	// The following parts are in the order in which they were added.
	name     positioned[string]
	pools    []positioned[Pool]
	spares   []positioned[string]
	services []positioned[Service]
	prices   []positioned[Prices]
	faults   faultList
}

// positioned is a part with its position.
type positioned[T any] struct {
	value T
	at    Position
}

// positionedOption is an option with its position.
type positionedOption struct {
	add Option
	at  Position
}

// New builds a configuration. Its error is a *Faults with all faults of the
// options.
func New(name string, options ...Option) (*Config, error) {
	parts := make([]positionedOption, 0, len(options))
	for i, o := range options {
		parts = append(parts, positionedOption{add: o, at: Position{part: fmt.Sprintf("option %d", i+1), order: i + 1}})
	}
	b := &builder{name: positioned[string]{name, Position{part: "name"}}}
	return b.build(parts)
}

func (b *builder) build(parts []positionedOption) (*Config, error) {
	for _, p := range parts {
		if p.add == nil {
			b.faults.add(p.at, "remove it", "the option is nil")
			continue
		}
		b.current = p.at
		p.add(b)
	}
	b.validate()
	if err := b.faults.err(); err != nil {
		return nil, err
	}
	return b.config(), nil
}

// config returns the configuration of the checked parts, sorted by name.
func (b *builder) config() *Config {
	c := &Config{name: b.name.value}
	for _, p := range b.pools {
		c.pools = append(c.pools, p.value)
	}
	for _, s := range b.services {
		c.services = append(c.services, s.value)
	}
	for _, s := range b.spares {
		c.spare = s.value
	}
	for _, p := range b.prices {
		c.prices = p.value
	}
	slices.SortFunc(c.pools, func(x, y Pool) int { return cmp.Compare(x.name, y.name) })
	slices.SortFunc(c.services, func(x, y Service) int { return cmp.Compare(x.name, y.name) })
	return c
}

// WithPool adds a pool that should have the given number of instances.
func WithPool(name string, instances int) Option {
	return func(b *builder) {
		b.pools = append(b.pools, positioned[Pool]{Pool{name: name, instances: instances}, b.current})
	}
}

// WithSpare adds the spare pool, which gets the instances that no other pool
// claims.
func WithSpare(name string) Option {
	return func(b *builder) {
		b.pools = append(b.pools, positioned[Pool]{Pool{name: name}, b.current})
		b.spares = append(b.spares, positioned[string]{name, b.current})
	}
}

// WithService adds a service that runs on a pool.
func WithService(name, pool string, options ...ServiceOption) Option {
	s := Service{
		name: name, pool: pool,
		maxUnavailable: DefaultMaxUnavailable,
		maxDuration:    DefaultMaxDuration,
		maxQueue:       DefaultMaxQueue,
	}
	for _, o := range options {
		if o != nil {
			o(&s)
		}
	}
	hasNil := slices.ContainsFunc(options, func(o ServiceOption) bool { return o == nil })
	return func(b *builder) {
		if hasNil {
			b.faults.add(b.current, "remove it", "service %.80q: an option is nil", name)
		}
		b.services = append(b.services, positioned[Service]{s, b.current})
	}
}

// WithPrices sets the prices of moving an instance, of an idle instance for one
// second, and of a late or refused request. They default to zero.
func WithPrices(move, idleSecond, lateRequest float64) Option {
	// Adding zero turns a negative zero, which has another encoding, into zero.
	p := Prices{move: move + 0, idleSecond: idleSecond + 0, lateRequest: lateRequest + 0}
	return func(b *builder) { b.prices = append(b.prices, positioned[Prices]{p, b.current}) }
}

// MaxUnavailable sets the availability budget: how many instances of the pool may
// be unavailable at once.
func MaxUnavailable(n int) ServiceOption { return func(s *Service) { s.maxUnavailable = n } }

// MaxDuration sets the longest time a request may take, in whole
// milliseconds.
func MaxDuration(d time.Duration) ServiceOption { return func(s *Service) { s.maxDuration = d } }

// MaxQueue sets how many requests may wait at one entry instance.
func MaxQueue(n int) ServiceOption { return func(s *Service) { s.maxQueue = n } }
