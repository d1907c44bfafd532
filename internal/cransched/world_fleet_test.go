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
	// wave is the wave of the last maintenance.
	wave int
}

// checkEviction checks that a long-running task is stopped only while fewer than
// MaxUnavailable other tasks of its step are unavailable.
func (sim *simulation) checkEviction(name cranjob.TaskName) {
	step := sim.jobs[name.Job].Steps[name.Step]
	e, _ := sim.stored.Lookup(name.Job)
	if !step.LongRunning || step.MaxUnavailable == 0 || e.Cancelled() || !sim.checkUnavailable {
		return
	}
	unavailable := step.Count - 1
	for _, tgt := range sim.targets {
		for other, r := range tgt.runs {
			if other != name && other.Job == name.Job && other.Step == name.Step && !r.stopped && tgt.up {
				unavailable--
			}
		}
	}
	require.Less(sim.t, unavailable, step.MaxUnavailable, "%v: %v is stopped while %d others are unavailable", sim.now, name, unavailable)
}

// instanceList returns the platform's list of instances.
func (sim *simulation) instanceList() []InstanceInfo {
	var list []InstanceInfo
	for _, id := range slices.Sorted(maps.Keys(sim.instances)) {
		i := sim.instances[id]
		if i.busyUntil != 0 && sim.now >= i.busyUntil {
			i.busyUntil, i.maintenance = 0, false
			if i.pool != "off" {
				sim.startNewProcess(id, i)
			}
		}
		info := InstanceInfo{Instance: id, Pool: i.pool, Up: i.busyUntil == 0, Maintenance: i.maintenance, Capacity: cranjob.Resources{CPU: 4000, Memory: 8000}}
		if info.Up && i.pool != "off" {
			info.Target = i.target
		}
		list = append(list, info)
	}
	return sim.withoutMissed(list)
}

// withoutMissed returns a list of instances that may miss one, as a list that is read in pages does while others are
// added or removed. It misses none three times in a row.
func (sim *simulation) withoutMissed(list []InstanceInfo) []InstanceInfo {
	if sim.incompleteLists == 0 {
		return list
	}
	at, missed := sim.random.IntN(len(list)), ""
	if sim.random.Float64() < sim.incompleteLists && sim.missed[list[at].Instance] < 2 {
		missed = list[at].Instance
		list = slices.Delete(list, at, at+1)
	}
	sim.missed = map[string]int{missed: sim.missed[missed] + 1}
	return list
}

// startNewProcess starts a target with a new id on an instance.
func (sim *simulation) startNewProcess(id string, i *simInstance) {
	sim.processes++
	name := fmt.Sprintf("l%d", sim.processes)
	if sim.reuseIDs {
		name = i.target
	}
	sim.startProcess(name, id)
	sim.targets[name].info.ProcessStartMs = sim.unix()
	i.target = name
}

// takeInstanceDown removes the target of an instance for a duration.
func (sim *simulation) takeInstanceDown(i *simInstance, duration time.Duration) {
	if tgt := sim.targets[i.target]; tgt != nil && i.pool != "off" {
		sim.endDueRuns(tgt)
		for name, r := range tgt.runs {
			require.False(sim.t, sim.jobs[name.Job].Steps[name.Step].LongRunning && !r.stopped, "%v: an order ends the long-running task %v", sim.now, name)
		}
		delete(sim.targets, i.target)
	}
	i.busyUntil = sim.now + duration
}

// checkOrderSpacing checks that orders of two owners for one instance are further apart
// than OrderLease and arrive in the order of the owners.
func (sim *simulation) checkOrderSpacing(instance string, token uint64) {
	if last := sim.lastOrders[instance]; last.token != 0 && last.token != token {
		require.Greater(sim.t, token, last.token, "%v: an earlier owner orders %s", sim.now, instance)
		require.Greater(sim.t, sim.now-last.at, simTiming.OrderLease, "%v: two owners order %s", sim.now, instance)
	}
	sim.lastOrders[instance] = sentOrder{token, sim.now}
}

// instanceWave is an instance in a wave.
type instanceWave struct {
	instance string
	wave     int
}

// sentOrder is the newest order for an instance.
type sentOrder struct {
	token uint64
	at    time.Duration
}

func (sim *simulation) orderMaintenance(e Maintain) CallStatus {
	sim.checkOrderSpacing(e.Instance, e.Token)
	i, done := sim.instances[e.Instance], instanceWave{e.Instance, e.Wave}
	if sim.maintained[done] {
		return StatusOK
	}
	if i.busyUntil != 0 {
		return StatusInstanceBusy
	}
	down := 0
	for _, other := range sim.instances {
		if other.maintenance && sim.now < other.busyUntil {
			down++
		}
	}
	require.Less(sim.t, down, sim.maxDown, "%v: %s goes down while %d others are down", sim.now, e.Instance, down)
	sim.checkLimit(e)
	sim.takeInstanceDown(i, 2*time.Second)
	i.maintenance, i.wave = true, e.Wave
	sim.maintained[done] = true
	sim.maintenances[e.Instance]++
	return StatusOK
}

func (sim *simulation) orderMove(e MoveInstance) CallStatus {
	sim.checkOrderSpacing(e.Instance, e.Token)
	i := sim.instances[e.Instance]
	switch {
	case i.pool == e.Pool:
		return StatusOK
	case i.busyUntil != 0:
		return StatusInstanceBusy
	}
	sim.takeInstanceDown(i, 1500*time.Millisecond)
	i.pool = e.Pool
	return StatusOK
}

// checkLimit checks that a wave takes down no more instances at a time than it may.
func (sim *simulation) checkLimit(e Maintain) {
	down := 0
	for _, other := range sim.instances {
		if other.maintenance && other.wave == e.Wave && sim.now < other.busyUntil {
			down++
		}
	}
	for _, w := range sim.wave {
		if w.Wave == e.Wave {
			require.Less(sim.t, down, w.MaxParallel, "%v: %s goes down for wave %d", sim.now, e.Instance, e.Wave)
		}
	}
}

// observeOrder records that the orders for an instance were stored.
func (sim *simulation) observeOrder(instance string) {
	sim.orderStoredAt[instance] = sim.now
	order := sim.stored.Orders()[instance]
	for _, m := range order.Maintenance() {
		if m.Confirmed {
			at := instanceWave{instance, m.Wave}
			require.True(sim.t, sim.maintained[at], "%v: %v is confirmed and hasn't begun", sim.now, at)
			sim.confirmed[at] = true
		}
	}
}

// publishWave publishes how far a wave has come, and checks that no instance is left out.
func (sim *simulation) publishWave(e WaveStatus) {
	sim.progress[e.Wave] = e
	for _, w := range sim.wave {
		for _, id := range w.Instances {
			_, exists := sim.instances[id]
			require.False(sim.t, w.Wave == e.Wave && exists && !sim.maintained[instanceWave{id, w.Wave}],
				"%v: wave %d has begun without %s", sim.now, w.Wave, id)
		}
	}
	sim.setWaves()
}

// setWaves passes the waves to the owner, with what is published of them.
func (sim *simulation) setWaves() {
	orders := slices.Clone(sim.wave)
	for i := range orders {
		published := sim.progress[orders[i].Wave]
		orders[i].Begun, orders[i].Done = published.Begun, published.Done
	}
	sim.owner.SetWaves(orders)
}
