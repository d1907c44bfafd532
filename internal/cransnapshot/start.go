package cransnapshot

import (
	"context"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Origin says where a newcomer takes its first state from. Its text is a
// label value of the counters.
type Origin string

// Origins of a state.
const (
	// OriginLog: the latest whole snapshot of the log.
	OriginLog Origin = "log"
	// OriginZero: the empty state, with all records from offset zero.
	OriginZero Origin = "zero"
	// OriginPeer: a peer's snapshot.
	OriginPeer Origin = "peer"
	// OriginNone: nothing to start from; the newcomer stays not ready.
	OriginNone Origin = "none"
)

// PeerSource hands over a peer's state.
type PeerSource interface {
	// Snapshot returns the state of some peer with the offset up to which it
	// was read, verified by its digest. An error means that no peer answered
	// or that none is ready.
	Snapshot(ctx context.Context) (Snapshot, error)
}

// Candidates is what a newcomer has found out.
type Candidates struct {
	// LogReachable tells whether the bounds of the control stream are known.
	LogReachable bool
	// Oldest is the lowest offset kept in the control stream.
	Oldest uint64
	// LogSnapshot is the latest whole snapshot of the log, or nil.
	LogSnapshot *Snapshot
	// PeerSnapshot is a peer's snapshot, or nil.
	PeerSnapshot *Snapshot
}

// ChooseOrigin decides where a newcomer starts. A snapshot is of use only if the
// records after it are still there to be read; while the log is down only a
// peer knows, and relays them.
func ChooseOrigin(e Candidates) Origin {
	switch {
	case e.LogReachable && reaches(e.LogSnapshot, e.Oldest):
		return OriginLog
	case e.LogReachable && e.Oldest == 0:
		return OriginZero
	case e.LogReachable && reaches(e.PeerSnapshot, e.Oldest):
		return OriginPeer
	case !e.LogReachable && e.PeerSnapshot != nil:
		return OriginPeer
	}
	return OriginNone
}

// reaches reports whether no record between the snapshot and the oldest one
// kept is missing.
func reaches(s *Snapshot, oldest uint64) bool {
	return s != nil && s.offset >= oldest
}

// Streams names the streams of a state.
type Streams struct {
	// Control holds the records that the reducer applies.
	Control string
	// Snapshots holds the chunks.
	Snapshots string
}

// FindInitial looks once for a state to start from. At OriginZero the snapshot is
// the zero value. It fails with cranfault.NotReady if there is none. Peers may
// be nil.
func FindInitial(
	ctx context.Context, log cranplatform.Log, streams Streams, peers PeerSource, options ...Option,
) (Snapshot, Origin, error) {
	set := newSettings(options)
	var e Candidates
	e.readLog(ctx, log, streams, set, options)
	if ChooseOrigin(e) == OriginNone && peers != nil {
		e.askPeers(ctx, peers, set)
	}
	origin := ChooseOrigin(e)
	switch origin {
	case OriginLog:
		return *e.LogSnapshot, origin, nil
	case OriginPeer:
		return *e.PeerSnapshot, origin, nil
	case OriginZero:
		return Snapshot{}, origin, nil
	}
	return Snapshot{}, OriginNone, notReady(e, streams)
}

// AwaitInitial repeats FindInitial until it finds a state or ctx ends, and then returns
// the last fault.
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

// readLog finds the snapshot first and the bounds after it, so that records
// that expire meanwhile are noticed.
func (e *Candidates) readLog(
	ctx context.Context, log cranplatform.Log, streams Streams, set settings, options []Option,
) {
	found, err := LoadLatest(ctx, log, streams.Snapshots, options...)
	if err == nil {
		e.LogSnapshot = &found
	}
	ctx, cancel := context.WithTimeout(ctx, set.attemptTimeout)
	defer cancel()
	bounds, err := cranlog.ReadBounds(ctx, log, streams.Control)
	if err != nil {
		set.count(cranlog.ReasonReadFailed)
		return
	}
	e.LogReachable = true
	e.Oldest = bounds.Oldest()
}

func (e *Candidates) askPeers(ctx context.Context, peers PeerSource, set settings) {
	ctx, cancel := context.WithTimeout(ctx, set.attemptTimeout)
	defer cancel()
	s, err := peers.Snapshot(ctx)
	if err == nil {
		e.PeerSnapshot = &s
	}
}

func notReady(e Candidates, streams Streams) error {
	if !e.LogReachable {
		return cranfault.New(cranfault.NotReady, "wait for the log, or let a ready peer answer",
			"neither the log nor a peer gives a state for %s", streams.Control)
	}
	return cranfault.New(cranfault.NotReady,
		"start from a peer that is ready, or publish the configuration to a new stream",
		"%s is kept only from offset %d on, and no snapshot was read that reaches it", streams.Control, e.Oldest)
}
