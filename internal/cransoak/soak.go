package cransoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
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
	// Duration is the time for which jobs are submitted and faults are injected.
	Duration time.Duration
}

// Report is the result of a soak.
type Report struct {
	// Accepted, Refused and Unknown count the outcomes of submissions, Faults the faults
	// that were injected.
	Accepted, Refused, Unknown, Faults int
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

	mu     sync.Mutex
	report Report
	// outcomes holds the outcome of submitting each job. cancelled holds the jobs for
	// which a cancellation was sent.
	outcomes  map[string]standin.Outcome
	cancelled map[string]bool
}

// Run runs a soak: it starts the processes, submits jobs and injects faults for the
// given duration, ends all faults and checks the results.
func Run(ctx context.Context, o Options) (report Report, err error) {
	s := &soak{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 0)),
		outcomes: map[string]standin.Outcome{}, cancelled: map[string]bool{},
	}
	s.deployment, err = standin.NewDeployment(o.Targets, taskDuration, func(address string) (string, error) {
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
	if o.Shards > 1 {
		s.deployment.LimitEntries(float64(o.Targets) / float64(o.Shards) / targetsPerCore)
	}
	s.configs = &configs{deployment: s.deployment, version: 1}
	s.caller = s.deployment.NewCaller(callerTimeout)
	if err := s.startEntries(ctx); err != nil {
		return s.report, err
	}
	if err := s.runWorkload(ctx); err != nil {
		return s.report, err
	}
	s.clearFaults()
	return s.checkResults(ctx), nil
}

// startEntries starts the entry instances and waits until they are ready.
func (s *soak) startEntries(ctx context.Context) error {
	boundedCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i := range s.Entries {
		e, err := newEntry(s.deployment, s.Program, s.Dir, fmt.Sprintf("entry%d", i))
		if err != nil {
			return err
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

// jobID returns the ID of the job with number n, in 16 hexadecimal digits. Job 0 is
// the long-running one.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// runWorkload submits jobs and injects faults for the duration of the soak.
func (s *soak) runWorkload(ctx context.Context) error {
	boundedCtx, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	// Callers have a separate random source, so that the faults of a seed don't depend
	// on how fast responses arrive.
	callerRandom := rand.New(rand.NewPCG(s.Seed, 1))
	s.group.Go(func() {
		s.submit(ctx, 0, s.entries[0].frontAddress, longRunningTasks, true)
		for n := 1; boundedCtx.Err() == nil; n++ {
			address, tasks, shouldCancel := s.entries[callerRandom.IntN(s.Entries)].frontAddress, 1+callerRandom.IntN(4), callerRandom.IntN(8) == 0
			s.group.Go(func() {
				s.submit(ctx, n, address, tasks, false)
				if shouldCancel {
					s.cancel(ctx, n, address)
				}
			})
			cranpause.Sleep(boundedCtx, time.Duration(callerRandom.Int64N(int64(maxSubmitInterval))))
		}
	})
	s.runConfigs(boundedCtx)
	for boundedCtx.Err() == nil {
		cranpause.Sleep(boundedCtx, time.Duration(s.random.Int64N(int64(maxFaultInterval))))
		if err := s.injectFault(boundedCtx); err != nil {
			return err
		}
	}
	s.group.Wait()
	return nil
}

// submit submits a job and records the outcome. Until the job is accepted, it retries
// up to three times, at the entry instances in turn.
func (s *soak) submit(ctx context.Context, n int, address string, tasks int, longRunning bool) {
	outcome := standin.OutcomeRefused
	for attempt := range 4 {
		response := s.caller.Submit(ctx, address, jobID(n), tasks, longRunning)
		// If any attempt may have had an effect, a later refusal does not make the outcome
		// certain.
		if response != standin.OutcomeRefused && outcome != standin.OutcomeAccepted {
			outcome = response
		}
		if response == standin.OutcomeAccepted {
			break
		}
		address = s.entries[(n+attempt)%s.Entries].frontAddress
		cranpause.Sleep(ctx, maxSubmitInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[jobID(n)] = outcome
	switch outcome {
	case standin.OutcomeAccepted:
		s.report.Accepted++
	case standin.OutcomeRefused:
		s.report.Refused++
	default:
		s.report.Unknown++
	}
}

// cancel records that a job is being cancelled and cancels it.
func (s *soak) cancel(ctx context.Context, n int, address string) {
	s.mu.Lock()
	s.cancelled[jobID(n)] = true
	s.mu.Unlock()
	s.caller.Cancel(ctx, address, jobID(n))
}

// injectFault injects one random fault. Faults of connections and of the store last
// beyond its return.
func (s *soak) injectFault(ctx context.Context) error {
	s.report.Faults++
	e := s.entries[s.random.IntN(s.Entries)]
	proxy := e.proxy
	if s.random.IntN(2) == 0 {
		proxy = s.targetProxies[s.random.IntN(s.Targets)]
	}
	duration := time.Duration(s.random.Int64N(int64(maxFaultDuration)))
	mode := Mode(1 + s.random.IntN(int(modeCount)-1))
	switch s.random.IntN(10) {
	case 0, 1, 2, 3:
		proxy.SetMode(mode)
		s.group.Go(func() {
			cranpause.Sleep(ctx, duration)
			proxy.SetMode(Pass)
		})
	case 4:
		return errors.Join(e.terminate(syscall.SIGKILL), e.start())
	case 5:
		return errors.Join(e.terminate(syscall.SIGTERM), e.start())
	case 6:
		if err := e.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		cranpause.Sleep(ctx, duration)
		return e.signal(syscall.SIGCONT)
	case 7:
		s.configs.publish()
		return e.signal(syscall.SIGHUP)
	case 8:
		s.injectStoreFault(ctx, duration)
	case 9:
		for _, e := range s.entries {
			if err := e.terminate(syscall.SIGKILL); err != nil {
				return err
			}
		}
		for _, e := range s.entries {
			if err := e.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// injectStoreFault injects one random fault into the platform's store.
func (s *soak) injectStoreFault(ctx context.Context, duration time.Duration) {
	store := s.deployment.Store()
	switch s.random.IntN(3) {
	case 0:
		store.DropHistory()
	case 1:
		store.DropAppendResponses(2 + s.random.IntN(4))
		s.group.Go(func() { cranpause.Sleep(ctx, duration); store.DropAppendResponses(0) })
	case 2:
		store.SetUnavailable(true)
		s.group.Go(func() { cranpause.Sleep(ctx, duration); store.SetUnavailable(false) })
	}
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
}

// close stops the processes, the proxies and the deployment.
func (s *soak) close() error {
	var errs []error
	for _, e := range s.entries {
		errs = append(errs, e.terminate(syscall.SIGTERM), e.proxy.Close())
	}
	for _, p := range s.targetProxies {
		errs = append(errs, p.Close())
	}
	return errors.Join(append(errs, s.deployment.Close())...)
}
