package cransched

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// oddEntries changes the sound entry of a target to one of another writer, by what is odd.
var oddEntries = map[string]func(*TargetInfo){
	"address of another target":     func(i *TargetInfo) { i.Address = "t1" },
	"address of nothing":            func(i *TargetInfo) { i.Address = "nowhere" },
	"future start":                  func(i *TargetInfo) { i.ProcessStartMs = math.MaxInt64 },
	"future start, other address":   func(i *TargetInfo) { i.ProcessStartMs, i.Address = math.MaxInt64, "t1" },
	"future start, no address":      func(i *TargetInfo) { i.ProcessStartMs, i.Address = math.MaxInt64, "nowhere" },
	"earlier start":                 func(i *TargetInfo) { i.ProcessStartMs = 1 },
	"no start":                      func(i *TargetInfo) { i.ProcessStartMs = 0 },
	"no start, no instance":         func(i *TargetInfo) { i.ProcessStartMs, i.Instance, i.Labels = 0, "", nil },
	"future start, other pool":      func(i *TargetInfo) { i.ProcessStartMs, i.Pool = math.MaxInt64-1, "other" },
	"no start, largest capacity":    func(i *TargetInfo) { i.ProcessStartMs, i.Capacity.CPU = 0, cranjob.MaxResource },
	"earlier start, draining":       func(i *TargetInfo) { i.ProcessStartMs, i.Draining = 2, true },
	"future start, little capacity": func(i *TargetInfo) { i.ProcessStartMs, i.Capacity = math.MaxInt64, cranjob.Resources{CPU: 1} },
}

// TestOddEntryOfTarget lists an odd entry under the id of a target that runs tasks, then the sound
// one again. The target must keep its tasks and its room, and a later restart must be noticed.
func TestOddEntryOfTarget(t *testing.T) {
	for name, change := range oddEntries {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 2)
			sim.failureRate, sim.longPolls = 0, true
			delete(sim.config.Pools, "off")
			sim.takeOver(sim.now - time.Hour)
			sim.submit(newLongRunningJob("lasting", 4))
			sim.runFor(2 * time.Second)
			require.Equal(t, 4, sim.countRunning("lasting"))
			started := len(sim.starts)
			sim.entries = func(list []TargetInfo) []TargetInfo {
				change(&list[0])
				return list
			}
			sim.runFor(3 * time.Second)
			sim.entries = nil
			sim.runFor(3 * time.Second)
			require.Len(t, sim.starts, started, "tasks have started again")
			require.Equal(t, 1, sim.logged[LogEntryRefuted])
			sim.requireRoom("wide", 4)

			sim.restart("t0")
			sim.runFor(5 * time.Second)
			require.Equal(t, 4, sim.countRunning("lasting"))
			sim.requireRoom("wide2", 4)
		})
	}
}

// requireRoom checks that tasks of a new job start, which fill what the long-running ones leave.
func (sim *simulation) requireRoom(job string, tasks int) {
	sim.submit(&cranjob.Job{ID: job, Spec: job, Steps: []cranjob.Step{
		{Count: tasks, Demand: cranjob.Resources{CPU: 1000, Memory: 1000}, EstimateMs: 900},
	}})
	sim.runFor(400 * time.Millisecond)
	require.Equal(sim.t, tasks, sim.countRunning(job))
	sim.runFor(3 * time.Second)
}

// TestOddEntryBeforeSoundOne lists an odd entry before the sound one of the same id. The target
// must take tasks once the sound one is listed.
func TestOddEntryBeforeSoundOne(t *testing.T) {
	for name, change := range oddEntries {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 2)
			sim.failureRate = 0
			delete(sim.config.Pools, "off")
			sim.entries = func(list []TargetInfo) []TargetInfo {
				change(&list[0])
				return list
			}
			sim.takeOver(sim.now - time.Hour)
			sim.runFor(2 * time.Second)
			sim.entries = nil
			sim.runFor(3 * time.Second)
			sim.requireRoom("wide", 8)
		})
	}
}

// TestInvariantsUnderOddEntries lists odd entries of any target at any time, beside the faults of
// runWithFaults, but for those that a new owner can't tell from sound ones.
func TestInvariantsUnderOddEntries(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 8
	}
	plausible := []string{"address of another target", "future start, other address", "no start, largest capacity"}
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(oddEntries)), func(name string) bool { return slices.Contains(plausible, name) })
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 6)
			random := rand.New(rand.NewPCG(seed, 7))
			victim, name, until := 0, "", time.Duration(0)
			sim.entries = func(list []TargetInfo) []TargetInfo {
				if sim.now >= until {
					victim, name = random.IntN(6), names[random.IntN(len(names))]
					until = sim.now + time.Duration(random.IntN(1500))*time.Millisecond
				}
				if victim < len(list) {
					oddEntries[name](&list[victim])
				}
				return list
			}
			sim.runWithFaults()
		})
	}
}

// TestOddEntriesUnderOtherIDs lists entries under ids of their own that have what belongs to a
// sound target. No target may lose its tasks, and no wave may take down too many instances.
func TestOddEntriesUnderOtherIDs(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 8)
			sim.failureRate, sim.maxDown, sim.checkUnavailable = 0, 2, true
			random := rand.New(rand.NewPCG(seed, 5))
			changes := slices.Sorted(maps.Keys(oddEntries))
			count := 0
			sim.entries = func(list []TargetInfo) []TargetInfo {
				for range 4 {
					if len(list) == 0 {
						break
					}
					count++
					odd := list[random.IntN(len(list))]
					oddEntries[changes[random.IntN(len(changes))]](&odd)
					odd.ID = fmt.Sprintf("%c%d", "az"[random.IntN(2)], count/40)
					list = append(list, odd)
				}
				return list
			}
			sim.takeOver(sim.now - time.Hour)
			sim.submit(newLongRunningJob("lasting", 4))
			sim.runFor(4 * time.Second)
			sim.wave = []WaveOrder{sim.waveOfAllInstances(27*time.Second, 2)}
			sim.owner.SetWaves(sim.wave)
			sim.runFor(40 * time.Second)
			require.Len(t, sim.maintenances, 8)
			require.Equal(t, 4, sim.countRunning("lasting"))
		})
	}
}

// TestRestartWhileHeartbeatIsUnanswered ends a target for the response of another one at its
// address while a heartbeat is unanswered. After its restart it must get heartbeats again.
func TestRestartWhileHeartbeatIsUnanswered(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	s := New(1, simTiming, sim.config, sim.stored, sim.clock(), Predecessor{})
	s.SetTargets(sim.targetList())
	s.Tick()
	heartbeats := func() (sent []Heartbeat) {
		for _, e := range s.Effects() {
			if h, ok := e.(Heartbeat); ok {
				sent = append(sent, h)
			}
		}
		return sent
	}
	first := heartbeats()
	require.Len(t, first, 1)
	s.HandleStopResponse(StopRun{Target: first[0].Target}, Response{Status: StatusOtherTarget})
	s.HandleHeartbeatResponse(first[0].Target, HeartbeatResponse{Response: Response{Status: StatusOtherTarget}})
	sim.restart("t0")
	sim.now += time.Second
	s.Advance(sim.clock())
	s.SetTargets(sim.targetList())
	s.Tick()
	require.Len(t, heartbeats(), 1)
}

// TestOddEntryShowsNoArrival lists an entry with the instance of a target that is down for
// maintenance. The instance must count as down until a target that responds runs on it.
func TestOddEntryShowsNoArrival(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	s := New(1, simTiming, sim.config, sim.stored, sim.clock(), Predecessor{})
	s.SetInstances([]InstanceInfo{{Instance: "mt0", Pool: "p", Maintenance: true}}, sim.now)
	sim.now += 10 * time.Millisecond
	s.Advance(sim.clock())
	info := sim.targetList()[0]
	s.SetTargets([]TargetInfo{info})
	require.False(t, s.fleet.instances["mt0"].Up)
	response := Response{Status: StatusOK, ClockMs: 1, ProcessStartMs: info.ProcessStartMs, SentAt: sim.now}
	s.HandleHeartbeatResponse(TargetRef{ID: info.ID, Address: info.Address}, HeartbeatResponse{Response: response})
	require.True(t, s.fleet.instances["mt0"].Up)
	require.Equal(t, "t0", s.fleet.instances["mt0"].Target)
}

// TestOddEntryDelaysNoMaintenance lists an entry with the instance of a standby pool, on which
// nothing runs. Its maintenance must be ordered all the same.
func TestOddEntryDelaysNoMaintenance(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	s := New(1, simTiming, sim.config, sim.stored, sim.clock(), Predecessor{})
	odd := sim.targetList()[0]
	odd.ID, odd.Instance, odd.Address = "a", "standby", "nowhere"
	s.SetTargets([]TargetInfo{odd})
	s.SetInstances([]InstanceInfo{{Instance: "standby", Pool: "off", Up: true}}, sim.now)
	s.SetWaves([]WaveOrder{{Wave: 1, Instances: []string{"standby"}, Duration: time.Minute, SeenAt: sim.now, MaxParallel: 1}})
	s.Tick()
	_, any := s.NextBatch()
	require.True(t, any)
	s.ConfirmBatch()
	require.Contains(t, s.Effects(), Effect(Maintain{Instance: "standby", Wave: 1, Token: 1}))
}
