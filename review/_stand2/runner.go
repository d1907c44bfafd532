package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the settings that runners keep.
const (
	holdMax     = 6000 * time.Millisecond
	gangTimeout = 3000 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	contact     = 3000 * time.Millisecond
)

// behaviour is what a subtask does. It stands in the spec of the job as JSON.
type behaviour struct {
	// Ms is how long a subtask works; 0 lets it last until it is stopped.
	Ms int64 `json:"ms"`
	// MoreMs is how much longer each subtask works than the one before it.
	MoreMs int64 `json:"more_ms,omitempty"`
	// Fail makes each run end as failed.
	Fail bool `json:"fail,omitempty"`
	// Gang is the number of subtasks that work only together; 0 for none.
	Gang int `json:"gang,omitempty"`
	// SaveMs is the work after which a new checkpoint is produced; 0 for none. CheckpointBytes is its size.
	SaveMs          int64 `json:"save_ms,omitempty"`
	CheckpointBytes int   `json:"checkpoint_bytes,omitempty"`
}

// world holds all runners of a deployment, and the lock of their state.
type world struct {
	record  *record
	store   *store
	mu      sync.Mutex
	runners []*runner
	cpu     map[string]int // by job and step: what a subtask takes
	starts  []start
	ends    []end
	// calmFrom is when no disruption is near any more.
	calmFrom time.Time
}

// start is a run that has begun.
type start struct {
	task       string
	run        int
	runner     string
	checkpoint string
	at         time.Time
}

// end is a run that has ended; noted is set once an `observed` has reached it.
type end struct {
	task, runner, how string
	run               int
	number, born      int64
	at                time.Time
	noted             bool
	// listedCalm is set once the runner has listed the end while no disruption was near.
	listedCalm bool
}

type activeRun struct {
	task  string
	run   int
	does  behaviour
	begun time.Time
	// worked is the work done before this run, from its checkpoint.
	worked   int64
	saved    string
	stopping bool
	// together is when all members of a gang were there; zero before.
	together time.Time
}

type listedEnd struct {
	n     int64
	task  string
	run   int
	how   string
	saved string
	// index is the position in the world's list of ends.
	index int
}

// runner is a runner of the platform, which may live several times.
type runner struct {
	world                         *world
	id, machine, service, address string
	rack                          string
	cpu, memMB                    int
	// crashAfter, if set, returns how long after a start the runner crashes; 0 for never. downFor is for how
	// long it is dark then.
	crashAfter func(task string, run int) time.Duration
	downFor    time.Duration

	// The fields below are guarded by the world's lock.
	born     time.Time
	up       bool
	sequence int
	fence    uint64
	lease    time.Duration
	runs     map[string]*activeRun
	closed   map[string]int
	listed   []listedEnd
	count    int64
	// doomed is set once a crash in this life is due.
	doomed bool
	// isCut is set while the runner is cut off from all nodes and from the store. It works on.
	isCut bool
}

// cut cuts the runner off for some time.
func (r *runner) cut(length time.Duration) {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	r.isCut = true
	r.world.record.say("runner %s is cut off for %v and works on, with %d runs", r.id, length, len(r.runs))
	time.AfterFunc(length, func() {
		r.world.mu.Lock()
		defer r.world.mu.Unlock()
		r.isCut = false
		r.world.record.say("runner %s is reached again", r.id)
	})
}

// addRunner starts a runner on a free loopback port.
func (w *world) addRunner(r *runner) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.world, r.address = w, l.Addr().String()
	w.mu.Lock()
	r.begin()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	go func() { _ = http.Serve(l, r) }()
	return nil
}

// begin begins a life. The caller holds the lock.
func (r *runner) begin() {
	r.born, r.up, r.sequence = time.Now().Truncate(time.Millisecond), true, 0
	r.fence, r.lease, r.count, r.doomed = 0, 0, 0, false
	r.runs, r.closed, r.listed = map[string]*activeRun{}, map[string]int{}, nil
	r.publish()
}

// publish writes the runner's entry.
func (r *runner) publish() {
	r.sequence++
	r.world.store.putJSON("keyed.servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": r.cpu, "mem_mb": r.memMB, "gpu": 0}, "labels": []string{"a", r.rack},
		"machine": r.machine, "born": r.born.UnixMilli(), "clock_ms": r.clock().Milliseconds(), "sequence": r.sequence,
	})
}

func (r *runner) clock() time.Duration { return time.Since(r.born) }

// crash ends all runs and makes the runner dark. The caller holds the lock.
func (r *runner) crash() {
	r.world.record.add("runner %s crashes with %d runs; it is dark for %v", r.id, len(r.runs), r.downFor)
	for _, a := range r.sorted() {
		r.world.record.add("runner %s loses %s run %d in the crash", r.id, a.task, a.run)
		r.world.breakGang(a, r)
	}
	r.up, r.runs, r.listed = false, map[string]*activeRun{}, nil
	time.AfterFunc(r.downFor, func() {
		r.world.mu.Lock()
		defer r.world.mu.Unlock()
		r.begin()
		r.world.record.add("runner %s is up again under its id, born %d", r.id, r.born.UnixMilli())
	})
}

func (r *runner) sorted() []*activeRun {
	list := make([]*activeRun, 0, len(r.runs))
	for _, a := range r.runs {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *activeRun) int { return cmp.Compare(a.task, b.task) })
	return list
}

// run moves all runs on until stop is closed.
func (w *world) run(stop <-chan struct{}) {
	beat, pause := time.Now(), 4*time.Millisecond
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		w.mu.Lock()
		now := time.Now()
		count := 0
		for _, r := range w.runners {
			count += len(r.runs)
		}
		pause = time.Duration(4+count/100) * time.Millisecond
		publish := now.Sub(beat) >= heartbeat
		if publish {
			beat = now
		}
		for _, r := range w.runners {
			if !r.up {
				continue
			}
			if publish && !r.isCut {
				r.publish()
			}
			for _, a := range r.sorted() {
				r.move(a, now)
			}
		}
		w.mu.Unlock()
	}
}

// move advances one run. The caller holds the lock.
func (r *runner) move(a *activeRun, now time.Time) {
	if r.runs[a.task] != a {
		return
	}
	if r.clock() > r.lease {
		r.finish(a, "lapsed")
		return
	}
	if a.stopping {
		r.finish(a, "stopped")
		return
	}
	since := now.Sub(a.begun)
	if a.does.Gang > 0 {
		if a.together.IsZero() {
			if since > gangTimeout {
				r.finish(a, "alone")
			}
			return
		}
		since = now.Sub(a.together)
	}
	work := a.worked + since.Milliseconds()
	if a.does.SaveMs > 0 {
		if saved := work / a.does.SaveMs * a.does.SaveMs; saved > 0 {
			a.saved = checkpoint(a, saved)
		}
	}
	if a.does.Ms > 0 && work >= a.does.Ms {
		how := "done"
		if a.does.Fail {
			how = "failed"
		}
		r.finish(a, how)
	}
}

// checkpoint returns the checkpoint of a run after some work: the work in ms as eight hexadecimal digits, and
// what the work belongs to. All members of a gang have the same one.
func checkpoint(a *activeRun, work int64) string {
	owner := a.task
	if a.does.Gang > 0 {
		owner = stepOf(a.task)
	}
	text := fmt.Sprintf("%08x-%s", work, owner)
	if missing := a.does.CheckpointBytes - len(text); missing > 0 {
		text += "-" + strings.Repeat("0", missing-1)
	}
	return text
}

func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

// finish ends a run. The caller holds the lock.
func (r *runner) finish(a *activeRun, how string) {
	delete(r.runs, a.task)
	r.closed[a.task] = max(r.closed[a.task], a.run)
	r.count++
	r.listed = append(r.listed, listedEnd{r.count, a.task, a.run, how, a.saved, len(r.world.ends)})
	r.world.ends = append(r.world.ends, end{task: a.task, runner: r.id, how: how, run: a.run, number: r.count, born: r.born.UnixMilli(), at: time.Now()})
	r.world.record.add("runner %s ends %s run %d: %s", r.id, a.task, a.run, how)
	if how == "done" && a.does.Gang > 0 {
		r.world.eachMember(a, func(o *runner, b *activeRun) { o.finish(b, "done") })
		return
	}
	r.world.breakGang(a, r)
}

// eachMember calls f for every other run of the same gang.
func (w *world) eachMember(a *activeRun, f func(*runner, *activeRun)) {
	for _, o := range w.runners {
		for _, b := range o.sorted() {
			if b != a && o.runs[b.task] == b && b.does.Gang > 0 && b.run == a.run && stepOf(b.task) == stepOf(a.task) {
				f(o, b)
			}
		}
	}
}

// breakGang ends the other members of a run's gang once it has begun to work.
func (w *world) breakGang(a *activeRun, _ *runner) {
	if a.does.Gang == 0 || a.together.IsZero() {
		return
	}
	a.together = time.Time{}
	w.eachMember(a, func(o *runner, b *activeRun) {
		b.together = time.Time{}
		o.finish(b, "broken")
	})
}

// order holds the fields of all orders.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Observed   int64  `json:"observed"`
	WaitMs     int64  `json:"wait_ms"`
}

// ServeHTTP implements the protocol of runners.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	if !r.up || r.isCut {
		r.world.mu.Unlock()
		<-q.Context().Done()
		r.world.mu.Lock()
		return
	}
	if q.Header.Get("X-Cranberrypick-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < r.fence {
		r.answer(w, "fence")
		return
	}
	r.fence = o.Fence
	if o.Deadline > 0 {
		r.lease = max(r.lease, min(time.Duration(o.Deadline)*time.Millisecond, r.clock()+holdMax))
	}
	switch q.URL.Path {
	case "/run-start":
		r.answer(w, r.start(o))
	case "/run-stop":
		r.closed[o.Task] = max(r.closed[o.Task], o.Run)
		if a := r.runs[o.Task]; a != nil && a.run <= o.Run {
			a.stopping = true
		}
		r.answer(w, "")
	case "/pace":
		r.answer(w, "")
	case "/hold":
		r.hold(w, q, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) answer(w http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": r.clock().Milliseconds()}
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	respond(w, status, body)
}

func respond(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// start carries out a start and returns the reason for a refusal.
func (r *runner) start(o order) string {
	if a := r.runs[o.Task]; a != nil && a.run == o.Run {
		return ""
	}
	switch {
	case o.Run <= r.closed[o.Task]:
		return "old"
	case o.Deadline > 0 && time.Duration(o.Deadline)*time.Millisecond < r.clock():
		return "late"
	}
	a := &activeRun{task: o.Task, run: o.Run, begun: time.Now(), saved: o.Checkpoint}
	if json.Unmarshal([]byte(o.Spec), &a.does) != nil {
		return "old"
	}
	if index, err := strconv.ParseInt(o.Task[strings.LastIndex(o.Task, ".")+1:], 10, 64); err == nil && a.does.Ms > 0 {
		a.does.Ms += index * a.does.MoreMs
	}
	if len(o.Checkpoint) >= 8 {
		a.worked, _ = strconv.ParseInt(o.Checkpoint[:8], 16, 64)
	}
	r.runs[o.Task] = a
	r.world.starts = append(r.world.starts, start{o.Task, o.Run, r.id, o.Checkpoint, time.Now()})
	r.world.record.add("runner %s starts %s run %d, checkpoint %.40q, fence %d", r.id, o.Task, o.Run, o.Checkpoint, o.Fence)
	if a.does.Gang > 0 {
		members := []*activeRun{a}
		r.world.eachMember(a, func(_ *runner, b *activeRun) { members = append(members, b) })
		if len(members) == a.does.Gang {
			for _, m := range members {
				m.together = time.Now()
			}
		}
	}
	if r.crashAfter != nil && !r.doomed {
		if after := r.crashAfter(o.Task, o.Run); after > 0 {
			r.doomed = true
			born := r.born
			time.AfterFunc(after, func() {
				r.world.mu.Lock()
				defer r.world.mu.Unlock()
				if r.up && r.born.Equal(born) {
					r.crash()
				}
			})
		}
	}
	return ""
}

// hold answers a heartbeat; it waits for an end.
func (r *runner) hold(w http.ResponseWriter, q *http.Request, o order) {
	r.listed = slices.DeleteFunc(r.listed, func(e listedEnd) bool {
		if e.n <= o.Observed {
			r.world.ends[e.index].noted = true
		}
		return e.n <= o.Observed
	})
	born, deadline := r.born, time.Now().Add(time.Duration(min(o.WaitMs, 2000))*time.Millisecond)
	for len(r.listed) == 0 && time.Now().Before(deadline) && q.Context().Err() == nil {
		r.world.mu.Unlock()
		time.Sleep(4 * time.Millisecond)
		r.world.mu.Lock()
		if !r.up || r.isCut || !r.born.Equal(born) {
			r.world.mu.Unlock()
			<-q.Context().Done()
			r.world.mu.Lock()
			return
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, a := range r.sorted() {
		percent := 100
		if a.does.Ms > 0 {
			percent = int(min(100*(a.worked+time.Since(a.begun).Milliseconds())/a.does.Ms, 100))
		}
		running = append(running, []any{a.task, a.run, a.saved, percent, 0})
	}
	calm := time.Now().After(r.world.calmFrom)
	for i, e := range r.listed {
		if i < 500 {
			finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
			if calm {
				r.world.ends[e.index].listedCalm = true
			}
		}
	}
	respond(w, http.StatusOK, map[string]any{"clock_ms": r.clock().Milliseconds(), "born": r.born.UnixMilli(), "running": running, "finished": finished})
}
