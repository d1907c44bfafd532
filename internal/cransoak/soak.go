package cransoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranledger"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

const (
	// maxFaultInterval is the longest time between two faults and maxFaultDuration the
	// longest duration of a fault. Both times are drawn at random, so faults may overlap.
	maxFaultInterval = 900 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// taskDuration is the time that a target takes to run a task.
	taskDuration = 300 * time.Millisecond
	// maxSubmitInterval is the longest time between two jobs, and the time after which a
	// submission is tried again.
	maxSubmitInterval = 250 * time.Millisecond
	// callerTimeout is the time for which a caller waits for a response.
	callerTimeout = 3 * time.Second
	// settleTimeout bounds the time from the last fault until every job has ended. It
	// allows for the expiry of a lease, the time after which another process may become
	// the owner of the jobs, and the remaining work.
	settleTimeout = 40 * time.Second
	// startTimeout bounds the time until all processes have started and are ready.
	startTimeout = 20 * time.Second
	// targetsPerCore is how many targets the program schedules with one core.
	targetsPerCore = 400
	// longRunningTasks is the number of tasks of the job that runs during the whole soak.
	longRunningTasks = 4
	// taskCPU is what a task takes, in thousandths of a core.
	taskCPU = 500
)

// Options configures a soak.
type Options struct {
	// Program is the path of the program under test, Dir the folder of its settings and
	// logs.
	Program, Dir string
	// Seed determines all random choices.
	Seed uint64
	// Entries and Targets are the numbers of entry instances and of targets.
	Entries, Targets int
	// Shards is the number of shards into which the targets are divided; 0 means one.
	Shards int
	// Small is the number of entry instances on small machines. If it isn't 0, all machines
	// have limits.
	Small int
	// Surges selects the load and the faults of a large deployment: many jobs in surges, and
	// series of faults that overlap.
	Surges bool
	// Tenants lets callers send keys of tenants, which come and go, with caps that change and bursts of
	// one tenant. It has no effect with Surges.
	Tenants bool
	// Partial lets the store lose the digest alone where it would be unavailable as a whole. It has no effect
	// with Surges.
	Partial bool
	// CancelBound is the time within which a cancellation must be in effect; 0 means the
	// default of the stand-in.
	CancelBound time.Duration
	// Trace receives a line for each disruption and for each job that stands still; nil for
	// none.
	Trace io.Writer
	// Duration is the time for which jobs are submitted and faults are injected.
	Duration time.Duration
}

// Report is the result of a soak.
type Report struct {
	// Accepted, Refused and Unknown count the outcomes of submissions, Faults the faults
	// that were injected.
	Accepted, Refused, Unknown, Faults int
	// Cancelled counts the cancellations that were acknowledged, and LateStarts the starts that
	// they should have prevented. ExcusedStarts counts those of them that a disruption excuses.
	Cancelled, LateStarts, ExcusedStarts int
	// StandStills counts the jobs that stood still, ExcusedStandStills those that did so only
	// shortly after a disruption.
	StandStills, ExcusedStandStills int
	// Overloads counts how often the machine on which the soak runs was overloaded.
	Overloads int
	// Violations holds a message for each violated guarantee.
	Violations []string
}

// soak is the state of one run.
type soak struct {
	Options
	// random draws the faults.
	random     *rand.Rand
	deployment *standin.Deployment
	entries    []*entry
	// targetProxies holds the proxy in front of each target.
	targetProxies []*Proxy
	caller        *standin.Caller
	// group counts the submissions and the faults that are in progress.
	group   sync.WaitGroup
	configs *configs
	// tenants is nil if callers need no keys.
	tenants *tenants
	// disruptions holds the faults that excuse a violation of a bound in time.
	disruptions cranledger.Disruptions
	startedAt   time.Time

	mu     sync.Mutex
	report Report
	// outcomes holds the outcome of submitting each job. cancelled holds the jobs for
	// which a cancellation was sent.
	outcomes  map[string]standin.Outcome
	cancelled map[string]bool
	// longRunning maps each long-running job to the number of its tasks.
	longRunning map[string]int
	// standing holds the jobs that stood still, and whether a disruption excuses that.
	standing map[string]bool
	// errs holds the errors of faults that run beside others.
	errs []error
}

// Run runs a soak: it starts the processes, submits jobs and injects faults for the
// given duration, ends all faults and checks the results.
func Run(ctx context.Context, o Options) (report Report, err error) {
	s := &soak{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 0)),
		outcomes: map[string]standin.Outcome{}, cancelled: map[string]bool{}, longRunning: map[string]int{}, standing: map[string]bool{}, startedAt: time.Now(),
	}
	duration, cpu := taskDuration, taskCPU
	if o.Surges {
		duration, cpu = surgeTaskDuration, surgeTaskCPU
	}
	s.deployment, err = standin.NewDeployment(o.Targets, duration, func(address string) (string, error) {
		p, err := NewProxy(address)
		if err != nil {
			return "", err
		}
		s.targetProxies = append(s.targetProxies, p)
		return p.Address(), nil
	})
	if err != nil {
		return Report{}, err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	s.deployment.Ledger().AddSlots(o.Targets * standin.TargetCPU / cpu)
	s.configs = &configs{deployment: s.deployment, version: 1}
	s.caller = s.deployment.NewCaller(callerTimeout)
	if o.Tenants && !o.Surges {
		s.tenants = &tenants{soak: s, random: rand.New(rand.NewPCG(o.Seed, 4))}
		s.tenants.start()
	}
	if err := s.startEntries(ctx); err != nil {
		return s.report, err
	}
	watchCtx, stopWatch := context.WithCancel(ctx)
	var watches sync.WaitGroup
	watches.Go(func() { s.watch(watchCtx) })
	if s.Small > 0 {
		watches.Go(func() { s.enforceLimits(watchCtx) })
	}
	defer func() { stopWatch(); watches.Wait() }()
	if err := s.runWorkload(ctx); err != nil {
		return s.report, err
	}
	s.clearFaults()
	s.checkResults(ctx)
	stopWatch()
	watches.Wait()
	return s.finishReport(), nil
}

// machine returns the machine of the entry instance with a number; its limits are 0 if the
// soak has none.
func (s *soak) machine(number int) standin.Machine {
	switch {
	case s.Small > 0 && number >= s.Entries-s.Small:
		return smallMachine
	case s.Small > 0:
		return largeMachine
	case s.Shards > 1:
		return standin.Machine{Cores: float64(s.Targets) / float64(s.Shards) / targetsPerCore}
	}
	return standin.Machine{}
}

// startEntries starts the entry instances and waits until they are ready.
func (s *soak) startEntries(ctx context.Context) error {
	boundedCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i := range s.Entries {
		m := s.machine(i)
		e, err := newEntry(s.deployment, s.Program, s.Dir, fmt.Sprintf("entry%d", i), standin.WithMachine(m), standin.WithCancelBound(s.cancelBound()))
		if err != nil {
			return err
		}
		if s.Small > 0 {
			e.limit(m)
		}
		s.entries = append(s.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if err := e.awaitReady(boundedCtx); err != nil {
			return err
		}
	}
	return nil
}

// clearFaults ends the faults of the store and of all proxies.
func (s *soak) clearFaults() {
	s.deployment.Store().SetUnavailable(false)
	s.deployment.Store().DropAppendResponses(0)
	for _, p := range s.targetProxies {
		p.SetMode(Pass)
	}
	for _, e := range s.entries {
		e.proxy.SetMode(Pass)
		e.proxy.SetRate(0)
	}
	s.disruptions.EndAll(time.Now())
}

// close stops the processes, the proxies and the deployment.
func (s *soak) close() error {
	var stops sync.WaitGroup
	for _, e := range s.entries {
		stops.Go(func() { s.fail(errors.Join(e.terminate(syscall.SIGTERM), e.proxy.Close())) })
	}
	stops.Wait()
	errs := []error{s.err()}
	for _, p := range s.targetProxies {
		errs = append(errs, p.Close())
	}
	return errors.Join(append(errs, s.deployment.Close())...)
}
