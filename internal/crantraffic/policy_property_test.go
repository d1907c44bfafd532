package crantraffic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRetryBudgetProperty compares budgets of any policy with plain counts.
func TestRetryBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := retryPolicy{
			share: float64(rapid.IntRange(0, 100).Draw(t, "percent")) / 100,
			burst: rapid.IntRange(0, 2*retryMost).Draw(t, "burst"),
		}
		b := newRetryBudget(p)
		requests, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"earn": func(*rapid.T) {
				b.earn()
				requests++
			},
			"spend": func(*rapid.T) {
				if b.spend() {
					retries++
				}
			},
			"spend and refund": func(*rapid.T) {
				if b.spend() {
					b.refund()
				}
			},
			"": func(t *rapid.T) {
				const inexact = 1e-6
				require.LessOrEqual(t, float64(retries), min(retryReserve, float64(p.burst))+p.share*float64(requests)+inexact)
				require.LessOrEqual(t, b.tokens, float64(p.burst))
				require.GreaterOrEqual(t, b.tokens, 0.0)
			},
		})
	})
}

// ejectOracle knows of each member what an ejector may conclude, from the plain
// list of its outcomes since it was last let in.
type ejectOracle struct {
	in     map[string][]health
	out    map[string]time.Time // when it may be probed
	passed map[string]int
	probes map[string]bool
}

// due reports whether the outcomes justify an ejection: failures in a row, or
// enough of them among the latest for the weighted share to reach ejectRate.
func (o *ejectOracle) due(k string) bool {
	const latest, fewest = 40, 8
	list := o.in[k]
	inARow, bad := 0, 0
	for i := len(list) - 1; i >= max(0, len(list)-latest); i-- {
		if list[i] != healthBad {
			continue
		}
		bad++
		if inARow == len(list)-1-i {
			inARow++
		}
	}
	return inARow >= ejectInARow || len(list) >= rateSpan && bad >= fewest
}

// TestEjectorProperty runs an ejector on random outcomes and clock steps. It
// never has more than a third of the members out, ejects none whose outcomes
// don't justify it and each that fails often enough in a row while it may,
// sends nothing before the pause is over, probes by one request at a time, and
// lets in just after the good probes.
func TestEjectorProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f", "g"}
		now := time.Unix(0, 0)
		e := newEjector[string]()
		members := names
		e.setMembers(members)
		o := &ejectOracle{
			in: map[string][]health{}, out: map[string]time.Time{},
			passed: map[string]int{}, probes: map[string]bool{},
		}
		outcome := rapid.SampledFrom([]health{healthGood, healthBad, healthBad, healthNeutral})
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				k := pick(t, members)
				h := outcome.Draw(t, "outcome")
				for range rapid.IntRange(1, 2*ejectInARow).Draw(t, "n") {
					if !e.allows(k, now) {
						return
					}
					until, out := o.out[k]
					if out {
						require.False(t, now.Before(until), "no request before the pause is over")
						require.False(t, o.probes[k], "one probe at a time")
					}
					probe := e.begin(k)
					require.Equal(t, out, probe)
					o.probes[k] = probe
					if probe && rapid.Bool().Draw(t, "in flight") {
						return
					}
					o.end(t, e, k, h, probe, now)
				}
			},
			"probe ends": func(t *rapid.T) {
				k := pick(t, members)
				if o.probes[k] {
					o.end(t, e, k, outcome.Draw(t, "outcome"), true, now)
				}
			},
			"old request ends": func(t *rapid.T) {
				k := pick(t, members)
				if _, out := o.out[k]; out {
					e.observe(k, outcome.Draw(t, "outcome"), false, now)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 999, 1000, 2000, 4000, 60000}).Draw(t, "ms")) * time.Millisecond)
			},
			"members": func(t *rapid.T) {
				members = names[:rapid.IntRange(1, len(names)).Draw(t, "n")]
				e.setMembers(members)
				o.follow(e, members)
			},
			"": func(t *rapid.T) {
				out := 0
				for _, k := range members {
					m := e.members[k]
					if m.out {
						out++
					}
					_, expected := o.out[k]
					require.Equal(t, expected, m.out, k)
				}
				require.Equal(t, out, e.out)
				require.LessOrEqual(t, out, len(members)/ejectFraction)
			},
		})
	})
}

// pick draws a member, the first most often, so that one meets much.
func pick(t *rapid.T, members []string) string {
	if rapid.Bool().Draw(t, "the first") {
		return members[0]
	}
	return rapid.SampledFrom(members).Draw(t, "member")
}

// end tells ejector and oracle an outcome and checks what the ejector made of
// it.
func (o *ejectOracle) end(t *rapid.T, e *ejector[string], k string, h health, probe bool, now time.Time) {
	room := len(o.out)+1 <= len(e.members)/ejectFraction
	again := e.observe(k, h, probe, now)
	o.probes[k] = false
	if probe {
		o.endProbe(k, h, again)
		return
	}
	if h != healthNeutral {
		o.in[k] = append(o.in[k], h)
	}
	n := len(o.in[k])
	inARow := n >= ejectInARow
	for i := max(0, n-ejectInARow); i < n; i++ {
		inARow = inARow && o.in[k][i] == healthBad
	}
	switch {
	case e.members[k].out:
		require.True(t, room && o.due(k), "ejected without cause")
		require.False(t, again.Before(now.Add(firstPause)))
		o.out[k] = again
		o.passed[k] = 0
	case h == healthBad && inARow:
		require.False(t, room, "not ejected after failures in a row")
	}
}

func (o *ejectOracle) endProbe(k string, h health, again time.Time) {
	switch h {
	case healthGood:
		o.passed[k]++
	case healthBad:
		o.passed[k] = 0
		o.out[k] = again
	}
	if o.passed[k] == probesToReturn {
		delete(o.out, k)
		o.in[k] = nil
	}
}

// follow drops what the oracle knows of members that have left, or that were
// let in as too many were out.
func (o *ejectOracle) follow(e *ejector[string], members []string) {
	left := map[string]bool{}
	for k := range o.out {
		left[k] = true
	}
	for k := range o.in {
		left[k] = true
	}
	for _, k := range members {
		_, wasOut := o.out[k]
		left[k] = wasOut && !e.members[k].out
	}
	for k, gone := range left {
		if gone {
			delete(o.out, k)
			delete(o.in, k)
			delete(o.probes, k)
			delete(o.passed, k)
		}
	}
}

// TestSilentTimeProperty bounds the header timeout by what was learned.
func TestSilentTimeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		l := newLatency(now)
		times := rapid.SliceOfN(rapid.IntRange(1, 5_000_000), 0, 200).Draw(t, "microseconds")
		longest := time.Duration(0)
		for _, us := range times {
			d := time.Duration(us) * time.Microsecond
			longest = max(longest, d)
			l.record(d, now)
		}
		const maxDuration = 10 * time.Second
		e := l.estimate()
		silent := e.silentAfter(maxDuration)
		require.Equal(t, len(times) >= latencySamples, e.known)
		require.LessOrEqual(t, silent, maxDuration)
		require.GreaterOrEqual(t, silent, minSilentTime)
		if e.known {
			const precision = 1.02
			bound := max(time.Duration(silentFactor*precision*float64(longest)), minSilentTime)
			require.LessOrEqual(t, silent, bound)
			require.LessOrEqual(t, e.median, e.high)
		}
	})
}

// TestLatencyForgets checks that times older than two turns say nothing.
func TestLatencyForgets(t *testing.T) {
	now := time.Unix(0, 0)
	l := newLatency(now)
	for range 1000 {
		l.record(time.Second, now)
	}
	require.Equal(t, time.Second, l.estimate().median.Round(10*time.Millisecond))
	for range 3 {
		now = now.Add(latencyTurn)
		for range latencySamples + 1 {
			l.record(time.Millisecond, now)
			require.True(t, l.estimate().known)
		}
	}
	require.Less(t, l.estimate().high, 2*time.Millisecond)
}

// TestAdmissionProperty checks the decision against its meaning: a request is
// let in unless its queue is full or the work ahead, spread over the slots in
// use, leaves it less than the median time.
func TestAdmissionProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(label string) time.Duration {
			return time.Duration(rapid.IntRange(1, 1000).Draw(t, label)) * time.Millisecond
		}
		a := admission{
			route:    NewRoute("s", "g", time.Second, rapid.IntRange(0, 20).Draw(t, "maxQueue")),
			inUse:    rapid.IntRange(0, 20).Draw(t, "inUse"),
			estimate: estimate{known: rapid.Bool().Draw(t, "known")},
		}
		if a.estimate.known {
			a.estimate.mean, a.estimate.median = ms("mean"), ms("median")
		}
		ahead := rapid.IntRange(0, 40).Draw(t, "ahead")
		own := rapid.IntRange(0, ahead).Draw(t, "own")
		work := float64(ahead+1) * float64(a.estimate.mean)
		need := work/float64(max(a.inUse, 1)) + float64(a.estimate.median)
		a.left = time.Duration(need * rapid.Float64Range(0.9, 1.1).Draw(t, "left"))
		f := a.check(own, ahead)
		if own >= a.route.maxQueue {
			require.NotNil(t, f)
			return
		}
		if !a.estimate.known || a.inUse == 0 {
			require.Equal(t, a.estimate.median > a.left, f != nil)
			return
		}
		late := need > float64(a.left)+1
		early := need < float64(a.left)-1
		require.False(t, late && f == nil || early && f != nil)
	})
}
