package crannode

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// targetsPause is the pause between two reads of the targets topic.
const targetsPause = 150 * time.Millisecond

// lostTargetsRead is how much longer a read of the targets takes that gets no answer than one that waits, with the pauses.
const lostTargetsRead = 1500 * time.Millisecond

// targetList is the list of targets, which a process reads while it owns a shard. Only the
// control goroutine accesses it.
type targetList struct {
	node *Node
	// known is true once the list has been read.
	known bool
	// readAt is the time up to which all stored entries were read.
	readAt time.Duration
	// byShard holds the targets of each shard by id, and shards the shard of each target.
	byShard map[int]map[string]cransched.TargetInfo
	shards  map[string]int
	// stop ends the reading; nil while the list isn't read.
	stop context.CancelFunc
}

func newTargetList(n *Node) targetList {
	return targetList{node: n, byShard: map[int]map[string]cransched.TargetInfo{}, shards: map[string]int{}}
}

// setFollowing starts or stops the reading of the list.
func (l *targetList) setFollowing(on bool) {
	switch n := l.node; {
	case on == (l.stop != nil):
	case on:
		ctx, cancel := context.WithCancel(n.control.runCtx)
		l.stop = cancel
		n.control.group.Go(func() {
			f := n.newFollower(readOptions{
				topic: n.directory.Targets, wait: n.targetsReadWait(), pause: targetsPause,
				options: []cranstore.FollowerOption{cranstore.WithNewestOnly()},
			})
			n.follow(ctx, "targets", f, func(u cranstore.Update) {
				n.post(ctx, func() {
					if ctx.Err() == nil {
						l.apply(u)
					}
				})
			})
		})
	default:
		l.stop()
		*l = newTargetList(n)
	}
}

// outdated reports whether the list is older than it gets by one read without an answer after one that has waited. The
// owner learns neither of new targets nor of those that drain, and soon starts nothing.
func (l *targetList) outdated(now time.Duration) bool {
	return l.readAt != 0 && now-l.readAt > 2*l.node.targetsReadWait()+lostTargetsRead
}

// apply applies a read of the targets topic, and passes the list to the schedulers.
func (l *targetList) apply(u cranstore.Update) {
	n := l.node
	if u.Reset {
		clear(l.byShard)
		clear(l.shards)
	}
	for _, r := range u.Records {
		l.applyRecord(r)
	}
	l.known = true
	if at, current := u.CurrentAt(); current {
		l.readAt = at
	}
	for _, s := range n.shards {
		if s.scheduling() {
			s.owner.scheduler.Advance(n.now())
			s.owner.scheduler.SetTargets(l.list(s.number))
		}
	}
}

func (l *targetList) applyRecord(r cranstore.Record) {
	n := l.node
	if len(r.Value) == 0 && r.Key != "" {
		l.remove(r.Key)
		return
	}
	info, err := n.directory.DecodeTargetRecord(r.Key, r.Value)
	if err == nil {
		err = l.check(info)
	}
	if err != nil {
		n.skipMalformed("targets", r, err)
		return
	}
	number := n.shardOfTarget(info)
	if old, known := l.shards[r.Key]; known && old != number {
		l.remove(r.Key)
	}
	if l.byShard[number] == nil {
		l.byShard[number] = map[string]cransched.TargetInfo{}
	}
	l.byShard[number][r.Key] = info
	l.shards[r.Key] = number
}

// check returns an error for an entry that can't be of a target. A known target that loses its
// instance would move to another shard.
func (l *targetList) check(info cransched.TargetInfo) error {
	known := l.byShard[l.shards[info.ID]][info.ID]
	if info.ID == "" || info.Instance == "" && known.Instance != "" {
		return cranfault.New(cranfault.UnknownPeer, "find out which process writes to the topic",
			"the entry under %q has no id or not the instance %q", info.ID, known.Instance)
	}
	return nil
}

func (l *targetList) remove(id string) {
	delete(l.byShard[l.shards[id]], id)
	delete(l.shards, id)
}

// list returns the targets of a shard in order of id.
func (l *targetList) list(number int) []cransched.TargetInfo {
	targets := l.byShard[number]
	list := make([]cransched.TargetInfo, 0, len(targets))
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		list = append(list, targets[id])
	}
	return list
}

// shardOfTarget returns the shard of a target: that of its instance.
func (n *Node) shardOfTarget(info cransched.TargetInfo) int {
	if info.Instance == "" {
		return n.digest.Layout().OfInstance(info.ID)
	}
	return n.digest.Layout().OfInstance(info.Instance)
}
