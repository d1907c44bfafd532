package crannode

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cranshard"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// layoutProducer is the producer name of the layout. It is only appended with one epoch
	// and one sequence number, so the store accepts only the first.
	layoutProducer = "layout"
	// maxLayoutJitter bounds the delay that differs between entry instances, so that not all
	// of them count the instances.
	maxLayoutJitter = 300 * time.Millisecond
	// maxLayoutDelay is how much longer a process without any capacity would wait.
	maxLayoutDelay = time.Second
	// layoutRetryPause is the pause after an attempt to store the layout that has failed.
	layoutRetryPause = time.Second
	// earlierVersionCheck is the time in which an owner of an earlier version renews its claim
	// more than once.
	earlierVersionCheck = 1200 * time.Millisecond
)

// layoutDecision is the attempt of this process to store the layout.
type layoutDecision struct {
	// eligibleSince is when this process first could have stored it; 0 before.
	eligibleSince time.Duration
	running       bool
	nextAt        time.Duration
}

// decideLayout stores a layout if there is none. It takes effect once it is read back.
func (c *control) decideLayout(now time.Duration) {
	n, d := c.node, &c.layout
	if n.shards != nil || d.running || now < d.nextAt || c.config == nil || c.digestReadAt == 0 || n.stopping.Load() {
		return
	}
	if d.eligibleSince == 0 {
		d.eligibleSince = now
	}
	if now-d.eligibleSince < n.jitter(layoutProducer, maxLayoutJitter)+n.layoutDelay() {
		return
	}
	d.running = true
	go func() {
		err := n.storeLayout(c.runCtx)
		n.post(c.runCtx, func() {
			d.running, d.nextAt = false, n.now().Steady+layoutRetryPause
			if err != nil {
				n.log.Emit(cranevent.LayoutRefused, cranevent.Err(err))
				return
			}
			n.digestFollower.Poke()
		})
	}()
}

// layoutDelay is how much longer a process with less capacity than a shard may need waits, so
// that the layout follows from the capacity of the processes that will own the shards.
func (n *Node) layoutDelay() time.Duration {
	share := min(n.limits.Targets()/cranshard.MaxTargetsPerShard, 1)
	return time.Duration((1 - share) * float64(maxLayoutDelay))
}

// storeLayout decides on the number of shards and appends the layout.
func (n *Node) storeLayout(ctx context.Context) error {
	hasData, err := n.checkEarlierVersion(ctx)
	if err != nil {
		return err
	}
	targets, pools, err := n.countTargets(ctx)
	if err != nil {
		return err
	}
	count := cranshard.Count(targets, n.limits, n.topics.MaxShards)
	if hasData {
		count = 1
	}
	if count == 1 {
		pools = nil
	}
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	record := cranstore.Record{Key: crandigest.KeyLayout, Value: cranshard.New(count, targets, pools, cranshard.WithStripes(n.stripes(count))).Encode()}
	_, err = n.topics.Digest.Append(limited, []cranstore.Record{record}, cranstore.AppendOptions{Producer: layoutProducer, Epoch: 1})
	return err
}

// stripes returns the number of partitions for the submissions of each shard. Where one shard suffices there
// are few entry instances, whose appends one partition takes also from a slow store.
func (n *Node) stripes(shards int) int {
	if shards == 1 || n.topics.MaxStripes == nil {
		return 1
	}
	return n.topics.MaxStripes(shards)
}

// checkEarlierVersion reports whether the topics of the first shard have the data of a version
// without shards. It returns an error if a process of that version schedules: the old version
// must be stopped first, since it doesn't know of the digest.
func (n *Node) checkEarlierVersion(ctx context.Context) (bool, error) {
	first, err := n.earlierClaim(ctx)
	if err != nil || first.Epoch == 0 {
		return false, err
	}
	if first.Released {
		return true, nil
	}
	cranpause.Sleep(ctx, earlierVersionCheck)
	second, err := n.earlierClaim(ctx)
	if err == nil && second != first && !second.Released {
		err = cranfault.New(cranfault.NotReady, "stop all entry instances of the earlier version, then start those of this one",
			"the entry instance %s of a version without shards schedules the jobs", second.Node)
	}
	return true, err
}

// earlierClaim returns the claim of a version without shards; zero if there is none.
func (n *Node) earlierClaim(ctx context.Context) (cranjob.Claim, error) {
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	// A page begins after the given key.
	page, err := n.topics.Shard(0).Progress.Newest(limited, cranjob.KeyClaim[:len(cranjob.KeyClaim)-1], nil)
	if err != nil {
		return cranjob.Claim{}, err
	}
	var claim cranjob.Claim
	for _, r := range page.Records {
		if r.Key == cranjob.KeyClaim {
			err = cbor.Unmarshal(r.Value, &claim)
		}
	}
	return claim, err
}

// countTargets returns the number of targets and their instances by pool. Where the platform
// has no list of instances, the targets' own records are counted.
func (n *Node) countTargets(ctx context.Context) (int, map[string][]string, error) {
	list, listErr := n.listInstances(ctx)
	pools := map[string][]string{}
	for _, i := range list {
		pools[i.Pool] = append(pools[i.Pool], i.Instance)
	}
	if len(list) > 0 {
		return len(list), pools, nil
	}
	records, _, err := cranstore.Load(ctx, n.directory.Targets)
	return len(records), nil, errors.Join(err, listErr)
}
