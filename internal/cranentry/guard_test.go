package cranentry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranseed"
)

// TestMain fixes the seed of the stateful tests.
func TestMain(m *testing.M) { cranseed.Run(m) }

func TestGuardEndsWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard()
		require.ErrorIs(t, g.mayServe(), cranfault.MatchKind(cranfault.NotReady))
		g.ready.Store(true)
		require.ErrorIs(t, g.mayServe(), cranfault.MatchKind(cranfault.Isolated))
		g.extend(localLeaseEnd(time.Now(), 4*time.Second))
		require.NoError(t, g.mayServe())
		g.extend(time.Now())
		require.NoError(t, g.mayServe(), "an earlier end does not shorten the right to serve")
		time.Sleep(4 * time.Second)
		require.ErrorIs(t, g.mayServe(), cranfault.MatchKind(cranfault.Isolated))
		g.extend(localLeaseEnd(time.Now(), 4*time.Second))
		g.stopping.Store(true)
		require.ErrorIs(t, g.mayServe(), cranfault.MatchKind(cranfault.NotReady))
	})
}

// TestOutageLeaseEndNeedsMajority generates reports of peers and checks the
// result against a direct statement of the rule: a majority has answered lately,
// and no peer has had lasting contact with the log.
func TestOutageLeaseEndNeedsMajority(t *testing.T) {
	const lease = 4 * time.Second
	now := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 9).Draw(t, "members")
		draw := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 8000).Draw(t, name)) * time.Millisecond
		}
		var reports []peerReport
		fresh, logIsUp := 0, false
		for range rapid.IntRange(0, members-1).Draw(t, "reports") {
			age := draw("reportAge")
			r := peerReport{askedAt: now.Add(-age), contactFor: draw("contactFor"), contactAge: draw("contactAge")}
			reports = append(reports, r)
			if age <= lease/2 {
				fresh++
				logIsUp = logIsUp || (r.contactAge < lease/4 && r.contactFor > lease/2)
			}
		}
		end := outageLeaseEnd(now, lease, members, reports)
		majority := 2*(fresh+1) > members
		require.Equal(t, majority && !logIsUp, !end.IsZero())
		if !end.IsZero() {
			require.True(t, end.Before(now.Add(lease)), "the right to serve lasts less than a lease from now")
			require.True(t, end.After(now), "the right to serve has not ended already")
		}
	})
}
