package crantraffic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRetryBudgetProperty compares retry budgets of random policies with plain
// counts.
func TestRetryBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := retryPolicy{
			share: float64(rapid.IntRange(0, 100).Draw(t, "percent")) / 100,
			burst: rapid.IntRange(0, 2*maxRetryTokens).Draw(t, "burst"),
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
				const tolerance = 1e-6
				require.LessOrEqual(t, float64(retries), min(initialRetryTokens, float64(p.burst))+p.share*float64(requests)+tolerance)
				require.LessOrEqual(t, b.tokens, float64(p.burst))
				require.GreaterOrEqual(t, b.tokens, 0.0)
			},
		})
	})
}

// ejectOracle is the reference model of the ejector. It derives what the
// ejector may decide for a member from the list of outcomes since the member
// was last reinstated.
type ejectOracle struct {
	outcomes     map[string][]health
	ejectedUntil map[string]time.Time // time of the next probe of an ejected member
	goodProbes   map[string]int
	probing      map[string]bool
}

// mayEject reports whether the outcomes justify an ejection: either enough
// consecutive failures, or enough failures among the latest outcomes for the
// weighted share to reach ejectFailureShare.
func (o *ejectOracle) mayEject(k string) bool {
	const latest, fewest = 40, 8
	list := o.outcomes[k]
	consecutive, bad := 0, 0
	for i := len(list) - 1; i >= max(0, len(list)-latest); i-- {
		if list[i] != healthBad {
			continue
		}
		bad++
		if consecutive == len(list)-1-i {
			consecutive++
		}
	}
	return consecutive >= ejectAfterFailures || len(list) >= failureShareWindow && bad >= fewest
}

// TestEjectorProperty runs an ejector on random outcomes and clock steps. It
// checks these rules:
//
//   - At most a third of the members is ejected.
//   - A member is ejected only if its outcomes justify it, and always after
//     enough consecutive failures while the limit allows it.
//   - An ejected member gets no request before its ejection time is over, and
//     then one probe at a time.
//   - A member is reinstated exactly after the required number of successful
//     probes.
func TestEjectorProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f", "g"}
		now := time.Unix(0, 0)
		e := newEjector[string]()
		members := names
		e.setMembers(members)
		o := &ejectOracle{
			outcomes: map[string][]health{}, ejectedUntil: map[string]time.Time{},
			goodProbes: map[string]int{}, probing: map[string]bool{},
		}
		outcome := rapid.SampledFrom([]health{healthGood, healthBad, healthBad, healthNeutral})
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				k := pick(t, members)
				h := outcome.Draw(t, "outcome")
				for range rapid.IntRange(1, 2*ejectAfterFailures).Draw(t, "n") {
					if !e.allows(k, now) {
						return
					}
					until, ejected := o.ejectedUntil[k]
					if ejected {
						require.False(t, now.Before(until), "the member got a request before its ejection time was over")
						require.False(t, o.probing[k], "the member got a second probe while one is in flight")
					}
					probe := e.beginRequest(k)
					require.Equal(t, ejected, probe)
					o.probing[k] = probe
					if probe && rapid.Bool().Draw(t, "in flight") {
						return
					}
					o.observe(t, e, k, h, probe, now)
				}
			},
			"probe ends": func(t *rapid.T) {
				k := pick(t, members)
				if o.probing[k] {
					o.observe(t, e, k, outcome.Draw(t, "outcome"), true, now)
				}
			},
			"old request ends": func(t *rapid.T) {
				k := pick(t, members)
				if _, ejected := o.ejectedUntil[k]; ejected {
					e.observe(k, outcome.Draw(t, "outcome"), false, now)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 999, 1000, 2000, 4000, 60000}).Draw(t, "ms")) * time.Millisecond)
			},
			"members": func(t *rapid.T) {
				members = names[:rapid.IntRange(1, len(names)).Draw(t, "n")]
				e.setMembers(members)
				o.forgetMembers(e, members)
			},
			"": func(t *rapid.T) {
				ejected := 0
				for _, k := range members {
					m := e.members[k]
					if m.ejected {
						ejected++
					}
					_, expected := o.ejectedUntil[k]
					require.Equal(t, expected, m.ejected, k)
				}
				require.Equal(t, ejected, e.ejected)
				require.LessOrEqual(t, ejected, len(members)/membersPerEjection)
			},
		})
	})
}

// pick draws a member. It draws the first one most often, so that this member
// gets many outcomes.
func pick(t *rapid.T, members []string) string {
	if rapid.Bool().Draw(t, "the first") {
		return members[0]
	}
	return rapid.SampledFrom(members).Draw(t, "member")
}

// observe reports an outcome to the ejector and the oracle, and checks the
// ejector's decision.
func (o *ejectOracle) observe(t *rapid.T, e *ejector[string], k string, h health, probe bool, now time.Time) {
	ejectionAllowed := len(o.ejectedUntil)+1 <= len(e.members)/membersPerEjection
	retryAt := e.observe(k, h, probe, now)
	o.probing[k] = false
	if probe {
		o.observeProbe(k, h, retryAt)
		return
	}
	if h != healthNeutral {
		o.outcomes[k] = append(o.outcomes[k], h)
	}
	n := len(o.outcomes[k])
	consecutive := n >= ejectAfterFailures
	for i := max(0, n-ejectAfterFailures); i < n; i++ {
		consecutive = consecutive && o.outcomes[k][i] == healthBad
	}
	switch {
	case e.members[k].ejected:
		require.True(t, ejectionAllowed && o.mayEject(k), "the outcomes don't justify the ejection")
		require.False(t, retryAt.Before(now.Add(minEjectionTime)))
		o.ejectedUntil[k] = retryAt
		o.goodProbes[k] = 0
	case h == healthBad && consecutive:
		require.False(t, ejectionAllowed, "not ejected after consecutive failures")
	}
}

func (o *ejectOracle) observeProbe(k string, h health, retryAt time.Time) {
	switch h {
	case healthGood:
		o.goodProbes[k]++
	case healthBad:
		o.goodProbes[k] = 0
		o.ejectedUntil[k] = retryAt
	}
	if o.goodProbes[k] == probesToReinstate {
		delete(o.ejectedUntil, k)
		o.outcomes[k] = nil
	}
}

// forgetMembers drops the state of members that were removed, or that were
// reinstated because too many members were ejected.
func (o *ejectOracle) forgetMembers(e *ejector[string], members []string) {
	removed := map[string]bool{}
	for k := range o.ejectedUntil {
		removed[k] = true
	}
	for k := range o.outcomes {
		removed[k] = true
	}
	for _, k := range members {
		_, wasEjected := o.ejectedUntil[k]
		removed[k] = wasEjected && !e.members[k].ejected
	}
	for k, isRemoved := range removed {
		if isRemoved {
			delete(o.ejectedUntil, k)
			delete(o.outcomes, k)
			delete(o.probing, k)
			delete(o.goodProbes, k)
		}
	}
}

// TestSilenceTimeoutProperty checks the bounds of the silence timeout against the
// recorded samples.
func TestSilenceTimeoutProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		l := newLatencyStats(now)
		times := rapid.SliceOfN(rapid.IntRange(1, 5_000_000), 0, 200).Draw(t, "microseconds")
		longest := time.Duration(0)
		for _, us := range times {
			d := time.Duration(us) * time.Microsecond
			longest = max(longest, d)
			l.record(d, now)
		}
		const maxDuration = 10 * time.Second
		e := l.estimate()
		timeout := e.silenceTimeout(maxDuration)
		require.Equal(t, len(times) >= minLatencySamples, e.known)
		require.LessOrEqual(t, timeout, maxDuration)
		require.GreaterOrEqual(t, timeout, minSilenceTimeout)
		if e.known {
			const precision = 1.02
			bound := max(time.Duration(silenceTimeoutFactor*precision*float64(longest)), minSilenceTimeout)
			require.LessOrEqual(t, timeout, bound)
			require.LessOrEqual(t, e.median, e.p99)
		}
	})
}

// TestLatencyDiscardsOldSamples checks that samples older than two rotations
// don't affect the estimate.
func TestLatencyDiscardsOldSamples(t *testing.T) {
	now := time.Unix(0, 0)
	l := newLatencyStats(now)
	for range 1000 {
		l.record(time.Second, now)
	}
	require.Equal(t, time.Second, l.estimate().median.Round(10*time.Millisecond))
	for range 3 {
		now = now.Add(latencyRotation)
		for range minLatencySamples + 1 {
			l.record(time.Millisecond, now)
			require.True(t, l.estimate().known)
		}
	}
	require.Less(t, l.estimate().p99, 2*time.Millisecond)
}

// TestAdmissionProperty checks the decision against its specification. A
// request is admitted unless its queue is full, or unless the work ahead,
// spread over the slots in use, leaves it less time than the median latency.
func TestAdmissionProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(label string) time.Duration {
			return time.Duration(rapid.IntRange(1, 1000).Draw(t, label)) * time.Millisecond
		}
		a := admission{
			route:    NewRoute("s", "g", time.Second, rapid.IntRange(0, 20).Draw(t, "maxQueue")),
			inUse:    rapid.IntRange(0, 20).Draw(t, "inUse"),
			estimate: latencyEstimate{known: rapid.Bool().Draw(t, "known")},
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
