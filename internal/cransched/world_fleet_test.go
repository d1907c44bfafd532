package cransched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// simInstance is a machine; it is off, or has a target as its present life.
type simInstance struct {
	pool, target string
	// until is when a move or a maintenance ends; 0 while it is up.
	until  time.Duration
	upkeep bool
}

// judgeStop checks that an order takes a lasting task away only while few
// enough others of its step are away.
func (w *world) judgeStop(name cranjob.TaskName) {
	step := w.jobs[name.Job].Steps[name.Step]
	e, _ := w.book.Lookup(name.Job)
	if !step.Lasting || step.MaxUnavailable == 0 || e.Cancelled() || !w.judgeAway {
		return
	}
	away := step.Count - 1
	for _, x := range w.fleet {
		for other, r := range x.runs {
			if other != name && other.Job == name.Job && other.Step == name.Step && !r.stopped && x.up {
				away--
			}
		}
	}
	require.Less(w.t, away, step.MaxUnavailable, "%v: %v is stopped while %d others are away", w.now, name, away)
}

// list returns the platform's list of instances.
func (w *world) list() []InstanceInfo {
	var list []InstanceInfo
	for _, id := range slices.Sorted(maps.Keys(w.instances)) {
		i := w.instances[id]
		if i.until != 0 && w.now >= i.until {
			i.until, i.upkeep = 0, false
			if i.pool != "off" {
				w.revive(id, i)
			}
		}
		info := InstanceInfo{Instance: id, Pool: i.pool, Up: i.until == 0, Maintenance: i.upkeep, Capacity: cranjob.Resources{CPU: 4000, Memory: 8000}}
		if info.Up && i.pool != "off" {
			info.Target = i.target
		}
		list = append(list, info)
	}
	return list
}

// revive gives an instance a new life.
func (w *world) revive(id string, i *simInstance) {
	w.lives++
	name := fmt.Sprintf("l%d", w.lives)
	w.addLife(name, id)
	i.target = name
}

// takeDown ends the life of an instance.
func (w *world) takeDown(i *simInstance, lasts time.Duration) {
	if x := w.fleet[i.target]; x != nil && i.pool != "off" {
		w.advance(x)
		for name, r := range x.runs {
			require.False(w.t, w.jobs[name.Job].Steps[name.Step].Lasting && !r.stopped, "%v: an order ends %v", w.now, name)
		}
		delete(w.fleet, i.target)
	}
	i.until = w.now + lasts
}

// judgeTurn checks that orders of two owners for one instance lie far apart.
func (w *world) judgeTurn(instance string, token uint64) {
	if last := w.ordered[instance]; last.token != 0 && last.token != token {
		require.Greater(w.t, token, last.token, "%v: an earlier owner orders %s", w.now, instance)
		require.Greater(w.t, w.now-last.at, simTiming.OrderLease, "%v: two owners order %s", w.now, instance)
	}
	w.ordered[instance] = turn{token, w.now}
}

// turn is the newest order for an instance.
type turn struct {
	token uint64
	at    time.Duration
}

func (w *world) orderUpkeep(e Maintain) CallStatus {
	w.judgeTurn(e.Instance, e.Token)
	i := w.instances[e.Instance]
	if i.upkeep || w.upkeeps[e.Instance] > 0 {
		return StatusOK
	}
	if i.until != 0 {
		return StatusInstanceBusy
	}
	down := 0
	for _, other := range w.instances {
		if other.upkeep && w.now < other.until {
			down++
		}
	}
	require.Less(w.t, down, w.most, "%v: %s goes down beside %d others", w.now, e.Instance, down)
	w.takeDown(i, 2*time.Second)
	i.upkeep = true
	w.upkeeps[e.Instance]++
	return StatusOK
}

func (w *world) orderMove(e MoveInstance) CallStatus {
	w.judgeTurn(e.Instance, e.Token)
	i := w.instances[e.Instance]
	switch {
	case i.pool == e.Pool:
		return StatusOK
	case i.until != 0:
		return StatusInstanceBusy
	}
	w.takeDown(i, 1500*time.Millisecond)
	i.pool = e.Pool
	return StatusOK
}
