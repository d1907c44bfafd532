package cranpool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// addTurns adds arrivals in which each pool has a peak of 4 s every period, in turn, from a time on. The
// number of jobs in a slot is random.
func addTurns(c *Calendar, random *rand.Rand, pools []string, period, from, to, now time.Duration) {
	for at := from; at < to; at += calendarSlot / 2 {
		for i, pool := range pools {
			rate := 0.3
			if phase := (at - from + period - time.Duration(i)*period/time.Duration(len(pools))) % period; phase < 4*time.Second {
				rate = 30
			}
			for jobs := random.ExpFloat64() / rate; jobs < 0.125; jobs += random.ExpFloat64() / rate {
				c.Add(pool, Load{CPU: 9000, Memory: 100}, max(now, at), max(now-at, 0))
			}
		}
	}
}

// TestCalendarExpectsPeaks plays two turns of four pools. The third peak of the first pool must be expected
// with its time and height, also by a successor that reads the jobs afterwards in another order.
func TestCalendarExpectsPeaks(t *testing.T) {
	pools := []string{"a", "b", "c", "d"}
	const start, period = time.Hour, 20 * time.Second
	for seed := range uint64(20) {
		now := start + 2*period - time.Second
		c := NewCalendar(start - 3*time.Second)
		addTurns(c, rand.New(rand.NewPCG(seed, 1)), pools, period, start, now, 0)
		successor := NewCalendar(now)
		addTurns(successor, rand.New(rand.NewPCG(seed, 1)), pools, period, start, now, now)
		for _, calendar := range []*Calendar{c, successor} {
			for pool, next := range map[string]float64{"a": 1, "b": 6} {
				o, regular := calendar.Outlook(pool, now)
				require.True(t, regular, "seed %d", seed)
				require.InDelta(t, next, o.NextPeak.Seconds(), 1, "seed %d", seed)
				require.InDelta(t, 270_000, o.Height.CPU, 60_000, "seed %d", seed)
				require.False(t, o.InPeak)
				require.Equal(t, pool == "a", o.NextPeak < prepareAhead)
			}
			_, regular := calendar.Outlook("a", now+4*time.Second)
			require.False(t, regular, "a peak that has not come must not be expected any longer")
		}
	}
}

// TestCalendarKnowsNoPeriod guards against instances that are moved for peaks that never come: steady
// arrivals, and surges that come at random.
func TestCalendarKnowsNoPeriod(t *testing.T) {
	expected, total := 0, 0
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 2))
		c := NewCalendar(time.Hour)
		surgeEnds := map[string]time.Duration{}
		for at := time.Hour; at < time.Hour+90*time.Second; at += calendarSlot {
			for _, pool := range []string{"steady", "a", "b", "c"} {
				jobs := random.IntN(3)
				if pool != "steady" && random.IntN(60) == 0 {
					surgeEnds[pool] = at + 4*time.Second
				}
				if at < surgeEnds[pool] {
					jobs += 10
				}
				c.Add(pool, Load{CPU: 1000 * float64(jobs)}, at, 0)
			}
			_, regular := c.Outlook("steady", at)
			require.False(t, regular)
			o, regular := c.Outlook("a", at)
			total++
			if regular && o.NextPeak < prepareAhead {
				expected++
			}
		}
	}
	require.Less(t, expected, total/50)
}
