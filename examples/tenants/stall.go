package main

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

// maxStall is the longest time for which the process may not run. The entry instances and their stand-ins share it, so
// after a longer one the figures may say more about the machine than about the job service.
const maxStall = 150 * time.Millisecond

// errStalled says that the machine was too busy for a reliable result.
var errStalled = errors.New("the machine was busy and didn't run this process")

// measureStalls measures how long the process doesn't run although it could. The returned function ends the measurement
// and returns the longest stall.
func measureStalls(ctx context.Context) func() time.Duration {
	ctx, cancel := context.WithCancel(ctx)
	result := make(chan time.Duration, 1)
	go func() {
		var longest time.Duration
		for ctx.Err() == nil {
			due := time.Now().Add(pollInterval)
			cranpause.Sleep(ctx, pollInterval)
			longest = max(longest, time.Since(due))
		}
		result <- longest
	}()
	return func() time.Duration {
		cancel()
		return (<-result).Round(time.Millisecond)
	}
}
