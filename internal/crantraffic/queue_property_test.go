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

// TestQueueProperty runs a queue against a plain list: requests get slots in
// their order, no more wait than may, and no slot is lost or given twice.
func TestQueueProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, maxQueue = 3, 4
		type place struct {
			waiter *waiter[testSlot]
			at     *list.Element
		}
		slots := newFakeSlots(total, "a")
		closed := false
		q := newQueue[testSlot](slots, testGroup, func(string) bool { return closed })
		a := admission{route: NewRoute(testService, testGroup, time.Second, maxQueue), left: time.Hour}
		var waiting []place
		held := 0
		served := func() {
			for len(waiting) > 0 && slots.freeOf("a") == 0 && len(waiting[0].waiter.slot) == 1 {
				<-waiting[0].waiter.slot
				waiting = waiting[1:]
				held++
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				if _, ok := q.try(q.avoid); ok {
					require.Empty(t, waiting, "a newcomer before those who wait")
					held++
					return
				}
				w := &waiter[testSlot]{service: testService, slot: make(chan testSlot, 1)}
				at, fault := q.push(w, a)
				require.Equal(t, len(waiting) >= maxQueue, fault != nil)
				if fault == nil {
					waiting = append(waiting, place{w, at})
					q.pump()
				}
			},
			"release": func(t *rapid.T) {
				if held == 0 {
					return
				}
				held--
				slots.Release("a")
				if len(waiting) > 0 {
					_, ok := q.try(q.avoid)
					require.False(t, ok, "a newcomer before those who wait")
				}
				q.pump()
				served()
			},
			"give up": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "i")
				_, fault := q.giveUp(waiting[i].at, waiting[i].waiter)
				require.Equal(t, cranfault.Timeout, fault.Kind())
				waiting = slices.Delete(waiting, i, i+1)
			},
			"close or open": func(*rapid.T) {
				closed = !closed
				q.pump()
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
				require.Equal(t, len(waiting), q.count[testService])
				if len(waiting) > 0 && !closed {
					require.Zero(t, slots.freeOf("a"), "a free slot and somebody waiting")
				}
				for _, p := range waiting {
					require.Empty(t, p.waiter.slot, "served out of order")
				}
			},
		})
	})
}

// attemptTruth is what really happened to one attempt.
type attemptTruth struct {
	written, ran, refused, whole, cut bool
	status                            int
}

func drawTruth(t *rapid.T) attemptTruth {
	b := rapid.Bool()
	a := attemptTruth{written: b.Draw(t, "written")}
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

// exchange returns the exchange as the front sees it.
func (a attemptTruth) exchange(r *request) *exchange {
	x := &exchange{request: r, target: &target{id: "a"}}
	x.result = result{written: a.written, err: errors.New("lost"), broken: a.cut}
	h := http.Header{}
	if a.refused {
		h.Set(headerRefused, refusedSlots)
	}
	if a.whole || a.refused {
		x.result = result{written: true, answer: NewAnswer(a.status, h, nil)}
	}
	return x
}

// TestOutcomeProperty checks what a caller is told against what happened in all
// attempts of its request.
func TestOutcomeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &request{idempotent: rapid.Bool().Draw(t, "idempotent")}
		n := &idempotentRun[testSlot]{}
		ran, mayRun := 0, false
		for range defaultAttempts {
			truth := drawTruth(t)
			x := truth.exchange(r)
			j := judge(x)
			if truth.ran {
				ran++
			}
			mayRun = mayRun || truth.written && !truth.refused
			told := n.truth(j.outcome)
			require.Equal(t, truth.whole, told.verdict == Answered)
			require.Equal(t, !mayRun, told.verdict == NotRun, "notRun is told just when it is certain")
			if told.verdict == NotRun {
				require.Zero(t, ran)
			}
			require.Equal(t, truth.refused, healthOf(x) == healthRefused)
			resend := j.retry != "" && (r.idempotent || j.outcome.verdict == NotRun)
			if !resend {
				break
			}
			n.sent = n.sent || j.outcome.verdict != NotRun
		}
		if !r.idempotent {
			require.LessOrEqual(t, ran, 1)
		}
	})
}

// TestKeptAnswersProperty compares the kept answers with a list.
func TestKeptAnswersProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, age = 1500, time.Minute
		now := time.Unix(0, 0)
		k := newKeptAnswers(limit, age, func() time.Time { return now })
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
					sum += e.Value.(*keptAnswer).size
				}
				require.Equal(t, sum, k.bytes)
				if len(newest) > 0 && !now.After(newest[0].at.Add(age)) {
					require.NotNil(t, k.get(newest[0].key), "the newest is kept for its age")
				}
			},
		})
	})
}
