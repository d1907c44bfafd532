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
	// startTime bounds the start of the fleet.
	startTime = 20 * time.Second
	// settleTime is how long late runs are waited for after the last answer.
	settleTime = 300 * time.Millisecond
	// watchInterval is the time between two looks at the wave.
	watchInterval = 50 * time.Millisecond
)

// demo is one demonstration.
type demo struct {
	plan     plan
	fleet    *fleet
	balancer *balancer
	load     *load
	progress *progress
	start    time.Time
	wave     uint64
}

// Run runs a deployment's demonstration and returns what it found. An error
// means that it could not be carried out.
func Run(ctx context.Context, deployment string, options ...Option) (Report, error) {
	p, err := planOf(deployment)
	if err != nil {
		return Report{}, err
	}
	return runPlan(ctx, p, options...)
}

func runPlan(ctx context.Context, p plan, options ...Option) (report Report, err error) {
	s := newSettings(options)
	d := &demo{plan: p, progress: newProgress(s.progress)}
	d.progress.opening(p)
	starting, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	d.fleet, err = newFleet(starting, p)
	if d.fleet != nil {
		defer func() { err = errors.Join(err, eris.Wrap(d.fleet.Close(), "close the fleet")) }()
	}
	if err != nil {
		return Report{}, err
	}
	d.progress.say("the configuration is in force at all %d entries, and every instance serves", p.entries)
	d.balancer = &balancer{endpoints: d.fleet.endpoints()}
	d.load = newLoad(p, d.balancer, s.seed)
	l, err := d.act(ctx)
	if err != nil {
		return Report{}, err
	}
	return judge(l), nil
}

// act offers demand while the script runs, and returns the ledgers.
func (d *demo) act(ctx context.Context) (ledgers, error) {
	offering, cancel := context.WithCancel(ctx)
	defer cancel()
	d.start = time.Now()
	var background sync.WaitGroup
	background.Go(func() { d.load.run(offering) })
	background.Go(func() { d.report(offering) })
	err := d.script(ctx)
	cancel()
	background.Wait()
	d.settle()
	l := d.fleet.ledgers()
	l.requests, l.start = d.load.requests(), d.start
	return l, err
}

// script runs the steps in order of their times, and waits until the demand
// and the planned work are over.
func (d *demo) script(ctx context.Context) error {
	steps := []step{
		{d.plan.waveAt, d.startWave},
		{d.plan.killAt, d.killEntry},
		{d.plan.outageAt, d.beginOutage},
		{d.plan.outageAt + d.plan.outage, d.endOutage},
		{d.plan.publishAt, d.publishSecond},
		{d.plan.publishAt, d.moveSpares},
		{d.plan.demandTime(), d.awaitWave},
	}
	bounded, cancel := context.WithDeadline(ctx, d.start.Add(d.plan.patience))
	defer cancel()
	for _, s := range steps {
		if !waitUntil(bounded, d.start.Add(s.at)) {
			return eris.Wrap(bounded.Err(), "the demonstration was interrupted, or its machine is too busy for it")
		}
		if err := s.run(bounded); err != nil {
			return err
		}
	}
	return nil
}

// step is something that happens at a time after the start of demand.
type step struct {
	at  time.Duration
	run func(context.Context) error
}

func (d *demo) startWave(ctx context.Context) (err error) {
	d.wave, err = d.fleet.wave(ctx)
	if err == nil {
		d.progress.say("a maintenance wave over all %d pools begins", len(d.plan.pools()))
	}
	return err
}

func (d *demo) killEntry(context.Context) error {
	id, err := d.fleet.kill(d.balancer)
	d.progress.say("%s is killed; planned stops wait until none of its requests can be left", id)
	return err
}

func (d *demo) beginOutage(context.Context) error {
	d.progress.say("the log goes down for %v; nothing new can be claimed or accepted meanwhile", d.plan.outage)
	return d.fleet.setOutage(true)
}

func (d *demo) endOutage(context.Context) error {
	d.progress.say("the log is back")
	return d.fleet.setOutage(false)
}

func (d *demo) publishSecond(ctx context.Context) error {
	if err := d.fleet.publish(ctx, d.plan.second); err != nil {
		return err
	}
	d.progress.say("a second configuration is in force at all %d live entries", len(d.fleet.live))
	return nil
}

func (d *demo) moveSpares(ctx context.Context) error {
	d.progress.say("%d instances of the spare pool begin to move", len(d.plan.grown))
	return d.fleet.moveSpares(ctx)
}

// awaitWave waits until the wave is done and every instance is back.
func (d *demo) awaitWave(ctx context.Context) error {
	over := func(s cranadmin.Status) bool {
		return d.waveOf(s).Phase == cranstate.WavePhaseDone && d.fleet.allAvailable(s)
	}
	for {
		s, err := d.fleet.operator().Status(ctx)
		if err == nil && over(s) {
			d.progress.say("the wave is done: %d instances rebooted", d.waveOf(s).Done)
			return nil
		}
		if !waitUntil(ctx, time.Now().Add(watchInterval)) {
			d.progress.say("the wave is not done in time: %d rebooted, %d left", d.waveOf(s).Done, d.waveOf(s).Pending)
			return nil
		}
	}
}

func (d *demo) waveOf(s cranadmin.Status) cranadmin.WaveStatus {
	for _, w := range s.Waves {
		if w.ID == d.wave {
			return w
		}
	}
	return cranadmin.WaveStatus{}
}

// settle waits until the targets run nothing any more, so that what is run
// after its caller was told an outcome is in the ledgers.
func (d *demo) settle() {
	until := time.Now().Add(longestRequest)
	for !d.fleet.idle() && time.Now().Before(until) {
		time.Sleep(watchInterval)
	}
	time.Sleep(settleTime)
}
