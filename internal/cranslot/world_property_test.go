package cranslot

import (
	"testing"

	"pgregory.net/rapid"
)

// healRounds is enough for the longest repeat interval to pass several times.
const healRounds = 40

func TestNoSlotIsUsedTwiceAndNoneIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 4).Draw(t, "members"))
		t.Repeat(map[string]func(*rapid.T){
			"acquire":   func(*rapid.T) { w.acquire(w.any(w.living())) },
			"acquire2":  func(*rapid.T) { w.acquire(w.any(w.living())) },
			"avoid":     func(t *rapid.T) { w.avoidAny(t) },
			"release":   func(t *rapid.T) { w.releaseAny(t) },
			"release2":  func(t *rapid.T) { w.releaseAny(t) },
			"wait":      func(t *rapid.T) { w.waitAny(t) },
			"tick":      func(t *rapid.T) { w.tick(w.any(w.living()), rapid.SampledFrom([]int{1, 1, 1, 4, 70}).Draw(t, "steps")) },
			"tick2":     func(*rapid.T) { w.tick(w.any(w.living()), 1) },
			"deliver":   func(t *rapid.T) { w.deliverAny(t, false) },
			"deliver2":  func(t *rapid.T) { w.deliverAny(t, false) },
			"deliver3":  func(t *rapid.T) { w.deliverAny(t, false) },
			"duplicate": func(t *rapid.T) { w.deliverAny(t, true) },
			"lose":      func(t *rapid.T) { w.loseAny(t) },
			"seeView":   func(*rapid.T) { w.seeNext(w.any(w.living())) },
			"seeView2":  func(*rapid.T) { w.seeNext(w.any(w.living())) },
			"kill":      func(t *rapid.T) { w.killAny(t) },
			"writeOff":  func(t *rapid.T) { w.writeOffAny(t) },
			"join":      func(t *rapid.T) { w.joinAny(t) },
			"rehome":    func(*rapid.T) { w.rehome() },
			"toggle":    func(*rapid.T) { w.toggle() },
			"":          func(*rapid.T) { w.check() },
		})
		w.heal()
		w.checkAllUsable()
	})
}

func (w *world) releaseAny(t *rapid.T) {
	name := w.any(w.living())
	if n := len(w.processes[name].used); n > 0 {
		w.release(name, rapid.IntRange(0, n-1).Draw(t, "used"))
	}
}

// avoidAny lets a request find every instance avoided.
func (w *world) avoidAny(t *rapid.T) {
	b := w.processes[w.any(w.living())].broker
	if _, ok := b.TryAcquire(worldGroup, func(string) bool { return true }); ok {
		t.Fatal("a slot of an avoided instance")
	}
}

func (w *world) waitAny(t *rapid.T) {
	n := rapid.SampledFrom([]int{0, 2, 5, 9}).Draw(t, "waiting")
	w.processes[w.any(w.living())].broker.SetWaiting(worldGroup, n)
}

func (w *world) deliverAny(t *rapid.T, duplicate bool) {
	if n := len(w.network); n > 0 {
		w.deliver(rapid.IntRange(0, n-1).Draw(t, "message"), duplicate)
	}
}

func (w *world) loseAny(t *rapid.T) {
	if n := len(w.network); n > 0 {
		at := rapid.IntRange(0, n-1).Draw(t, "message")
		w.network = append(w.network[:at], w.network[at+1:]...)
	}
}

func (w *world) killAny(t *rapid.T) {
	if living := w.living(); len(living) > 1 && len(w.names) < 8 && rapid.IntRange(0, 2).Draw(t, "kill") == 0 {
		w.processes[w.any(living)].alive = false
	}
}

// writeOffAny removes the first dead member that is still in the view.
func (w *world) writeOffAny(*rapid.T) {
	for _, m := range w.latest().Members() {
		if !w.processes[m].alive {
			w.writeOff(m)
			return
		}
	}
}

func (w *world) joinAny(t *rapid.T) {
	if len(w.names) < 8 && rapid.IntRange(0, 2).Draw(t, "join") == 0 {
		w.join()
	}
}

// check compares the brokers' counts with the oracle's.
func (w *world) check() {
	perInstance := make(map[string]int)
	for key := range w.users {
		perInstance[key.instance]++
	}
	for id, n := range perInstance {
		if n > worldSlots {
			w.t.Fatalf("%d requests in progress on %s", n, id)
		}
	}
	for _, name := range w.living() {
		p := w.processes[name]
		counted := make(map[string]int)
		for _, s := range p.used {
			counted[s.Instance()]++
		}
		for _, iv := range w.latest().instances {
			if got := p.broker.InProgress(iv.ID); got != counted[iv.ID] {
				w.t.Fatalf("%s counts %d in progress on %s, want %d", name, got, iv.ID, counted[iv.ID])
			}
		}
	}
}

// heal ends the faults and all requests, and lets messages flow for long.
func (w *world) heal() {
	w.writeOffAll()
	w.change(func(_ uint64, members []string, list []InstanceView) ([]string, []InstanceView) {
		for i := range list {
			list[i].Open = true
		}
		return members, list
	})
	for _, name := range w.living() {
		p := w.processes[name]
		p.broker.SetWaiting(worldGroup, 0)
		p.broker.SetView(w.latest())
		for len(p.used) > 0 {
			w.release(name, 0)
		}
	}
	for range healRounds {
		for _, name := range w.living() {
			w.tick(name, 20)
		}
		for len(w.network) > 0 {
			w.deliver(0, false)
		}
	}
}

func (w *world) writeOffAll() {
	for _, m := range w.latest().Members() {
		if !w.processes[m].alive {
			w.writeOff(m)
		}
	}
}

// checkAllUsable lets every member take all that it can: together they must
// get every slot.
func (w *world) checkAllUsable() {
	for _, name := range w.living() {
		for w.acquire(name) {
			continue
		}
	}
	if got, want := len(w.users), worldInstances*worldSlots; got != want {
		w.t.Fatalf("%d of %d slots usable after the faults", got, want)
	}
}
