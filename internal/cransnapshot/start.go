package cransnapshot

import (
	"context"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Origin says where a starting process gets its initial state from. Its text is a
// label value of metrics.
type Origin string

// Origins of an initial state.
const (
	// OriginLog is the latest complete snapshot in the log.
	OriginLog Origin = "log"
	// OriginZero is the empty state, to which all records from offset zero apply.
	OriginZero Origin = "zero"
	// OriginPeer is a snapshot sent by a peer.
	OriginPeer Origin = "peer"
	// OriginNone means that there is no state to start from, and the process is not
	// ready.
	OriginNone Origin = "none"
)

// PeerSource requests the state of a peer.
type PeerSource interface {
	// Snapshot returns a snapshot of the state of one of the peers, verified by its
	// digest. An error means that no peer has responded, or that none is ready.
	Snapshot(ctx context.Context) (Snapshot, error)
}

// Candidates holds the snapshots that a starting process has found, and the bounds
// of the control stream.
type Candidates struct {
	// LogReachable reports whether the log has returned the bounds of the control
	// stream.
	LogReachable bool
	// Oldest is the lowest offset kept in the control stream.
	Oldest uint64
	// LogSnapshot is the latest complete snapshot in the log, or nil.
	LogSnapshot *Snapshot
	// PeerSnapshot is a snapshot sent by a peer, or nil.
	PeerSnapshot *Snapshot
}

// ChooseOrigin decides which state a process starts from. A snapshot is usable only
// if the log still keeps the records after it. While the log is unreachable, only a
// peer's snapshot is usable, since that peer can relay the records after it.
func ChooseOrigin(c Candidates) Origin {
	switch {
	case c.LogReachable && reachesOldest(c.LogSnapshot, c.Oldest):
		return OriginLog
	case c.LogReachable && c.Oldest == 0:
		return OriginZero
	case c.LogReachable && reachesOldest(c.PeerSnapshot, c.Oldest):
		return OriginPeer
	case !c.LogReachable && c.PeerSnapshot != nil:
		return OriginPeer
	}
	return OriginNone
}

// reachesOldest reports whether there is a snapshot that includes every record below
// the oldest offset kept.
func reachesOldest(s *Snapshot, oldest uint64) bool {
	return s != nil && s.offset >= oldest
}

// Streams holds the names of the streams from which a state is restored.
type Streams struct {
	// Control holds the records that the reducer applies.
	Control string
	// Snapshots holds the chunks of the snapshots.
	Snapshots string
}

// FindInitial tries once to find a state to start from. For OriginZero the snapshot
// is the zero value. It fails with cranfault.NotReady if there is no state. The
// argument peers may be nil.
func FindInitial(
	ctx context.Context, log cranplatform.Log, streams Streams, peers PeerSource, options ...Option,
) (Snapshot, Origin, error) {
	set := newSettings(options)
	var c Candidates
	c.readLog(ctx, log, streams, set, options)
	if ChooseOrigin(c) == OriginNone && peers != nil {
		c.askPeers(ctx, peers, set)
	}
	origin := ChooseOrigin(c)
	switch origin {
	case OriginLog:
		return *c.LogSnapshot, origin, nil
	case OriginPeer:
		return *c.PeerSnapshot, origin, nil
	case OriginZero:
		return Snapshot{}, origin, nil
	}
	return Snapshot{}, OriginNone, notReady(c, streams)
}

// AwaitInitial repeats FindInitial until it finds a state. When ctx ends first, it
// returns the last fault.
func AwaitInitial(
	ctx context.Context, log cranplatform.Log, streams Streams, peers PeerSource, options ...Option,
) (Snapshot, Origin, error) {
	set := newSettings(options)
	for failures := 1; ; failures++ {
		s, origin, err := FindInitial(ctx, log, streams, peers, options...)
		if err == nil {
			return s, origin, nil
		}
		if set.backoff.Wait(ctx, failures) != nil {
			return Snapshot{}, OriginNone, err
		}
	}
}

// readLog loads the latest snapshot in the log and then reads the bounds of the
// control stream. In this order, it notices records that expire during the load.
func (c *Candidates) readLog(
	ctx context.Context, log cranplatform.Log, streams Streams, set settings, options []Option,
) {
	found, err := LoadLatest(ctx, log, streams.Snapshots, options...)
	if err == nil {
		c.LogSnapshot = &found
	}
	ctx, cancel := context.WithTimeout(ctx, set.attemptTimeout)
	defer cancel()
	bounds, err := cranlog.ReadBounds(ctx, log, streams.Control)
	if err != nil {
		set.count(cranlog.ReasonReadFailed)
		return
	}
	c.LogReachable = true
	c.Oldest = bounds.Oldest()
}

func (c *Candidates) askPeers(ctx context.Context, peers PeerSource, set settings) {
	ctx, cancel := context.WithTimeout(ctx, set.attemptTimeout)
	defer cancel()
	s, err := peers.Snapshot(ctx)
	if err == nil {
		c.PeerSnapshot = &s
	}
}

func notReady(c Candidates, streams Streams) error {
	if !c.LogReachable {
		return cranfault.New(cranfault.NotReady, "wait for the log, or for a peer that is ready",
			"neither the log nor a peer has provided a state for %s", streams.Control)
	}
	return cranfault.New(cranfault.NotReady,
		"start from a peer that is ready, or publish the configuration to a new stream",
		"the log keeps %s only from offset %d on, and no snapshot at or after that offset was found", streams.Control, c.Oldest)
}
