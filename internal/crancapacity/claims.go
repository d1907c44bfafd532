package crancapacity

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranclaim"
	"github.com/cranberrypick/cranberrypick/internal/cranembed"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

// ClaimCost holds the cost of claims at an offered rate.
type ClaimCost struct {
	OfferedPerSecond int `json:"offeredPerSecond"`
	Claimers         int `json:"claimers"`
	LogDelayMs       int `json:"delayMs"`
	// GrantedPerSecond is the rate of granted claims, and AppendsPerSecond the rate of append
	// calls to the log that they caused, both summed over all claimers.
	GrantedPerSecond float64 `json:"grantedPerSecond"`
	AppendsPerSecond float64 `json:"appendsPerSecond"`
	// BytesPerClaim is the mean number of bytes that one reader reads from the log per granted
	// claim.
	BytesPerClaim float64 `json:"bytesPerClaim"`
	MeanMs        float64 `json:"meanMs"`
}

// MeasureClaims makes claims at a constant rate, distributed over several claimers, on a log
// with the given delay, and returns their cost.
func MeasureClaims(offered, claimers, delayMs int, duration time.Duration) (ClaimCost, error) {
	platform := cranstandin.NewPlatform()
	defer func() { _ = platform.Close() }()
	if err := platform.SetFaults(cranstandin.Faults{LogDelayMs: delayMs}); err != nil {
		return ClaimCost{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var meters []*cranembed.Meter
	var shardedClaimers []*cranclaim.ShardedClaimer
	for i := range claimers {
		meter := &cranembed.Meter{Log: platform.Log()}
		claimer, err := cranclaim.NewShardedClaimer(meter, 1, fmt.Sprintf("claimer-%d-0123456789abcdef", i))
		if err != nil {
			return ClaimCost{}, err
		}
		defer func() { _ = claimer.Close() }()
		meters, shardedClaimers = append(meters, meter), append(shardedClaimers, claimer)
	}
	for _, claimer := range shardedClaimers {
		for claimer.Ready() != nil && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	return measureOffered(ctx, offered, delayMs, duration, shardedClaimers, meters), nil
}

// measureOffered makes the claims and computes their cost.
func measureOffered(ctx context.Context, offered, delayMs int, duration time.Duration, shardedClaimers []*cranclaim.ShardedClaimer, meters []*cranembed.Meter) ClaimCost {
	var granted, claimTime atomic.Int64
	var running sync.WaitGroup
	start := time.Now()
	total := int(float64(offered) * duration.Seconds())
	for n := range total {
		due := start.Add(time.Duration(n) * time.Second / time.Duration(offered))
		time.Sleep(time.Until(due))
		running.Go(func() {
			claimStart := time.Now()
			claimer := shardedClaimers[n%len(shardedClaimers)]
			g, err := claimer.Claim(ctx, cranclaim.HashKey(fmt.Sprint(n)), 0)
			if err != nil {
				return
			}
			claimTime.Add(int64(time.Since(claimStart)))
			granted.Add(1)
			claimer.ReportRan(g)
		})
	}
	running.Wait()
	seconds := time.Since(start).Seconds()
	c := ClaimCost{OfferedPerSecond: offered, Claimers: len(shardedClaimers), LogDelayMs: delayMs}
	n := float64(max(granted.Load(), 1))
	c.GrantedPerSecond = float64(granted.Load()) / seconds
	c.MeanMs = millis(time.Duration(claimTime.Load())) / n
	for _, meter := range meters {
		t := meter.Traffic()
		c.AppendsPerSecond += float64(t.Appends) / seconds
		c.BytesPerClaim += float64(t.ReadBytes) / n / float64(len(meters))
	}
	return c
}
