package cranclaim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

func TestClaim(t *testing.T) {
	virtual("the first claim wins, also against itself", t, func(t *testing.T) {
		b := newBench(t, 2)
		b.granted(b.keepers[0], "k")
		h := b.holder(b.keepers[1], "k")
		require.Equal(t, "entry1", h.Claimer())
		require.Equal(t, OutcomeUnknown, h.Outcome())
		b.refused(b.keepers[0], "k", cranfault.AlreadyClaimed)
		require.Equal(t, 2, b.counts.of(ReasonClaimed))
	})
	virtual("of claims made at once one wins", t, func(t *testing.T) {
		b := newBench(t, 5)
		var wg sync.WaitGroup
		granted := make(chan *Grant, 20)
		for i := range 20 {
			wg.Go(func() {
				g, err := b.claim(b.keepers[i%5], "k")
				if err == nil {
					granted <- g
				}
			})
		}
		wg.Wait()
		require.Len(t, granted, 1)
		require.Equal(t, 19, b.counts.of(ReasonClaimed))
	})
	virtual("done tells those who ask later", t, func(t *testing.T) {
		b := newBench(t, 2)
		g := b.granted(b.keepers[0], "k")
		b.keepers[0].ReportRan(g)
		require.False(t, g.Usable(time.Now()))
		time.Sleep(time.Second)
		require.Equal(t, OutcomeRan, b.holder(b.keepers[1], "k").Outcome())
		b.keepers[0].Release(g)
		time.Sleep(time.Second)
		b.refused(b.keepers[1], "k", cranfault.AlreadyClaimed)
	})
	virtual("a released key is claimed anew, once", t, func(t *testing.T) {
		b := newBench(t, 2)
		g := b.granted(b.keepers[0], "k")
		b.keepers[0].Release(g)
		require.False(t, g.Usable(time.Now()))
		time.Sleep(time.Second)
		b.granted(b.keepers[1], "k")
		b.refused(b.keepers[0], "k", cranfault.AlreadyClaimed)
	})
	virtual("another request under the key is a conflict", t, func(t *testing.T) {
		b := newBench(t, 1)
		b.granted(b.keepers[0], "k")
		_, err := b.keepers[0].Claim(context.Background(), HashKey("k"), 2)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Conflict))
		require.Equal(t, 1, b.counts.of(ReasonConflict))
	})
	virtual("a key is free again after the window", t, func(t *testing.T) {
		b := newBench(t, 2)
		b.granted(b.keepers[0], "k")
		time.Sleep(time.Hour - 5*time.Second)
		b.refused(b.keepers[1], "k", cranfault.AlreadyClaimed)
		time.Sleep(10 * time.Second)
		b.granted(b.keepers[1], "k")
	})
	virtual("a full index refuses", t, func(t *testing.T) {
		b := newBench(t, 1, WithMaxKeys(1))
		b.granted(b.keepers[0], "k")
		b.refused(b.keepers[0], "other", cranfault.QueueFull)
		require.Equal(t, 1, b.counts.of(ReasonIndexFull))
	})
}

func TestGrantEndsWithItsTime(t *testing.T) {
	start := time.Now()
	g := newGrant(Key{1}, 1, 0, start, time.Second)
	require.True(t, g.Usable(start.Add(time.Second-1)))
	require.False(t, g.Usable(start.Add(time.Second)))
	require.Equal(t, start.Add(time.Second), g.Deadline())
	// The wall clock alone went on, as while a machine is suspended.
	g.startWall = start.Round(0).Add(-time.Minute)
	require.False(t, g.Usable(start))
	// The wall clock was set back.
	g.startWall = start.Round(0).Add(time.Minute)
	require.True(t, g.Usable(start))
	require.False(t, g.Usable(start.Add(time.Second)))
}

func TestClaimInAnOutage(t *testing.T) {
	virtual("refused late at first, then at once, and free afterwards", t, func(t *testing.T) {
		b := newBench(t, 2)
		b.faults(cranstandin.Faults{LogOutage: true})
		start := time.Now()
		b.refused(b.keepers[0], "k", cranfault.LogUnavailable)
		require.Equal(t, 5*time.Second, time.Since(start))
		require.Equal(t, 1, b.counts.of(ReasonTooLate))
		start = time.Now()
		b.refused(b.keepers[0], "other", cranfault.LogUnavailable)
		require.Zero(t, time.Since(start))
		require.Equal(t, 1, b.counts.of(ReasonLogDown))
		require.ErrorIs(t, b.keepers[0].Ready(), cranfault.MatchKind(cranfault.LogUnavailable))
		b.faults(cranstandin.Faults{})
		time.Sleep(10 * time.Second)
		require.NoError(t, b.keepers[0].Ready())
		b.granted(b.keepers[1], "k")
	})
	virtual("a claim that lands long after its caller left is void", t, func(t *testing.T) {
		b := newBench(t, 2)
		b.faults(cranstandin.Faults{LogOutage: true})
		b.refused(b.keepers[0], "k", cranfault.LogUnavailable)
		time.Sleep(time.Hour)
		b.faults(cranstandin.Faults{})
		time.Sleep(10 * time.Second)
		_, held := b.keepers[1].Lookup(HashKey("k"))
		require.False(t, held)
		b.granted(b.keepers[1], "k")
	})
	virtual("a lost answer is no outage", t, func(t *testing.T) {
		b := newBench(t, 2)
		b.faults(cranstandin.Faults{LoseAppendAnswers: 1, DuplicateAppends: 1})
		b.granted(b.keepers[0], "k")
		b.refused(b.keepers[1], "k", cranfault.AlreadyClaimed)
	})
	virtual("an entry that is cut off alone refuses, the others go on", t, func(t *testing.T) {
		b := newBench(t, 2)
		b.faults(cranstandin.Faults{CutFromLog: []string{"entry1"}})
		time.Sleep(5 * time.Second)
		b.refused(b.keepers[0], "k", cranfault.LogUnavailable)
		b.granted(b.keepers[1], "k")
	})
	virtual("a slow log that takes the claim after its bound", t, func(t *testing.T) {
		slow := WithLogOptions(cranlog.WithAttemptTimeout(time.Minute), cranlog.WithPoll(time.Millisecond, 10))
		b := newBench(t, 2, slow, WithMaxLogSilence(time.Minute))
		b.faults(cranstandin.Faults{LogDelayMs: 6000})
		b.refused(b.keepers[0], "k", cranfault.LogUnavailable)
		b.faults(cranstandin.Faults{})
		time.Sleep(10 * time.Second)
		_, held := b.keepers[1].Lookup(HashKey("k"))
		require.False(t, held, "the late grant was released")
		b.granted(b.keepers[1], "k")
	})
}

// readOnlyLog answers reads alone.
type readOnlyLog struct{ cranplatform.Log }

func (readOnlyLog) Append(context.Context, string, [][]byte) (uint64, error) {
	return 0, cranfault.New(cranfault.LogUnavailable, "wait", "appends fail")
}

func TestClaimRefusedWhileAppendsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 0)
		k := NewClaimer(readOnlyLog{b.log}, StreamName(0), "entry1", WithRefusalCounter(b.counts.add))
		b.keepers = append(b.keepers, k)
		time.Sleep(time.Second)
		b.refused(k, "k", cranfault.LogUnavailable)
		time.Sleep(time.Second)
		b.refused(k, "k", cranfault.LogUnavailable)
		require.Equal(t, 1, b.counts.of(ReasonTooLate))
		require.Equal(t, 1, b.counts.of(ReasonLogDown))
	})
}

func TestClaimCancelled(t *testing.T) {
	virtual("by its caller", t, func(t *testing.T) {
		b := newBench(t, 2)
		b.faults(cranstandin.Faults{LogDelayMs: 500})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := b.keepers[0].Claim(ctx, HashKey("k"), 1)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Cancelled))
		b.faults(cranstandin.Faults{})
		time.Sleep(5 * time.Second)
		b.granted(b.keepers[1], "k")
	})
	virtual("by the keeper's close", t, func(t *testing.T) {
		b := newBench(t, 1)
		b.faults(cranstandin.Faults{LogOutage: true})
		time.AfterFunc(time.Second, func() { _ = b.keepers[0].Close() })
		b.refused(b.keepers[0], "k", cranfault.Cancelled)
		b.refused(b.keepers[0], "k", cranfault.Cancelled)
	})
}

// TestClaimThatExpiresUnread has a claim expire before its claimer could read
// it back, while another entry has seen it granted.
func TestClaimThatExpiresUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, WithLogOptions(cranlog.WithAttemptTimeout(time.Minute)))
		patient := b.start(WithMaxLogSilence(time.Minute), WithLogOptions(cranlog.WithPoll(30*time.Second, 10)))
		time.Sleep(300 * time.Millisecond)
		b.faults(cranstandin.Faults{LogDelayMs: 3000})
		time.AfterFunc(3100*time.Millisecond, func() {
			h, held := patient.Lookup(HashKey("k"))
			require.True(t, held)
			require.Equal(t, "entry1", h.Claimer())
			b.log.Expire(StreamName(0), 1)
			b.faults(cranstandin.Faults{})
		})
		b.refused(b.keepers[0], "k", cranfault.LogUnavailable)
		require.Equal(t, 1, b.counts.of(ReasonVoid))
		time.Sleep(5 * time.Second)
		b.granted(patient, "k")
	})
}

func TestReleasesSurviveAFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2, WithLogOptions(cranlog.WithMaxPending(2)))
		first, second := b.granted(b.keepers[0], "1"), b.granted(b.keepers[0], "2")
		third := b.granted(b.keepers[0], "3")
		b.faults(cranstandin.Faults{LogOutage: true})
		for _, g := range []*Grant{first, second, third} {
			b.keepers[0].Release(g)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.ErrorIs(t, b.keepers[0].Flush(ctx), cranfault.MatchKind(cranfault.Timeout))
		b.refused(b.keepers[0], "4", cranfault.QueueFull)
		b.faults(cranstandin.Faults{})
		require.NoError(t, b.keepers[0].Flush(context.Background()))
		for _, key := range []string{"1", "2", "3"} {
			b.granted(b.keepers[1], key)
		}
	})
}

func TestNewcomer(t *testing.T) {
	virtual("reads the stream first", t, func(t *testing.T) {
		b := newBench(t, 1)
		b.granted(b.keepers[0], "k")
		b.faults(cranstandin.Faults{LogOutage: true})
		k := b.start()
		b.refused(k, "k", cranfault.NotReady)
		b.faults(cranstandin.Faults{})
		time.Sleep(5 * time.Second)
		b.refused(k, "k", cranfault.AlreadyClaimed)
	})
	virtual("claims nothing before it has read the stream to its end", t, func(t *testing.T) {
		b := newBench(t, 1)
		for i := range 50 {
			b.granted(b.keepers[0], fmt.Sprint(i))
		}
		b.faults(cranstandin.Faults{LogDelayMs: 100})
		k := b.start(WithLogOptions(cranlog.WithPoll(time.Second, 1)))
		b.refused(k, "k", cranfault.NotReady)
		time.Sleep(6 * time.Second)
		b.granted(k, "k")
	})
	virtual("is as good as any where the log keeps twice the window", t, func(t *testing.T) {
		b := newBench(t, 1)
		b.granted(b.keepers[0], "1")
		b.granted(b.keepers[0], "2")
		time.Sleep(3 * time.Hour)
		b.granted(b.keepers[0], "3")
		b.log.Expire(StreamName(0), 1)
		k := b.start()
		b.refused(k, "3", cranfault.AlreadyClaimed)
		b.granted(k, "1")
		b.granted(k, "k")
	})
	virtual("grants nothing until it has read a whole window", t, func(t *testing.T) {
		b := newBench(t, 1)
		b.granted(b.keepers[0], "k")
		time.Sleep(time.Second)
		b.granted(b.keepers[0], "j")
		b.log.Expire(StreamName(0), 1)
		k := b.start()
		b.refused(k, "k", cranfault.NotReady)
		time.Sleep(time.Hour + time.Minute + 5*time.Second)
		b.granted(k, "k")
	})
	virtual("takes expired records for a window of their own", t, func(t *testing.T) {
		b := newBench(t, 1)
		b.granted(b.keepers[0], "k")
		time.Sleep(30 * time.Minute)
		b.log.ExpireAll()
		k := b.start()
		time.Sleep(time.Hour)
		b.refused(k, "k", cranfault.NotReady)
		time.Sleep(time.Minute + 5*time.Second)
		b.granted(k, "k")
	})
	virtual("a reader that records expired under starts again", t, func(t *testing.T) {
		b := newBench(t, 2)
		b.faults(cranstandin.Faults{CutFromLog: []string{"entry2"}})
		time.Sleep(time.Minute)
		b.granted(b.keepers[0], "k")
		b.granted(b.keepers[0], "j")
		b.log.Expire(StreamName(0), 2)
		b.faults(cranstandin.Faults{})
		time.Sleep(5 * time.Second)
		b.refused(b.keepers[1], "k", cranfault.NotReady)
		time.Sleep(time.Hour + time.Minute + 5*time.Second)
		b.granted(b.keepers[1], "k")
	})
}

func TestShardsRouteByKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := cranstandin.NewLog()
		_, err := NewShardedClaimer(log, 0, "entry1")
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Invalid))
		s, err := NewShardedClaimer(log, 4, "entry1")
		require.NoError(t, err)
		time.Sleep(time.Second)
		require.NoError(t, s.Ready())
		for i := range 64 {
			g, err := s.Claim(context.Background(), HashKey(fmt.Sprint(i)), 1)
			require.NoError(t, err)
			if i%2 == 0 {
				s.Release(g)
			} else {
				s.ReportRan(g)
			}
		}
		require.NoError(t, s.Flush(context.Background()))
		for _, k := range s.keepers {
			require.Positive(t, k.Len())
		}
		_, held := s.Lookup(HashKey("0"))
		require.False(t, held)
		h, held := s.Lookup(HashKey("1"))
		require.True(t, held)
		require.Equal(t, OutcomeRan, h.Outcome())
		require.NoError(t, s.Close())
		require.NoError(t, log.Close())
	})
}
