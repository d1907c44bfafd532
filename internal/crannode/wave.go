package crannode

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranshard"
)

const (
	// waveStatusInterval is how often the status of an unfinished wave is reported to the
	// operator.
	waveStatusInterval = 10 * time.Second
	// waveRetryInterval is the pause after a report that the wave is completed has failed.
	waveRetryInterval = time.Second
)

// waveState is a maintenance wave, which each owner carries out on the instances of its shard.
type waveState struct {
	order cransched.WaveOrder
	// instances holds the instances of each shard. It is set once the layout is known.
	instances [][]string
	// completed is set once this process has reported that the wave is completed.
	// reportedAt is when it last sent a report; 0 before.
	completed  bool
	reportedAt time.Duration
}

// addWave adds a wave that the operator has requested.
func (c *control) addWave(o cransched.WaveOrder) {
	for _, w := range c.waves {
		if w.order.Wave == o.Wave {
			return
		}
	}
	o.SeenAt = c.node.now().Steady
	if c.digestReadAt == 0 {
		// The wave was ordered before this process started, at an unknown time. Assume
		// that half of its duration has passed.
		o.SeenAt -= o.Duration / 2
	}
	c.waves = append(c.waves, &waveState{order: o})
	c.updateWaves()
}

// updateWaves passes the waves, with the present permits, to the schedulers.
func (c *control) updateWaves() {
	for _, s := range c.node.shards {
		if s.scheduling() {
			s.owner.scheduler.Advance(c.node.now())
			s.owner.scheduler.SetWaves(c.waveOrders(s.number))
		}
	}
}

// waveOrders returns the part of each wave that a shard carries out.
func (c *control) waveOrders(number int) []cransched.WaveOrder {
	var orders []cransched.WaveOrder
	for _, w := range c.waves {
		wave := c.sharedWave(w)
		if wave.Members[number] == 0 {
			continue
		}
		o := w.order
		o.Instances = w.instances[number]
		o.MaxParallel = cranshard.Permits(wave, number)
		published := c.node.digest.Wave(o.Wave, number)
		o.Begun, o.Done = published.Begun, published.Done
		orders = append(orders, o)
	}
	return orders
}

// sharedWave returns what is known of the wave in all shards.
func (c *control) sharedWave(w *waveState) cranshard.Wave {
	n := c.node
	wave := cranshard.Wave{
		Limit: max(w.order.MaxParallel, 1), Members: make([]int, len(n.shards)), Done: make([]bool, len(n.shards)),
	}
	if w.instances == nil {
		w.instances = make([][]string, len(n.shards))
		for _, id := range w.order.Instances {
			number := n.digest.Layout().OfInstance(id)
			w.instances[number] = append(w.instances[number], id)
		}
	}
	for number := range n.shards {
		wave.Members[number] = len(w.instances[number])
		wave.Done[number] = n.digest.Wave(w.order.Wave, number).Done
	}
	return wave
}

// reportWaves reports the waves of which this process owns the first shard to the operator.
func (c *control) reportWaves(now time.Duration) {
	for _, w := range c.waves {
		if w.completed || w.reportedAt != 0 && now-w.reportedAt < waveRetryInterval {
			continue
		}
		first, begun := c.waveProgress(w)
		s := c.node.shards[first]
		if !s.scheduling() || !begun && w.reportedAt != 0 && now-w.reportedAt < waveStatusInterval {
			continue
		}
		w.reportedAt = now
		s.owner.callAsync(callTimeout, func(ctx context.Context) func() {
			err := c.node.orders.ReportWave(ctx, w.order.Wave, begun)
			return func() {
				w.completed = begun && err == nil
				if err != nil {
					c.node.log.Emit(cranevent.LogUnavailable, cranevent.Stream("status"), cranevent.Err(err))
				}
			}
		})
	}
}

// waveProgress returns the first shard with instances of the wave, and whether the maintenance
// of all its instances has begun.
func (c *control) waveProgress(w *waveState) (first int, begun bool) {
	wave := c.sharedWave(w)
	first, begun = -1, true
	for number, members := range wave.Members {
		if members == 0 {
			continue
		}
		if first < 0 {
			first = number
		}
		begun = begun && c.node.digest.Wave(w.order.Wave, number).Begun
	}
	return max(first, 0), begun
}
