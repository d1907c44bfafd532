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
	runVirtual("the first claim is granted and all later ones are refused", t, func(t *testing.T) {
		h := newHarness(t, 2)
		h.granted(h.claimers[0], "k")
		holder := h.holder(h.claimers[1], "k")
		require.Equal(t, "entry1", holder.Claimer())
		require.Equal(t, OutcomeUnknown, holder.Outcome())
		h.refused(h.claimers[0], "k", cranfault.AlreadyClaimed)
		require.Equal(t, 2, h.counts.count(ReasonClaimed))
	})
	runVirtual("one of several concurrent claims is granted", t, func(t *testing.T) {
		h := newHarness(t, 5)
		var wg sync.WaitGroup
		granted := make(chan *Grant, 20)
		for i := range 20 {
			wg.Go(func() {
				g, err := h.claim(h.claimers[i%5], "k")
				if err == nil {
					granted <- g
				}
			})
		}
		wg.Wait()
		require.Len(t, granted, 1)
		require.Equal(t, 19, h.counts.count(ReasonClaimed))
	})
	runVirtual("a reported run is the outcome of later claims", t, func(t *testing.T) {
		h := newHarness(t, 2)
		g := h.granted(h.claimers[0], "k")
		h.claimers[0].ReportRan(g)
		require.False(t, g.Usable(time.Now()))
		time.Sleep(time.Second)
		require.Equal(t, OutcomeRan, h.holder(h.claimers[1], "k").Outcome())
		h.claimers[0].Release(g)
		time.Sleep(time.Second)
		h.refused(h.claimers[1], "k", cranfault.AlreadyClaimed)
	})
	runVirtual("a released key can be claimed once more", t, func(t *testing.T) {
		h := newHarness(t, 2)
		g := h.granted(h.claimers[0], "k")
		h.claimers[0].Release(g)
		require.False(t, g.Usable(time.Now()))
		time.Sleep(time.Second)
		h.granted(h.claimers[1], "k")
		h.refused(h.claimers[0], "k", cranfault.AlreadyClaimed)
	})
	runVirtual("a different request with the same key is a conflict", t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.granted(h.claimers[0], "k")
		_, err := h.claimers[0].Claim(context.Background(), HashKey("k"), 2)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Conflict))
		require.Equal(t, 1, h.counts.count(ReasonConflict))
	})
	runVirtual("a key can be claimed again after the window", t, func(t *testing.T) {
		h := newHarness(t, 2)
		h.granted(h.claimers[0], "k")
		time.Sleep(time.Hour - 5*time.Second)
		h.refused(h.claimers[1], "k", cranfault.AlreadyClaimed)
		time.Sleep(10 * time.Second)
		h.granted(h.claimers[1], "k")
	})
	runVirtual("a claim is refused while the index is full", t, func(t *testing.T) {
		h := newHarness(t, 1, WithMaxKeys(1))
		h.granted(h.claimers[0], "k")
		h.refused(h.claimers[0], "other", cranfault.QueueFull)
		require.Equal(t, 1, h.counts.count(ReasonIndexFull))
	})
}

func TestGrantExpires(t *testing.T) {
	start := time.Now()
	g := newGrant(Key{1}, 1, 0, start, time.Second)
	require.True(t, g.Usable(start.Add(time.Second-1)))
	require.False(t, g.Usable(start.Add(time.Second)))
	require.Equal(t, start.Add(time.Second), g.Deadline())
	// Only the wall clock advanced, as on a suspended machine.
	g.startWall = start.Round(0).Add(-time.Minute)
	require.False(t, g.Usable(start))
	// The wall clock was set back.
	g.startWall = start.Round(0).Add(time.Minute)
	require.True(t, g.Usable(start))
	require.False(t, g.Usable(start.Add(time.Second)))
}

func TestClaimDuringLogFaults(t *testing.T) {
	runVirtual("claims time out, are then refused at once, and succeed later", t, func(t *testing.T) {
		h := newHarness(t, 2)
		h.faults(cranstandin.Faults{LogOutage: true})
		start := time.Now()
		h.refused(h.claimers[0], "k", cranfault.LogUnavailable)
		require.Equal(t, 5*time.Second, time.Since(start))
		require.Equal(t, 1, h.counts.count(ReasonTooLate))
		start = time.Now()
		h.refused(h.claimers[0], "other", cranfault.LogUnavailable)
		require.Zero(t, time.Since(start))
		require.Equal(t, 1, h.counts.count(ReasonLogDown))
		require.ErrorIs(t, h.claimers[0].Ready(), cranfault.MatchKind(cranfault.LogUnavailable))
		h.faults(cranstandin.Faults{})
		time.Sleep(10 * time.Second)
		require.NoError(t, h.claimers[0].Ready())
		h.granted(h.claimers[1], "k")
	})
	runVirtual("a claim appended long after its caller gave up is void", t, func(t *testing.T) {
		h := newHarness(t, 2)
		h.faults(cranstandin.Faults{LogOutage: true})
		h.refused(h.claimers[0], "k", cranfault.LogUnavailable)
		time.Sleep(time.Hour)
		h.faults(cranstandin.Faults{})
		time.Sleep(10 * time.Second)
		_, held := h.claimers[1].Lookup(HashKey("k"))
		require.False(t, held)
		h.granted(h.claimers[1], "k")
	})
	runVirtual("a claim succeeds although an append answer is lost", t, func(t *testing.T) {
		h := newHarness(t, 2)
		h.faults(cranstandin.Faults{LoseAppendAnswers: 1, DuplicateAppends: 1})
		h.granted(h.claimers[0], "k")
		h.refused(h.claimers[1], "k", cranfault.AlreadyClaimed)
	})
	runVirtual("an entry cut off from the log refuses claims", t, func(t *testing.T) {
		h := newHarness(t, 2)
		h.faults(cranstandin.Faults{CutFromLog: []string{"entry1"}})
		time.Sleep(5 * time.Second)
		h.refused(h.claimers[0], "k", cranfault.LogUnavailable)
		h.granted(h.claimers[1], "k")
	})
	runVirtual("a claim that the log accepts after its timeout is released", t, func(t *testing.T) {
		slow := WithLogOptions(cranlog.WithAttemptTimeout(time.Minute), cranlog.WithPoll(time.Millisecond, 10))
		h := newHarness(t, 2, slow, WithMaxLogSilence(time.Minute))
		h.faults(cranstandin.Faults{LogDelayMs: 6000})
		h.refused(h.claimers[0], "k", cranfault.LogUnavailable)
		h.faults(cranstandin.Faults{})
		time.Sleep(10 * time.Second)
		_, held := h.claimers[1].Lookup(HashKey("k"))
		require.False(t, held, "the late grant was not released")
		h.granted(h.claimers[1], "k")
	})
}

// readOnlyLog fails all appends and answers reads.
type readOnlyLog struct{ cranplatform.Log }

func (readOnlyLog) Append(context.Context, string, [][]byte) (uint64, error) {
	return 0, cranfault.New(cranfault.LogUnavailable, "wait", "appends fail")
}

func TestClaimRefusedWhileAppendsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 0)
		c := NewClaimer(readOnlyLog{h.log}, StreamName(0), "entry1", WithRefusalCounter(h.counts.add))
		h.claimers = append(h.claimers, c)
		time.Sleep(time.Second)
		h.refused(c, "k", cranfault.LogUnavailable)
		time.Sleep(time.Second)
		h.refused(c, "k", cranfault.LogUnavailable)
		require.Equal(t, 1, h.counts.count(ReasonTooLate))
		require.Equal(t, 1, h.counts.count(ReasonLogDown))
	})
}

func TestClaimCancelled(t *testing.T) {
	runVirtual("by its caller", t, func(t *testing.T) {
		h := newHarness(t, 2)
		h.faults(cranstandin.Faults{LogDelayMs: 500})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := h.claimers[0].Claim(ctx, HashKey("k"), 1)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Cancelled))
		h.faults(cranstandin.Faults{})
		time.Sleep(5 * time.Second)
		h.granted(h.claimers[1], "k")
	})
	runVirtual("by Close", t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.faults(cranstandin.Faults{LogOutage: true})
		time.AfterFunc(time.Second, func() { _ = h.claimers[0].Close() })
		h.refused(h.claimers[0], "k", cranfault.Cancelled)
		h.refused(h.claimers[0], "k", cranfault.Cancelled)
	})
}

// TestClaimExpiresBeforeItIsReadBack has a claim expire before its claimer
// reads it back, while another entry has read it as granted. The claimer must
// release the claim.
func TestClaimExpiresBeforeItIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1, WithLogOptions(cranlog.WithAttemptTimeout(time.Minute)))
		slowPoller := h.start(WithMaxLogSilence(time.Minute), WithLogOptions(cranlog.WithPoll(30*time.Second, 10)))
		time.Sleep(300 * time.Millisecond)
		h.faults(cranstandin.Faults{LogDelayMs: 3000})
		time.AfterFunc(3100*time.Millisecond, func() {
			holder, held := slowPoller.Lookup(HashKey("k"))
			require.True(t, held)
			require.Equal(t, "entry1", holder.Claimer())
			h.log.Expire(StreamName(0), 1)
			h.faults(cranstandin.Faults{})
		})
		h.refused(h.claimers[0], "k", cranfault.LogUnavailable)
		require.Equal(t, 1, h.counts.count(ReasonVoid))
		time.Sleep(5 * time.Second)
		h.granted(slowPoller, "k")
	})
}

func TestReleasesAreRetriedAfterAFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, WithLogOptions(cranlog.WithMaxPending(2)))
		first, second := h.granted(h.claimers[0], "1"), h.granted(h.claimers[0], "2")
		third := h.granted(h.claimers[0], "3")
		h.faults(cranstandin.Faults{LogOutage: true})
		for _, g := range []*Grant{first, second, third} {
			h.claimers[0].Release(g)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.ErrorIs(t, h.claimers[0].Flush(ctx), cranfault.MatchKind(cranfault.Timeout))
		h.refused(h.claimers[0], "4", cranfault.QueueFull)
		h.faults(cranstandin.Faults{})
		require.NoError(t, h.claimers[0].Flush(context.Background()))
		for _, key := range []string{"1", "2", "3"} {
			h.granted(h.claimers[1], key)
		}
	})
}

func TestNewClaimerReadsTheStream(t *testing.T) {
	runVirtual("claims are refused until the log can be read", t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.granted(h.claimers[0], "k")
		h.faults(cranstandin.Faults{LogOutage: true})
		c := h.start()
		h.refused(c, "k", cranfault.NotReady)
		h.faults(cranstandin.Faults{})
		time.Sleep(5 * time.Second)
		h.refused(c, "k", cranfault.AlreadyClaimed)
	})
	runVirtual("claims are refused until the stream is read to its end", t, func(t *testing.T) {
		h := newHarness(t, 1)
		for i := range 50 {
			h.granted(h.claimers[0], fmt.Sprint(i))
		}
		h.faults(cranstandin.Faults{LogDelayMs: 100})
		c := h.start(WithLogOptions(cranlog.WithPoll(time.Second, 1)))
		h.refused(c, "k", cranfault.NotReady)
		time.Sleep(6 * time.Second)
		h.granted(c, "k")
	})
	runVirtual("claims succeed if the log keeps twice the window", t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.granted(h.claimers[0], "1")
		h.granted(h.claimers[0], "2")
		time.Sleep(3 * time.Hour)
		h.granted(h.claimers[0], "3")
		h.log.Expire(StreamName(0), 1)
		c := h.start()
		h.refused(c, "3", cranfault.AlreadyClaimed)
		h.granted(c, "1")
		h.granted(c, "k")
	})
	runVirtual("claims are refused until the records read cover a whole window", t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.granted(h.claimers[0], "k")
		time.Sleep(time.Second)
		h.granted(h.claimers[0], "j")
		h.log.Expire(StreamName(0), 1)
		c := h.start()
		h.refused(c, "k", cranfault.NotReady)
		time.Sleep(time.Hour + time.Minute + 5*time.Second)
		h.granted(c, "k")
	})
	runVirtual("a window is awaited if all records expired", t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.granted(h.claimers[0], "k")
		time.Sleep(30 * time.Minute)
		h.log.ExpireAll()
		c := h.start()
		time.Sleep(time.Hour)
		h.refused(c, "k", cranfault.NotReady)
		time.Sleep(time.Minute + 5*time.Second)
		h.granted(c, "k")
	})
	runVirtual("records that expire unread restart the reading", t, func(t *testing.T) {
		h := newHarness(t, 2)
		h.faults(cranstandin.Faults{CutFromLog: []string{"entry2"}})
		time.Sleep(time.Minute)
		h.granted(h.claimers[0], "k")
		h.granted(h.claimers[0], "j")
		h.log.Expire(StreamName(0), 2)
		h.faults(cranstandin.Faults{})
		time.Sleep(5 * time.Second)
		h.refused(h.claimers[1], "k", cranfault.NotReady)
		time.Sleep(time.Hour + time.Minute + 5*time.Second)
		h.granted(h.claimers[1], "k")
	})
}

func TestShardedClaimerRoutesByKey(t *testing.T) {
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
		for _, c := range s.claimers {
			require.Positive(t, c.Len())
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
