package crandemo

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranadmin"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

const (
	// startTimeout limits how long the fleet may take to start.
	startTimeout = 20 * time.Second
	// lateRunTime is the wait for runs that start late, after all targets became idle.
	lateRunTime = 300 * time.Millisecond
	// pollInterval is the time between two checks of the wave or of the targets.
	pollInterval = 50 * time.Millisecond
)

// demo holds the state of a running demonstration.
type demo struct {
	plan     plan
	fleet    *fleet
	balancer *balancer
	load     *load
	progress *progress
	start    time.Time
	wave     uint64
}

// Run runs the demonstration of a deployment and returns its report. An error means that the
// demonstration could not be completed; breaches of guarantees are in the report instead.
func Run(ctx context.Context, deployment string, options ...Option) (Report, error) {
	p, err := planFor(deployment)
	if err != nil {
		return Report{}, err
	}
	return runWithPlan(ctx, p, options...)
}

func runWithPlan(ctx context.Context, p plan, options ...Option) (report Report, err error) {
	s := newSettings(options)
	d := &demo{plan: p, progress: newProgress(s.progress)}
	d.progress.logStart(p)
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d.fleet, err = newFleet(startContext, p)
	if d.fleet != nil {
		defer func() { err = errors.Join(err, eris.Wrap(d.fleet.Close(), "close the fleet")) }()
	}
	if err != nil {
		return Report{}, err
	}
	d.progress.logf("the configuration is in force at all %d entries, and every instance is available", p.entries)
	d.balancer = &balancer{endpoints: d.fleet.endpoints()}
	d.load = newLoad(p, d.balancer, s.seed)
	l, err := d.runWithLoad(ctx)
	if err != nil {
		return Report{}, err
	}
	return newReport(l), nil
}

// runWithLoad runs the script while the load is generated, and returns the ledgers.
func (d *demo) runWithLoad(ctx context.Context) (ledgers, error) {
	loadContext, cancel := context.WithCancel(ctx)
	defer cancel()
	d.start = time.Now()
	var background sync.WaitGroup
	background.Go(func() { d.load.run(loadContext) })
	background.Go(func() { d.logLoad(loadContext) })
	err := d.script(ctx)
	cancel()
	background.Wait()
	d.waitForIdleTargets()
	l := d.fleet.ledgers()
	l.requests, l.start = d.load.requests(), d.start
	return l, err
}

// script runs the steps at their times, in order, and waits until the demand has ended and
// the planned actions are complete.
func (d *demo) script(ctx context.Context) error {
	steps := []step{
		{d.plan.waveAt, d.startWave},
		{d.plan.killAt, d.killEntry},
		{d.plan.outageAt, d.beginOutage},
		{d.plan.outageAt + d.plan.outage, d.endOutage},
		{d.plan.publishAt, d.publishSecondConfig},
		{d.plan.publishAt, d.moveSpares},
		{d.plan.demandDuration(), d.awaitWave},
	}
	stepContext, cancel := context.WithDeadline(ctx, d.start.Add(d.plan.timeout))
	defer cancel()
	for _, s := range steps {
		if !waitUntil(stepContext, d.start.Add(s.at)) {
			return eris.Wrap(stepContext.Err(), "the demonstration was interrupted, or the machine is too busy to run it in time")
		}
		if err := s.run(stepContext); err != nil {
			return err
		}
	}
	return nil
}

// step is a function that is run at a time after the start of the demand.
type step struct {
	at  time.Duration
	run func(context.Context) error
}

func (d *demo) startWave(ctx context.Context) (err error) {
	d.wave, err = d.fleet.wave(ctx)
	if err == nil {
		d.progress.logf("a maintenance wave over all %d pools begins", len(d.plan.pools()))
	}
	return err
}

func (d *demo) killEntry(context.Context) error {
	id, err := d.fleet.kill(d.balancer)
	d.progress.logf("%s is killed; planned stops wait until none of its requests can still be in progress", id)
	return err
}

func (d *demo) beginOutage(context.Context) error {
	d.progress.logf("the log is unavailable for %v; no new claims or commands are accepted meanwhile", d.plan.outage)
	return d.fleet.setOutage(true)
}

func (d *demo) endOutage(context.Context) error {
	d.progress.logf("the log is available again")
	return d.fleet.setOutage(false)
}

func (d *demo) publishSecondConfig(ctx context.Context) error {
	if err := d.fleet.publish(ctx, d.plan.secondConfig); err != nil {
		return err
	}
	d.progress.logf("a second configuration is in force at all %d live entries", len(d.fleet.live))
	return nil
}

func (d *demo) moveSpares(ctx context.Context) error {
	d.progress.logf("the moves of %d instances out of the spare pool begin", len(d.plan.grownPools))
	return d.fleet.moveSpares(ctx)
}

// awaitWave waits until the wave is done and every instance is available. A wave that does
// not end in time is no error; the progress line says so.
func (d *demo) awaitWave(ctx context.Context) error {
	finished := func(s cranadmin.Status) bool {
		return d.waveStatus(s).Phase == cranstate.WavePhaseDone && d.fleet.allAvailable(s)
	}
	for {
		s, err := d.fleet.operator().Status(ctx)
		if err == nil && finished(s) {
			d.progress.logf("the wave is done: %d instances rebooted", d.waveStatus(s).Done)
			return nil
		}
		if !waitUntil(ctx, time.Now().Add(pollInterval)) {
			d.progress.logf("the wave did not end in time: %d rebooted, %d left", d.waveStatus(s).Done, d.waveStatus(s).Pending)
			return nil
		}
	}
}

// waveStatus returns the status of the demonstration's wave, or the zero value.
func (d *demo) waveStatus(s cranadmin.Status) cranadmin.WaveStatus {
	for _, w := range s.Waves {
		if w.ID == d.wave {
			return w
		}
	}
	return cranadmin.WaveStatus{}
}

// waitForIdleTargets waits until no target has a request in progress, so that the ledgers
// include runs that end after their caller received an outcome.
func (d *demo) waitForIdleTargets() {
	until := time.Now().Add(maxRequestDuration)
	for !d.fleet.idle() && time.Now().Before(until) {
		time.Sleep(pollInterval)
	}
	time.Sleep(lateRunTime)
}
