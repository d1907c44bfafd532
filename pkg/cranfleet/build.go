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

// builder gathers the parts of a configuration with their places.
type builder struct {
	// at is the place of the part that is being added.
	at Position
	// The parts are in order of addition.
	name     placed[string]
	pools    []placed[Pool]
	spares   []placed[string]
	services []placed[Service]
	prices   []placed[Prices]
	faults   faultList
}

// placed is a part with its place.
type placed[T any] struct {
	value T
	at    Position
}

// part is an option with its place.
type part struct {
	add Option
	at  Position
}

// New builds a configuration and reports every fault of its parts at once,
// as a *Faults.
func New(name string, options ...Option) (*Config, error) {
	parts := make([]part, 0, len(options))
	for i, o := range options {
		parts = append(parts, part{add: o, at: Position{part: fmt.Sprintf("option %d", i+1), order: i + 1}})
	}
	b := &builder{name: placed[string]{name, Position{part: "name"}}}
	return b.build(parts)
}

func (b *builder) build(parts []part) (*Config, error) {
	for _, p := range parts {
		if p.add == nil {
			b.faults.add(p.at, "remove it", "the option is nil")
			continue
		}
		b.at = p.at
		p.add(b)
	}
	b.validate()
	if err := b.faults.err(); err != nil {
		return nil, err
	}
	return b.finish(), nil
}

// finish moves the checked parts into a configuration, in order of name.
func (b *builder) finish() *Config {
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

// WithPool adds a pool of the wanted number of instances.
func WithPool(name string, instances int) Option {
	return func(b *builder) {
		b.pools = append(b.pools, placed[Pool]{Pool{name: name, instances: instances}, b.at})
	}
}

// WithSpare adds the pool that takes unclaimed instances.
func WithSpare(name string) Option {
	return func(b *builder) {
		b.pools = append(b.pools, placed[Pool]{Pool{name: name}, b.at})
		b.spares = append(b.spares, placed[string]{name, b.at})
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
		if o != nil {
			o(&s)
		}
	}
	hasNil := slices.ContainsFunc(options, func(o ServiceOption) bool { return o == nil })
	return func(b *builder) {
		if hasNil {
			b.faults.add(b.at, "remove it", "service %.80q: an option is nil", name)
		}
		b.services = append(b.services, placed[Service]{s, b.at})
	}
}

// WithPrices sets the weights of a move, an idle instance-second and a late
// or refused request. They are zero when not set.
func WithPrices(move, idleSecond, lateRequest float64) Option {
	// Adding zero turns a negative zero into zero, which prints differently.
	p := Prices{move: move + 0, idleSecond: idleSecond + 0, lateRequest: lateRequest + 0}
	return func(b *builder) { b.prices = append(b.prices, placed[Prices]{p, b.at}) }
}

// MaxUnavailable sets the availability budget in instances.
func MaxUnavailable(n int) ServiceOption { return func(s *Service) { s.maxUnavailable = n } }

// MaxDuration sets the longest time a request may take, in whole
// milliseconds.
func MaxDuration(d time.Duration) ServiceOption { return func(s *Service) { s.maxDuration = d } }

// MaxQueue sets how many requests may wait at one entry instance.
func MaxQueue(n int) ServiceOption { return func(s *Service) { s.maxQueue = n } }
