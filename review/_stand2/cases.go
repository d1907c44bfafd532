package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const service = "storefront"

// newRunners returns runners of one service with 16 cores and 64 GB each.
func newRunners(count int) []*runner {
	var list []*runner
	for i := range count {
		list = append(list, &runner{
			id: fmt.Sprintf("i-7f3a91c%d", i), machine: fmt.Sprintf("m-0a3f%d", i), service: service, rack: fmt.Sprintf("r1-%d", i/4),
			cpu: 16000, memMB: 65536,
		})
	}
	return list
}

// sickRunner: one runner of seven crashes twice, each time right after it was given work. A job that could be
// done, and of which no run has ended as failed, must not be shown as failed.
func sickRunner(dir, program string) (int, error) {
	runners := newRunners(7)
	d, err := newDeployment(dir, program, runners, nil)
	if err != nil {
		return failed, err
	}
	defer d.close()
	d.configure(route{name: "r-quick", prefix: "/quick/", service: service, attempts: 3})
	if err := d.startNodes(); err != nil {
		return failed, err
	}
	// Usual load: the subtasks of one job keep six runners busy; the seventh has room.
	if !d.submit("/quick/00000000000000a1", behaviour{Ms: 15000}, step{"count": 6, "cpu": 12000, "mem_mb": 4000, "estimate_ms": 15000, "anti_affinity": 1}) {
		return failed, fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(time.Second)
	sick := runners[slices.IndexFunc(runners, func(r *runner) bool {
		return !slices.ContainsFunc(d.world.startsOf("00000000000000a1"), func(s start) bool { return s.runner == r.id })
	})]
	crashes := 0
	if d.trouble {
		d.world.mu.Lock()
		sick.downFor = 1500 * time.Millisecond
		sick.crashAfter = func(string, int) time.Duration {
			if crashes == 2 {
				return 0
			}
			crashes++
			return 25 * time.Millisecond
		}
		d.world.mu.Unlock()
	}
	job := "/quick/00000000000000b1"
	if !d.submit(job, behaviour{Ms: 2000}, step{"count": 3, "cpu": 5000, "mem_mb": 4000, "estimate_ms": 2000}) {
		return failed, fmt.Errorf("the second job was not accepted")
	}
	state, status := "", 0
	for begun := time.Now(); time.Since(begun) < 40*time.Second; time.Sleep(500 * time.Millisecond) {
		if state, status = d.state(job); state == "completed" || state == "failed" {
			break
		}
	}
	failures := 0
	for _, e := range d.world.endsOf("00000000000000b1") {
		if e.how == "failed" {
			failures++
		}
	}
	d.record.say("the job is shown as %q (%d); runs that ended as failed: %d; crashes of runner %s: %d", state, status, failures, sick.id, crashes)
	switch {
	case state == "failed" && failures == 0:
		d.record.say("LOST: an accepted job is shown as failed without cause")
		return broken, nil
	case state != "completed":
		return failed, fmt.Errorf("the job is %q", state)
	}
	return held, nil
}

// gangCheckpoints: a runner with members of gangs crashes. The new runs of one gang must carry the same checkpoint.
func gangCheckpoints(dir, program string) (int, error) {
	runners := newRunners(7)
	d, err := newDeployment(dir, program, runners, nil)
	if err != nil {
		return failed, err
	}
	defer d.close()
	d.configure(route{name: "r-build", prefix: "/build/", service: service, attempts: 4})
	if err := d.startNodes(); err != nil {
		return failed, err
	}
	var jobs []string
	for i := range 6 {
		id := fmt.Sprintf("00000000000000a%d", i)
		if !d.submit("/build/"+id, behaviour{Ms: 12000, Gang: 4, SaveMs: 1000},
			step{"count": 4, "cpu": 2000, "mem_mb": 4000, "estimate_ms": 12000, "gang": true, "checkpointing": true, "anti_affinity": 1}) {
			return failed, fmt.Errorf("a job was not accepted")
		}
		jobs = append(jobs, id)
		time.Sleep(170 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	if d.trouble {
		d.world.mu.Lock()
		worst := runners[0]
		for _, r := range runners {
			if len(r.runs) > len(worst.runs) {
				worst = r
			}
		}
		worst.downFor = 4 * time.Second
		worst.crash()
		d.world.mu.Unlock()
	}
	for begun := time.Now(); time.Since(begun) < 45*time.Second; time.Sleep(time.Second) {
		states := map[string]int{}
		for _, id := range jobs {
			state, _ := d.state("/build/" + id)
			states[state]++
		}
		if states["completed"] == len(jobs) {
			break
		}
	}
	wrong, gangs := 0, 0
	for _, id := range jobs {
		byRun := map[int][]string{}
		for _, s := range d.world.startsOf(id) {
			byRun[s.run] = append(byRun[s.run], s.checkpoint)
		}
		for run, checkpoints := range byRun {
			gangs++
			slices.Sort(checkpoints)
			if distinct := slices.Compact(slices.Clone(checkpoints)); len(distinct) > 1 {
				wrong++
				d.record.say("gang %s run %d is started with different checkpoints: %q", id, run, distinct)
			}
		}
	}
	d.record.say("runs of gangs: %d, with different checkpoints: %d", gangs, wrong)
	if wrong > 0 {
		d.record.say("UNASKED: members of a gang are told to start with a checkpoint that isn't the gang's")
		return broken, nil
	}
	return held, nil
}

// adviser is the service for advice. It handles one call at a time, in turn.
type adviser struct {
	record       *record
	decide, each time.Duration
	mu           sync.Mutex
	waiting      int
	// drops is set if a call is dropped whose caller has left before its turn.
	drops bool
	turn  chan struct{}
	// answered counts the calls that were handled, inTime those of which the caller still waited at the end.
	answered, inTime int
}

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err != nil || json.Unmarshal(body, &q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	if a.waiting >= 32 {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.mu.Unlock()
	a.turn <- struct{}{}
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	// A caller that has left before its turn gets no advice.
	if r.Context().Err() != nil {
		<-a.turn
		return
	}
	time.Sleep(a.decide + time.Duration(len(q.Workers))*a.each)
	<-a.turn
	good := [][2]string{}
	for _, id := range q.Workers {
		good = append(good, [2]string{id, q.Step + "-" + id})
	}
	a.mu.Lock()
	a.answered++
	if r.Context().Err() == nil {
		a.inTime++
	}
	a.mu.Unlock()
	a.record.add("advice on %s for %d runners; the caller still waits: %t", q.Step, len(q.Workers), r.Context().Err() == nil)
	respond(w, http.StatusOK, map[string]any{"good": good, "valid_ms": 3000})
}

// busyAdvice: many jobs come at once to a queue with advice.
func busyAdvice(dir, program string) (int, error) {
	a := &adviser{decide: 100 * time.Millisecond, each: 3 * time.Millisecond, turn: make(chan struct{}, 1)}
	d, err := newDeployment(dir, program, newRunners(6), a)
	if err != nil {
		return failed, err
	}
	a.record = d.record
	defer d.close()
	d.configure(route{name: "r-quick", prefix: "/quick/", service: service, attempts: 3, advice: map[string]any{"decide_ms": 100, "each_ms": 3, "valid_ms": 3000}})
	if err := d.startNodes(); err != nil {
		return failed, err
	}
	count := 120
	if !d.trouble {
		count = 12
	}
	var jobs []string
	begun := time.Now()
	for i := range count {
		id := fmt.Sprintf("0000000000000%03x", i+16)
		if !d.submit("/quick/"+id, behaviour{Ms: 300}, step{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 300}) {
			return failed, fmt.Errorf("a job was not accepted")
		}
		jobs = append(jobs, id)
		// 30 jobs a second.
		time.Sleep(time.Until(begun.Add(time.Duration(i+1) * time.Second / 30)))
	}
	d.record.say("end of the traffic: %d jobs", count)
	lost := 0
	for second := range 40 {
		time.Sleep(time.Second)
		lost = 0
		for _, id := range jobs {
			if len(d.world.startsOf(id)) == 0 {
				lost++
			}
		}
		if second%5 == 4 {
			d.record.say("jobs that haven't started: %d", lost)
		}
	}
	a.mu.Lock()
	answered, used := a.answered, a.inTime
	a.mu.Unlock()
	d.record.say("calls that the service for advice has handled: %d; answers that the caller waited for: %d", answered, used)
	if lost > 0 {
		d.record.say("LOST: %d accepted jobs have nothing running 40 s after the end of the traffic, though all runners are idle", lost)
		return broken, nil
	}
	return held, nil
}

// unlistedEnds: the node that gives the orders loses power while 1,100 small subtasks work on one runner; that comes
// five times, each time on another runner. Runners list 500 ends at a time. A subtask that has ended as done must
// not start again.
func unlistedEnds(dir, program string) (int, error) {
	const rounds, jobsPerRound, width = 5, 11, 100
	runners := newRunners(6)
	for i, r := range runners {
		r.rack = fmt.Sprintf("r1-%d", i)
	}
	d, err := newDeployment(dir, program, runners, nil)
	if err != nil {
		return failed, err
	}
	defer d.close()
	d.configure(route{name: "r-quick", prefix: "/quick/", service: service, attempts: 3},
		route{name: "r-print", prefix: "/print/", service: service, attempts: 3, priority: 1})
	if err := d.startNodes(); err != nil {
		return failed, err
	}
	for round := range rounds {
		if err := d.powerLoss(round, jobsPerRound, width); err != nil {
			return failed, err
		}
	}
	time.Sleep(3 * time.Second)
	var jobs []string
	for i := range 6 {
		id := fmt.Sprintf("00000000000000b%d", i)
		if !d.submit("/quick/"+id, behaviour{Ms: 400}, step{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 400}) {
			return failed, fmt.Errorf("a job was not accepted")
		}
		jobs = append(jobs, id)
	}
	d.record.say("end of the traffic")
	time.Sleep(16 * time.Second)
	again := d.world.startedAgain("0000000000000a")
	for _, r := range runners {
		d.world.mu.Lock()
		d.record.say("runner %s has %d ends that it was not told to forget", r.id, len(r.listed))
		d.world.mu.Unlock()
	}
	open := 0
	for _, id := range jobs {
		state, status := d.state("/quick/" + id)
		done := 0
		for _, e := range d.world.endsOf(id) {
			if e.how == "done" {
				done++
			}
		}
		d.record.say("later job %s: %q (%d), %d starts, %d of its runs have ended as done", id, state, status, len(d.world.startsOf(id)), done)
		if state != "completed" {
			open++
		}
	}
	d.record.say("later jobs that are not completed 16 s after the end of the traffic: %d", open)
	d.record.say("first jobs: %d starts of %d subtasks; starts after a run of the subtask had ended as done, an end that was taken note of: %d",
		len(d.world.startsOf("0000000000000a")), rounds*jobsPerRound*width, again)
	if again > 0 {
		d.record.say("TWICE: subtasks were started again after they had ended as done")
		return broken, nil
	}
	return held, nil
}

// powerLoss hands in jobs with many small subtasks, whose data are in the rack of one runner. Once all have started,
// the node that gives the orders loses power for 3.5 s.
func (d *deployment) powerLoss(round, jobs, width int) error {
	prefix := fmt.Sprintf("0000000000000a%d", round)
	for i := range jobs {
		// The first two thirds come to a queue of lower priority.
		queue := "print"
		if 3*i >= 2*jobs-1 {
			queue = "quick"
		}
		if !d.submit(fmt.Sprintf("/%s/%s%x", queue, prefix, i), behaviour{Ms: 1900},
			step{"count": width, "cpu": 14, "mem_mb": 50, "estimate_ms": 1900, "data_rack": fmt.Sprintf("r1-%d", round)}) {
			return fmt.Errorf("a job was not accepted")
		}
	}
	for deadline := time.Now().Add(10 * time.Second); len(d.world.startsOf(prefix)) < jobs*width; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d subtasks have started", len(d.world.startsOf(prefix)))
		}
	}
	first := d.world.startsOf(prefix)
	d.record.say("%d subtasks have started within %v, and %d have ended", len(first), first[len(first)-1].at.Sub(first[0].at).Round(time.Millisecond), len(d.world.endsOf(prefix)))
	if !d.trouble {
		time.Sleep(8 * time.Second)
		return nil
	}
	n, err := d.owner()
	if err != nil {
		return err
	}
	d.record.say("SIGKILL to %s, which gives the orders", n.name)
	d.world.disrupted(time.Hour)
	n.signal(syscall.SIGKILL)
	n.await(time.Second)
	time.Sleep(3500 * time.Millisecond)
	if err := n.start(d.program); err != nil {
		return err
	}
	d.world.disrupted(contact)
	d.record.say("%s is started again", n.name)
	time.Sleep(4500 * time.Millisecond)
	return nil
}
