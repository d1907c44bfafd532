package cransoak

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

// Subjects of disruptions beside the names of entry instances and of targets.
const (
	storeSubject = "store"
	// soakSubject stands for the machine on which the soak runs.
	soakSubject = "soak"
)

// disrupt records a disruption until the returned function is called.
func (s *soak) disrupt(subject string) (end func()) {
	finish := s.disruptions.Begin(subject, time.Now())
	s.trace("%s is disrupted", subject)
	return func() {
		finish(time.Now())
		s.trace("%s is no longer disrupted", subject)
	}
}

// trace writes a line with the time to Options.Trace.
func (s *soak) trace(format string, args ...any) {
	if s.Trace != nil {
		_, _ = fmt.Fprintf(s.Trace, "%s "+format+"\n", append([]any{time.Now().UTC().Format(timeFormat)}, args...)...)
	}
}

// restart ends the process of an entry instance by a signal and starts it again.
func (s *soak) restart(e *entry, sig syscall.Signal) error {
	defer s.disrupt(e.name)()
	return errors.Join(e.terminate(sig), e.start())
}

// injectFault injects one random fault. Faults of connections and of the store last
// beyond its return.
func (s *soak) injectFault(ctx context.Context) error {
	s.report.Faults++
	e := s.entries[s.random.IntN(s.Entries)]
	proxy, subject := e.proxy, e.name
	if s.random.IntN(2) == 0 {
		target := s.random.IntN(s.Targets)
		proxy, subject = s.targetProxies[target], standin.TargetID(target)
	}
	duration := time.Duration(s.random.Int64N(int64(maxFaultDuration)))
	mode := Mode(1 + s.random.IntN(int(modeCount)-1))
	switch s.random.IntN(10) {
	case 0, 1, 2, 3:
		end := s.disrupt(subject)
		proxy.SetMode(mode)
		s.group.Go(func() {
			cranpause.Sleep(ctx, duration)
			proxy.SetMode(Pass)
			end()
		})
	case 4:
		return s.restart(e, syscall.SIGKILL)
	case 5:
		return s.restart(e, syscall.SIGTERM)
	case 6:
		defer s.disrupt(e.name)()
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
			defer s.disrupt(e.name)()
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
	end := s.disrupt(storeSubject)
	switch s.random.IntN(3) {
	case 0:
		store.DropHistory()
		end()
	case 1:
		store.DropAppendResponses(2 + s.random.IntN(4))
		s.group.Go(func() { cranpause.Sleep(ctx, duration); store.DropAppendResponses(0); end() })
	case 2:
		if s.Partial {
			store.SetSilent(func(topic, _ string) bool { return topic == topicDigest })
			s.group.Go(func() { cranpause.Sleep(ctx, duration); store.SetSilent(nil); end() })
			return
		}
		store.SetUnavailable(true)
		s.group.Go(func() { cranpause.Sleep(ctx, duration); store.SetUnavailable(false); end() })
	}
}
