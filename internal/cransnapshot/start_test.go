package cransnapshot

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

func TestChoose(t *testing.T) {
	at := func(offset uint64) *Snapshot {
		s := New(offset, nil)
		return &s
	}
	cases := map[string]struct {
		evidence Evidence
		want     Origin
	}{
		"latest in the log":          {Evidence{LogAnswers: true, Oldest: 5, InLog: at(5), FromPeer: at(9)}, OriginLog},
		"log before zero":            {Evidence{LogAnswers: true, Oldest: 0, InLog: at(0)}, OriginLog},
		"zero":                       {Evidence{LogAnswers: true, Oldest: 0, FromPeer: at(9)}, OriginZero},
		"gap, then a peer":           {Evidence{LogAnswers: true, Oldest: 6, InLog: at(5), FromPeer: at(6)}, OriginPeer},
		"gap, and a peer with a gap": {Evidence{LogAnswers: true, Oldest: 6, InLog: at(5), FromPeer: at(5)}, OriginNone},
		"gap, no peer":               {Evidence{LogAnswers: true, Oldest: 6, InLog: at(5)}, OriginNone},
		"log down, a peer":           {Evidence{FromPeer: at(3)}, OriginPeer},
		"log down, no peer":          {Evidence{InLog: at(3)}, OriginNone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, Choose(c.evidence)) })
	}
}

func TestDue(t *testing.T) {
	p := NewPolicy(WithMaxRecords(100), WithInterval(time.Minute))
	cases := map[string]struct {
		situation Situation
		want      Reason
	}{
		"empty stream":            {Situation{}, ReasonNone},
		"no snapshot yet":         {Situation{Next: 1}, ReasonFirst},
		"fresh":                   {Situation{Written: true, Offset: 50, Next: 149}, ReasonNone},
		"many records":            {Situation{Written: true, Offset: 50, Next: 150}, ReasonRecords},
		"old":                     {Situation{Written: true, Offset: 50, Next: 50, Age: time.Minute}, ReasonInterval},
		"in the newer half":       {Situation{Written: true, Oldest: 100, Offset: 150, Next: 200}, ReasonNone},
		"in the older half":       {Situation{Written: true, Oldest: 102, Offset: 150, Next: 200}, ReasonRetention},
		"expired":                 {Situation{Written: true, Oldest: 160, Offset: 150, Next: 200}, ReasonRetention},
		"all expired, all in it":  {Situation{Written: true, Oldest: 200, Offset: 200, Next: 200}, ReasonNone},
		"all expired, one behind": {Situation{Written: true, Oldest: 200, Offset: 199, Next: 200}, ReasonRetention},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, p.Due(c.situation)) })
	}
}

// peer is a source that answers after a number of failures.
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

func TestStartFollowsTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := cranstandin.NewLog()
		defer func() { require.NoError(t, log.Close()) }()
		start := func(want Origin, offset uint64, peers PeerSource) {
			t.Helper()
			s, origin, err := Start(ctx, log, streams, peers, fast)
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
		require.NoError(t, Write(ctx, log, stream, New(2, stateOf(5)), fast))
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

func TestAwaitOutlastsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := cranstandin.NewLog()
		defer func() { require.NoError(t, log.Close()) }()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		require.NoError(t, log.SetFaults(cranstandin.Faults{LogOutage: true}))
		_, origin, err := Await(ctx, log, streams, &peer{snapshot: New(7, nil), failures: 5}, fast)
		require.NoError(t, err)
		require.Equal(t, OriginPeer, origin)
		time.AfterFunc(10*time.Second, func() { _ = log.SetFaults(cranstandin.Faults{}) })
		_, origin, err = Await(ctx, log, streams, nil, fast)
		require.NoError(t, err)
		require.Equal(t, OriginZero, origin)
		require.NoError(t, log.SetFaults(cranstandin.Faults{LogOutage: true}))
		_, _, err = Await(ctx, log, streams, nil, fast)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.NotReady))
	})
}
