package cransnapshot

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

func TestChooseOrigin(t *testing.T) {
	at := func(offset uint64) *Snapshot {
		s := New(offset, nil)
		return &s
	}
	cases := map[string]struct {
		candidates Candidates
		want       Origin
	}{
		"snapshot in the log":        {Candidates{LogReachable: true, Oldest: 5, LogSnapshot: at(5), PeerSnapshot: at(9)}, OriginLog},
		"snapshot preferred to zero": {Candidates{LogReachable: true, Oldest: 0, LogSnapshot: at(0)}, OriginLog},
		"zero":                       {Candidates{LogReachable: true, Oldest: 0, PeerSnapshot: at(9)}, OriginZero},
		"gap, peer without a gap":    {Candidates{LogReachable: true, Oldest: 6, LogSnapshot: at(5), PeerSnapshot: at(6)}, OriginPeer},
		"gap, peer with a gap":       {Candidates{LogReachable: true, Oldest: 6, LogSnapshot: at(5), PeerSnapshot: at(5)}, OriginNone},
		"gap, no peer":               {Candidates{LogReachable: true, Oldest: 6, LogSnapshot: at(5)}, OriginNone},
		"log down, peer":             {Candidates{PeerSnapshot: at(3)}, OriginPeer},
		"log down, no peer":          {Candidates{LogSnapshot: at(3)}, OriginNone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, ChooseOrigin(c.candidates)) })
	}
}

func TestPolicyDue(t *testing.T) {
	p := NewPolicy(WithMaxRecords(100), WithInterval(time.Minute))
	cases := map[string]struct {
		input PolicyInput
		want  Reason
	}{
		"empty stream":                     {PolicyInput{}, ReasonNone},
		"no snapshot yet":                  {PolicyInput{Next: 1}, ReasonFirst},
		"recent snapshot":                  {PolicyInput{HasSnapshot: true, SnapshotOffset: 50, Next: 149}, ReasonNone},
		"many records":                     {PolicyInput{HasSnapshot: true, SnapshotOffset: 50, Next: 150}, ReasonRecords},
		"old snapshot":                     {PolicyInput{HasSnapshot: true, SnapshotOffset: 50, Next: 50, SnapshotAge: time.Minute}, ReasonInterval},
		"snapshot in the newer half":       {PolicyInput{HasSnapshot: true, Oldest: 100, SnapshotOffset: 150, Next: 200}, ReasonNone},
		"snapshot in the older half":       {PolicyInput{HasSnapshot: true, Oldest: 102, SnapshotOffset: 150, Next: 200}, ReasonRetention},
		"records after snapshot expired":   {PolicyInput{HasSnapshot: true, Oldest: 160, SnapshotOffset: 150, Next: 200}, ReasonRetention},
		"all expired, all in snapshot":     {PolicyInput{HasSnapshot: true, Oldest: 200, SnapshotOffset: 200, Next: 200}, ReasonNone},
		"all expired, one not in snapshot": {PolicyInput{HasSnapshot: true, Oldest: 200, SnapshotOffset: 199, Next: 200}, ReasonRetention},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, p.Due(c.input)) })
	}
}

// peer is a PeerSource that succeeds after a number of failures.
type peer struct {
	snapshot Snapshot
	failures int
}

func (p *peer) Snapshot(context.Context) (Snapshot, error) {
	if p.failures > 0 {
		p.failures--
		return Snapshot{}, cranfault.New(cranfault.NotReady, "wait", "no peer is ready")
	}
	return p.snapshot, nil
}

var streams = Streams{Control: "control", Snapshots: stream}

func TestFindInitialOrderOfOrigins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := cranstandin.NewLog()
		defer func() { require.NoError(t, log.Close()) }()
		start := func(want Origin, offset uint64, peers PeerSource) {
			t.Helper()
			s, origin, err := FindInitial(ctx, log, streams, peers, fastBackoff)
			require.Equal(t, want == OriginNone, err != nil)
			if err != nil {
				require.ErrorIs(t, err, cranfault.MatchKind(cranfault.NotReady))
			}
			require.Equal(t, want, origin)
			require.Equal(t, offset, s.Offset())
		}
		start(OriginZero, 0, nil)
		_, err := log.Append(ctx, "control", [][]byte{{1}, {2}, {3}, {4}})
		require.NoError(t, err)
		start(OriginZero, 0, &peer{snapshot: New(4, nil)})
		require.NoError(t, Write(ctx, log, stream, New(2, stateOf(5)), fastBackoff))
		start(OriginLog, 2, nil)
		log.Expire("control", 2)
		start(OriginLog, 2, nil)
		log.Expire("control", 3)
		start(OriginNone, 0, nil)
		start(OriginNone, 0, &peer{snapshot: New(2, nil)})
		start(OriginPeer, 4, &peer{snapshot: New(4, nil)})
		require.NoError(t, log.SetFaults(cranstandin.Faults{LogOutage: true}))
		start(OriginNone, 0, nil)
		start(OriginPeer, 4, &peer{snapshot: New(4, nil)})
	})
}

func TestAwaitInitialRetriesDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := cranstandin.NewLog()
		defer func() { require.NoError(t, log.Close()) }()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		require.NoError(t, log.SetFaults(cranstandin.Faults{LogOutage: true}))
		_, origin, err := AwaitInitial(ctx, log, streams, &peer{snapshot: New(7, nil), failures: 5}, fastBackoff)
		require.NoError(t, err)
		require.Equal(t, OriginPeer, origin)
		time.AfterFunc(10*time.Second, func() { _ = log.SetFaults(cranstandin.Faults{}) })
		_, origin, err = AwaitInitial(ctx, log, streams, nil, fastBackoff)
		require.NoError(t, err)
		require.Equal(t, OriginZero, origin)
		require.NoError(t, log.SetFaults(cranstandin.Faults{LogOutage: true}))
		_, _, err = AwaitInitial(ctx, log, streams, nil, fastBackoff)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.NotReady))
	})
}

// slowLog is a log over a slow link, on which each record takes recordTime.
type slowLog struct {
	cranplatform.Log
	recordTime time.Duration
}

func (l slowLog) Read(ctx context.Context, stream string, from uint64, limit, waitMs int) (cranplatform.Batch, error) {
	batch, err := l.Log.Read(ctx, stream, from, limit, waitMs)
	cranpause.Sleep(ctx, time.Duration(len(batch.Records))*l.recordTime)
	if ctx.Err() != nil {
		return cranplatform.Batch{}, ctx.Err()
	}
	return batch, err
}

// TestSnapshotLoadsOverSlowLink guards against a start that never ends because a window of
// the snapshot takes longer than one read may last.
func TestSnapshotLoadsOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := cranstandin.NewLog()
		defer func() { require.NoError(t, log.Close()) }()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := log.Append(ctx, "control", [][]byte{{1}, {2}, {3}})
		require.NoError(t, err)
		log.Expire("control", 1)
		require.NoError(t, Write(ctx, log, stream, New(2, stateOf(40)), WithChunkBytes(1), fastBackoff))
		// A window of 16 records takes 4.8 s, and a read may last 2 s. All records take 12 s.
		s, origin, err := AwaitInitial(ctx, slowLog{log, 300 * time.Millisecond}, streams, nil, fastBackoff)
		require.NoError(t, err)
		require.Equal(t, OriginLog, origin)
		require.EqualValues(t, 2, s.Offset())
	})
}
