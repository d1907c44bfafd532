package crantraffic

import (
	"container/list"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// TestQueueProperty compares a queue with a plain list. Requests must get slots
// in order of arrival, no more requests may wait than allowed, and no slot may
// be lost or given out twice.
func TestQueueProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, maxQueue = 3, 4
		type queuedWaiter struct {
			waiter  *waiter[testSlot]
			element *list.Element
		}
		slots := newFakeSlots(total, "a")
		closed := false
		q := newQueue[testSlot](slots, testGroup, func(string) bool { return closed })
		a := admission{route: NewRoute(testService, testGroup, time.Second, maxQueue), left: time.Hour}
		var waiting []queuedWaiter
		held := 0
		takeDispatched := func() {
			for len(waiting) > 0 && slots.freeOf("a") == 0 && len(waiting[0].waiter.slot) == 1 {
				<-waiting[0].waiter.slot
				waiting = waiting[1:]
				held++
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				if _, ok := q.tryAcquire(q.avoid); ok {
					require.Empty(t, waiting, "a new request got a slot before waiting requests")
					held++
					return
				}
				w := &waiter[testSlot]{service: testService, slot: make(chan testSlot, 1)}
				element, fault := q.push(w, a)
				require.Equal(t, len(waiting) >= maxQueue, fault != nil)
				if fault == nil {
					waiting = append(waiting, queuedWaiter{w, element})
					q.dispatch()
				}
			},
			"release": func(t *rapid.T) {
				if held == 0 {
					return
				}
				held--
				slots.Release("a")
				if len(waiting) > 0 {
					_, ok := q.tryAcquire(q.avoid)
					require.False(t, ok, "a new request got a slot before waiting requests")
				}
				q.dispatch()
				takeDispatched()
			},
			"give up": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "i")
				_, fault := q.cancelWait(waiting[i].element, waiting[i].waiter)
				require.Equal(t, cranfault.Timeout, fault.Kind())
				waiting = slices.Delete(waiting, i, i+1)
			},
			"close or open": func(*rapid.T) {
				closed = !closed
				q.dispatch()
				for len(waiting) > 0 && len(waiting[0].waiter.slot) == 1 {
					<-waiting[0].waiter.slot
					waiting = waiting[1:]
					held++
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, total, slots.freeOf("a")+held)
				require.EqualValues(t, len(waiting), q.length.Load())
				require.Equal(t, len(waiting), slots.waiting)
				require.Equal(t, len(waiting), q.countByService[testService])
				if len(waiting) > 0 && !closed {
					require.Zero(t, slots.freeOf("a"), "a slot is free while a request waits")
				}
				for _, p := range waiting {
					require.Empty(t, p.waiter.slot, "a slot was given out of order")
				}
			},
		})
	})
}

// attemptFacts is what actually happened in one attempt.
type attemptFacts struct {
	written, ran, refused, whole, cut bool
	status                            int
}

func drawAttempt(t *rapid.T) attemptFacts {
	b := rapid.Bool()
	a := attemptFacts{written: b.Draw(t, "written")}
	if !a.written {
		return a
	}
	if a.refused = b.Draw(t, "refused"); a.refused {
		a.status = http.StatusServiceUnavailable
		return a
	}
	a.ran = b.Draw(t, "ran")
	a.whole = a.ran && b.Draw(t, "whole")
	a.cut = a.ran && !a.whole && b.Draw(t, "cut")
	a.status = rapid.SampledFrom([]int{200, 201, 404, 422, 500, 502, 503}).Draw(t, "status")
	return a
}

// exchange returns the exchange as the proxy sees it.
func (a attemptFacts) exchange(r *request) *exchange {
	x := &exchange{request: r, target: &target{id: "a"}}
	x.result = exchangeResult{written: a.written, err: errors.New("lost"), broken: a.cut}
	h := http.Header{}
	if a.refused {
		h.Set(headerRefused, refusedSlots)
	}
	if a.whole || a.refused {
		x.result = exchangeResult{written: true, answer: NewAnswer(a.status, h, nil)}
	}
	return x
}

// TestOutcomeProperty compares the outcome that a caller gets with what
// happened in all attempts of its request.
func TestOutcomeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &request{idempotent: rapid.Bool().Draw(t, "idempotent")}
		run := &idempotentRun[testSlot]{}
		ran, mayHaveRun := 0, false
		for range defaultMaxAttempts {
			facts := drawAttempt(t)
			x := facts.exchange(r)
			c := classify(x)
			if facts.ran {
				ran++
			}
			mayHaveRun = mayHaveRun || facts.written && !facts.refused
			combined := run.combinedResult(c.result)
			require.Equal(t, facts.whole, combined.outcome == Answered)
			require.Equal(t, !mayHaveRun, combined.outcome == NotRun, "the outcome must be notRun exactly if no attempt can have run")
			if combined.outcome == NotRun {
				require.Zero(t, ran)
			}
			require.Equal(t, facts.refused, healthOf(x) == healthRefused)
			resend := c.retryReason != "" && (r.idempotent || c.result.outcome == NotRun)
			if !resend {
				break
			}
			run.mayHaveRun = run.mayHaveRun || c.result.outcome != NotRun
		}
		if !r.idempotent {
			require.LessOrEqual(t, ran, 1)
		}
	})
}

// TestAnswerCacheProperty compares the answer cache with a plain list.
func TestAnswerCacheProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, age = 1500, time.Minute
		now := time.Unix(0, 0)
		k := newAnswerCache(limit, age, func() time.Time { return now })
		type item struct {
			key  string
			body int
			at   time.Time
		}
		var newest []item
		key := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				i := item{key.Draw(t, "key"), rapid.IntRange(0, 2*limit).Draw(t, "body"), now}
				k.put(i.key, 7, NewAnswer(200, http.Header{}, make([]byte, i.body)))
				newest = slices.DeleteFunc(newest, func(o item) bool { return o.key == i.key })
				newest = slices.Insert(newest, 0, i)
			},
			"get": func(t *rapid.T) {
				name := key.Draw(t, "key")
				got := k.get(name)
				i := slices.IndexFunc(newest, func(o item) bool { return o.key == name })
				if got == nil {
					return
				}
				require.GreaterOrEqual(t, i, 0)
				require.False(t, now.After(newest[i].at.Add(age)))
				if got.answer != nil {
					require.Len(t, got.answer.Body(), newest[i].body)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, k.bytes, limit)
				require.Equal(t, k.order.Len(), len(k.byKey))
				sum := 0
				for e := k.order.Front(); e != nil; e = e.Next() {
					sum += e.Value.(*cachedAnswer).size
				}
				require.Equal(t, sum, k.bytes)
				if len(newest) > 0 && !now.After(newest[0].at.Add(age)) {
					require.NotNil(t, k.get(newest[0].key), "the newest answer must be cached until it expires")
				}
			},
		})
	})
}
