package crandemo

import (
	"fmt"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crandeployment"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// Names of the deployments that can be demonstrated.
const (
	HeadOffice  = "headOffice"
	Cooperative = "cooperative"
)

// Sizes of the fleet.
const (
	slotsPerInstance       = 8
	connectionsPerInstance = 64
	instancesPerRack       = 4
	dataCentres            = 3
)

// Demand on a pool, relative to the rate at which the pool can run requests.
const (
	// surgeFactor and restFactor multiply a pool's mean demand during its surge and at all
	// other times.
	surgeFactor = 5.0
	restFactor  = 0.05
	// meanUtilisation is the mean demand as a share of the pool's capacity. During a surge
	// the demand exceeds the capacity (5 * 0.24 = 1.2).
	meanUtilisation = 0.24
)

// Durations of requests, leases and reboots.
const (
	// serviceTime is how long a target takes to run a request.
	serviceTime = 100 * time.Millisecond
	// callerDeadline is the deadline that callers send with each request.
	callerDeadline = 1500 * time.Millisecond
	// maxRequestDuration is the upper limit of the maximum request duration of each service.
	// After an entry has died, planned stops wait for that duration.
	maxRequestDuration = 2 * time.Second
	// lease and heartbeat are the lease duration and the heartbeat interval of the entries.
	lease      = 2 * time.Second
	heartbeat  = 500 * time.Millisecond
	rebootTime = 300 * time.Millisecond
)

// plan defines the steps of a demonstration and their times, which count from the start of
// the demand.
type plan struct {
	// config is published first and gives the initial sizes of the pools.
	config *cranfleet.Config
	// secondConfig is published under load. Its services need as many available instances
	// as those of config.
	secondConfig *cranfleet.Config
	// grownPools names the pools that secondConfig enlarges by one instance. One instance
	// of the spare pool is moved to each.
	grownPools []string
	spares     int
	entries    int
	// surge is the duration of each pool's surge.
	surge time.Duration
	// waveAt, killAt, outageAt and publishAt are the times at which the wave, the kill of an
	// entry, the outage of the log and the second publication begin.
	waveAt    time.Duration
	killAt    time.Duration
	outageAt  time.Duration
	outage    time.Duration
	publishAt time.Duration
	// timeout limits the whole script. A wave or a move that is incomplete by then is
	// reported as incomplete.
	timeout time.Duration
}

// planFor returns the plan for the named deployment.
func planFor(deployment string) (plan, error) {
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
		timeout:   23 * time.Second,
	}
	return p.withConfig(config)
}

// withConfig returns the plan with the two configurations set. The second one enlarges the
// pools of the first two services.
func (p plan) withConfig(config *cranfleet.Config) (plan, error) {
	for _, s := range config.Services()[:2] {
		p.grownPools = append(p.grownPools, s.Pool())
	}
	var err error
	if p.config, err = demoConfig(config, nil); err != nil {
		return p, err
	}
	p.secondConfig, err = demoConfig(config, p.grownPools)
	return p, err
}

// demoConfig returns a copy of the configuration with short requests. The grown pools have one
// more instance, and the availability budgets of their services are larger by one.
func demoConfig(config *cranfleet.Config, grownPools []string) (*cranfleet.Config, error) {
	extraInstances := map[string]int{}
	for _, name := range grownPools {
		extraInstances[name] = 1
	}
	options := []cranfleet.Option{cranfleet.WithSpare(config.Spare())}
	for _, p := range config.Pools() {
		if p.Name() != config.Spare() {
			options = append(options, cranfleet.WithPool(p.Name(), p.Instances()+extraInstances[p.Name()]))
		}
	}
	for _, s := range config.Services() {
		options = append(options, cranfleet.WithService(s.Name(), s.Pool(),
			cranfleet.MaxUnavailable(s.MaxUnavailable()+extraInstances[s.Pool()]),
			cranfleet.MaxDuration(min(s.MaxDuration(), maxRequestDuration)),
			cranfleet.MaxQueue(s.MaxQueue())))
	}
	prices := config.Prices()
	options = append(options, cranfleet.WithPrices(prices.Move(), prices.IdleSecond(), prices.LateRequest()))
	return cranfleet.New(config.Name(), options...)
}

// pools returns the names of the pools that run services, in the order of their surges.
func (p plan) pools() []string {
	var names []string
	for _, s := range p.config.Services() {
		names = append(names, s.Pool())
	}
	return names
}

// demandDuration returns the total duration of all surges, which follow one another.
func (p plan) demandDuration() time.Duration {
	return time.Duration(len(p.config.Services())) * p.surge
}

// targets returns the id and the initial pool of every target.
func (p plan) targets() []plannedTarget {
	var list []plannedTarget
	for _, pool := range p.config.Pools() {
		n := pool.Instances()
		if pool.Name() == p.config.Spare() {
			n = p.spares
		}
		for i := range n {
			list = append(list, plannedTarget{id: fmt.Sprintf("%s-%d", pool.Name(), i+1), pool: pool.Name()})
		}
	}
	return list
}

// plannedTarget is the id of a target and the pool in which it starts.
type plannedTarget struct {
	id   string
	pool string
}
