package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

// newTenants returns the two tenants, whose entitlements add up to 12 of the 16 jobs per second that the service can
// complete. Outside the burst both send two thirds of their entitlement, and in it one sends ten times its entitlement.
func newTenants() (steady, bursty *tenant) {
	steady = &tenant{name: "steady", number: 1, weight: 6, rates: [...]float64{4, 4, 4}, key: "steady-key-1"}
	bursty = &tenant{name: "bursty", number: 2, weight: 6, rates: [...]float64{4, 60, 4}, key: "bursty-key-1"}
	for _, t := range []*tenant{steady, bursty} {
		t.keys = []string{t.key}
	}
	return steady, bursty
}

// run runs the job service, sends the jobs of both tenants and prints what became of them. It returns an error if a
// requirement wasn't met. The error wraps errStalled if the machine was too busy for a reliable result. Each phase has the
// given length.
func run(ctx context.Context, length time.Duration, out, log io.Writer) (err error) {
	stopMeter := measureStalls(ctx)
	defer func() {
		if longest := stopMeter(); longest > maxStall && err != nil {
			err = errors.Join(err, fmt.Errorf("%w for up to %v; repeat it on an idle machine", errStalled, longest))
		}
	}()
	steady, bursty := newTenants()
	tenants := []*tenant{steady, bursty}
	s, err := startService(ctx, tenants, log)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	caller := s.NewCaller(callTimeout)
	if err := showMissingKey(ctx, s, caller, out); err != nil {
		return err
	}

	var senders sync.WaitGroup
	for _, t := range tenants {
		senders.Go(func() { t.send(ctx, s, caller, length) })
	}
	cranpause.Sleep(ctx, length)
	replacement, keyErr := replaceKey(ctx, s, caller, tenants, steady, "steady-key-2")
	senders.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}

	r := newReport(ctx, s, caller, tenants)
	if _, err := fmt.Fprintf(out, "%s\n%s", r, replacement); err != nil {
		return err
	}
	return errors.Join(keyErr, r.check(steady, s.Ledger().Violations()))
}
