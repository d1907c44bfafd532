package cransched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// simInstance is a simulated machine. It is off or runs one target.
type simInstance struct {
	pool, target string
	// busyUntil is when a move or a maintenance ends; 0 while the instance is up.
	busyUntil   time.Duration
	maintenance bool
}

// checkEviction checks that a lasting task is stopped only while fewer than MaxUnavailable
// other tasks of its step are unavailable.
func (w *simulation) checkEviction(name cranjob.TaskName) {
	step := w.jobs[name.Job].Steps[name.Step]
	e, _ := w.stored.Lookup(name.Job)
	if !step.Lasting || step.MaxUnavailable == 0 || e.Cancelled() || !w.checkUnavailable {
		return
	}
	unavailable := step.Count - 1
	for _, x := range w.targets {
		for other, r := range x.runs {
			if other != name && other.Job == name.Job && other.Step == name.Step && !r.stopped && x.up {
				unavailable--
			}
		}
	}
	require.Less(w.t, unavailable, step.MaxUnavailable, "%v: %v is stopped while %d others are unavailable", w.now, name, unavailable)
}

// instanceList returns the platform's list of instances.
func (w *simulation) instanceList() []InstanceInfo {
	var list []InstanceInfo
	for _, id := range slices.Sorted(maps.Keys(w.instances)) {
		i := w.instances[id]
		if i.busyUntil != 0 && w.now >= i.busyUntil {
			i.busyUntil, i.maintenance = 0, false
			if i.pool != "off" {
				w.startNewProcess(id, i)
			}
		}
		info := InstanceInfo{Instance: id, Pool: i.pool, Up: i.busyUntil == 0, Maintenance: i.maintenance, Capacity: cranjob.Resources{CPU: 4000, Memory: 8000}}
		if info.Up && i.pool != "off" {
			info.Target = i.target
		}
		list = append(list, info)
	}
	return list
}

// startNewProcess starts a target with a new id on an instance.
func (w *simulation) startNewProcess(id string, i *simInstance) {
	w.processes++
	name := fmt.Sprintf("l%d", w.processes)
	w.startProcess(name, id)
	i.target = name
}

// takeInstanceDown removes the target of an instance for a duration.
func (w *simulation) takeInstanceDown(i *simInstance, duration time.Duration) {
	if x := w.targets[i.target]; x != nil && i.pool != "off" {
		w.endDueRuns(x)
		for name, r := range x.runs {
			require.False(w.t, w.jobs[name.Job].Steps[name.Step].Lasting && !r.stopped, "%v: an order ends the lasting run %v", w.now, name)
		}
		delete(w.targets, i.target)
	}
	i.busyUntil = w.now + duration
}

// checkOrderSpacing checks that orders of two owners for one instance are further apart
// than OrderLease and arrive in the order of the owners.
func (w *simulation) checkOrderSpacing(instance string, token uint64) {
	if last := w.lastOrders[instance]; last.token != 0 && last.token != token {
		require.Greater(w.t, token, last.token, "%v: an earlier owner orders %s", w.now, instance)
		require.Greater(w.t, w.now-last.at, simTiming.OrderLease, "%v: two owners order %s", w.now, instance)
	}
	w.lastOrders[instance] = sentOrder{token, w.now}
}

// sentOrder is the newest order for an instance.
type sentOrder struct {
	token uint64
	at    time.Duration
}

func (w *simulation) orderMaintenance(e Maintain) CallStatus {
	w.checkOrderSpacing(e.Instance, e.Token)
	i := w.instances[e.Instance]
	if i.maintenance || w.maintenances[e.Instance] > 0 {
		return StatusOK
	}
	if i.busyUntil != 0 {
		return StatusInstanceBusy
	}
	down := 0
	for _, other := range w.instances {
		if other.maintenance && w.now < other.busyUntil {
			down++
		}
	}
	require.Less(w.t, down, w.maxDown, "%v: %s goes down while %d others are down", w.now, e.Instance, down)
	w.takeInstanceDown(i, 2*time.Second)
	i.maintenance = true
	w.maintenances[e.Instance]++
	return StatusOK
}

func (w *simulation) orderMove(e MoveInstance) CallStatus {
	w.checkOrderSpacing(e.Instance, e.Token)
	i := w.instances[e.Instance]
	switch {
	case i.pool == e.Pool:
		return StatusOK
	case i.busyUntil != 0:
		return StatusInstanceBusy
	}
	w.takeInstanceDown(i, 1500*time.Millisecond)
	i.pool = e.Pool
	return StatusOK
}
