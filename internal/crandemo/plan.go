package crandemo

import (
	"fmt"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crandeployment"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// Names of the deployments.
const (
	HeadOffice  = "headOffice"
	Cooperative = "cooperative"
)

// Shape of the fleet.
const (
	slotsPerInstance       = 8
	connectionsPerInstance = 64
	instancesPerRack       = 4
	dataCentres            = 3
)

// Demand of a pool, as parts of what it holds.
const (
	// surgeFactor and restFactor multiply a pool's mean demand in its surge
	// and outside it.
	surgeFactor = 5.0
	restFactor  = 0.05
	// meanPart is the mean demand as a part of what the pool holds, so that
	// a surge asks for more than that.
	meanPart = 0.24
)

// Times of the platform and of requests.
const (
	// serviceTime is how long a run takes.
	serviceTime = 100 * time.Millisecond
	// callerDeadline is how long a caller is ready to wait.
	callerDeadline = 1500 * time.Millisecond
	// longestRequest replaces the longest duration of each service: after an
	// entry died, planned stops wait for that long.
	longestRequest = 2 * time.Second
	// lease and heartbeat are those of the entries.
	lease      = 2 * time.Second
	heartbeat  = 500 * time.Millisecond
	rebootTime = 300 * time.Millisecond
)

// plan says what a demonstration does and when. Times count from the start of
// demand.
type plan struct {
	// config is published first. Its pools have the wanted sizes.
	config *cranfleet.Config
	// second is published while demand runs. Its services need as many
	// available instances as those of config.
	second *cranfleet.Config
	// grown names the pools that second wants larger by one. Each gets an
	// instance of the spare pool.
	grown   []string
	spares  int
	entries int
	// surge is how long each pool's surge takes.
	surge time.Duration
	// waveAt, killAt, outageAt and publishAt say when each begins.
	waveAt    time.Duration
	killAt    time.Duration
	outageAt  time.Duration
	outage    time.Duration
	publishAt time.Duration
	// patience bounds the time that the wave and the moves may take. What is
	// not complete then is reported as such.
	patience time.Duration
}

// planOf returns the plan for a deployment.
func planOf(deployment string) (plan, error) {
	build := map[string]func() (*cranfleet.Config, error){
		HeadOffice:  crandeployment.HeadOffice,
		Cooperative: crandeployment.Cooperative,
	}[deployment]
	if build == nil {
		return plan{}, cranfault.New(cranfault.Invalid, "use headOffice or cooperative", "no deployment %.40q", deployment)
	}
	config, err := build()
	if err != nil {
		return plan{}, err
	}
	p := plan{
		spares:    2,
		entries:   6,
		surge:     3 * time.Second,
		waveAt:    time.Second,
		killAt:    4 * time.Second,
		outageAt:  6 * time.Second,
		outage:    2500 * time.Millisecond,
		publishAt: 10 * time.Second,
		patience:  23 * time.Second,
	}
	return p.withConfig(config)
}

// withConfig sets the configurations. Two pools grow in the second one.
func (p plan) withConfig(config *cranfleet.Config) (plan, error) {
	for _, s := range config.Services()[:2] {
		p.grown = append(p.grown, s.Pool())
	}
	var err error
	if p.config, err = variant(config, nil); err != nil {
		return p, err
	}
	p.second, err = variant(config, p.grown)
	return p, err
}

// variant returns the configuration with short requests. The pools that are
// grown are larger by one, and so are the budgets of their services.
func variant(config *cranfleet.Config, grown []string) (*cranfleet.Config, error) {
	extra := map[string]int{}
	for _, name := range grown {
		extra[name] = 1
	}
	options := []cranfleet.Option{cranfleet.WithSpare(config.Spare())}
	for _, p := range config.Pools() {
		if p.Name() != config.Spare() {
			options = append(options, cranfleet.WithPool(p.Name(), p.Instances()+extra[p.Name()]))
		}
	}
	for _, s := range config.Services() {
		options = append(options, cranfleet.WithService(s.Name(), s.Pool(),
			cranfleet.MaxUnavailable(s.MaxUnavailable()+extra[s.Pool()]),
			cranfleet.MaxDuration(min(s.MaxDuration(), longestRequest)),
			cranfleet.MaxQueue(s.MaxQueue())))
	}
	prices := config.Prices()
	options = append(options, cranfleet.WithPrices(prices.Move(), prices.IdleSecond(), prices.LateRequest()))
	return cranfleet.New(config.Name(), options...)
}

// pools returns the names of the pools that serve, in the order of their
// surges.
func (p plan) pools() []string {
	var names []string
	for _, s := range p.config.Services() {
		names = append(names, s.Pool())
	}
	return names
}

// demandTime is how long all surges take, one after the other.
func (p plan) demandTime() time.Duration {
	return time.Duration(len(p.config.Services())) * p.surge
}

// targets returns the id and the pool of every target.
func (p plan) targets() []placedTarget {
	var list []placedTarget
	for _, pool := range p.config.Pools() {
		n := pool.Instances()
		if pool.Name() == p.config.Spare() {
			n = p.spares
		}
		for i := range n {
			list = append(list, placedTarget{id: fmt.Sprintf("%s-%d", pool.Name(), i+1), pool: pool.Name()})
		}
	}
	return list
}

// placedTarget is a target and the pool that it starts in.
type placedTarget struct {
	id   string
	pool string
}
