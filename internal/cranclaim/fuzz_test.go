package cranclaim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

// Settings of the claimers under test.
const (
	fuzzWindow         = 2 * time.Minute
	fuzzMaxAppendDelay = 20 * time.Second
	fuzzGrantTimeout   = 4 * time.Second
)

// heldGrant is a grant that a process has not used or released yet.
type heldGrant struct {
	owner *Claimer
	grant *Grant
	key   string
}

// fleet is a set of claimers on one stream, with a record of the requests run.
type fleet struct {
	log      *cranstandin.Log
	claimers []*Claimer
	started  int
	callers  sync.WaitGroup
	// restarts is set if claimers are restarted in this run. Without
	// restarts, every key whose request did not run must become free.
	restarts bool

	mu         sync.Mutex
	heldGrants []heldGrant
	// runs is the oracle's record of when the request of each key ran.
	runs map[string][]time.Time
	// mayStayHeld holds the keys that may stay held, since their grant was lost
	// with a process or their request ran.
	mayStayHeld map[string]bool
}

func newFleet(claimers int) *fleet {
	f := &fleet{log: cranstandin.NewLog(), runs: map[string][]time.Time{}, mayStayHeld: map[string]bool{}}
	for range claimers {
		f.claimers = append(f.claimers, f.start())
	}
	return f
}

func (f *fleet) start() *Claimer {
	f.started++
	name := fmt.Sprintf("entry%d", f.started)
	return NewClaimer(f.log.ForClient(name), StreamName(0), name,
		WithWindow(fuzzWindow), WithMaxAppendDelay(fuzzMaxAppendDelay), WithGrantTimeout(fuzzGrantTimeout),
		WithRandom(fixedJitter), WithLogOptions(cranlog.WithMaxPending(8)))
}

func (f *fleet) close() {
	for _, c := range f.claimers {
		_ = c.Close()
	}
	f.callers.Wait()
	_ = f.log.Close()
}

// claim claims a key in a goroutine and stores the grant. The goroutine gives
// up after the limit.
func (f *fleet) claim(rt *rapid.T, c *Claimer, key string, limit time.Duration) {
	f.callers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		g, err := c.Claim(ctx, HashKey(key), 1)
		f.mu.Lock()
		defer f.mu.Unlock()
		switch cranfault.KindOf(err) {
		case "":
			f.heldGrants = append(f.heldGrants, heldGrant{owner: c, grant: g, key: key})
		case cranfault.AlreadyClaimed, cranfault.LogUnavailable, cranfault.NotReady, cranfault.QueueFull, cranfault.Cancelled:
		default:
			rt.Errorf("unexpected refusal: %v", err)
		}
	})
	synctest.Wait()
}

// takeGrant removes a random grant and returns it.
func (f *fleet) takeGrant(rt *rapid.T) (heldGrant, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.heldGrants) == 0 {
		return heldGrant{}, false
	}
	i := rapid.IntRange(0, len(f.heldGrants)-1).Draw(rt, "grant")
	h := f.heldGrants[i]
	f.heldGrants = append(f.heldGrants[:i], f.heldGrants[i+1:]...)
	return h, true
}

// runRequest runs the request of a grant if the grant is usable, however long
// it was held, and releases it otherwise.
func (f *fleet) runRequest(rt *rapid.T) {
	h, ok := f.takeGrant(rt)
	if !ok {
		return
	}
	if !h.grant.Usable(time.Now()) {
		h.owner.Release(h.grant)
		return
	}
	for _, at := range f.runs[h.key] {
		require.GreaterOrEqual(rt, time.Since(at), fuzzWindow-fuzzGrantTimeout, "the request of key %s ran twice", h.key)
	}
	f.runs[h.key] = append(f.runs[h.key], time.Now())
	f.mayStayHeld[h.key] = true
	if rapid.Bool().Draw(rt, "reports") {
		h.owner.ReportRan(h.grant)
	}
}

// restart replaces a claimer. Its grants and pending claims are lost.
func (f *fleet) restart(i int) {
	_ = f.claimers[i].Close()
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range fuzzKeys {
		f.mayStayHeld[key] = true
	}
	others := f.heldGrants[:0]
	for _, h := range f.heldGrants {
		if h.owner != f.claimers[i] {
			others = append(others, h)
		}
	}
	f.heldGrants = others
	f.claimers[i] = f.start()
}

// checkExclusive checks the invariant that a key has at most one usable grant,
// and none within the window after its request ran.
func (f *fleet) checkExclusive(rt *rapid.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	usable := map[string]int{}
	for _, h := range f.heldGrants {
		if h.grant.Usable(now) {
			usable[h.key]++
		}
	}
	for key, n := range usable {
		require.Equal(rt, 1, n, "key %s has %d usable grants", key, n)
		for _, at := range f.runs[key] {
			require.GreaterOrEqual(rt, now.Sub(at), fuzzWindow-fuzzGrantTimeout, "key %s is granted after its request ran", key)
		}
	}
}

var fuzzKeys = []string{"k1", "k2", "k3"}

func (f *fleet) actions() map[string]func(*rapid.T) {
	claimer := func(rt *rapid.T) int { return rapid.IntRange(0, len(f.claimers)-1).Draw(rt, "claimer") }
	claim := func(rt *rapid.T) {
		key := rapid.SampledFrom(fuzzKeys).Draw(rt, "key")
		limit := rapid.SampledFrom([]time.Duration{50 * time.Millisecond, time.Minute}).Draw(rt, "limit")
		f.claim(rt, f.claimers[claimer(rt)], key, limit)
	}
	wait := func(longest int) func(*rapid.T) {
		return func(rt *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, longest).Draw(rt, "ms")) * time.Millisecond)
		}
	}
	return map[string]func(*rapid.T){
		"claim": claim, "claimAgain": claim, "claimOnce": claim,
		"use":     f.runRequest,
		"useSoon": f.runRequest,
		"release": func(rt *rapid.T) {
			h, ok := f.takeGrant(rt)
			if ok {
				h.owner.Release(h.grant)
			}
		},
		"restart": func(rt *rapid.T) {
			if f.restarts {
				f.restart(claimer(rt))
			}
		},
		"faults": func(rt *rapid.T) {
			faults := cranstandin.Faults{
				LogOutage:             rapid.Bool().Draw(rt, "outage"),
				LogDelayMs:            rapid.SampledFrom([]int{0, 0, 30, 3000, 15000}).Draw(rt, "delayMs"),
				LoseEveryAppendAnswer: rapid.IntRange(0, 2).Draw(rt, "lose"),
				DuplicateEveryAppend:  rapid.IntRange(0, 2).Draw(rt, "duplicate"),
			}
			if rapid.Bool().Draw(rt, "cut") {
				faults.CutFromLog = []string{fmt.Sprintf("entry%d", rapid.IntRange(1, f.started).Draw(rt, "cutOff"))}
			}
			require.NoError(rt, f.log.SetFaults(faults))
		},
		"heal": func(rt *rapid.T) { require.NoError(rt, f.log.SetFaults(cranstandin.Faults{})) },
		"expire": func(rt *rapid.T) {
			f.log.Expire(StreamName(0), uint64(rapid.IntRange(0, 60).Draw(rt, "before")))
		},
		"wait":     wait(3000),
		"waitLong": wait(int(fuzzWindow.Milliseconds())),
		"":         f.checkExclusive,
	}
}

// checkRecovery ends all faults and waits. It then requires that keys whose
// request didn't run and whose grant wasn't lost are free, and that exactly one
// of several claims for a new key is granted.
func (f *fleet) checkRecovery(rt *rapid.T) {
	require.NoError(rt, f.log.SetFaults(cranstandin.Faults{}))
	time.Sleep(20 * time.Second)
	for {
		h, ok := f.takeGrant(rt)
		if !ok {
			break
		}
		h.owner.Release(h.grant)
	}
	time.Sleep(20 * time.Second)
	f.requireReleased(rt)
	time.Sleep(2*fuzzWindow + 2*fuzzMaxAppendDelay)
	for _, c := range f.claimers {
		require.NoError(rt, c.Ready())
		f.claim(rt, c, "last", time.Minute)
	}
	time.Sleep(fuzzGrantTimeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Len(rt, f.heldGrants, 1)
}

// requireReleased requires that no key is held but those that may be. It
// ignores claimers that have not read the whole stream.
func (f *fleet) requireReleased(rt *rapid.T) {
	for _, key := range fuzzKeys {
		for _, c := range f.claimers {
			h, held := c.Lookup(HashKey(key))
			if held && !h.Uncertain() {
				require.True(rt, f.mayStayHeld[key], "key %s is still held by %s", key, h)
			}
		}
	}
}

// bubbleTB hides the Deadline method of a test, which must not be called in a
// synctest bubble.
type bubbleTB struct{ testing.TB }

func TestClaimersRunEachKeyOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(rt *rapid.T) {
			f := newFleet(3)
			f.restarts = rapid.Bool().Draw(rt, "restarts")
			defer f.close()
			time.Sleep(time.Second)
			rt.Repeat(f.actions())
			f.checkRecovery(rt)
		})
	})
}
