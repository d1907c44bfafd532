package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment.
const (
	holdMax       = 6 * time.Second
	saveInterval  = time.Second
	restoreTime   = 250 * time.Millisecond
	heartbeatTime = 1500 * time.Millisecond
	moveTime      = 1500 * time.Millisecond
	upkeepTime    = 2 * time.Second
	maxListedEnds = 500
)

// plan is what a subtask does, as its specification says: "work=8000 saves ticket".
type plan struct {
	work   time.Duration
	saves  bool
	ticket bool
}

func parsePlan(spec string) plan {
	p := plan{work: time.Second}
	for _, word := range strings.Fields(spec) {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "work":
			p.work = time.Duration(n) * time.Millisecond
		case "saves":
			p.saves = true
		case "ticket":
			p.ticket = true
		}
	}
	return p
}

// taskRun is a run on a runner.
type taskRun struct {
	task       string
	number     int
	plan       plan
	checkpoint string
	begunAt    time.Time
	// saved is the work that is saved, from is the work that the checkpoint had.
	from, saved time.Duration
	runner      *runner
}

type ended struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

// runner is one life of a machine, as the pages describe it. All runners share the lock of the world.
type runner struct {
	world    *world
	id       string
	machine  string
	service  string
	rack     string
	cpu, mem int
	address  string
	born     time.Time
	token    uint64
	lease    time.Time
	runs     map[string]*taskRun
	closed   map[string]int
	ends     []ended
	endCount int64
	observed int64
	dead     bool
	// state is that of the machine while it moves or has its upkeep, and lives counts its runners.
	state   string
	lives   int
	server  *http.Server
	changed chan struct{}
	beat    int
}

// world holds the runners, and what the judge has seen.
type world struct {
	mu          sync.Mutex
	record      *record
	runners     []*runner
	starts      []start
	taken       []takenEnd
	tickets     map[string]bool
	quietStarts bool
}

// start is a subtask that a runner has begun on an order.
type start struct {
	at         time.Time
	task       string
	run        int
	runner     string
	checkpoint string
}

// takenEnd is an end; notedAt is when it was taken note of.
type takenEnd struct {
	at, notedAt time.Time
	task        string
	run         int
	how, runner string
}

func newWorld(r *record) *world {
	return &world{record: r, tickets: map[string]bool{}}
}

func (w *world) addRunner(id, service, rack string, cpu, mem int) (*runner, error) {
	r := &runner{world: w, id: id, machine: "m-" + id, service: service, rack: rack, cpu: cpu, mem: mem}
	w.runners = append(w.runners, r)
	return r, r.begin("127.0.0.1:0")
}

// begin starts a life of the runner.
func (r *runner) begin(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.world.mu.Lock()
	r.address, r.born, r.token, r.lease = l.Addr().String(), time.Now(), 0, time.Time{}
	r.runs, r.closed, r.ends, r.endCount, r.observed = map[string]*taskRun{}, map[string]int{}, nil, 0, 0
	r.dead, r.changed = false, make(chan struct{})
	r.server = &http.Server{Handler: r}
	server := r.server
	r.world.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the life of the runner: everything that runs there is gone, and nothing is reported.
func (r *runner) crash() {
	r.world.mu.Lock()
	r.dead = true
	for _, t := range r.runs {
		r.world.record.say("run of %s (run %d) is lost with %s", t.task, t.number, r.id)
	}
	r.runs = map[string]*taskRun{}
	server := r.server
	r.world.mu.Unlock()
	_ = server.Close()
}

func (r *runner) entry() []byte {
	r.beat++
	text, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": "z-a", "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "sequence": r.beat, "born": r.born.UnixMilli(), "machine": r.machine,
		"capacity": map[string]int{"cpu": r.cpu, "mem_mb": r.mem, "gpu": 0}, "labels": []string{"a", r.rack},
	})
	return text
}

func (r *runner) clockMs() int64 { return time.Since(r.born).Milliseconds() + 1 }

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Token      uint64 `json:"fencing_token"`
	DeadlineMs int64  `json:"deadline_ms"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Observed   int64  `json:"observed"`
	WaitMs     int64  `json:"wait_ms"`
}

// ServeHTTP answers the calls of PROTOCOL.md, "Running subtasks".
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.Header.Get("X-Cranberrypick-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.world.mu.Lock()
	if o.Token < r.token {
		r.world.mu.Unlock()
		r.answer(w, "fence")
		return
	}
	r.token = o.Token
	r.advance()
	switch q.URL.Path {
	case "/run-start":
		reason := r.start(o)
		r.world.mu.Unlock()
		r.answer(w, reason)
	case "/run-stop":
		r.closed[o.Task] = max(r.closed[o.Task], o.Run)
		if t := r.runs[o.Task]; t != nil && t.number <= o.Run {
			r.end(t, "stopped")
		}
		r.world.mu.Unlock()
		r.answer(w, "")
	case "/pace":
		r.world.mu.Unlock()
		r.answer(w, "")
	case "/hold":
		r.renew(o.DeadlineMs)
		r.observe(o.Observed)
		r.world.mu.Unlock()
		r.report(w, q, time.Duration(o.WaitMs)*time.Millisecond)
	default:
		r.world.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) answer(w http.ResponseWriter, reason string) {
	m := map[string]any{"clock_ms": r.clockMs(), "born": r.born.UnixMilli()}
	status := http.StatusOK
	if reason != "" {
		m["reason"], status = reason, http.StatusConflict
	}
	writeJSON(w, status, m)
}

func (r *runner) renew(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	d := r.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(holdMax); d.After(latest) {
		d = latest
	}
	if d.After(r.lease) {
		r.lease = d
	}
}

func (r *runner) start(o order) string {
	if t := r.runs[o.Task]; t != nil && t.number == o.Run {
		return ""
	}
	if o.Run <= r.closed[o.Task] {
		r.renew(o.DeadlineMs)
		return "old"
	}
	if o.DeadlineMs > 0 && o.DeadlineMs < r.clockMs() {
		return "late"
	}
	p := parsePlan(o.Spec)
	if p.ticket && !r.world.tickets[o.Ticket+" "+r.id] {
		return "ticket"
	}
	r.renew(o.DeadlineMs)
	if t := r.runs[o.Task]; t != nil {
		r.end(t, "stopped")
	}
	now := time.Now()
	t := &taskRun{task: o.Task, number: o.Run, plan: p, checkpoint: o.Checkpoint, begunAt: now, runner: r}
	if ms, err := strconv.ParseUint(o.Checkpoint[:min(len(o.Checkpoint), 8)], 16, 32); err == nil {
		t.from = time.Duration(ms) * time.Millisecond
		t.saved = t.from
	}
	r.runs[o.Task] = t
	r.world.starts = append(r.world.starts, start{now, o.Task, o.Run, r.id, o.Checkpoint})
	if !r.world.quietStarts {
		r.world.record.say("start of %s run %d on %s checkpoint %q", o.Task, o.Run, r.id, o.Checkpoint)
	}
	r.notify()
	return ""
}

// checkpointOf returns the checkpoint for an amount of saved work of a subtask.
func checkpointOf(task string, saved time.Duration) string {
	if saved == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%s", saved.Milliseconds(), task[4:12])
}

// advance saves and ends what is due by now.
func (r *runner) advance() {
	now := time.Now()
	tasks := make([]string, 0, len(r.runs))
	for name := range r.runs {
		tasks = append(tasks, name)
	}
	sort.Strings(tasks)
	for _, name := range tasks {
		t := r.runs[name]
		if t == nil {
			continue
		}
		if !r.lease.IsZero() && now.After(r.lease) {
			r.end(t, "lapsed")
			continue
		}
		worked := now.Sub(t.begunAt)
		if t.from > 0 {
			worked = max(worked-restoreTime, 0)
		}
		done := t.from + worked
		if t.plan.saves {
			t.saved = max(t.saved, t.from+worked/saveInterval*saveInterval)
		}
		if done >= t.plan.work {
			r.end(t, "done")
		}
	}
}

// end ends a run.
func (r *runner) end(t *taskRun, how string) {
	delete(r.runs, t.task)
	r.closed[t.task] = max(r.closed[t.task], t.number)
	r.endCount++
	saved := checkpointOf(t.task, t.saved)
	r.ends = append(r.ends, ended{r.endCount, t.task, t.number, how, saved})
	if !r.world.quietStarts {
		r.world.record.say("end of %s run %d on %s: %s, saved %q", t.task, t.number, r.id, how, saved)
	}
	r.world.taken = append(r.world.taken, takenEnd{at: time.Now(), task: t.task, run: t.number, how: how, runner: r.id})
	r.notify()
}

func (r *runner) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// observe forgets ends. An end is taken note of when observed reaches it.
func (r *runner) observe(observed int64) {
	kept := r.ends[:0:0]
	for _, e := range r.ends {
		if e.number > observed {
			kept = append(kept, e)
			continue
		}
		for i := range r.world.taken {
			k := &r.world.taken[i]
			if k.task == e.task && k.run == e.run && k.runner == r.id && k.notedAt.IsZero() {
				k.notedAt = time.Now()
				if !r.world.quietStarts {
					r.world.record.say("end of %s run %d on %s is taken note of", e.task, e.run, r.id)
				}
			}
		}
	}
	r.ends = kept
}

// report answers a hold: with both lists, as soon as there is an end or the wait is over.
func (r *runner) report(w http.ResponseWriter, q *http.Request, wait time.Duration) {
	until := time.Now().Add(wait)
	for {
		r.world.mu.Lock()
		r.advance()
		if r.dead || len(r.ends) > 0 || !time.Now().Before(until) {
			break
		}
		changed := r.changed
		r.world.mu.Unlock()
		timer := time.NewTimer(min(time.Until(until), 20*time.Millisecond))
		select {
		case <-q.Context().Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	running, finished := [][]any{}, [][]any{}
	for _, t := range r.runs {
		running = append(running, []any{t.task, t.number, checkpointOf(t.task, t.saved), 100, 0})
	}
	for _, e := range r.ends[:min(len(r.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	m := map[string]any{"clock_ms": r.clockMs(), "born": r.born.UnixMilli(), "running": running, "finished": finished}
	r.world.mu.Unlock()
	writeJSON(w, http.StatusOK, m)
}

func writeJSON(w http.ResponseWriter, status int, m any) {
	text, _ := json.Marshal(m)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
