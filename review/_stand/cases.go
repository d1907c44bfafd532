package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// step is one step of a job.
func step(count, cpu, memMB int, estimate time.Duration, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "mem_mb": memMB, "estimate_ms": estimate.Milliseconds()}
	for k, v := range more {
		s[k] = v
	}
	return s
}

// minOverlap is how long two runs of a subtask must run at the same time to count.
const minOverlap = 50 * time.Millisecond

// overlaps returns the subtasks of which two runs ran at the same time, on runners that were up.
func (r *record) overlaps() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	now := r.now()
	for _, task := range r.tasks() {
		runs := r.runs[task]
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				from, to := max(a.start, b.start), now
				for _, s := range []*seenRun{a, b} {
					if s.end > 0 {
						to = min(to, s.end)
					}
				}
				if to-from >= minOverlap {
					broken = append(broken, fmt.Sprintf("TWICE: two runs of %s at the same time for %.3f s: %s", task, (to-from).Seconds(), r.describe(task)))
				}
			}
		}
	}
	return broken
}

// Figures of the case same-id.
const (
	sameIDRunners  = 9
	sameIDCrashes  = 8
	crashGap       = 5 * time.Second
	darkTime       = 500 * time.Millisecond
	sameIDInterval = 50 * time.Millisecond
)

// sameID lets one runner at a time crash and start again under the id that it had.
func sameID(w *world, program string) ([]string, error) {
	behave := func(string, int, string) (time.Duration, string) { return 700 * time.Millisecond, "done" }
	for i := range sameIDRunners {
		m := &machine{name: fmt.Sprintf("m-%d", i), pool: "p", cpu: 16000, memMB: 65536, labels: []string{"a", "r1"}, behave: behave}
		if err := w.cloud.addMachine(m); err != nil {
			return nil, err
		}
	}
	w.configure(1, 3, []string{"p"}, "")
	if err := w.startEntries(program, 3); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	length := crashGap * (sameIDCrashes + 1)
	stop := time.Now().Add(length)
	var group sync.WaitGroup
	group.Go(func() {
		for time.Now().Before(stop) {
			group.Go(func() {
				w.submit(newID(), "p", map[string]any{"spec": "work", "steps": []any{step(8, 100, 100, 700*time.Millisecond, nil)}})
			})
			time.Sleep(sameIDInterval)
		}
	})
	group.Go(func() {
		for range sameIDCrashes {
			time.Sleep(crashGap)
			if !w.trouble {
				continue
			}
			r := slices.MaxFunc(w.runners, func(a, b *runner) int { return a.busy() - b.busy() })
			r.goDark()
			time.Sleep(darkTime)
			r.wake()
			w.write(r)
		}
	})
	group.Wait()
	time.Sleep(4 * time.Second)
	return w.rec.overlaps(), nil
}

// Figures of the case cloud-out.
const (
	cloudMachines = 8
	// outage is two outages of 5 s, one right after the other.
	outage = 10 * time.Second
	// contact is how long nothing must be disturbed before a subtask that lasts must run.
	contact = 7 * time.Second
	// lasting is the number of subtasks of the job that lasts, and lastingCPU what each needs.
	lasting    = 4
	lastingCPU = 10000
)

// cloudOut lets the API of the machines go silent when the surplus of a pool is to leave it.
func cloudOut(w *world, program string) ([]string, error) {
	behave := func(_ string, _ int, spec string) (time.Duration, string) {
		if spec == "lasts" {
			return 0, ""
		}
		return time.Second, "done"
	}
	w.cloud.standby = "off"
	for i := range cloudMachines {
		m := &machine{name: fmt.Sprintf("m-%d", i), pool: "p", cpu: 16000, memMB: 65536, labels: []string{"a", fmt.Sprintf("r%d", i/4)}, behave: behave}
		if err := w.cloud.addMachine(m); err != nil {
			return nil, err
		}
	}
	w.configure(1, 3, []string{"p"}, "off")
	if err := w.startEntries(program, 3); err != nil {
		return nil, err
	}
	// A load that needs all machines of the pool, which then ends.
	loadEnd := time.Now().Add(14 * time.Second)
	var group sync.WaitGroup
	for time.Now().Before(loadEnd) {
		group.Go(func() {
			w.submit(newID(), "p", map[string]any{"spec": "work", "steps": []any{step(10, 2000, 1000, time.Second, nil)}})
		})
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	w.rec.add("the load ends; %d runners are in the pool", len(w.cloud.in("p")))
	if w.trouble {
		var once sync.Once
		over := make(chan struct{})
		w.cloud.setOnMove(func() {
			once.Do(func() {
				w.cloud.setSilent(true)
				time.AfterFunc(outage, func() {
					w.cloud.setSilent(false)
					close(over)
				})
			})
		})
		select {
		case <-over:
		case <-time.After(30 * time.Second):
			return nil, errors.New("no machine was to leave the pool")
		}
		w.cloud.setOnMove(nil)
	} else {
		time.Sleep(2*time.Second + outage)
	}
	time.Sleep(contact)
	id := newID()
	job := map[string]any{"spec": "lasts", "steps": []any{step(lasting, lastingCPU, 4000, time.Second, map[string]any{"long_running": true, "image": "img"})}}
	if !w.submit(id, "p", job) {
		return nil, errors.New("the job that lasts was not accepted")
	}
	return w.watchLasting(id), nil
}

// watchLasting returns the subtasks of a job that lasts that are not at work though more than half
// of the service's capacity is idle and two runners or more have room for each of them.
func (w *world) watchLasting(id string) []string {
	const watch = 25 * time.Second
	end := time.Now().Add(watch)
	since := map[string]time.Time{}
	broken := map[string]string{}
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		runners := w.cloud.in("p")
		used, room, missing := 0, 0, []string{}
		running := map[string]bool{}
		for _, r := range runners {
			load := 0
			for _, task := range r.tasks() {
				running[task] = true
				load += lastingCPU
			}
			used += load
			if r.cpu-load >= lastingCPU {
				room++
			}
		}
		for i := range lasting {
			if task := fmt.Sprintf("%s.0.0.%d", id, i); !running[task] {
				missing = append(missing, task)
			}
		}
		capacity := 16000 * len(runners)
		for task := range since {
			if running[task] {
				delete(since, task)
			}
		}
		for _, task := range missing {
			if room < 2*len(missing) || 2*used >= capacity {
				delete(since, task)
				continue
			}
			if since[task].IsZero() {
				since[task] = time.Now()
			}
			// A subtask that has never run has 6 s from its acceptance, and 3 s more.
			if waited := time.Since(since[task]); waited > 9*time.Second {
				broken[task] = fmt.Sprintf("LOST: %s has nothing running for %.1f s, with %d of %d cores of the service in use and room for it on %d runners: %s",
					task, waited.Seconds(), used/1000, capacity/1000, room, strings.Join(w.rec.runnersOf(runners), ", "))
			}
		}
	}
	w.state(id, "p")
	return slices.Sorted(maps.Values(broken))
}

// Figures of the case dropped-route.
const (
	dropAttempts = 2
	dropWork     = 12 * time.Second
)

// droppedRoute removes the queue of a hopeless job, and restarts the entry instances in turn.
func droppedRoute(w *world, program string) ([]string, error) {
	behave := func(_ string, _ int, spec string) (time.Duration, string) {
		if spec == "hopeless" {
			return dropWork, "failed"
		}
		return time.Second, "done"
	}
	for i := range 3 {
		m := &machine{name: fmt.Sprintf("m-%d", i), pool: "p", cpu: 16000, memMB: 65536, labels: []string{"a", "r1"}, behave: behave}
		if err := w.cloud.addMachine(m); err != nil {
			return nil, err
		}
	}
	p, other := route{"q-p", queueHost, queuePath + "p/", "p", 0, dropAttempts, 1.6, 600, nil}, route{"q-o", queueHost, queuePath + "o/", "p", 0, dropAttempts, 1.6, 600, nil}
	w.publish(1, []route{p, other}, []string{"p"}, "")
	if err := w.startEntries(program, 3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	id := newID()
	if !w.submit(id, "p", map[string]any{"spec": "hopeless", "steps": []any{step(2, 1000, 1000, dropWork, nil)}}) {
		return nil, errors.New("the job was not accepted")
	}
	time.Sleep(time.Second)
	if w.trouble {
		w.publish(4, []route{other}, []string{"p"}, "")
		time.Sleep(3 * time.Second)
		for _, e := range w.entries {
			if err := w.restart(e); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(time.Until(w.rec.begin.Add(70 * time.Second)))
	w.state(id, "p")
	return w.rec.beyond(dropAttempts), nil
}

// beyond returns the subtasks that were started after so many runs had ended as failed, of which the
// ends were taken note of.
func (r *record) beyond(attempts int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	for _, task := range r.tasks() {
		for _, s := range r.runs[task] {
			failed := 0
			for _, before := range r.runs[task] {
				if before.how == "failed" && before.end < s.start && before.noted > 0 {
					failed++
				}
			}
			if failed >= attempts {
				broken = append(broken, fmt.Sprintf("BUDGET: %s run %d starts after %d runs have ended as failed: %s", task, s.run, failed, r.describe(task)))
				break
			}
		}
	}
	return broken
}

// Figures of the case more-runners.
const (
	baseRunners  = 30
	addedRunners = 7
	addTime      = 2 * time.Second
	adviceGap    = 125 * time.Millisecond
	finishTime   = 14 * time.Second
)

// moreRunners adds runners to a pool whose queue needs tickets.
func moreRunners(w *world, program string) ([]string, error) {
	behave := func(string, int, string) (time.Duration, string) { return 400 * time.Millisecond, "done" }
	add := func() error {
		w.mu.Lock()
		n := len(w.runners)
		w.mu.Unlock()
		m := &machine{name: fmt.Sprintf("m-%d", n), pool: "p", cpu: 16000, memMB: 65536, labels: []string{"a", fmt.Sprintf("r%d", n/4)}, behave: behave, ticketed: true}
		return w.cloud.addMachine(m)
	}
	w.cloud.randomIDs = true
	for range baseRunners {
		if err := add(); err != nil {
			return nil, err
		}
	}
	tickets := map[string]int64{"decide_ms": decideTime.Milliseconds(), "each_ms": eachTime.Milliseconds(), "valid_ms": ticketTime.Milliseconds()}
	w.publish(1, []route{{"q-p", queueHost, queuePath + "p/", "p", 0, 3, 1.6, 600, tickets}}, []string{"p"}, "")
	if err := w.startEntries(program, 3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var jobs []string
	var group sync.WaitGroup
	load := func(length time.Duration) {
		for stop := time.Now().Add(length); time.Now().Before(stop); time.Sleep(adviceGap) {
			group.Go(func() {
				id := newID()
				if w.submit(id, "p", map[string]any{"spec": "work", "steps": []any{step(2, 1000, 1000, 400*time.Millisecond, nil)}}) {
					mu.Lock()
					defer mu.Unlock()
					jobs = append(jobs, id)
				}
			})
		}
	}
	load(5 * time.Second)
	if w.trouble {
		for range addedRunners {
			if err := add(); err != nil {
				return nil, err
			}
			time.Sleep(addTime / addedRunners)
		}
	}
	load(30 * time.Second)
	group.Wait()
	w.rec.add("the traffic ends after %d accepted jobs", len(jobs))
	time.Sleep(finishTime)
	// For 3 s nothing runs at all, so that the whole service is free.
	idleSince := time.Now()
	for time.Since(idleSince) < 3*time.Second {
		time.Sleep(50 * time.Millisecond)
		for _, r := range w.runners {
			if r.busy() > 0 {
				return nil, errors.New("a runner works long after the traffic")
			}
		}
	}
	var broken []string
	for _, id := range jobs {
		state := w.state(id, "p")
		if state == "completed" {
			continue
		}
		good, unasked, asked := w.advice.describe(id + ".0.0")
		broken = append(broken, fmt.Sprintf("LOST: job %s is %s and nothing of it runs, %v after the traffic, with every runner idle: the policy allows %v; the advice service was asked about %d runners, not about %v",
			id, state, finishTime+3*time.Second, good, asked, unasked))
	}
	return broken, nil
}
