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

// ClaimCost is what claims cost at a rate.
type ClaimCost struct {
	OfferedPerSecond int `json:"offeredPerSecond"`
	Claimers         int `json:"claimers"`
	LogDelayMs       int `json:"delayMs"`
	// GrantedPerSecond is what was granted, AppendsPerSecond what that cost
	// the log in calls, over all claimers.
	GrantedPerSecond float64 `json:"grantedPerSecond"`
	AppendsPerSecond float64 `json:"appendsPerSecond"`
	// BytesPerClaim is what one reader reads of the stream for each claim.
	BytesPerClaim float64 `json:"bytesPerClaim"`
	MeanMs        float64 `json:"meanMs"`
}

// MeasureClaims offers claims at a steady rate to several claimers on a log
// with a delay.
func MeasureClaims(offered, claimers, delayMs int, duration time.Duration) (ClaimCost, error) {
	platform := cranstandin.NewPlatform()
	defer func() { _ = platform.Close() }()
	if err := platform.SetFaults(cranstandin.Faults{LogDelayMs: delayMs}); err != nil {
		return ClaimCost{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var meters []*cranembed.Meter
	var keepers []*cranclaim.ShardedClaimer
	for i := range claimers {
		m := &cranembed.Meter{Log: platform.Log()}
		k, err := cranclaim.NewShardedClaimer(m, 1, fmt.Sprintf("claimer-%d-0123456789abcdef", i))
		if err != nil {
			return ClaimCost{}, err
		}
		defer func() { _ = k.Close() }()
		meters, keepers = append(meters, m), append(keepers, k)
	}
	for _, k := range keepers {
		for k.Ready() != nil && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	return offer(ctx, offered, delayMs, duration, keepers, meters), nil
}

func offer(ctx context.Context, offered, delayMs int, duration time.Duration, keepers []*cranclaim.ShardedClaimer, meters []*cranembed.Meter) ClaimCost {
	var granted, waited atomic.Int64
	var running sync.WaitGroup
	start := time.Now()
	total := int(float64(offered) * duration.Seconds())
	for n := range total {
		due := start.Add(time.Duration(n) * time.Second / time.Duration(offered))
		time.Sleep(time.Until(due))
		running.Go(func() {
			asked := time.Now()
			k := keepers[n%len(keepers)]
			g, err := k.Claim(ctx, cranclaim.HashKey(fmt.Sprint(n)), 0)
			if err != nil {
				return
			}
			waited.Add(int64(time.Since(asked)))
			granted.Add(1)
			k.ReportRan(g)
		})
	}
	running.Wait()
	seconds := time.Since(start).Seconds()
	c := ClaimCost{OfferedPerSecond: offered, Claimers: len(keepers), LogDelayMs: delayMs}
	n := float64(max(granted.Load(), 1))
	c.GrantedPerSecond = float64(granted.Load()) / seconds
	c.MeanMs = millis(time.Duration(waited.Load())) / n
	for _, m := range meters {
		t := m.Traffic()
		c.AppendsPerSecond += float64(t.Appends) / seconds
		c.BytesPerClaim += float64(t.ReadBytes) / n / float64(len(meters))
	}
	return c
}
