package cransched

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// The successor reaches other targets than its predecessor, which goes on granting leases until it must stop (TWICE).
func TestFormerOwnerActsBesideItsSuccessor(t *testing.T) {
	seeds := uint64(8)
	if testing.Short() {
		seeds = 4
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 9)
			sim.formerOwnersAct, sim.longPolls, sim.keepIDs, sim.briefResponses = true, seed%2 == 0, true, true
			sim.failureRate, sim.noResponseRate, sim.lossRate = 0, 0.02, 0.02
			sim.takeOver(sim.now - time.Hour)
			sim.submit(newLongRunningJob("lasting", 4))
			estimateMs := []int64{200, 640, 3000}[seed%3]
			for range 30 {
				sim.runTasksOf(estimateMs, time.Second)
				ids := slices.Sorted(maps.Keys(sim.targets))
				victim := ids[sim.random.IntN(len(ids))]
				switch sim.random.IntN(4) {
				case 0:
					sim.goDark(victim, time.Duration(5+sim.random.IntN(600))*time.Millisecond)
				case 1:
					sim.cutOff(sim.ownerID, victim)
				case 2:
					for _, id := range ids {
						if sim.random.IntN(3) == 0 {
							sim.cutOff(sim.ownerID+1, id)
						}
					}
					sim.takeOver(sim.now + time.Duration(sim.random.Int64N(int64(OwnershipTimeout))))
				}
			}
			sim.noResponseRate, sim.lossRate = 0, 0
			sim.runFor(60 * time.Second)
			sim.requireNothingHeld()
		})
	}
}

// cutOff keeps an owner from reaching a target for up to 12 seconds.
func (sim *simulation) cutOff(owner int, id string) {
	if sim.cutOffUntil[owner] == nil {
		sim.cutOffUntil[owner] = map[string]time.Duration{}
	}
	sim.cutOffUntil[owner][id] = sim.now + time.Duration(sim.random.IntN(12000))*time.Millisecond
}

// The owner is suspended for less or more than a lease, and resumes with a tick or with the responses (TWICE).
func TestSuspendedOwnerReleasesNoRunTooEarly(t *testing.T) {
	seeds := uint64(8)
	if testing.Short() {
		seeds = 4
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 9)
			sim.longPolls, sim.keepIDs, sim.briefResponses = seed%2 == 0, true, true
			sim.failureRate, sim.noResponseRate, sim.lossRate = 0, 0.02, 0.02
			sim.takeOver(sim.now - time.Hour)
			sim.submit(newLongRunningJob("lasting", 4))
			estimateMs := []int64{200, 640, 3000}[seed%3]
			for range 20 {
				sim.runTasksOf(estimateMs, time.Second)
				ids := slices.Sorted(maps.Keys(sim.targets))
				victim := ids[sim.random.IntN(len(ids))]
				switch sim.random.IntN(3) {
				case 0:
					sim.goDark(victim, time.Duration(5+sim.random.IntN(600))*time.Millisecond)
				case 1:
					sim.cutOff(sim.ownerID, victim)
				case 2:
					sim.suspendOwner(time.Duration(sim.random.IntN(9000)) * time.Millisecond)
				}
			}
			sim.noResponseRate, sim.lossRate = 0, 0
			sim.runFor(60 * time.Second)
			sim.requireNothingHeld()
		})
	}
}

// suspendOwner suspends the process of the owner, which no other replaces. After more than OwnershipTimeout its orders
// are withheld until it has renewed its claim.
func (sim *simulation) suspendOwner(length time.Duration) {
	sim.suspendedUntil = sim.now + length
	if length >= OwnershipTimeout {
		sim.mayOrderFrom = sim.suspendedUntil + 50*time.Millisecond
	}
	sim.runFor(length)
}

// whenRunning performs what the owner's process does, once it runs again if it is suspended.
func (sim *simulation) whenRunning(perform func()) {
	if sim.now < sim.suspendedUntil {
		sim.schedule(sim.suspendedUntil-sim.now+time.Duration(sim.random.IntN(30))*time.Millisecond, func() { sim.whenRunning(perform) })
		return
	}
	perform()
}
