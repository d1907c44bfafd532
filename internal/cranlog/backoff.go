package cranlog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

// Backoff is a capped exponential pause between attempts, with jitter.
type Backoff struct {
	base    time.Duration
	longest time.Duration
	random  func() float64
}

// NewBackoff returns a back-off from the first pause to the longest. The
// source of jitter returns numbers in [0, 1); nil takes the standard one.
func NewBackoff(base, longest time.Duration, random func() float64) Backoff {
	if random == nil {
		random = rand.Float64
	}
	return Backoff{base: base, longest: longest, random: random}
}

// Delay returns the pause after the given number of failed attempts: between
// half and the whole of the capped exponential.
func (b Backoff) Delay(failures int) time.Duration {
	d := b.base
	for i := 1; i < failures && d < b.longest; i++ {
		d *= 2
	}
	d = min(d, b.longest)
	half := d / 2
	return half + time.Duration(b.random()*float64(d-half))
}

// Wait pauses after the given number of failed attempts, or until ctx ends,
// and returns the error of ctx.
func (b Backoff) Wait(ctx context.Context, failures int) error {
	cranpause.Sleep(ctx, b.Delay(failures))
	return ctx.Err()
}
