package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/platform"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

const (
	entryCount  = 2
	targetCount = 4
	// taskDuration is the time that a target takes to run a task.
	taskDuration = 500 * time.Millisecond
	// callTimeout is how long a caller waits for a response.
	callTimeout = 3 * time.Second
	// startTimeout bounds the time until all entry instances are ready.
	startTimeout = 10 * time.Second
	pollInterval = 20 * time.Millisecond
)

// service is the job service in this process: stand-ins for the platform, and entry instances.
type service struct {
	*standin.Deployment
	// entries holds the addresses of the entry instances for callers.
	entries []string
	version int
	// running holds the entry instances, which end after stop was called.
	running errgroup.Group
	stop    context.CancelFunc
}

// startService starts the platform with its first configuration, and the entry instances.
func startService(ctx context.Context, tenants []*tenant, log io.Writer) (*service, error) {
	sameAddress := func(address string) (string, error) { return address, nil }
	d, err := standin.NewDeployment(targetCount, taskDuration, sameAddress)
	if err != nil {
		return nil, err
	}
	s := &service{Deployment: d, version: 1}
	s.publish(tenants)
	entryCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	s.stop = stop
	for n := range entryCount {
		if err := s.startEntry(ctx, entryCtx, fmt.Sprintf("entry%d", n+1), log); err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	return s, nil
}

// startEntry starts an entry instance that runs until entryCtx ends, and waits until it is ready.
func (s *service) startEntry(ctx, entryCtx context.Context, name string, log io.Writer) error {
	front, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	ready, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	settings, err := platform.ParseSettings(s.Settings(name, front, ready, s.StoreAddress()))
	if err != nil {
		return err
	}
	s.running.Go(func() error { return platform.RunSettings(entryCtx, settings, log) })
	s.entries = append(s.entries, front)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !standin.IsReady(ctx, ready) {
		if cranpause.Sleep(ctx, pollInterval); ctx.Err() != nil {
			return eris.Wrapf(ctx.Err(), "%s isn't ready; run with --verbose", name)
		}
	}
	return nil
}

// publish publishes a configuration with the tenants and their present keys.
func (s *service) publish(tenants []*tenant) {
	list := make([]standin.Tenant, 0, len(tenants))
	for _, t := range tenants {
		list = append(list, standin.Tenant{Name: t.name, Keys: t.keys, Weight: t.weight})
	}
	s.version++
	s.SetTenants(list)
	s.PublishConfig(s.version)
}

// close stops the entry instances and then the platform.
func (s *service) close() error {
	s.stop()
	return errors.Join(s.running.Wait(), s.Close())
}
