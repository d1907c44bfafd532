package cranslot

import (
	"testing"

	"pgregory.net/rapid"
)

// recoveryRounds is enough for the longest retry interval to pass several
// times.
const recoveryRounds = 40

func TestNoSlotIsUsedTwiceAndNoneIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(2, 4).Draw(t, "members"))
		t.Repeat(map[string]func(*rapid.T){
			"acquire":    func(*rapid.T) { f.acquire(f.pick(f.alive())) },
			"acquire2":   func(*rapid.T) { f.acquire(f.pick(f.alive())) },
			"avoid":      func(t *rapid.T) { f.acquireAvoided(t) },
			"release":    func(t *rapid.T) { f.releaseRandom(t) },
			"release2":   func(t *rapid.T) { f.releaseRandom(t) },
			"wait":       func(t *rapid.T) { f.setRandomWaiting(t) },
			"tick":       func(t *rapid.T) { f.tick(f.pick(f.alive()), rapid.SampledFrom([]int{1, 1, 1, 4, 70}).Draw(t, "steps")) },
			"tick2":      func(*rapid.T) { f.tick(f.pick(f.alive()), 1) },
			"deliver":    func(t *rapid.T) { f.deliverRandom(t, false) },
			"deliver2":   func(t *rapid.T) { f.deliverRandom(t, false) },
			"deliver3":   func(t *rapid.T) { f.deliverRandom(t, false) },
			"duplicate":  func(t *rapid.T) { f.deliverRandom(t, true) },
			"lose":       func(t *rapid.T) { f.loseRandom(t) },
			"setView":    func(*rapid.T) { f.applyNextView(f.pick(f.alive())) },
			"setView2":   func(*rapid.T) { f.applyNextView(f.pick(f.alive())) },
			"kill":       func(t *rapid.T) { f.killRandom(t) },
			"withdraw":   func(t *rapid.T) { f.removeOneDead(t) },
			"join":       func(t *rapid.T) { f.joinRandom(t) },
			"reassign":   func(*rapid.T) { f.reassignSlot() },
			"toggleOpen": func(*rapid.T) { f.toggleOpen() },
			"":           func(*rapid.T) { f.checkCounts() },
		})
		f.recoverAll()
		f.checkAllUsable()
	})
}

func (f *fleet) releaseRandom(t *rapid.T) {
	name := f.pick(f.alive())
	if n := len(f.processes[name].used); n > 0 {
		f.release(name, rapid.IntRange(0, n-1).Draw(t, "used"))
	}
}

// acquireAvoided makes a request that avoids every instance.
func (f *fleet) acquireAvoided(t *rapid.T) {
	b := f.processes[f.pick(f.alive())].broker
	if _, ok := b.TryAcquire(fleetGroup, func(string) bool { return true }); ok {
		t.Fatal("TryAcquire returned a slot of an avoided instance")
	}
}

func (f *fleet) setRandomWaiting(t *rapid.T) {
	n := rapid.SampledFrom([]int{0, 2, 5, 9}).Draw(t, "waiting")
	f.processes[f.pick(f.alive())].broker.SetWaiting(fleetGroup, n)
}

func (f *fleet) deliverRandom(t *rapid.T, duplicate bool) {
	if n := len(f.network); n > 0 {
		f.deliver(rapid.IntRange(0, n-1).Draw(t, "message"), duplicate)
	}
}

func (f *fleet) loseRandom(t *rapid.T) {
	if n := len(f.network); n > 0 {
		at := rapid.IntRange(0, n-1).Draw(t, "message")
		f.network = append(f.network[:at], f.network[at+1:]...)
	}
}

func (f *fleet) killRandom(t *rapid.T) {
	if alive := f.alive(); len(alive) > 1 && len(f.names) < 8 && rapid.IntRange(0, 2).Draw(t, "kill") == 0 {
		f.processes[f.pick(alive)].alive = false
	}
}

// removeOneDead removes the first dead member that is still in the view.
func (f *fleet) removeOneDead(*rapid.T) {
	for _, m := range f.latest().Members() {
		if !f.processes[m].alive {
			f.removeMember(m)
			return
		}
	}
}

func (f *fleet) joinRandom(t *rapid.T) {
	if len(f.names) < 8 && rapid.IntRange(0, 2).Draw(t, "join") == 0 {
		f.join()
	}
}

// checkCounts compares the brokers' counts with those of the oracle.
func (f *fleet) checkCounts() {
	perInstance := make(map[string]int)
	for key := range f.users {
		perInstance[key.instance]++
	}
	for id, n := range perInstance {
		if n > slotsPerInstance {
			f.t.Fatalf("%d requests are in progress on instance %s, which is more than its slots", n, id)
		}
	}
	for _, name := range f.alive() {
		p := f.processes[name]
		counted := make(map[string]int)
		for _, s := range p.used {
			counted[s.Instance()]++
		}
		for _, iv := range f.latest().instances {
			if got := p.broker.InProgress(iv.ID); got != counted[iv.ID] {
				f.t.Fatalf("member %s counts %d requests in progress on instance %s, want %d", name, got, iv.ID, counted[iv.ID])
			}
		}
	}
}

// recoverAll ends the faults and all requests, and delivers messages for many
// steps.
func (f *fleet) recoverAll() {
	f.removeAllDead()
	f.change(func(_ uint64, members []string, list []InstanceView) ([]string, []InstanceView) {
		for i := range list {
			list[i].Open = true
		}
		return members, list
	})
	for _, name := range f.alive() {
		p := f.processes[name]
		p.broker.SetWaiting(fleetGroup, 0)
		p.broker.SetView(f.latest())
		for len(p.used) > 0 {
			f.release(name, 0)
		}
	}
	for range recoveryRounds {
		for _, name := range f.alive() {
			f.tick(name, 20)
		}
		for len(f.network) > 0 {
			f.deliver(0, false)
		}
	}
}

func (f *fleet) removeAllDead() {
	for _, m := range f.latest().Members() {
		if !f.processes[m].alive {
			f.removeMember(m)
		}
	}
}

// checkAllUsable makes every member acquire all slots that it can. Together
// they must get every slot.
func (f *fleet) checkAllUsable() {
	for _, name := range f.alive() {
		for f.acquire(name) {
			continue
		}
	}
	if got, want := len(f.users), fleetInstances*slotsPerInstance; got != want {
		f.t.Fatalf("%d of %d slots are usable after the faults", got, want)
	}
}
