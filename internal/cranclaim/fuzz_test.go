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

// Times of the keepers under fuzz.
const (
	fuzzWindow = 2 * time.Minute
	fuzzLate   = 20 * time.Second
	fuzzBound  = 4 * time.Second
)

// holding is a grant in the hands of a process.
type holding struct {
	owner *Claimer
	grant *Grant
	key   string
}

// fleet is some keepers on one stream, with the ledger of what ran.
type fleet struct {
	log     *cranstandin.Log
	keepers []*Claimer
	starts  int
	callers sync.WaitGroup
	// restarts tells whether keepers end and start in this session; without
	// that every key that did not run has to come free.
	restarts bool

	mu       sync.Mutex
	holdings []holding
	// runs is the oracle's ledger: when each key ran.
	runs map[string][]time.Time
	// stuck holds the keys that may stay held: their grant was lost with a
	// process, or ran.
	stuck map[string]bool
}

func newFleet(keepers int) *fleet {
	f := &fleet{log: cranstandin.NewLog(), runs: map[string][]time.Time{}, stuck: map[string]bool{}}
	for range keepers {
		f.keepers = append(f.keepers, f.start())
	}
	return f
}

func (f *fleet) start() *Claimer {
	f.starts++
	name := fmt.Sprintf("entry%d", f.starts)
	return NewClaimer(f.log.ForClient(name), StreamName(0), name,
		WithWindow(fuzzWindow), WithMaxAppendDelay(fuzzLate), WithGrantTimeout(fuzzBound),
		WithRandom(steady), WithLogOptions(cranlog.WithMaxPending(8)))
}

func (f *fleet) close() {
	for _, k := range f.keepers {
		_ = k.Close()
	}
	f.callers.Wait()
	_ = f.log.Close()
}

// claim claims a key in a goroutine of its own and keeps the grant, unless it
// gives up first.
func (f *fleet) claim(rt *rapid.T, k *Claimer, key string, limit time.Duration) {
	f.callers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		g, err := k.Claim(ctx, HashKey(key), 1)
		f.mu.Lock()
		defer f.mu.Unlock()
		switch cranfault.KindOf(err) {
		case "":
			f.holdings = append(f.holdings, holding{owner: k, grant: g, key: key})
		case cranfault.AlreadyClaimed, cranfault.LogUnavailable, cranfault.NotReady, cranfault.QueueFull, cranfault.Cancelled:
		default:
			rt.Errorf("unexpected refusal: %v", err)
		}
	})
	synctest.Wait()
}

// take picks a holding and removes it.
func (f *fleet) take(rt *rapid.T) (holding, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.holdings) == 0 {
		return holding{}, false
	}
	i := rapid.IntRange(0, len(f.holdings)-1).Draw(rt, "holding")
	h := f.holdings[i]
	f.holdings = append(f.holdings[:i], f.holdings[i+1:]...)
	return h, true
}

// use runs the request of a holding if its grant is usable, however long it
// was held, and releases it otherwise.
func (f *fleet) use(rt *rapid.T) {
	h, ok := f.take(rt)
	if !ok {
		return
	}
	if !h.grant.Usable(time.Now()) {
		h.owner.Release(h.grant)
		return
	}
	for _, at := range f.runs[h.key] {
		require.GreaterOrEqual(rt, time.Since(at), fuzzWindow-fuzzBound, "%s ran twice", h.key)
	}
	f.runs[h.key] = append(f.runs[h.key], time.Now())
	f.stuck[h.key] = true
	if rapid.Bool().Draw(rt, "reports") {
		h.owner.ReportRan(h.grant)
	}
}

// restart ends a keeper; what it held and had asked for is lost with it.
func (f *fleet) restart(i int) {
	_ = f.keepers[i].Close()
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range fuzzKeys {
		f.stuck[key] = true
	}
	kept := f.holdings[:0]
	for _, h := range f.holdings {
		if h.owner != f.keepers[i] {
			kept = append(kept, h)
		}
	}
	f.holdings = kept
	f.keepers[i] = f.start()
}

// check holds at every moment: no key has two usable grants, nor one after it
// ran within the window.
func (f *fleet) check(rt *rapid.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	usable := map[string]int{}
	for _, h := range f.holdings {
		if h.grant.Usable(now) {
			usable[h.key]++
		}
	}
	for key, n := range usable {
		require.Equal(rt, 1, n, "%s has %d usable grants", key, n)
		for _, at := range f.runs[key] {
			require.GreaterOrEqual(rt, now.Sub(at), fuzzWindow-fuzzBound, "%s is granted after it ran", key)
		}
	}
}

var fuzzKeys = []string{"k1", "k2", "k3"}

func (f *fleet) actions() map[string]func(*rapid.T) {
	keeper := func(rt *rapid.T) int { return rapid.IntRange(0, len(f.keepers)-1).Draw(rt, "keeper") }
	claim := func(rt *rapid.T) {
		key := rapid.SampledFrom(fuzzKeys).Draw(rt, "key")
		limit := rapid.SampledFrom([]time.Duration{50 * time.Millisecond, time.Minute}).Draw(rt, "limit")
		f.claim(rt, f.keepers[keeper(rt)], key, limit)
	}
	wait := func(longest int) func(*rapid.T) {
		return func(rt *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, longest).Draw(rt, "ms")) * time.Millisecond)
		}
	}
	return map[string]func(*rapid.T){
		"claim": claim, "claimAgain": claim, "claimOnce": claim,
		"use":     f.use,
		"useSoon": f.use,
		"release": func(rt *rapid.T) {
			h, ok := f.take(rt)
			if ok {
				h.owner.Release(h.grant)
			}
		},
		"restart": func(rt *rapid.T) {
			if f.restarts {
				f.restart(keeper(rt))
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
				faults.CutFromLog = []string{fmt.Sprintf("entry%d", rapid.IntRange(1, f.starts).Draw(rt, "cutOff"))}
			}
			require.NoError(rt, f.log.SetFaults(faults))
		},
		"heal": func(rt *rapid.T) { require.NoError(rt, f.log.SetFaults(cranstandin.Faults{})) },
		"expire": func(rt *rapid.T) {
			f.log.Expire(StreamName(0), uint64(rapid.IntRange(0, 60).Draw(rt, "before")))
		},
		"wait":     wait(3000),
		"waitLong": wait(int(fuzzWindow.Milliseconds())),
		"":         f.check,
	}
}

// finish heals everything and waits; then a new key is granted to one of all
// who claim it, and so is each key that nobody ran or lost.
func (f *fleet) finish(rt *rapid.T) {
	require.NoError(rt, f.log.SetFaults(cranstandin.Faults{}))
	time.Sleep(20 * time.Second)
	for {
		h, ok := f.take(rt)
		if !ok {
			break
		}
		h.owner.Release(h.grant)
	}
	time.Sleep(20 * time.Second)
	f.requireFree(rt)
	time.Sleep(2*fuzzWindow + 2*fuzzLate)
	for _, k := range f.keepers {
		require.NoError(rt, k.Ready())
		f.claim(rt, k, "last", time.Minute)
	}
	time.Sleep(fuzzBound)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Len(rt, f.holdings, 1)
}

// requireFree finds no key held but those that may be, in the eyes of those
// who have read the whole stream.
func (f *fleet) requireFree(rt *rapid.T) {
	for _, key := range fuzzKeys {
		for _, k := range f.keepers {
			h, held := k.Lookup(HashKey(key))
			if held && !h.Uncertain() {
				require.True(rt, f.stuck[key], "%s stays held by %s", key, h)
			}
		}
	}
}

// bubbleTB hides the Deadline method of a test, which may not be called in a
// synctest bubble.
type bubbleTB struct{ testing.TB }

func TestKeepersRunEachKeyOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(rt *rapid.T) {
			f := newFleet(3)
			f.restarts = rapid.Bool().Draw(rt, "restarts")
			defer f.close()
			time.Sleep(time.Second)
			rt.Repeat(f.actions())
			f.finish(rt)
		})
	})
}
