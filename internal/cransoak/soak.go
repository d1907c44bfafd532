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
	// faultGap is the longest time between two faults, faultLength the longest
	// that a fault lasts; both are drawn, so faults overlap.
	faultGap    = 900 * time.Millisecond
	faultLength = 5 * time.Second
	// workTime is how long a target works on a task.
	workTime = 300 * time.Millisecond
	// submitGap is the longest time between two jobs.
	submitGap = 250 * time.Millisecond
	// callerWait is how long a caller waits for an answer.
	callerWait = 3 * time.Second
	// settleTime bounds the time from the last fault until every job has ended:
	// a lease, the bound of an owner, and the work.
	settleTime = 40 * time.Second
	// startTime bounds the start of a process.
	startTime = 20 * time.Second
	// lastingTasks is the number of tasks that go on all the while.
	lastingTasks = 4
)

// Options are what a soak plays.
type Options struct {
	// Program is the path of the real program, Dir where logs are kept.
	Program, Dir  string
	Seed             uint64
	Entries, Targets int
	Duration           time.Duration
}

// Report is what a soak found.
type Report struct {
	// Accepted, Refused and Unknown count the outcomes of submissions.
	Accepted, Refused, Unknown, Faults int
	// Violations holds every promise that was broken.
	Violations []string
}

// soak is a run.
type soak struct {
	Options
	random     *rand.Rand
	deployment *standin.Deployment
	entries    []*entry
	targets    []*Proxy
	caller     *standin.Caller
	group      sync.WaitGroup

	mu     sync.Mutex
	report Report
	// outcomes holds what callers were told of each job; cancelled those for
	// which a cancellation was sent.
	outcomes  map[string]standin.Outcome
	cancelled map[string]bool
	version   int
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (report Report, err error) {
	s := &soak{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 0)), version: 1,
		outcomes: map[string]standin.Outcome{}, cancelled: map[string]bool{},
	}
	s.deployment, err = standin.NewDeployment(o.Targets, workTime, func(address string) (string, error) {
		p, err := NewProxy(address)
		if err != nil {
			return "", err
		}
		s.targets = append(s.targets, p)
		return p.Address(), nil
	})
	if err != nil {
		return Report{}, err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	s.caller = s.deployment.NewCaller(callerWait)
	if err := s.startEntries(ctx); err != nil {
		return s.report, err
	}
	if err := s.play(ctx); err != nil {
		return s.report, err
	}
	s.heal()
	return s.judge(ctx), nil
}

func (s *soak) startEntries(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, startTime)
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
		if err := e.awaitReady(limited); err != nil {
			return err
		}
	}
	return nil
}

// jobID is the id of a job: 16 hexadecimal digits.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// play submits jobs and injects faults until the length is over.
func (s *soak) play(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	// Callers have random numbers of their own, so that the faults of a seed
	// don't depend on how fast answers come.
	callers := rand.New(rand.NewPCG(s.Seed, 1))
	s.group.Go(func() {
		s.submit(ctx, 0, s.entries[0].front, lastingTasks, true)
		for n := 1; limited.Err() == nil; n++ {
			front, tasks, cancels := s.entries[callers.IntN(s.Entries)].front, 1+callers.IntN(4), callers.IntN(8) == 0
			s.group.Go(func() {
				s.submit(ctx, n, front, tasks, false)
				if cancels {
					s.cancel(ctx, n, front)
				}
			})
			cranpause.Sleep(limited, time.Duration(callers.Int64N(int64(submitGap))))
		}
	})
	for limited.Err() == nil {
		cranpause.Sleep(limited, time.Duration(s.random.Int64N(int64(faultGap))))
		if err := s.fault(limited); err != nil {
			return err
		}
	}
	s.group.Wait()
	return nil
}

// submit hands a job in, and again elsewhere while the outcome is unknown.
func (s *soak) submit(ctx context.Context, n int, front string, tasks int, lasting bool) {
	outcome := standin.OutcomeRefused
	for try := range 4 {
		answer := s.caller.Submit(ctx, front, jobID(n), tasks, lasting)
		// One try that may have had an effect makes all of them doubtful.
		if answer != standin.OutcomeRefused && outcome != standin.OutcomeAccepted {
			outcome = answer
		}
		if answer == standin.OutcomeAccepted {
			break
		}
		front = s.entries[(n+try)%s.Entries].front
		cranpause.Sleep(ctx, submitGap)
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

func (s *soak) cancel(ctx context.Context, n int, front string) {
	s.mu.Lock()
	s.cancelled[jobID(n)] = true
	s.mu.Unlock()
	s.caller.Cancel(ctx, front, jobID(n))
}

// fault injects one fault; some last beyond the next.
func (s *soak) fault(ctx context.Context) error {
	s.report.Faults++
	e := s.entries[s.random.IntN(s.Entries)]
	proxy := e.proxy
	if s.random.IntN(2) == 0 {
		proxy = s.targets[s.random.IntN(s.Targets)]
	}
	length := time.Duration(s.random.Int64N(int64(faultLength)))
	mode := Mode(1 + s.random.IntN(int(modes)-1))
	switch s.random.IntN(10) {
	case 0, 1, 2, 3:
		proxy.SetMode(mode)
		s.group.Go(func() {
			cranpause.Sleep(ctx, length)
			proxy.SetMode(Pass)
		})
	case 4:
		return errors.Join(e.end(syscall.SIGKILL), e.start())
	case 5:
		return errors.Join(e.end(syscall.SIGTERM), e.start())
	case 6:
		if err := e.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		cranpause.Sleep(ctx, length)
		return e.signal(syscall.SIGCONT)
	case 7:
		s.version++
		s.deployment.PublishConfig(s.version)
		return e.signal(syscall.SIGHUP)
	case 8:
		s.storeFault(ctx, length)
	case 9:
		for _, e := range s.entries {
			if err := e.end(syscall.SIGKILL); err != nil {
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

func (s *soak) storeFault(ctx context.Context, length time.Duration) {
	store := s.deployment.Store()
	switch s.random.IntN(3) {
	case 0:
		store.DropHistory()
	case 1:
		store.DropAppendResponses(2 + s.random.IntN(4))
		s.group.Go(func() { cranpause.Sleep(ctx, length); store.DropAppendResponses(0) })
	case 2:
		store.SetUnavailable(true)
		s.group.Go(func() { cranpause.Sleep(ctx, length); store.SetUnavailable(false) })
	}
}

// heal ends every fault.
func (s *soak) heal() {
	s.deployment.Store().SetUnavailable(false)
	s.deployment.Store().DropAppendResponses(0)
	for _, p := range s.targets {
		p.SetMode(Pass)
	}
	for _, e := range s.entries {
		e.proxy.SetMode(Pass)
	}
}

func (s *soak) close() error {
	var all []error
	for _, e := range s.entries {
		all = append(all, e.end(syscall.SIGTERM), e.proxy.Close())
	}
	for _, p := range s.targets {
		all = append(all, p.Close())
	}
	return errors.Join(append(all, s.deployment.Close())...)
}
