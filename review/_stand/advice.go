package main

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// decideTime and eachTime are decide_ms and each_ms of the queue, ticketTime is its valid_ms.
	decideTime = 10 * time.Millisecond
	eachTime   = time.Millisecond
	ticketTime = 3 * time.Second
	// allowed is how many runners may run a step.
	allowed = 2
	// maxWaiting is how many calls may wait.
	maxWaiting = 32
)

// advice is a stand-in of the service that knows which runners may run a step.
type advice struct {
	w *world
	// turn is held by the call that is handled.
	turn sync.Mutex

	mu      sync.Mutex
	waiting int
	// good holds the runners that may run each step. They are chosen among those that are up when the
	// step is first asked for, and don't change.
	good  map[string][]string
	asked map[string]map[string]bool
}

func newAdvice(w *world) *advice {
	return &advice{w: w, good: map[string][]string{}, asked: map[string]map[string]bool{}}
}

// ServeHTTP handles one call.
func (a *advice) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil || len(o.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	if a.waiting == maxWaiting {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.mu.Unlock()
	a.turn.Lock()
	time.Sleep(decideTime + time.Duration(len(o.Workers))*eachTime)
	a.turn.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
	rows := [][2]string{}
	if a.asked[o.Step] == nil {
		a.asked[o.Step] = map[string]bool{}
		a.good[o.Step] = a.choose(o.Step)
	}
	for _, id := range o.Workers {
		a.asked[o.Step][id] = true
		if slices.Contains(a.good[o.Step], id) {
			rows = append(rows, [2]string{id, "t-" + o.Step + "-" + id})
		}
	}
	reply(w, http.StatusOK, map[string]any{"good": rows, "valid_ms": ticketTime.Milliseconds()})
}

// choose chooses the runners that may run a step.
func (a *advice) choose(step string) []string {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	rank := func(id string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(step + "/" + id))
		return (h.Sum64() ^ h.Sum64()>>29) * 0x9e3779b97f4a7c15
	}
	var ids []string
	for _, r := range a.w.runners {
		ids = append(ids, r.id)
	}
	slices.SortFunc(ids, func(x, y string) int { return cmp.Compare(rank(x), rank(y)) })
	return ids[:allowed]
}

// describe tells which runners may run a step, and whether the service was asked about them.
func (a *advice) describe(step string) (good, unasked []string, asked int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range a.good[step] {
		if !a.asked[step][id] {
			unasked = append(unasked, id)
		}
	}
	return a.good[step], unasked, len(a.asked[step])
}
