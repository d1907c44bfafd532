package cranlog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

// Backoff computes capped exponential delays between attempts, with jitter.
type Backoff struct {
	base     time.Duration
	maxDelay time.Duration
	random   func() float64
}

// NewBackoff returns a back-off whose delays grow from base to maxDelay. The
// function random returns numbers in [0, 1) for the jitter; nil selects
// rand.Float64.
func NewBackoff(base, maxDelay time.Duration, random func() float64) Backoff {
	if random == nil {
		random = rand.Float64
	}
	return Backoff{base: base, maxDelay: maxDelay, random: random}
}

// Delay returns the delay after the given number of consecutive failures:
// a random value between half of the capped exponential and all of it.
func (b Backoff) Delay(failures int) time.Duration {
	d := b.base
	for i := 1; i < failures && d < b.maxDelay; i++ {
		d *= 2
	}
	d = min(d, b.maxDelay)
	half := d / 2
	return half + time.Duration(b.random()*float64(d-half))
}

// Wait waits for the delay after the given number of consecutive failures, or
// until ctx ends, and returns the error of ctx.
func (b Backoff) Wait(ctx context.Context, failures int) error {
	cranpause.Sleep(ctx, b.Delay(failures))
	return ctx.Err()
}
