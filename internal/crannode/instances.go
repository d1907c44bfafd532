package crannode

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// minInstancesInterval is how often the owner of a single shard reads the list of
	// instances. The owners share the platform's rate of reads, so each of them reads less
	// often the more there are, up to maxInstancesInterval.
	minInstancesInterval = 500 * time.Millisecond
	maxInstancesInterval = 4 * time.Second
	// instancesIntervalPerShard is the part of the interval that each shard adds.
	instancesIntervalPerShard = 250 * time.Millisecond
	// instancesTimeout bounds the read of the whole list, and instancePageAttempts how
	// often one page is requested.
	instancesTimeout     = 20 * time.Second
	instancePageAttempts = 3
)

// instanceReader reads the list of instances for all shards that this process schedules.
type instanceReader struct {
	reading bool
	nextAt  time.Duration
}

// refreshInstances reads the list of instances if its interval has passed.
func (c *control) refreshInstances(now time.Duration) {
	n, r := c.node, &c.instances
	if r.reading || now < r.nextAt || n.stopping.Load() {
		return
	}
	r.reading = true
	r.nextAt = now + min(max(instancesIntervalPerShard*time.Duration(len(n.shards)), minInstancesInterval), maxInstancesInterval)
	go func() {
		ctx, cancel := context.WithTimeout(c.runCtx, instancesTimeout)
		defer cancel()
		list, err := n.listInstances(ctx)
		n.post(c.runCtx, func() { c.applyInstances(list, err, now) })
	}()
}

// applyInstances passes the list of instances that was requested at a time to the schedulers.
func (c *control) applyInstances(list []cransched.InstanceInfo, err error, requestedAt time.Duration) {
	n := c.node
	c.instances.reading = false
	if err != nil {
		n.log.Emit(cranevent.LogUnavailable, cranevent.Stream("instances"), cranevent.Err(err))
		return
	}
	byShard := map[int][]cransched.InstanceInfo{}
	for _, i := range list {
		number := n.digest.Layout().OfInstance(i.Instance)
		byShard[number] = append(byShard[number], i)
	}
	for _, s := range n.shards {
		if s.scheduling() {
			s.owner.scheduler.Advance(n.now())
			s.owner.scheduler.SetInstances(byShard[s.number], requestedAt)
		}
	}
}

// listInstances reads the whole list of instances. Each page has a time limit of its own,
// since the number of pages depends on the number of instances. A page without an answer is
// requested again without the earlier ones.
func (n *Node) listInstances(ctx context.Context) ([]cransched.InstanceInfo, error) {
	var list []cransched.InstanceInfo
	token := ""
	for failures := 0; ; {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		page, next, err := n.orders.ListInstances(limited, token)
		cancel()
		if err != nil {
			if failures++; failures == instancePageAttempts || cranstore.IsRefused(err) || ctx.Err() != nil {
				return nil, err
			}
			continue
		}
		failures = 0
		list = append(list, page...)
		if token = next; token == "" {
			return list, nil
		}
	}
}
